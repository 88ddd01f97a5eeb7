/**
 * Runs tasks one after another.
 */

/** A queue of tasks of which one runs at a time. */
export class Mutex {
    private tail: Promise<unknown> = Promise.resolve();

    /** Runs `task` when all earlier ones have ended, whether or not they failed. */
    public run<T>(task: () => Promise<T>): Promise<T> {
        const result = this.tail.then(task, task);
        this.tail = result.catch(() => undefined);
        return result;
    }
}
