/**
 * Runs tasks one after another.
 */

/** A queue of tasks of which one runs at a time. */
export class Mutex {
    private last: Promise<unknown> = Promise.resolve();

    /** Runs `task` when all earlier ones have ended, whether or not they failed. */
    public run<T>(task: () => Promise<T>): Promise<T> {
        const result = this.last.then(task, task);
        this.last = result.catch(() => undefined);
        return result;
    }
}
