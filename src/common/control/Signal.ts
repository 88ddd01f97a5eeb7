/**
 * A condition variable: lets a task wait until another one notifies it, or until a timeout.
 */
import { type Clock } from "../time/Clock.ts";

/** A condition that tasks can wait for, with a time limit. */
export class Signal {
    private readonly clock: Clock;
    private waiters: (() => void)[] = [];

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Wakes all waiting tasks. */
    public fire(): void {
        for (const wake of this.waiters.splice(0)) {
            wake();
        }
    }

    /** Resolves at the next `fire`, or after `limitMs`. */
    public wait(limitMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = this.clock.schedule(limitMs, () => {
                this.waiters = this.waiters.filter(item => item !== wake);
                resolve();
            });
            const wake = (): void => {
                timer.dispose();
                resolve();
            };
            this.waiters.push(wake);
        });
    }
}
