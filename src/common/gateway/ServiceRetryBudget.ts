/**
 * The part of the repeat budget of each service that this instance may spend. Shares add up to less than the whole
 * budget when all instances spend theirs at the same time.
 */
import { type Clock } from "../time/Clock.ts";

/** Part of the ratio that each request earns. */
const EARNED_PART = 0.7;
/** Part of the ratio that is saved up from the requests of the last window, for failures that come all at once. */
const BANKED_PART = 0.25;
/** Part of the slack that is saved up. */
const SAVED_PART = 0.8;

/** Part of the savings that is kept for failed requests. */
const RESERVED_PART = 0.4;

/** Bounds of the repeats of one service, over all instances. */
export interface RetryLimits {
    /** Repeats for each request. */
    readonly ratio: number;
    /** Repeats in a window beyond that. */
    readonly slack: number;
    readonly windowMs: number;
}

interface TokenBucket {
    tokens: number;
    filledAt: number;
    /** Requests in about the last window. */
    recentRequests: number;
}

/** Budgets by service. */
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

    /** Counts a request, which earns a part of a repeat. */
    public deposit(service: string): void {
        const purse = this.bucketOf(service);
        purse.recentRequests++;
        purse.tokens = Math.min(this.capOf(purse) + 1, purse.tokens + this.limits.ratio * EARNED_PART);
    }

    /** Takes one repeat for a failed request; false when none is left. */
    public tryWithdraw(service: string): boolean {
        return this.take(service, 0);
    }

    /** Takes one repeat for a better answer; false when only those are left that failed requests may need. */
    public tryWithdrawForEscalation(service: string): boolean {
        return this.take(service, this.capOf(this.bucketOf(service)) * RESERVED_PART);
    }

    private take(service: string, reserved: number): boolean {
        const purse = this.bucketOf(service);
        if (purse.tokens < 1 + reserved) {
            return false;
        }
        purse.tokens--;
        return true;
    }

    /** Most repeats that are saved up. */
    private capOf(purse: TokenBucket): number {
        return this.slackShare + purse.recentRequests * this.limits.ratio * BANKED_PART;
    }

    private get slackShare(): number {
        return Math.max(1, this.limits.slack * SAVED_PART / this.entryCount());
    }

    private bucketOf(service: string): TokenBucket {
        const now = this.clock.monotonic();
        const known = this.buckets.get(service);
        if (known === undefined) {
            const purse = { tokens: this.slackShare / 2, filledAt: now, recentRequests: 0 };
            this.buckets.set(service, purse);
            return purse;
        }
        const passed = (now - known.filledAt) / this.limits.windowMs;
        known.recentRequests *= Math.exp(-passed);
        const refill = this.slackShare / 2 * passed;
        known.tokens = Math.max(known.tokens, Math.min(this.slackShare, known.tokens + refill));
        known.tokens = Math.min(known.tokens, this.capOf(known) + 1);
        known.filledAt = now;
        return known;
    }
}
