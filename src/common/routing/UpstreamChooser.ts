/**
 * Chooses among the upstreams of a target by the expected time until the answer begins: the wait for a
 * place, the distance to another failure domain, and the prompt that the upstream's cache does not hold.
 */
import { type Upstream } from "../upstreams/UpstreamRegistry.ts";

/** How long a load report is used. Older ones say nothing about the present. */
const REPORT_TTL_MS = 5000;
/** Assumed time of a request before the first report, in ms. */
const DEFAULT_REQUEST_MS = 500;

/** What is known of an upstream at the time of the choice. */
export interface Candidate {
    readonly upstream: Upstream;
    /** Requests of this instance that the upstream is running. */
    readonly inFlight: number;
    /** The same at the time of the newest load report. */
    readonly inFlightAtReport: number;
    /** Requests that the upstream may run at once for all instances, as far as known. */
    readonly limit: number;
    /** Mean time of this instance's requests on the upstream in ms, or 0 when unknown. */
    readonly meanMs: number;
    /** Fraction of the prompt that the upstream's cache holds. */
    readonly cachedFraction: number;
}

/** What the request brings to the choice. */
export interface PlacementContext {
    readonly domain: string;
    /** Extra time to another failure domain, in ms. */
    readonly otherDomainMs: number;
    /** Time to process the whole prompt without a cache, in ms. */
    readonly prefillMs: number;
    readonly now: number;
}

/** Expected time until the answer begins, in ms. */
export const expectedStartMs = (candidate: Candidate, demand: PlacementContext): number => {
    const distance = candidate.upstream.announcement.domain === demand.domain ? 0 : demand.otherDomainMs;
    const prefill = demand.prefillMs * (1 - candidate.cachedFraction);
    return expectedWaitMs(candidate, demand.now) + distance + prefill;
};

/** Requests on the upstream, with this one, as a part of those that it bears. */
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
    // Batching slows every request a little as the batch fills, so a fuller upstream starts an answer later.
    return requestMs * (overload + BATCH_SLOWDOWN * utilization);
};

/** Part of a request's time by which a full batch delays the start of an answer. */
const BATCH_SLOWDOWN = 0.2;

/** Below this utilization the own failure domain is not left, as another one may be cut off at any time. */
const MAX_LOCAL_UTILIZATION = 0.8;
/** Unless that starts the answer this much earlier, as where a cache holds the prompt, in ms. */
const MIN_CROSS_DOMAIN_GAIN_MS = 60;

/**
 * The candidate with the least expected time, in the own failure domain while there is room; equal ones are
 * taken in turn by `rotation`.
 */
export const chooseUpstream = (
    candidates: readonly Candidate[],
    demand: PlacementContext,
    rotation: number,
): Candidate | undefined => {
    const best = fastestCandidate(candidates, demand, rotation);
    const local = fastestCandidate(
        candidates.filter(candidate => hasLocalCapacity(candidate, demand)),
        demand,
        rotation,
    );
    if (best === undefined || local === undefined) {
        return best;
    }
    const gainMs = expectedStartMs(local, demand) - expectedStartMs(best, demand);
    return gainMs > MIN_CROSS_DOMAIN_GAIN_MS ? best : local;
};

const hasLocalCapacity = (candidate: Candidate, demand: PlacementContext): boolean =>
    candidate.upstream.announcement.domain === demand.domain
    && utilizationOf(candidate, demand.now) <= MAX_LOCAL_UTILIZATION;

const fastestCandidate = (
    candidates: readonly Candidate[],
    demand: PlacementContext,
    rotation: number,
): Candidate | undefined => {
    let best: Candidate | undefined;
    let bestMs = Infinity;
    for (let step = 0; step < candidates.length; step++) {
        const candidate = candidates[(rotation + step) % candidates.length];
        const ms = candidate === undefined ? Infinity : expectedStartMs(candidate, demand);
        if (ms < bestMs) {
            best = candidate;
            bestMs = ms;
        }
    }
    return best;
};
