/**
 * Arrivals of requests by priority, which tell how many more urgent ones come while a request waits.
 */
import { type Clock } from "../time/Clock.ts";

/** Time constant with which arrivals are forgotten, in ms. */
const MEMORY_MS = 2000;

/** Arrivals at one queue. */
export class ArrivalRates {
    private readonly clock: Clock;
    /** Decayed number of arrivals, by priority. */
    private readonly counts = new Map<number, number>();
    private updatedAt: number;

    public constructor(clock: Clock) {
        this.clock = clock;
        this.updatedAt = clock.monotonic();
    }

    public record(priority: number): void {
        this.update();
        this.counts.set(priority, (this.counts.get(priority) ?? 0) + 1);
    }

    /** Arrivals per ms of requests that are more urgent than the priority. */
    public perMsAbove(priority: number): number {
        this.update();
        let sum = 0;
        for (const [other, count] of this.counts) {
            sum += other < priority ? count : 0;
        }
        return sum / MEMORY_MS;
    }

    private update(): void {
        const now = this.clock.monotonic();
        if (now > this.updatedAt) {
            const kept = Math.exp(-(now - this.updatedAt) / MEMORY_MS);
            this.counts.forEach((count, priority) => this.counts.set(priority, count * kept));
            this.updatedAt = now;
        }
    }
}
