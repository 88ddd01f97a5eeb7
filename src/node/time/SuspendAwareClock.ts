/**
 * A clock whose monotonic time also counts the time for which the machine was suspended, which the operating system's
 * steady clock leaves out. A lease that ran out meanwhile is then seen to be over.
 */
import { SystemClock } from "./SystemClock.ts";

/** Differences between the two clocks of the system that are no suspension, in ms. */
const MAX_DRIFT_MS = 250;

/**
 * Counts a forward jump of the wall clock as a suspension: it can't be told apart from one, and a lease that ends too
 * soon is only renewed sooner.
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
