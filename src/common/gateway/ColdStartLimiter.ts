/**
 * This instance's share of the rate that a cold upstream bears from all instances together. The share needs no word
 * from the others, so it also holds for an instance that is cut off.
 */
import { type Clock } from "../time/Clock.ts";

const MS_PER_SECOND = 1000;

/** Rate of one cold upstream, over all instances. */
export interface ColdStartRate {
    readonly perSecond: number;
    /** Factor and addition with which the rate is still borne. */
    readonly excess: number;
    readonly slack: number;
}

/** Grants sends to cold upstreams. */
export class ColdStartLimiter {
    private readonly clock: Clock;
    private readonly lastSentAt = new Map<string, number>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Whether a request may be sent now. */
    public maySend(upstream: string, rate: ColdStartRate, entryCount: number): boolean {
        const last = this.lastSentAt.get(upstream) ?? -Infinity;
        return this.clock.monotonic() - last >= this.spacingMs(rate, entryCount);
    }

    /** Counts a request that is sent. */
    public recordSend(upstream: string): void {
        this.lastSentAt.set(upstream, this.clock.monotonic());
    }

    /** Time between two requests. In any second at most one more than a second's share is sent. */
    private spacingMs({ perSecond, excess, slack }: ColdStartRate, entryCount: number): number {
        const share = (perSecond * excess + slack) / entryCount - 1;
        const steady = perSecond / entryCount;
        return MS_PER_SECOND / Math.max(0.01, Math.min(share, steady));
    }
}
