/**
 * Requests that were refused with a time at which their callers are to return. A caller that keeps to it goes ahead of
 * new requests; one that returns earlier gains nothing by it.
 */
import { type Clock } from "../time/Clock.ts";

/** How long after the stated time a returning caller is recognised, in ms. */
const RETURN_MS = 5000;
/** Time by which a caller may return early, in ms: clocks and rounding differ. */
const TOLERANCE_MS = 20;
/** Most requests that are remembered; the oldest are forgotten first. */
const MAX_REQUESTS = 1024;

interface RefusedRequest {
    /** Monotonic times between which its caller is expected, in ms. */
    readonly from: number;
    readonly until: number;
}

/** Refused requests of one queue. */
export class ReturningRequests {
    private readonly clock: Clock;
    private readonly refused = new Map<string, RefusedRequest>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public add(key: string, retryAfterMs: number): void {
        const from = this.clock.monotonic() + retryAfterMs - TOLERANCE_MS;
        this.refused.delete(key);
        this.refused.set(key, { from, until: from + RETURN_MS });
        this.evict();
    }

    /**
     * Whether the request was refused and its caller returns when it was told to, in which case it is forgotten. `key` is
     * called only if any requests are remembered.
     */
    public take(key: () => string): boolean {
        if (this.refused.size === 0) {
            return false;
        }
        this.evict();
        const found = this.refused.get(key());
        const now = this.clock.monotonic();
        if (found === undefined || now < found.from) {
            return false;
        }
        this.refused.delete(key());
        return now <= found.until;
    }

    /** Forgets requests in the order in which they were added. */
    private evict(): void {
        const now = this.clock.monotonic();
        for (const [key, { until }] of this.refused) {
            if (now <= until && this.refused.size <= MAX_REQUESTS) {
                return;
            }
            this.refused.delete(key);
        }
    }
}
