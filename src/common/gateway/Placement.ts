/**
 * Placement of a request: ranks the upstreams that may take it by their expected delay. Pure functions; the state of
 * the upstreams is passed in.
 */
import { hashFraction, rendezvous } from "../routing/Hash.ts";

/** Penalty for an upstream in another failure domain, in ms, since traffic between domains costs money. */
const OTHER_DOMAIN_PENALTY_MS = 100;
/** Expected delay caused by each request that already runs at an engine, in ms. */
const RUNNING_DELAY_MS = 6;
/** Expected delay caused by each request that waits or would have to wait for a slot of the upstream, in ms. */
const QUEUE_DELAY_MS = 200;
/** Penalty for a failure rate of 1, in ms; a lower rate counts in proportion. */
const FAILURE_PENALTY_MS = 1000;
/** Penalty for an upstream that has sent no heartbeat recently, in ms. */
const STALE_PENALTY_MS = 1500;
/** Penalty for an upstream whose failure domain may be unreachable, in ms: the cost of a failed connection. */
const UNREACHABLE_PENALTY_MS = 600;
/** Prompt tokens that an engine processes per ms. */
const TOKENS_PER_MS = 60;
/** Range of the pseudo-random delay that distributes requests over equally fast upstreams, in ms. */
const JITTER_MS = 8;
/** Expected fraction of a prompt's shared prefix that is cached, by the rendezvous rank of the upstream. */
const CACHED_FRACTIONS = [1, 0.4] as const;

/** An upstream that may take a request. */
export interface PlacementCandidate {
    readonly id: string;
    readonly domain: string;
    readonly slots: number;
    readonly running: number;
    readonly waiting: number;
    /** Prompt tokens of requests of this instance whose answer has not begun. */
    readonly promptTokens: number;
    readonly failureRate: number;
    /** Whether it has sent no heartbeat recently. */
    readonly isStale: boolean;
    /** Whether its failure domain may be unreachable. */
    readonly isPossiblyUnreachable: boolean;
}

/** Properties of a request that determine its placement. */
export interface PlacementRequest {
    readonly domain: string;
    /** Prefix of the prompt that engines may have cached, since other requests share it. */
    readonly affinity: { readonly key: string; readonly tokens: number; } | undefined;
    readonly isEngine: boolean;
    /** Differs between requests, so that requests of all instances are distributed over the upstreams. */
    readonly key: string;
}

/** Returns the candidate with the least expected delay; undefined when there are no candidates. */
export const placeRequest = (
    req: PlacementRequest,
    candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined => {
    const preferred = req.affinity === undefined
        ? []
        : rendezvous(req.affinity.key, candidates, item => item.id, CACHED_FRACTIONS.length);
    let best: PlacementCandidate | undefined;
    let bestMs = Infinity;
    for (const candidate of candidates) {
        const rank = preferred.indexOf(candidate);
        const savedMs = rank < 0 ? 0 : (req.affinity?.tokens ?? 0) / TOKENS_PER_MS * (CACHED_FRACTIONS[rank] ?? 0);
        const jitterMs = hashFraction(`${req.key}|${candidate.id}`) * JITTER_MS;
        const ms = expectedDelayMs(req, candidate) + jitterMs - savedMs;
        if (ms < bestMs) {
            best = candidate;
            bestMs = ms;
        }
    }
    return best;
};

const expectedDelayMs = (req: PlacementRequest, candidate: PlacementCandidate): number => {
    const { running, waiting, slots } = candidate;
    const queued = Math.max(0, running + 1 - slots) + waiting;
    const loadMs = req.isEngine ? running * RUNNING_DELAY_MS : running / Math.max(1, slots) * RUNNING_DELAY_MS * 8;
    const prefillMs = candidate.promptTokens / TOKENS_PER_MS;
    const domainMs = candidate.domain === req.domain ? 0 : OTHER_DOMAIN_PENALTY_MS;
    const unavailableMs = (candidate.isStale ? STALE_PENALTY_MS : 0)
        + (candidate.isPossiblyUnreachable ? UNREACHABLE_PENALTY_MS : 0);
    return loadMs + queued * QUEUE_DELAY_MS + prefillMs + domainMs + candidate.failureRate * FAILURE_PENALTY_MS
        + unavailableMs;
};
