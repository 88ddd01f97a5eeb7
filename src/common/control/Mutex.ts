/**
 * Mutual exclusion of asynchronous tasks.
 */

/** Runs one task at a time, in the order in which they were submitted. */
export class Mutex {
    private tail: Promise<unknown> = Promise.resolve();

    /** Runs `task` after all earlier ones have ended, whether or not they failed. */
    public run<T>(task: () => Promise<T>): Promise<T> {
        const result = this.tail.then(task, task);
        this.tail = result.catch(() => undefined);
        return result;
    }
}
