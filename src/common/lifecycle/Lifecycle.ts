/**
 * The life-cycle manager of a process. Parts are started in the order in which they were added and
 * stopped in the reverse order, so that a part can rely on those before it for its whole life.
 */

/** A part of the program with an asynchronous start and stop. */
export interface Component {
    readonly name: string;
    start(): Promise<void>;
    /** Finishes accepted work, then releases everything. */
    stop(): Promise<void>;
}

/** Starts and stops the parts of one process. */
export class Lifecycle {
    private readonly components: Component[] = [];
    private started: Component[] = [];

    public add(part: Component): void {
        this.components.push(part);
    }

    /** Starts all parts; when one fails, those already started are stopped and the error is passed on. */
    public async start(): Promise<void> {
        for (const part of this.components) {
            try {
                await part.start();
                this.started.push(part);
            }
            catch (err) {
                await this.stop();
                throw err;
            }
        }
    }

    /** Stops all started parts, newest first. An error of one part does not keep the others from stopping. */
    public async stop(): Promise<void> {
        const failures: unknown[] = [];
        for (const part of this.started.splice(0).reverse()) {
            try {
                await part.stop();
            }
            catch (err) {
                failures.push(err);
            }
        }
        if (failures.length > 0) {
            throw new AggregateError(failures, "some parts did not stop cleanly");
        }
    }
}
