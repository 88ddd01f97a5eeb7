/**
 * Retry budget of each service, as a token bucket. The limits apply to all instances together; each instance may use a
 * share of them, and the shares stay below the limits in total even when all instances use theirs at the same time.
 */
import { type Clock } from "../time/Clock.ts";

/** Fraction of the ratio that each request adds to the bucket. */
const DEPOSIT_FRACTION = 0.7;
/** Fraction of the ratio up to which tokens accumulate over the last window, for bursts of failures. */
const BURST_FRACTION = 0.25;
/** Fraction of the slack up to which tokens accumulate, over all instances. */
const SLACK_FRACTION = 0.8;

/** Fraction of the capacity that backup attempts and escalations leave for the retries of failed requests. */
const RESERVED_FRACTION = 0.4;

/** Limits for the retries of one service, over all instances. */
export interface RetryLimits {
    /** Retries per request. */
    readonly ratio: number;
    /** Additional retries per window. */
    readonly slack: number;
    readonly windowMs: number;
}

interface TokenBucket {
    tokens: number;
    updatedAt: number;
    /** Requests of the last window, as an exponentially decaying count. */
    recentRequests: number;
}

/** Retry budgets by service. An escalation to a larger model counts as a retry. */
export class ServiceRetryBudget {
    private readonly clock: Clock;
    private readonly limits: RetryLimits;
    private readonly entryCount: () => number;
    private readonly buckets = new Map<string, TokenBucket>();

    public constructor(clock: Clock, limits: RetryLimits, entryCount: () => number) {
        this.clock = clock;
        this.limits = limits;
        this.entryCount = entryCount;
    }

    /** Counts a request, which adds a fraction of a token. */
    public deposit(service: string): void {
        const bucket = this.bucketOf(service);
        bucket.recentRequests++;
        bucket.tokens = Math.min(this.capacityOf(bucket) + 1, bucket.tokens + this.limits.ratio * DEPOSIT_FRACTION);
    }

    /** Takes one token to retry a failed request. Returns false when none is left. */
    public tryWithdraw(service: string): boolean {
        return this.take(service, 0);
    }

    /**
     * Takes one token for a backup attempt, or to get a better answer. Returns false when only the reserve for failed
     * requests is left.
     */
    public tryWithdrawSpare(service: string): boolean {
        return this.take(service, this.capacityOf(this.bucketOf(service)) * RESERVED_FRACTION);
    }

    /** Returns a token that was taken and not used. */
    public putBack(service: string): void {
        this.bucketOf(service).tokens++;
    }

    private take(service: string, reserved: number): boolean {
        const bucket = this.bucketOf(service);
        if (bucket.tokens < 1 + reserved) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /** Most tokens that accumulate. */
    private capacityOf(bucket: TokenBucket): number {
        return this.slackShare + bucket.recentRequests * this.limits.ratio * BURST_FRACTION;
    }

    private get slackShare(): number {
        return Math.max(1, this.limits.slack * SLACK_FRACTION / this.entryCount());
    }

    private bucketOf(service: string): TokenBucket {
        const now = this.clock.monotonic();
        const existing = this.buckets.get(service);
        if (existing === undefined) {
            const bucket = { tokens: this.slackShare / 2, updatedAt: now, recentRequests: 0 };
            this.buckets.set(service, bucket);
            return bucket;
        }
        const elapsedWindows = (now - existing.updatedAt) / this.limits.windowMs;
        existing.recentRequests *= Math.exp(-elapsedWindows);
        const refill = this.slackShare / 2 * elapsedWindows;
        existing.tokens = Math.max(existing.tokens, Math.min(this.slackShare, existing.tokens + refill));
        existing.tokens = Math.min(existing.tokens, this.capacityOf(existing) + 1);
        existing.updatedAt = now;
        return existing;
    }
}
