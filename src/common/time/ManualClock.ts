/**
 * A clock that moves only when told to. Benches and tests use it to make decisions exact for a seed.
 */
import { type Disposable, toDisposable } from "../lifecycle/Disposable.ts";
import { type Clock } from "./Clock.ts";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/** Injected clock. Timers run in order of their time, then of their creation. */
export class ManualClock implements Clock {
    private time: number;
    private order = 0;
    private readonly timers = new Set<Timer>();

    public constructor(startMs = 0) {
        this.time = startMs;
    }

    public now(): number {
        return this.time;
    }

    public monotonic(): number {
        return this.time;
    }

    public schedule(delayMs: number, run: () => void): Disposable {
        const timer = { at: this.time + Math.max(0, delayMs), order: this.order++, run };
        this.timers.add(timer);
        return toDisposable(() => this.timers.delete(timer));
    }

    /** Moves time forward by `ms` and runs every timer that becomes due on the way. */
    public advance(ms: number): void {
        const end = this.time + ms;
        for (let timer = this.nextDue(end); timer !== undefined; timer = this.nextDue(end)) {
            this.timers.delete(timer);
            this.time = timer.at;
            timer.run();
        }
        this.time = end;
    }

    private nextDue(end: number): Timer | undefined {
        let next: Timer | undefined;
        for (const timer of this.timers) {
            if (timer.at <= end && (next === undefined || isBefore(timer, next))) {
                next = timer;
            }
        }
        return next;
    }
}

const isBefore = (a: Timer, b: Timer): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);
