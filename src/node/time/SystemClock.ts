/**
 * The clock of the operating system, through which the router reads the time and sets timers.
 */
import { type Disposable } from "../../common/lifecycle/Disposable.ts";
import { type Clock } from "../../common/time/Clock.ts";

/** Real time. Timers do not keep the process alive. */
export class SystemClock implements Clock {
    public now(): number {
        return Date.now();
    }

    public monotonic(): number {
        return performance.now();
    }

    public schedule(delayMs: number, callback: () => void): Disposable {
        const timer = setTimeout(callback, delayMs);
        timer.unref();
        return { dispose: () => clearTimeout(timer) };
    }
}
