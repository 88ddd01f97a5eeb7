/**
 * The clock of the operating system, through which the router reads the time and sets timers.
 */
import { type SteadyClock } from "../../common/time/Clock.ts";
import { SuspendAwareClock } from "../../common/time/SuspendAwareClock.ts";

const operatingSystemClock: SteadyClock = {
    now: () => Date.now(),
    monotonic: () => performance.now(),
    schedule: (delayMs, run) => {
        const timer = setTimeout(run, delayMs);
        timer.unref();
        return { dispose: () => clearTimeout(timer) };
    },
};

/** Real time. Timers do not keep the process alive. */
export class SystemClock extends SuspendAwareClock {
    public constructor() {
        super(operatingSystemClock);
    }
}
