/**
 * The rate of requests that an upstream bears: it grows by a fraction of itself until the upstream refuses a request for
 * want of room, which lowers it.
 */
import { type Clock } from "../time/Clock.ts";

const MS_PER_SECOND = 1000;
/** Factor by which a refusal lowers the rate. */
const DECREASE = 0.8;
/** Growth of the rate, as a fraction per second. */
const INCREASE_PER_S = 0.1;
/** Lowest rate, in requests per second. */
const MIN_PER_SECOND = 1;
/** Time without requests after a refusal, in ms, in which those on their way arrive. */
const PAUSE_MS = 200;
/** Time over which the current rate is measured, in ms. */
const WINDOW_MS = 1000;

/** Rate of one upstream, over all instances. */
export class AdaptiveRate {
    private readonly clock: Clock;
    /** Monotonic times of the newest requests, in ms. */
    private sentAt: number[] = [];
    private perSecond = Infinity;
    private updatedAt: number;
    private tokens = 1;
    private pausedUntil = -Infinity;

    public constructor(clock: Clock) {
        this.clock = clock;
        this.updatedAt = clock.monotonic();
    }

    /** Monotonic time of the last call, in ms. */
    public get usedAt(): number {
        return this.updatedAt;
    }

    /** Takes one request; returns 0, or the time in ms until the next one may be sent. */
    public take(): number {
        const now = this.clock.monotonic();
        this.grow(now);
        if (now < this.pausedUntil) {
            return this.pausedUntil - now;
        }
        if (this.tokens < 1) {
            return (1 - this.tokens) / this.perSecond * MS_PER_SECOND;
        }
        this.tokens = this.perSecond === Infinity ? 1 : this.tokens - 1;
        this.sentAt = [...this.sentAt.filter(at => at > now - WINDOW_MS), now];
        return 0;
    }

    /** Lowers the rate, once for refusals that follow each other closely. */
    public recordRefusal(): void {
        const now = this.clock.monotonic();
        this.grow(now);
        if (now >= this.pausedUntil) {
            const sent = this.sentAt.filter(at => at > now - WINDOW_MS).length;
            const current = Math.min(this.perSecond, sent * MS_PER_SECOND / WINDOW_MS);
            this.perSecond = Math.max(MIN_PER_SECOND, current * DECREASE);
        }
        this.pausedUntil = now + PAUSE_MS;
        this.tokens = 0;
    }

    private grow(now: number): void {
        const seconds = (now - this.updatedAt) / MS_PER_SECOND;
        this.updatedAt = now;
        if (this.perSecond !== Infinity) {
            this.tokens = Math.min(1, this.tokens + seconds * this.perSecond);
            this.perSecond *= 1 + INCREASE_PER_S * seconds;
        }
    }
}
