/**
 * Adds a time that includes suspensions of the machine to a clock of the operating system, whose monotonic time omits
 * them. A lease that expired during a suspension is thus recognized as expired.
 */
import { type Disposable } from "../lifecycle/Disposable.ts";
import { type Clock, type SteadyClock } from "./Clock.ts";

/** Largest change of the offset between wall clock and monotonic clock that is not a suspension, in ms. */
const MAX_DRIFT_MS = 250;

/**
 * Counts a forward jump of the wall clock as a suspension. The two cannot be distinguished, and a lease that expires
 * too early is merely renewed earlier. `monotonic` is not affected.
 */
export class SuspendAwareClock implements Clock {
    private readonly clock: SteadyClock;
    private suspendedMs = 0;
    private offsetMs: number;

    /** @param clock clock of the operating system */
    public constructor(clock: SteadyClock) {
        this.clock = clock;
        this.offsetMs = clock.now() - clock.monotonic();
    }

    public now(): number {
        return this.clock.now();
    }

    public monotonic(): number {
        return this.clock.monotonic();
    }

    public boottime(): number {
        const { clock, offsetMs } = this;
        const before = clock.monotonic();
        const wall = clock.now();
        const after = clock.monotonic();
        // The process may have been held up between the readings, so the jump is known only within these bounds.
        const leastJumpMs = wall - after - offsetMs;
        const mostJumpMs = wall - before - offsetMs;
        if (leastJumpMs > MAX_DRIFT_MS) {
            this.suspendedMs += leastJumpMs;
        }
        if (leastJumpMs > MAX_DRIFT_MS || mostJumpMs < -MAX_DRIFT_MS) {
            this.offsetMs += leastJumpMs;
        }
        return after + this.suspendedMs;
    }

    public schedule(delayMs: number, run: () => void): Disposable {
        return this.clock.schedule(delayMs, run);
    }
}
