/**
 * Issues the permits to send a request to an upstream that limits its requests, or that can't bear many
 * refusals. For each upstream, all entry instances ask the same one (`RatePermits`). Its token bucket keeps to the limit;
 * for a brittle upstream, it finds the rate at which hardly a request is refused.
 */
import { type Disposable, toDisposable } from "../lifecycle/Disposable.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock } from "../time/Clock.ts";
import { AdaptiveRate } from "./AdaptiveRate.ts";
import { type UpstreamStatement, type UpstreamStatements } from "./UpstreamStatements.ts";

const MS_PER_SECOND = 1000;
/** Most permits that accumulate, as the time in which the limit allows them, in seconds; but at least one. */
const BURST_S = 0.25;
/** Lowest rate, in requests per second, so that a limit of 0 is noticed to have ended. */
const MIN_PER_SECOND = 0.1;
/** Time after which the bucket of an upstream is discarded if nobody asks, in ms. */
const IDLE_MS = 60_000;

/** Request of an instance that asks for a permit. */
export interface RatePermitRequest {
    /** Name of the upstream process. */
    readonly upstream: string;
    readonly limit?: UpstreamStatement | undefined;
    /** Whether the upstream can't bear many refusals. */
    readonly isBrittle: boolean;
}

/** Reply to an instance that asks for a permit. */
export interface RatePermitReply {
    readonly isGranted: boolean;
    /** Time until the next permit, in ms; 0 if this one is granted. */
    readonly waitMs: number;
}

interface TokenBucket {
    tokens: number;
    updatedAt: number;
}

/** Token buckets by upstream process. */
export class RatePermitIssuer {
    private readonly clock: Clock;
    private readonly limits: UpstreamStatements;
    private readonly buckets = new Map<string, TokenBucket>();
    /** Rates of the brittle upstreams. */
    private readonly adaptiveRates = new Map<string, AdaptiveRate>();

    public constructor(clock: Clock, limits: UpstreamStatements) {
        this.clock = clock;
        this.limits = limits;
    }

    /** Answers the calls of other instances. */
    public serve(network: PeerNetwork): Disposable {
        const handlers = [
            network.handle("issueRatePermit", req => this.issue(req)),
            network.handle("reportRefusal", ({ upstream }) => {
                this.recordRefusal(upstream);
                return {};
            }),
        ];
        return toDisposable(() => handlers.forEach(handler => handler.dispose()));
    }

    /** Takes a permit if there is one. The request holds what the asking instance knows of the upstream. */
    public issue({ upstream, limit, isBrittle }: RatePermitRequest): RatePermitReply {
        if (limit !== undefined) {
            this.limits.merge(limit);
        }
        const perSecond = this.limits.limitOf(upstream);
        if (perSecond === undefined) {
            const waitMs = isBrittle ? this.adaptiveRateOf(upstream).take() : 0;
            return { isGranted: waitMs === 0, waitMs };
        }
        const rate = Math.max(MIN_PER_SECOND, perSecond);
        const bucket = this.refill(upstream, rate);
        if (bucket.tokens < 1) {
            return { isGranted: false, waitMs: (1 - bucket.tokens) / rate * MS_PER_SECOND };
        }
        bucket.tokens--;
        return { isGranted: true, waitMs: 0 };
    }

    /** Records that a brittle upstream has refused a request for want of room. */
    public recordRefusal(upstream: string): void {
        this.adaptiveRateOf(upstream).recordRefusal();
    }

    /** Discards the buckets of upstreams that nobody asks for. To be called now and then. */
    public evictIdle(): void {
        const now = this.clock.monotonic();
        for (const [upstream, { updatedAt }] of this.buckets) {
            if (now - updatedAt > IDLE_MS) {
                this.buckets.delete(upstream);
            }
        }
        for (const [upstream, { usedAt }] of this.adaptiveRates) {
            if (now - usedAt > IDLE_MS) {
                this.adaptiveRates.delete(upstream);
            }
        }
    }

    private adaptiveRateOf(upstream: string): AdaptiveRate {
        const rate = this.adaptiveRates.get(upstream) ?? new AdaptiveRate(this.clock);
        this.adaptiveRates.set(upstream, rate);
        return rate;
    }

    private refill(upstream: string, rate: number): TokenBucket {
        const now = this.clock.monotonic();
        // A new bucket is empty, since another instance may have issued permits until now.
        const bucket = this.buckets.get(upstream) ?? { tokens: 0, updatedAt: now };
        this.buckets.set(upstream, bucket);
        const refilled = bucket.tokens + (now - bucket.updatedAt) / MS_PER_SECOND * rate;
        bucket.tokens = Math.min(Math.max(1, rate * BURST_S), refilled);
        bucket.updatedAt = now;
        return bucket;
    }
}
