/**
 * Placement of a request: ranks the upstreams that may take it by their expected delay. Pure functions; the state of
 * the upstreams is passed in.
 */
import { hashFraction, mixHashes, rendezvous } from "../routing/Hash.ts";

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

/** Prompt tokens that an engine reads per ms at usual pace with a model of usual size. */
export const READ_TOKENS_PER_MS = 57;
/** Time that a request of an upstream that is no engine takes until it has been measured, in ms. */
const INITIAL_WORK_MS = 40;
/**
 * Penalty for an upstream of a plain service in another failure domain, as a fraction of the mean duration of a request, up
 * to the one above: with more, short requests queue in their own domain while upstreams elsewhere are idle.
 */
const OTHER_DOMAIN_FRACTION = 0.25;
/** Range of the pseudo-random delay as a fraction of the expected time, which is uncertain in proportion. */
const JITTER_FRACTION = 0.1;
const UINT32_RANGE = 2 ** 32;

/** An upstream of a service whose upstreams state their slowdown. */
export interface PacedCandidate extends PlacementCandidate {
    /** Hash of its id. */
    readonly hash: number;
    /** Time that work takes there, relative to usual. */
    readonly slowdown: number;
    /** Time to read the prompts that are unread there, at usual pace, in ms. */
    readonly unreadMs: number;
    /** Reading time of the prompts that usually go there, at usual pace, in ms; undefined until known. */
    readonly usualWorkMs: number | undefined;
    /** Expected fraction of the shared prefix of the request that is cached there. */
    readonly cachedFraction: number;
    readonly hasIdleConnection: boolean;
}

/** A request to a service whose upstreams state their slowdown. */
export interface PacedRequest {
    readonly domain: string;
    readonly isEngine: boolean;
    /** Hash of the request's key. */
    readonly hash: number;
    readonly promptTokens: number;
    /** Tokens of the prefix that may be cached. */
    readonly sharedTokens: number;
    /** Time that the model of the attempt takes, relative to usual. */
    readonly modelFactor: number;
    /** Mean time from sending an attempt to its end, in ms; undefined until measured. */
    readonly durationMs: number | undefined;
    /** Mean number of prompts that wait at an engine. */
    readonly queueLength: number;
    /** Part of the engines on which all prompts but the smallest are concentrated; see `PromptMix`. */
    readonly occupied: number;
    /** Penalty for a new connection, in ms. */
    readonly newConnectionMs: number;
}

/** Terms of the estimated time to the first event of a request at one candidate, in ms. */
export interface PlacementEstimate {
    /** Time to wait for a slot. */
    readonly slotMs: number;
    /** Time until the prompts ahead are read. */
    readonly unreadMs: number;
    /** Time to read the own prompt without the cached part. */
    readonly readingMs: number;
    /** Delay by the requests that run there. */
    readonly runningMs: number;
    /**
     * Delay that the request adds to others: to the events of those that run there, weighted by their share of the slots,
     * and to the first events of shorter prompts that usually go there.
     */
    readonly gapsMs: number;
    /** Penalties for failures, missing heartbeats, unreachable and other failure domains, and new connections. */
    readonly penaltyMs: number;
    readonly totalMs: number;
}

/** Part of the prompt that the candidate has to read, in ms, with a model of factor 1 at usual pace. */
export const readingTimeMs = (req: PacedRequest, candidate: PacedCandidate): number =>
    Math.max(0, req.promptTokens - req.sharedTokens * candidate.cachedFraction) / READ_TOKENS_PER_MS;

/** Estimates the time to the first event, and what the request costs others, for a service with stated slowdowns. */
export const estimateFirstEventMs = (req: PacedRequest, candidate: PacedCandidate): PlacementEstimate => {
    const { running, waiting, slowdown } = candidate;
    const slots = Math.max(1, candidate.slots);
    const queued = Math.max(0, running + 1 - slots, waiting);
    // Departures from a busy upstream are as far apart as the mean duration of a request divided by its slots.
    const departureMs = req.durationMs === undefined ? QUEUE_DELAY_MS : req.durationMs / slots;
    const slotMs = queued * departureMs;
    const unreadMs = candidate.unreadMs * slowdown;
    const readingMs = (req.isEngine ? readingTimeMs(req, candidate) * req.modelFactor : INITIAL_WORK_MS) * slowdown;
    const utilization = Math.min(1, running / slots);
    const runningMs = (req.isEngine ? Math.min(running, slots) * RUNNING_DELAY_MS : utilization * RUNNING_DELAY_MS * 8)
        * slowdown;
    const shorterPrompts = readingMs / Math.max(1, (candidate.usualWorkMs ?? readingMs) * slowdown);
    const gapsMs = req.isEngine ? (utilization + req.queueLength * shorterPrompts) * readingMs : 0;
    const workMs = req.durationMs ?? INITIAL_WORK_MS;
    const otherDomainMs = req.isEngine
        ? OTHER_DOMAIN_PENALTY_MS
        : Math.min(OTHER_DOMAIN_PENALTY_MS, workMs * OTHER_DOMAIN_FRACTION);
    const penaltyMs = (candidate.domain === req.domain ? 0 : otherDomainMs)
        + candidate.failureRate * FAILURE_PENALTY_MS
        + (candidate.isStale ? STALE_PENALTY_MS : 0)
        + (candidate.isPossiblyUnreachable ? UNREACHABLE_PENALTY_MS : 0)
        + (candidate.hasIdleConnection ? 0 : req.newConnectionMs);
    const totalMs = slotMs + unreadMs + readingMs + runningMs + gapsMs + penaltyMs;
    return { slotMs, unreadMs, readingMs, runningMs, gapsMs, penaltyMs, totalMs };
};

/** A candidate and its estimate. */
export interface RankedCandidate<T extends PacedCandidate> {
    readonly candidate: T;
    readonly estimate: PlacementEstimate;
}

/** Orders the candidates by estimate, the best first; nearly equal ones differently for each request. */
export const rankCandidates = <T extends PacedCandidate>(
    req: PacedRequest,
    candidates: readonly T[],
): RankedCandidate<T>[] =>
    candidates
        .map(candidate => {
            const estimate = estimateFirstEventMs(req, candidate);
            const rangeMs = JITTER_MS + JITTER_FRACTION * (estimate.totalMs - estimate.penaltyMs);
            const jitterMs = mixHashes(req.hash, candidate.hash) / UINT32_RANGE * rangeMs;
            return { candidate, estimate, ms: estimate.totalMs + jitterMs };
        })
        .sort((a, b) => a.ms - b.ms);
