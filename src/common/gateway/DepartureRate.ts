/**
 * Mean time between two requests that leave a queue. While requests wait, it is what the upstreams take; at other times
 * departures only prove that they take at least as much.
 */
import { type Clock } from "../time/Clock.ts";

/** Time constant with which departures and waiting time are forgotten, in ms. */
const MEMORY_MS = 2000;
/** A departure that is overdue by this factor is evidence of a lower rate: chance alone exceeds it in 5 % of cases. */
const OVERDUE_FACTOR = 3;
/** Number of newest departures whose mean distance bounds the result: after a stall they show the recovery. */
const RECENT_DEPARTURES = 8;

/** Departures of one queue. */
export class DepartureRate {
    private readonly clock: Clock;
    /** Departures while requests waited; decays. */
    private departures = 0;
    /** Time in which requests waited, in ms; decays like `departures`. */
    private waitingMs = 0;
    /** Monotonic times of the newest departures, in ms. */
    private readonly recent: number[] = [];
    private isWaiting = false;
    private updatedAt: number;
    /** Monotonic time of the newest departure, or of the moment from which requests wait, in ms. */
    private lastAt: number;

    public constructor(clock: Clock) {
        this.clock = clock;
        this.updatedAt = clock.monotonic();
        this.lastAt = this.updatedAt;
    }

    /** Must be called when requests begin to wait, and when none waits any more. */
    public setWaiting(isWaiting: boolean): void {
        if (isWaiting !== this.isWaiting) {
            this.update();
            this.isWaiting = isWaiting;
            this.lastAt = this.updatedAt;
        }
    }

    /** Records that a request has been sent to an upstream. */
    public recordDeparture(): void {
        this.update();
        this.departures += this.isWaiting ? 1 : 0;
        this.lastAt = this.updatedAt;
        this.recent.push(this.updatedAt);
        if (this.recent.length > RECENT_DEPARTURES) {
            this.recent.shift();
        }
    }

    /** Takes back the newest departure: the request waits again. */
    public cancelDeparture(): void {
        this.departures = Math.max(0, this.departures - 1);
        this.recent.pop();
    }

    /** Mean time between two departures, in ms; low while there is no evidence, so that no request is refused for it. */
    public get meanMs(): number {
        this.update();
        const waitingMean = this.waitingMs / Math.max(1, this.departures);
        const overdueMs = this.isWaiting ? (this.updatedAt - this.lastAt) / OVERDUE_FACTOR : 0;
        return Math.max(Math.min(waitingMean, this.recentMeanMs), overdueMs);
    }

    private get recentMeanMs(): number {
        const { recent } = this;
        const count = recent.length;
        return count < RECENT_DEPARTURES ? Infinity : ((recent[count - 1] ?? 0) - (recent[0] ?? 0)) / (count - 1);
    }

    private update(): void {
        const now = this.clock.monotonic();
        const elapsedMs = now - this.updatedAt;
        if (elapsedMs === 0) {
            return;
        }
        const kept = Math.exp(-elapsedMs / MEMORY_MS);
        this.departures *= kept;
        this.waitingMs = this.waitingMs * kept + (this.isWaiting ? MEMORY_MS * (1 - kept) : 0);
        this.updatedAt = now;
    }
}
