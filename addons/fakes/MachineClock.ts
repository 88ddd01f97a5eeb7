/**
 * The clock of one machine in a clock that several share. Its time of day can be set.
 */
import { type Disposable } from "../../src/common/lifecycle/Disposable.ts";
import { type SteadyClock } from "../../src/common/time/Clock.ts";

/** Clock of one machine. */
export class MachineClock implements SteadyClock {
    private readonly clock: SteadyClock;
    private steppedMs = 0;

    public constructor(clock: SteadyClock) {
        this.clock = clock;
    }

    public now(): number {
        return this.clock.now() + this.steppedMs;
    }

    public monotonic(): number {
        return this.clock.monotonic();
    }

    public schedule(delayMs: number, run: () => void): Disposable {
        return this.clock.schedule(delayMs, run);
    }

    /** Sets the time of day ahead by `ms`, or back if negative. */
    public step(ms: number): void {
        this.steppedMs += ms;
    }
}
