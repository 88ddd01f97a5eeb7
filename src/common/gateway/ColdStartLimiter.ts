/**
 * Limits the rate of requests to an upstream that is still cold after its start. The limit applies to all entry
 * instances together. Only a few of them may send to a cold upstream, so that even their first requests stay within the
 * limit when they begin at the same moment. Rendezvous hashing chooses them, and each uses a fixed share of the rate, so
 * the instances exchange no messages about it.
 */
import { rendezvous } from "../routing/Hash.ts";
import { type Clock } from "../time/Clock.ts";

const MS_PER_SECOND = 1000;
/**
 * Number of senders, as a fraction of those whose first requests fit between the declared rate and the limit. The rest
 * is left for senders that replace others before all instances have noticed.
 */
const SENDER_FRACTION = 0.8;
/** Lowest rate of one sender, in requests per second. */
const MIN_RATE = 0.01;

/** Highest request rate of one cold upstream, over all instances. */
export interface ColdStartRate {
    /** Requests per second that the upstream is declared to handle while it is cold. */
    readonly perSecond: number;
    /** In any second, at most `perSecond * excess + slack` requests may be sent. */
    readonly excess: number;
    readonly slack: number;
}

/** Whether this instance may send to an upstream, for one set of instances. */
interface SenderChoice {
    readonly members: readonly string[];
    readonly senderCount: number;
    readonly isSender: boolean;
}

/** Limits how often this instance sends requests to each cold upstream. */
export class ColdStartLimiter {
    private readonly clock: Clock;
    private readonly self: string;
    private readonly lastSentAt = new Map<string, number>();
    private readonly choices = new Map<string, SenderChoice>();

    /** @param self id of this instance */
    public constructor(clock: Clock, self: string) {
        this.clock = clock;
        this.self = self;
    }

    /** Whether a request may be sent now. `members` are the ids of all entry instances. */
    public maySend(upstream: string, rate: ColdStartRate, members: readonly string[]): boolean {
        const senderCount = Math.min(maxSenders(rate), members.length);
        if (!this.isSender(upstream, members, senderCount)) {
            return false;
        }
        const last = this.lastSentAt.get(upstream) ?? -Infinity;
        return this.clock.monotonic() - last >= spacingMs(rate, senderCount);
    }

    /**
     * Must be called for each request that is sent. Returns the time since the one before, in ms; undefined for the first.
     */
    public recordSend(upstream: string): number | undefined {
        const now = this.clock.monotonic();
        const last = this.lastSentAt.get(upstream);
        this.lastSentAt.set(upstream, now);
        return last === undefined ? undefined : now - last;
    }

    /** Discards what is kept about upstreams that have got no requests for so long that none would be held back. */
    public evictStale(): void {
        const oldest = this.clock.monotonic() - MS_PER_SECOND / MIN_RATE;
        for (const [upstream, at] of this.lastSentAt) {
            if (at < oldest) {
                this.lastSentAt.delete(upstream);
            }
        }
        for (const upstream of this.choices.keys()) {
            if (!this.lastSentAt.has(upstream)) {
                this.choices.delete(upstream);
            }
        }
    }

    private isSender(upstream: string, members: readonly string[], senderCount: number): boolean {
        const known = this.choices.get(upstream);
        if (known?.members === members && known.senderCount === senderCount) {
            return known.isSender;
        }
        const isSender = rendezvous(upstream, members, id => id, senderCount).includes(this.self);
        this.choices.set(upstream, { members, senderCount, isSender });
        return isSender;
    }
}

/** Highest number of instances that may send to one cold upstream. */
const maxSenders = ({ perSecond, excess, slack }: ColdStartRate): number =>
    Math.max(1, Math.floor((perSecond * (excess - 1) + slack) * SENDER_FRACTION));

/**
 * Least time between two requests of one sender, in ms. Evenly spaced requests can exceed a second's share by one, which
 * is therefore subtracted from the share.
 */
const spacingMs = ({ perSecond, excess, slack }: ColdStartRate, senderCount: number): number => {
    const share = (perSecond * excess + slack) / senderCount - 1;
    const steady = perSecond / senderCount;
    return MS_PER_SECOND / Math.max(MIN_RATE, Math.min(share, steady));
};
