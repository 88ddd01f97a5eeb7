/**
 * Which accounts send more than their share. Load that this addresses: one account at a multiple of its usual rate beside
 * others at theirs. Arrivals are counted, not served requests, so that refusing an account doesn't restore its share.
 */
import { type Clock } from "../time/Clock.ts";

/** Time constant with which arrivals are forgotten, in ms. */
const MEMORY_MS = 4000;
/** An account is above its share when it sends this multiple of the mean of the other accounts. */
const EXCESS_FACTOR = 3;
/** Fewer arrivals than this may be above the mean by chance. */
const MIN_ARRIVALS = 6;
/** Accounts with fewer arrivals than this are dropped. */
const NEGLIGIBLE = 0.05;

interface Arrivals {
    count: number;
    updatedAt: number;
}

/** Recent arrivals of the accounts of one service. */
export class AccountShares {
    private readonly clock: Clock;
    private readonly accounts = new Map<string, Arrivals>();
    private total = 0;
    private totalAt: number;
    private evictedAt: number;

    public constructor(clock: Clock) {
        this.clock = clock;
        this.totalAt = clock.monotonic();
        this.evictedAt = this.totalAt;
    }

    public recordArrival(account: string): void {
        const now = this.clock.monotonic();
        const known = this.accounts.get(account);
        this.accounts.set(account, { count: this.decayed(known) + 1, updatedAt: now });
        this.total = this.total * Math.exp(-(now - this.totalAt) / MEMORY_MS) + 1;
        this.totalAt = now;
        if (now - this.evictedAt > MEMORY_MS) {
            this.evictedAt = now;
            this.evict();
        }
    }

    /** Whether the account sends much more than the others do on average; never true for the only one. */
    public isOverShare(account: string): boolean {
        const own = this.decayed(this.accounts.get(account));
        if (own < MIN_ARRIVALS || this.accounts.size < 2) {
            return false;
        }
        const total = this.total * Math.exp(-(this.clock.monotonic() - this.totalAt) / MEMORY_MS);
        const meanOfOthers = Math.max(0, total - own) / (this.accounts.size - 1);
        return meanOfOthers > NEGLIGIBLE && own > EXCESS_FACTOR * Math.max(1, meanOfOthers);
    }

    private decayed(arrivals: Arrivals | undefined): number {
        return arrivals === undefined
            ? 0
            : arrivals.count * Math.exp(-(this.clock.monotonic() - arrivals.updatedAt) / MEMORY_MS);
    }

    private evict(): void {
        for (const [account, arrivals] of this.accounts) {
            if (this.decayed(arrivals) < NEGLIGIBLE) {
                this.accounts.delete(account);
            }
        }
    }
}
