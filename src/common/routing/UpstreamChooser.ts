/**
 * Chooses among the upstreams of a target by the expected time until the answer starts: the wait on the upstream, the
 * latency to another failure domain, and the time to process the part of the prompt that is not in its cache.
 */
import { type Upstream } from "../upstreams/UpstreamRegistry.ts";

/** Age up to which a load report is used, in ms. Older reports do not describe the present load. */
const REPORT_TTL_MS = 5000;
/** Request time that is assumed while neither this instance nor the upstream has measured one, in ms. */
const DEFAULT_REQUEST_MS = 500;

/** State of an upstream at the time of the choice. */
export interface Candidate {
    readonly upstream: Upstream;
    /** Requests of this instance in flight on the upstream. */
    readonly inFlight: number;
    /** The same at the time of the newest load report. */
    readonly inFlightAtReport: number;
    /** Requests that the upstream may run concurrently for all instances, as last reported. */
    readonly limit: number;
    /** Mean time of this instance's requests on the upstream in ms, or 0 when unknown. */
    readonly meanMs: number;
    /** Fraction of the prompt that is in the upstream's cache, from 0 to 1. */
    readonly cachedFraction: number;
}

/** Properties of the request and of this instance that the choice depends on. */
export interface PlacementContext {
    /** Failure domain of this instance. */
    readonly domain: string;
    /** Extra latency of a request to another failure domain, in ms. */
    readonly otherDomainMs: number;
    /** Time to process the whole prompt with an empty cache, in ms. */
    readonly prefillMs: number;
    /** Monotonic time, in ms. */
    readonly now: number;
}

/** Expected time until the answer starts, in ms. */
export const expectedStartMs = (candidate: Candidate, context: PlacementContext): number => {
    const domainMs = candidate.upstream.announcement.domain === context.domain ? 0 : context.otherDomainMs;
    const prefill = context.prefillMs * (1 - candidate.cachedFraction);
    return expectedWaitMs(candidate, context.now) + domainMs + prefill;
};

/** Requests on the upstream, including this one, divided by its limit; above 1 when it is overloaded. */
const utilizationOf = ({ upstream, inFlight, inFlightAtReport, limit }: Candidate, now: number): number => {
    const isReportUsed = upstream.load !== undefined && now - upstream.loadAt < REPORT_TTL_MS;
    const reported = isReportUsed ? (upstream.load?.running ?? 0) + (upstream.load?.queued ?? 0) : 0;
    const others = Math.max(0, reported - inFlightAtReport);
    return (inFlight + others + 1) / Math.max(1, limit);
};

const expectedWaitMs = (candidate: Candidate, now: number): number => {
    const utilization = utilizationOf(candidate, now);
    const requestMs = candidate.meanMs || candidate.upstream.load?.meanMs || DEFAULT_REQUEST_MS;
    const overload = Math.max(0, utilization - 1);
    // A fuller batch slows each of its requests a little, so an upstream with more requests starts an answer later.
    return requestMs * (overload + BATCH_SLOWDOWN * utilization);
};

/** Fraction of the mean request time by which a full batch delays the start of an answer. */
const BATCH_SLOWDOWN = 0.2;

/** Utilization up to which upstreams of this instance's failure domain are preferred; another may be cut off. */
const MAX_LOCAL_UTILIZATION = 0.8;
/** One of another domain is still chosen if the answer starts this much earlier, as with a cached prompt, in ms. */
const MIN_CROSS_DOMAIN_GAIN_MS = 60;

/**
 * The candidate with the least expected time, in this instance's failure domain while one there has capacity left.
 * Equal candidates are taken in turn by `rotation`.
 */
export const chooseUpstream = (
    candidates: readonly Candidate[],
    context: PlacementContext,
    rotation: number,
): Candidate | undefined => {
    const best = fastestCandidate(candidates, context, rotation);
    const local = fastestCandidate(
        candidates.filter(candidate => hasLocalCapacity(candidate, context)),
        context,
        rotation,
    );
    if (best === undefined || local === undefined) {
        return best;
    }
    const gainMs = expectedStartMs(local, context) - expectedStartMs(best, context);
    return gainMs > MIN_CROSS_DOMAIN_GAIN_MS ? best : local;
};

const hasLocalCapacity = (candidate: Candidate, context: PlacementContext): boolean =>
    candidate.upstream.announcement.domain === context.domain
    && utilizationOf(candidate, context.now) <= MAX_LOCAL_UTILIZATION;

const fastestCandidate = (
    candidates: readonly Candidate[],
    context: PlacementContext,
    rotation: number,
): Candidate | undefined => {
    let best: Candidate | undefined;
    let bestMs = Infinity;
    for (let step = 0; step < candidates.length; step++) {
        const candidate = candidates[(rotation + step) % candidates.length];
        const ms = candidate === undefined ? Infinity : expectedStartMs(candidate, context);
        if (ms < bestMs) {
            best = candidate;
            bestMs = ms;
        }
    }
    return best;
};
