/**
 * A clock whose monotonic time includes the time for which the machine was suspended, which the operating system's
 * monotonic clock omits. A lease that expired during a suspension is thus recognized as expired.
 */
import { type Disposable } from "../lifecycle/Disposable.ts";
import { type Clock } from "./Clock.ts";

/** Largest change of the offset between wall clock and monotonic clock that is not a suspension, in ms. */
const MAX_DRIFT_MS = 250;

/**
 * Counts a forward jump of the wall clock as a suspension. The two cannot be distinguished, and a lease that expires
 * too early is merely renewed earlier.
 */
export class SuspendAwareClock implements Clock {
    private readonly clock: Clock;
    private suspendedMs = 0;
    private offsetMs: number;

    /** @param clock clock of the operating system */
    public constructor(clock: Clock) {
        this.clock = clock;
        this.offsetMs = clock.now() - clock.monotonic();
    }

    public now(): number {
        return this.clock.now();
    }

    public monotonic(): number {
        const steady = this.clock.monotonic();
        const offset = this.now() - steady;
        const jump = offset - this.offsetMs;
        if (Math.abs(jump) > MAX_DRIFT_MS) {
            this.suspendedMs += Math.max(0, jump);
            this.offsetMs = offset;
        }
        return steady + this.suspendedMs;
    }

    public schedule(delayMs: number, run: () => void): Disposable {
        return this.clock.schedule(delayMs, run);
    }
}
