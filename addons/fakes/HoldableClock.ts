/**
 * A clock whose timers can be held up: those of a frozen process, or the completions of a stalled disk. Its time passes
 * all the while, and what was due is run afterwards, as if nothing had happened.
 */
import { type Disposable } from "../../src/common/lifecycle/Disposable.ts";
import { type Clock } from "../../src/common/time/Clock.ts";

/** The part of one process, or of one disk, in a clock that several share. */
export class HoldableClock implements Clock {
    private readonly clock: Clock;
    private heldUntil = -Infinity;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public get isHeld(): boolean {
        return this.monotonic() < this.heldUntil;
    }

    public now(): number {
        return this.clock.now();
    }

    public monotonic(): number {
        return this.clock.monotonic();
    }

    public boottime(): number {
        return this.clock.boottime();
    }

    /** Holds up all timers for `ms`. */
    public hold(ms: number): void {
        this.heldUntil = Math.max(this.heldUntil, this.monotonic() + ms);
    }

    public schedule(delayMs: number, run: () => void): Disposable {
        const fire = (): void => {
            if (this.isHeld) {
                pending = this.clock.schedule(this.heldUntil - this.monotonic(), fire);
                return;
            }
            run();
        };
        let pending = this.clock.schedule(delayMs, fire);
        return { dispose: () => pending.dispose() };
    }
}
