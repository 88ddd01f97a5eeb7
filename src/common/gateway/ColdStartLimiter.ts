/**
 * Limits the rate of requests to an upstream that is still cold after its start. The limit applies to all instances
 * together. Each instance uses a fixed share of it and exchanges no messages for that, so the limit also holds while
 * an instance is disconnected from the others.
 */
import { type Clock } from "../time/Clock.ts";

const MS_PER_SECOND = 1000;

/** Highest request rate of one cold upstream, over all instances. */
export interface ColdStartRate {
    /** Requests per second that the upstream is declared to handle while it is cold. */
    readonly perSecond: number;
    /** In any second, at most `perSecond * excess + slack` requests may be sent. */
    readonly excess: number;
    readonly slack: number;
}

/** Limits how often this instance sends requests to each cold upstream. */
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

    /** Must be called for each request that is sent. Returns the time since the one before, in ms; undefined for the first. */
    public recordSend(upstream: string): number | undefined {
        const now = this.clock.monotonic();
        const last = this.lastSentAt.get(upstream);
        this.lastSentAt.set(upstream, now);
        return last === undefined ? undefined : now - last;
    }

    /**
     * Least time between two requests, in ms. Evenly spaced requests can exceed a second's share by one, which is
     * therefore subtracted from the share. One request in 100 s is always allowed.
     */
    private spacingMs({ perSecond, excess, slack }: ColdStartRate, entryCount: number): number {
        const share = (perSecond * excess + slack) / entryCount - 1;
        const steady = perSecond / entryCount;
        return MS_PER_SECOND / Math.max(0.01, Math.min(share, steady));
    }
}
