/**
 * Where a request runs: which upstreams may take it, and which of those is expected to answer first. Decisions only;
 * what is known of the upstreams comes in as data.
 */
import { hashFraction, rendezvous } from "../routing/Hash.ts";

/** Cost of leaving the failure domain, in ms; bytes between domains are paid for. */
const OTHER_DOMAIN_MS = 100;
/** Expected delay by each request that already runs at an engine, in ms. */
const ENGINE_SHARE_MS = 6;
/** Expected delay by each request beyond a plain service's slots, in units of its objective. */
const QUEUE_SHARE_MS = 200;
/** Delay that a certain failure counts as, in ms. */
const FAILURE_MS = 1000;
/** Delay that counts for an upstream which has not checked in lately, in ms. */
const STALE_MS = 1500;
/** Delay that counts for an upstream whose failure domain may be out of reach, in ms: a failed connection. */
const DOUBTFUL_MS = 600;
/** Prompt tokens that an engine reads in a ms. */
const TOKENS_PER_MS = 60;
/** Spread of requests over upstreams that are expected to be equally fast, in ms. */
const SPREAD_MS = 8;
/** Upstreams at which a prompt's shared part is expected to be cached, by rendezvous rank. */
const AFFINITY_RANKS = [1, 0.4] as const;

/** An upstream that may take a request. */
export interface PlacementCandidate {
    readonly id: string;
    readonly domain: string;
    readonly slots: number;
    readonly running: number;
    readonly waiting: number;
    /** Prompt tokens that it is reading for this instance. */
    readonly promptTokens: number;
    readonly failureRate: number;
    /** Whether it has not checked in lately. */
    readonly isStale: boolean;
    /** Whether its failure domain may be out of reach. */
    readonly isPossiblyUnreachable: boolean;
}

/** What a request asks of its place. */
export interface PlacementRequest {
    readonly domain: string;
    /** Shared part of the prompt that engines may have cached. */
    readonly affinity: { readonly key: string; readonly tokens: number; } | undefined;
    readonly isEngine: boolean;
    /** Differs between requests, so that all instances together spread them. */
    readonly key: string;
}

/** The candidate with the least expected delay; undefined when there is none. */
export const placeRequest = (
    req: PlacementRequest,
    candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined => {
    const preferred = req.affinity === undefined
        ? []
        : rendezvous(req.affinity.key, candidates, item => item.id, AFFINITY_RANKS.length);
    let best: PlacementCandidate | undefined;
    let bestMs = Infinity;
    for (const candidate of candidates) {
        const rank = preferred.indexOf(candidate);
        const savedMs = rank < 0 ? 0 : (req.affinity?.tokens ?? 0) / TOKENS_PER_MS * (AFFINITY_RANKS[rank] ?? 0);
        const spreadMs = hashFraction(`${req.key}|${candidate.id}`) * SPREAD_MS;
        const ms = expectedDelayMs(req, candidate) + spreadMs - savedMs;
        if (ms < bestMs) {
            best = candidate;
            bestMs = ms;
        }
    }
    return best;
};

const expectedDelayMs = (req: PlacementRequest, candidate: PlacementCandidate): number => {
    const { running, waiting, slots } = candidate;
    const over = Math.max(0, running + 1 - slots) + waiting;
    const share = req.isEngine ? running * ENGINE_SHARE_MS : running / Math.max(1, slots) * ENGINE_SHARE_MS * 8;
    const readingMs = candidate.promptTokens / TOKENS_PER_MS;
    const domainMs = candidate.domain === req.domain ? 0 : OTHER_DOMAIN_MS;
    const staleMs = (candidate.isStale ? STALE_MS : 0) + (candidate.isPossiblyUnreachable ? DOUBTFUL_MS : 0);
    return share + over * QUEUE_SHARE_MS + readingMs + domainMs + candidate.failureRate * FAILURE_MS + staleMs;
};
