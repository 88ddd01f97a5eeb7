/**
 * A clock whose monotonic time includes the time for which the machine was suspended, which the operating system's
 * monotonic clock omits. A lease that expired during a suspension is thus recognized as expired.
 */
import { SystemClock } from "./SystemClock.ts";

/** Largest change of the offset between wall clock and monotonic clock that is not a suspension, in ms. */
const MAX_DRIFT_MS = 250;

/**
 * Counts a forward jump of the wall clock as a suspension. The two cannot be distinguished, and a lease that expires
 * too early is merely renewed earlier.
 */
export class SuspendAwareClock extends SystemClock {
    private suspendedMs = 0;
    private offsetMs = this.now() - super.monotonic();

    public override monotonic(): number {
        const steady = super.monotonic();
        const offset = this.now() - steady;
        const jump = offset - this.offsetMs;
        if (Math.abs(jump) > MAX_DRIFT_MS) {
            this.suspendedMs += Math.max(0, jump);
            this.offsetMs = offset;
        }
        return steady + this.suspendedMs;
    }
}
