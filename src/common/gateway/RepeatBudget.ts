/**
 * The part of the repeat budget of each service that this instance may spend. Shares add up to less than the whole
 * budget when all instances spend theirs at the same time.
 */
import { type Clock } from "../time/Clock.ts";

/** Part of the ratio that requests earn, so that requests that vary between windows do not exceed it. */
const EARNED_PART = 0.9;
/** Part of the slack that is saved up. */
const SAVED_PART = 0.6;

/** Part of the savings that is kept for failed requests. */
const RESERVED_PART = 0.4;

/** Bounds of the repeats of one service, over all instances. */
export interface RepeatBounds {
    /** Repeats for each request. */
    readonly ratio: number;
    /** Repeats in a window beyond that. */
    readonly slack: number;
    readonly windowMs: number;
}

interface Purse {
    tokens: number;
    filledAt: number;
}

/** Budgets by service. */
export class RepeatBudget {
    private readonly clock: Clock;
    private readonly bounds: RepeatBounds;
    private readonly entryCount: () => number;
    private readonly purses = new Map<string, Purse>();

    public constructor(clock: Clock, bounds: RepeatBounds, entryCount: () => number) {
        this.clock = clock;
        this.bounds = bounds;
        this.entryCount = entryCount;
    }

    /** Counts a request, which earns a part of a repeat. */
    public earn(service: string): void {
        const purse = this.purseOf(service);
        purse.tokens = Math.min(this.cap + this.bounds.ratio, purse.tokens + this.bounds.ratio * EARNED_PART);
    }

    /** Takes one repeat for a failed request; false when none is left. */
    public spend(service: string): boolean {
        return this.take(service, 0);
    }

    /** Takes one repeat for a better answer; false when only those are left that failed requests may need. */
    public spendSpare(service: string): boolean {
        return this.take(service, this.cap * RESERVED_PART);
    }

    private take(service: string, reserved: number): boolean {
        const purse = this.purseOf(service);
        if (purse.tokens < 1 + reserved) {
            return false;
        }
        purse.tokens--;
        return true;
    }

    /** Most repeats that are saved up. */
    private get cap(): number {
        return Math.max(1, this.bounds.slack * SAVED_PART / this.entryCount());
    }

    private purseOf(service: string): Purse {
        const now = this.clock.monotonic();
        const known = this.purses.get(service);
        if (known === undefined) {
            const purse = { tokens: this.cap / 2, filledAt: now };
            this.purses.set(service, purse);
            return purse;
        }
        const refill = this.cap / 2 * (now - known.filledAt) / this.bounds.windowMs;
        known.tokens = Math.max(known.tokens, Math.min(this.cap, known.tokens + refill));
        known.filledAt = now;
        return known;
    }
}
