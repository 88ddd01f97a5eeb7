/**
 * Selects the upstream for an attempt from the registered ones, according to the fleet state and to what this instance
 * has observed of them.
 */
import { hash32 } from "../routing/Hash.ts";
import { type Clock } from "../time/Clock.ts";
import { type ColdUpstreams } from "./ColdUpstreams.ts";
import { type Prompt, sharedPrefixOf } from "./ExchangeCodec.ts";
import { type Fleet } from "./FleetState.ts";
import { connectionsPerInstance, type Service } from "./GatewayConfig.ts";
import { NewConnectionBudget } from "./NewConnectionBudget.ts";
import {
    type PacedCandidate,
    type PacedRequest,
    type PlacementCandidate,
    type PlacementEstimate,
    placeRequest,
    rankCandidates,
    type RankedCandidate,
    readingTimeMs,
} from "./Placement.ts";
import { occupiedPart, PromptMix, queueLength } from "./PromptMix.ts";
import { type PermitTarget } from "./RatePermits.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type IndexedUpstream, type ServiceUpstreams, subsetSize, UpstreamIndex } from "./UpstreamIndex.ts";
import { type AttemptEstimate } from "./UpstreamPace.ts";
import { type UpstreamPauses } from "./UpstreamPauses.ts";
import { processName, type ReceivedRecord, type UpstreamRecord } from "./UpstreamRecord.ts";
import { type UpstreamOccupancy } from "./UpstreamRoom.ts";
import { type UpstreamStatistics, type UpstreamStats } from "./UpstreamStatistics.ts";
import { type VersionRule } from "./VersionRule.ts";

/** Time without a heartbeat after which an upstream may be gone, in ms: two and a half of the usual intervals. */
const STALE_AFTER_MS = 3000;
/** Requests that may wait at an upstream that is no engine before it counts as full, as a fraction of its slots. */
const QUEUE_FRACTION = 1;

/** Upstreams that the key of a request adds to the compared ones, so that idle ones beyond the subset are found. */
const RANDOM_CANDIDATES = 4;
/** Upstreams by which the compared ones are extended at a time if these are busy or can't be used. */
const MORE_CANDIDATES = 16;
/** Expected time to wait for a slot above which more upstreams are compared, in ms: noticeable beside a short prompt. */
const CALM_WAIT_MS = 30;
/** Number of upstream processes for which a connection is looked for. */
const MAX_RECENT = 24;
/** Expected fraction of a prompt's shared prefix that is cached, by the rank of the upstream for the prefix. */
const CACHED_FRACTIONS = [1, 0.4] as const;

/** Properties of a request that determine which upstreams may take it. */
export interface SelectionRequest {
    readonly service: Service;
    readonly rule: VersionRule;
    readonly prompt: Prompt | undefined;
    /** Identifies the request. */
    readonly key: string;
    /** Names of the upstream processes that have already failed the request. */
    readonly tried: ReadonlySet<string>;
    /** Model that is to answer; undefined if the caller chose it or no model is involved. */
    readonly model?: string | undefined;
    /** Whether the request should be sent to such an upstream now; undefined applies the limits of the selector. */
    readonly hasRoom?: (upstream: UpstreamOccupancy) => boolean;
}

/** The selected upstream. */
export interface Selection {
    readonly record: UpstreamRecord;
    /** Identifies the process of the upstream; see `processName`. */
    readonly name: string;
    readonly stats: UpstreamStats;
    /** What to expect of the attempt; undefined for a service whose upstreams state no slowdown. */
    readonly estimate?: AttemptEstimate | undefined;
}

/** A selection with the terms of its estimate. */
export interface RankedSelection extends Selection {
    readonly terms: PlacementEstimate;
}

interface UsableUpstream extends ReceivedRecord {
    readonly name: string;
    readonly stats: UpstreamStats;
}

interface UsableCandidate extends PacedCandidate {
    readonly upstream: UsableUpstream;
}

/** Dependencies of a selector. */
export interface UpstreamSelectorDependencies {
    readonly clock: Clock;
    readonly directory: UpstreamDirectory;
    readonly upstreamStats: UpstreamStatistics;
    readonly domain: string;
    readonly fleet: () => Fleet;
    readonly entryCount: () => number;
    /** Id of this instance. */
    readonly self: string;
    /** Whether a control majority is reachable. If not, other failure domains may be unreachable as well. */
    readonly hasQuorumContact: () => boolean;
    readonly cold: ColdUpstreams;
    /** Whether the requests that an upstream process takes, by its own limit, are known to be used up. */
    readonly isLimitUsedUp: (target: PermitTarget) => boolean;
    /** Whether an upstream process is known to leave. */
    readonly isLeaving: (upstream: string) => boolean;
    readonly pauses: UpstreamPauses;
    /** Whether a connection to an upstream process is open and idle. */
    readonly hasIdleConnection?: (upstream: string) => boolean;
}

/** Selects upstreams. */
export class UpstreamSelector {
    private readonly deps: UpstreamSelectorDependencies;
    private readonly index: UpstreamIndex;
    private readonly mixes = new Map<string, PromptMix>();
    private readonly connectionBudget = new NewConnectionBudget();
    /** Names of the processes that got the newest requests, the newest last; connections to them may be idle. */
    private readonly recent = new Set<string>();

    public constructor(deps: UpstreamSelectorDependencies) {
        this.deps = deps;
        this.index = new UpstreamIndex(deps.directory, deps.self, deps.domain);
    }

    /** Whether the service has, or had within the last half minute, an upstream with a version for which `isWanted` is true. */
    public hasVersion(service: string, isWanted: (version: string) => boolean): boolean {
        return this.deps.directory.some(record => record.service === service && isWanted(record.version));
    }

    /** Returns the best upstream that may take the request now; undefined when there is none. */
    public select(req: SelectionRequest): Selection | undefined {
        if (!this.deps.upstreamStats.statesSlowdown(req.service.name)) {
            return this.selectByRequests(req);
        }
        const best = this.rank(req)[0];
        if (best !== undefined) {
            this.take(best);
        }
        return best;
    }

    /**
     * The upstreams that may take the request now, the best first, for a service whose upstreams state their slowdown.
     * Compares the subset of this instance, upstreams with an idle connection or with the prefix of the prompt, and a
     * few that the request's key determines. Others are added if these are busy or can't be used.
     */
    public rank(req: SelectionRequest): RankedSelection[] {
        const { service, key, prompt, model } = req;
        const { upstreamStats, domain, entryCount } = this.deps;
        const { pace } = upstreamStats;
        const upstreams = this.index.upstreamsOf(service.name);
        const load = this.mixOf(service.name)
            .load(entryCount(), upstreams.ordered.length, pace.serviceSlowdown(service.name));
        const affinity = sharedPrefixOf(prompt);
        const paced: PacedRequest = {
            domain,
            isEngine: isEngine(service),
            hash: hash32(key),
            promptTokens: prompt?.tokens ?? 0,
            sharedTokens: affinity?.tokens ?? 0,
            modelFactor: pace.modelFactor(model),
            durationMs: upstreamStats.meansOf(service.name).durationMs,
            queueLength: queueLength(load),
            occupied: occupiedPart(load),
            newConnectionMs: this.connectionBudget.penaltyMs,
        };
        const cached = affinity === undefined
            ? []
            : this.index.preferredFor(upstreams, affinity.key, CACHED_FRACTIONS.length);
        const size = subsetSize(upstreams.ordered.length, entryCount());
        const compared = new Set<IndexedUpstream>([...cached, ...this.choose(upstreams, paced.hash, size)]);
        const usable = this.findUsableAmong(req, compared);
        const rankUsable = (): RankedCandidate<UsableCandidate>[] =>
            rankCandidates(paced, preferVersions(req, usable).map(item => this.toPaced(item, req, paced, cached)));
        let ranked = rankUsable();
        for (let from = size; from < upstreams.ordered.length && needsMore(req, ranked, from > size);) {
            const more = upstreams.ordered.slice(from, from + MORE_CANDIDATES).filter(item => !compared.has(item));
            const found = this.findUsableAmong(req, more);
            usable.push(...found);
            ranked = found.length > 0 ? rankUsable() : ranked;
            from += MORE_CANDIDATES;
        }
        return ranked.map(({ candidate, estimate: terms }) => {
            const { upstream: { record, name, stats } } = candidate;
            return { record, name, stats, terms, estimate: this.toEstimate(req, paced, candidate, terms) };
        });
    }

    /** Must be called for the selection that gets the request, unless `select` has returned it. */
    public take({ name, record }: Selection): void {
        this.deps.pauses.recordSend(name);
        const received = this.deps.directory.get(record.id);
        if (received !== undefined) {
            this.deps.cold.recordSend(received);
        }
        this.recent.delete(name);
        this.recent.add(name);
        const oldest = this.recent.size > MAX_RECENT ? this.recent.values().next().value : undefined;
        if (oldest !== undefined) {
            this.recent.delete(oldest);
        }
    }

    /** Must be called when a request is sent to its selection, as a permit or a reservation may be denied before. */
    public recordSent({ name, record, estimate }: Selection): void {
        if (estimate !== undefined) {
            this.mixOf(record.service).record(estimate.promptWorkMs);
            this.connectionBudget.recordRequest(this.deps.hasIdleConnection?.(name) ?? true);
        }
    }

    /** Selects by the requests at each upstream, for a service whose upstreams state no slowdown. */
    private selectByRequests(req: SelectionRequest): Selection | undefined {
        const usable = this.findUsable(req);
        const preferred = usable.filter(({ record }) => req.rule.isPreferred(record.version));
        const eligible = preferred.length > 0 ? preferred : usable;
        const candidates = eligible.map(item => this.toCandidate(item));
        const { domain } = this.deps;
        const placed = placeRequest(
            { domain, affinity: sharedPrefixOf(req.prompt), isEngine: isEngine(req.service), key: req.key },
            candidates,
        );
        const chosen = eligible.find(({ name }) => name === placed?.id);
        if (chosen === undefined) {
            return undefined;
        }
        const { record, name, stats } = chosen;
        this.deps.pauses.recordSend(name);
        this.deps.cold.recordSend(chosen);
        return { record, name, stats };
    }

    /** Discards what is kept about an upstream process that has ended. */
    public forget(name: string): void {
        this.recent.delete(name);
    }

    /** Whether an upstream could take the request now if it did not limit its requests. */
    public isHeldByLimits(req: SelectionRequest): boolean {
        return this.findUsable(req, () => false).length > 0;
    }

    /**
     * Time until an upstream can take the request, in ms, if all that are ready for it have asked for a pause; undefined
     * if there are none, or others are only busy.
     */
    public pauseRemainingMs(req: SelectionRequest): number | undefined {
        const { pauses, isLeaving } = this.deps;
        const names = this.findReady(req).map(({ name }) => name).filter(name => !isLeaving(name));
        const remaining = names.map(name => pauses.remainingMs(name));
        return remaining.length === 0 || remaining.includes(0) ? undefined : Math.min(...remaining);
    }

    /** The upstreams that could take the request if they had room. */
    private findReady(req: SelectionRequest): UsableUpstream[] {
        const { directory, upstreamStats, fleet } = this.deps;
        const { drainedDomains } = fleet();
        const found: UsableUpstream[] = [];
        for (const received of directory.all()) {
            const { record } = received;
            if (record.service !== req.service.name || record.state !== "ready") {
                continue;
            }
            const name = processName(record);
            if (!req.tried.has(name) && !drainedDomains.includes(record.domain) && req.rule.isAllowed(record.version)) {
                found.push({ record, receivedAt: received.receivedAt, name, stats: upstreamStats.statsOf(name) });
            }
        }
        return found;
    }

    private findUsable(req: SelectionRequest, isLimitUsedUp = this.deps.isLimitUsedUp): UsableUpstream[] {
        return this.findReady(req).filter(upstream => this.isUsable(req, upstream, isLimitUsedUp));
    }

    private isUsable(
        req: SelectionRequest,
        upstream: UsableUpstream,
        isLimitUsedUp: UpstreamSelectorDependencies["isLimitUsedUp"],
    ): boolean {
        const { upstreamStats, isLeaving, pauses, cold } = this.deps;
        const { record, name, stats } = upstream;
        return !upstreamStats.isPaused(stats) && pauses.remainingMs(name) <= 0 && !isLeaving(name)
            && !this.isFull(req, record, stats) && !isLimitUsedUp({ name, service: record.service })
            && cold.maySend(req.service, upstream);
    }

    /** The subset, upstreams with an idle connection, and a few that the hash of the request determines. */
    private *choose({ ordered, byName }: ServiceUpstreams, hash: number, size: number): Iterable<IndexedUpstream> {
        const { hasIdleConnection } = this.deps;
        yield* ordered.slice(0, size);
        for (const name of hasIdleConnection === undefined ? [] : this.recent) {
            const upstream = byName.get(name);
            if (upstream !== undefined && hasIdleConnection?.(name)) {
                yield upstream;
            }
        }
        const step = 1 + (hash >>> 16) % Math.max(1, ordered.length - 1);
        for (let count = 0; count < RANDOM_CANDIDATES; count++) {
            const upstream = ordered[(hash + count * step) % ordered.length];
            if (upstream !== undefined) {
                yield upstream;
            }
        }
    }

    private findUsableAmong(req: SelectionRequest, upstreams: Iterable<IndexedUpstream>): UsableUpstream[] {
        const { directory, upstreamStats, fleet, isLimitUsedUp } = this.deps;
        const { drainedDomains } = fleet();
        const found: UsableUpstream[] = [];
        for (const { id, start, name } of upstreams) {
            const received = directory.get(id);
            if (received === undefined || received.record.start !== start || req.tried.has(name)) {
                continue;
            }
            const { record, receivedAt } = received;
            if (!drainedDomains.includes(record.domain) && req.rule.isAllowed(record.version)) {
                const upstream = { record, receivedAt, name, stats: upstreamStats.statsOf(name) };
                if (this.isUsable(req, upstream, isLimitUsedUp)) {
                    found.push(upstream);
                }
            }
        }
        return found;
    }

    private isFull({ service, hasRoom }: SelectionRequest, record: UpstreamRecord, stats: UpstreamStats): boolean {
        const { upstreamStats, entryCount } = this.deps;
        const connections = connectionsPerInstance(service, entryCount());
        const slots = Math.max(1, record.slots);
        if (hasRoom !== undefined) {
            const present = upstreamStats.estimateRunning(stats);
            const waiting = upstreamStats.estimateWaiting(stats);
            const reportAgeMs = this.deps.clock.monotonic() - stats.loadReportedAt;
            const isRoomLeft = hasRoom({ isEngine: isEngine(service), slots, present, waiting, reportAgeMs });
            return stats.inFlight >= connections || !isRoomLeft;
        }
        const isQueueLong = !isEngine(service) && upstreamStats.estimateRunning(stats) >= slots * (1 + QUEUE_FRACTION);
        return stats.inFlight >= connections || isQueueLong;
    }

    private toPaced(
        upstream: UsableUpstream,
        { service }: SelectionRequest,
        { queueLength: queue, occupied }: PacedRequest,
        cached: readonly IndexedUpstream[],
    ): UsableCandidate {
        const { upstreamStats, hasIdleConnection } = this.deps;
        const { stats, name } = upstream;
        const { pace } = upstreamStats;
        const indexed = this.index.upstreamsOf(service.name).byName.get(name);
        const usualWorkMs = this.mixOf(service.name).workAt(indexed?.position ?? 0, occupied);
        return {
            ...this.toCandidate(upstream),
            running: upstreamStats.estimateLoad(stats, service.name),
            waiting: upstreamStats.estimateQueue(stats, service.name),
            upstream,
            hash: indexed?.hash ?? 0,
            slowdown: pace.slowdown(name, service.name) * pace.timeFactor(name),
            unreadMs: stats.promptWorkMs + queue * (usualWorkMs ?? 0),
            usualWorkMs,
            cachedFraction: CACHED_FRACTIONS[cached.findIndex(item => item.name === name)] ?? 0,
            hasIdleConnection: hasIdleConnection?.(name) ?? true,
        };
    }

    private mixOf(service: string): PromptMix {
        const mix = this.mixes.get(service) ?? new PromptMix(this.deps.clock);
        this.mixes.set(service, mix);
        return mix;
    }

    private toEstimate(
        { service, model }: SelectionRequest,
        paced: PacedRequest,
        candidate: UsableCandidate,
        { slotMs, runningMs }: PlacementEstimate,
    ): AttemptEstimate {
        const readingMs = paced.isEngine ? readingTimeMs(paced, candidate) : 0;
        return {
            service: service.name,
            model,
            readingMs,
            promptWorkMs: readingMs * paced.modelFactor,
            aheadMs: candidate.unreadMs + (slotMs + runningMs) / candidate.slowdown,
            slowdown: this.deps.upstreamStats.pace.slowdown(candidate.id, service.name),
        };
    }

    private toCandidate({ record, receivedAt, name, stats }: UsableUpstream): PlacementCandidate {
        const { upstreamStats, clock } = this.deps;
        return {
            id: name,
            domain: record.domain,
            slots: record.slots,
            running: upstreamStats.estimateRunning(stats),
            waiting: upstreamStats.estimateWaiting(stats),
            promptTokens: stats.promptTokens,
            failureRate: upstreamStats.failureRate(stats),
            isStale: clock.monotonic() - receivedAt > STALE_AFTER_MS,
            isPossiblyUnreachable: record.domain !== this.deps.domain
                && (upstreamStats.mayBeUnreachable(record.domain) || !this.deps.hasQuorumContact()),
        };
    }
}

const preferVersions = (req: SelectionRequest, usable: readonly UsableUpstream[]): readonly UsableUpstream[] => {
    const preferred = usable.filter(({ record }) => req.rule.isPreferred(record.version));
    return preferred.length > 0 ? preferred : usable;
};

/**
 * Whether more upstreams must be compared: none is usable with a preferred version, or the request would have to wait for a
 * slot. The latter is reason for one extension only, since all upstreams may be busy.
 */
const needsMore = (
    req: SelectionRequest,
    [best]: readonly RankedCandidate<UsableCandidate>[],
    isExtended: boolean,
): boolean =>
    best === undefined || !req.rule.isPreferred(best.candidate.upstream.record.version)
    || (best.estimate.slotMs > CALM_WAIT_MS && !isExtended);

const isEngine = (service: Service): boolean => service.engineSlots !== undefined;
