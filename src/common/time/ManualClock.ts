/**
 * A clock that moves only when it is advanced. Benchmarks and tests use it to make decisions reproducible for a seed.
 */
import { type Disposable } from "../lifecycle/Disposable.ts";
import { type Clock } from "./Clock.ts";

interface Timer {
    readonly at: number;
    readonly order: number;
    run: (() => void) | undefined;
}

/** Manually advanced clock. Timers run in order of their time, then of their creation. */
export class ManualClock implements Clock {
    private time: number;
    private order = 0;
    /** Binary heap with the next timer first. */
    private readonly heap: Timer[] = [];

    public constructor(startMs = 0) {
        this.time = startMs;
    }

    public now(): number {
        return this.time;
    }

    public monotonic(): number {
        return this.time;
    }

    public boottime(): number {
        return this.time;
    }

    public schedule(delayMs: number, run: () => void): Disposable {
        const timer: Timer = { at: this.time + Math.max(0, delayMs), order: this.order++, run };
        this.push(timer);
        return {
            dispose: () => {
                timer.run = undefined;
            },
        };
    }

    /** Advances the time by `ms` and runs every timer that becomes due meanwhile. */
    public advance(ms: number): void {
        const end = this.time + ms;
        while (this.runNext(end)) {
            // Each step runs one timer.
        }
        this.time = end;
    }

    /** Like `advance`, but awaits `settle` before the first and after each timer, so that pending promises continue. */
    public async advanceSettled(ms: number, settle: () => Promise<void>): Promise<void> {
        const end = this.time + ms;
        await settle();
        while (this.runNext(end)) {
            await settle();
        }
        this.time = end;
    }

    private runNext(end: number): boolean {
        for (let timer = this.heap[0]; timer !== undefined && timer.at <= end; timer = this.heap[0]) {
            this.pop();
            if (timer.run !== undefined) {
                this.time = timer.at;
                timer.run();
                return true;
            }
        }
        return false;
    }

    private push(timer: Timer): void {
        const { heap } = this;
        heap.push(timer);
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(index, parent)) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private pop(): void {
        const { heap } = this;
        const last = heap.pop();
        if (last === undefined || heap.length === 0) {
            return;
        }
        heap[0] = last;
        let index = 0;
        for (;;) {
            let least = index;
            for (const child of [index * 2 + 1, index * 2 + 2]) {
                if (child < heap.length && this.isBefore(child, least)) {
                    least = child;
                }
            }
            if (least === index) {
                return;
            }
            this.swap(index, least);
            index = least;
        }
    }

    private isBefore(a: number, b: number): boolean {
        const first = this.heap[a];
        const second = this.heap[b];
        if (first === undefined || second === undefined) {
            return false;
        }
        return first.at < second.at || (first.at === second.at && first.order < second.order);
    }

    private swap(a: number, b: number): void {
        const first = this.heap[a];
        const second = this.heap[b];
        if (first !== undefined && second !== undefined) {
            this.heap[a] = second;
            this.heap[b] = first;
        }
    }
}
