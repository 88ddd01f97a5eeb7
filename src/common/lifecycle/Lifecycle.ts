/**
 * Starts and stops the components of a process: starts them in the order in which they were added and stops them in
 * the reverse order, so that a component can use those before it until it has stopped.
 */

/** A component of the program with an asynchronous start and stop. */
export interface Component {
    readonly name: string;
    start(): Promise<void>;
    /** Finishes accepted work, then releases everything. */
    stop(): Promise<void>;
}

/** The lifecycle of one process. */
export class Lifecycle {
    private readonly components: Component[] = [];
    private started: Component[] = [];

    public add(component: Component): void {
        this.components.push(component);
    }

    /** Starts all components. When one fails, stops those already started and rejects with the error. */
    public async start(): Promise<void> {
        for (const component of this.components) {
            try {
                await component.start();
                this.started.push(component);
            }
            catch (err) {
                await this.stop();
                throw err;
            }
        }
    }

    /** Stops all started components, newest first, even when one fails; then rejects with all errors. */
    public async stop(): Promise<void> {
        const failures: unknown[] = [];
        for (const component of this.started.splice(0).reverse()) {
            try {
                await component.stop();
            }
            catch (err) {
                failures.push(err);
            }
        }
        if (failures.length > 0) {
            throw new AggregateError(failures, "some components did not stop cleanly");
        }
    }
}
