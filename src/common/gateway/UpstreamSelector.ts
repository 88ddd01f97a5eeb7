/**
 * Picks the upstream of an attempt from those that have checked in, by what the fleet allows and by what this
 * instance has seen of them.
 */
import { type Clock } from "../time/Clock.ts";
import { ColdStartLimiter } from "./ColdStartLimiter.ts";
import { type Prompt } from "./ExchangeCodec.ts";
import { type Fleet } from "./FleetState.ts";
import { type Service } from "./GatewayConfig.ts";
import { type PlacementCandidate, placeRequest } from "./Placement.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type ReceivedRecord, type UpstreamRecord } from "./UpstreamRecord.ts";
import { type UpstreamStatistics, type UpstreamStats } from "./UpstreamStatistics.ts";
import { type VersionRule } from "./VersionRule.ts";

/** An upstream that has not checked in for this long may be gone, in ms: two and a half of the usual periods. */
const STALE_AFTER_MS = 3000;
/** Requests in flight at a plain service beyond its slots, as a part of them, before it counts as full. */
const QUEUE_PART = 1;

/** Bounds of cold upstreams. */
export interface ColdStartTolerance {
    readonly excess: number;
    readonly slack: number;
}

/** What a request asks for. */
export interface SelectionRequest {
    readonly service: Service;
    readonly rule: VersionRule;
    readonly prompt: Prompt | undefined;
    /** Names the request. */
    readonly key: string;
    /** Upstream processes that have failed the request. */
    readonly tried: ReadonlySet<string>;
}

/** A picked upstream. */
export interface Selection {
    readonly record: UpstreamRecord;
    /** Names the upstream's process. */
    readonly name: string;
    readonly stats: UpstreamStats;
}

interface UsableUpstream extends ReceivedRecord {
    readonly name: string;
    readonly stats: UpstreamStats;
}

/** What a selector works with. */
export interface UpstreamSelectorDependencies {
    readonly clock: Clock;
    readonly directory: UpstreamDirectory;
    readonly upstreamStats: UpstreamStatistics;
    readonly domain: string;
    readonly fleet: () => Fleet;
    readonly entryCount: () => number;
    /** Whether control can be reached; without it, other failure domains may be out of reach too. */
    readonly hasQuorumContact: () => boolean;
    readonly coldTolerance: ColdStartTolerance;
}

/** Names a process of an upstream. */
export const processName = (record: UpstreamRecord): string => `${record.id} ${record.start}`;

/** Picks upstreams. */
export class UpstreamSelector {
    private readonly deps: UpstreamSelectorDependencies;
    private readonly cold: ColdStartLimiter;

    public constructor(deps: UpstreamSelectorDependencies) {
        this.deps = deps;
        this.cold = new ColdStartLimiter(deps.clock);
    }

    /** The best upstream that may take the request now; undefined when none may. */
    public select(req: SelectionRequest): Selection | undefined {
        const usable = this.findUsable(req);
        const preferred = usable.filter(({ record }) => req.rule.isPreferred(record.version));
        const choice = preferred.length > 0 ? preferred : usable;
        const candidates = choice.map(item => this.toCandidate(item));
        const { domain } = this.deps;
        const best = placeRequest(
            { domain, affinity: affinityOf(req.prompt), isEngine: isEngine(req.service), key: req.key },
            candidates,
        );
        const chosen = choice.find(({ name }) => name === best?.id);
        if (chosen === undefined) {
            return undefined;
        }
        const { record, name, stats } = chosen;
        if (this.isCold(chosen)) {
            this.cold.recordSend(name);
        }
        return { record, name, stats };
    }

    private findUsable(req: SelectionRequest): UsableUpstream[] {
        const { directory, upstreamStats: board, clock, fleet } = this.deps;
        const { drainedDomains } = fleet();
        const now = clock.monotonic();
        const found: UsableUpstream[] = [];
        for (const heard of directory.all()) {
            const { record } = heard;
            if (record.service !== req.service.name || record.state !== "ready") {
                continue;
            }
            const name = processName(record);
            const stats = board.statsOf(name);
            const isOpen = now >= stats.pausedUntil && !this.isFull(req.service, record, stats);
            if (
                isOpen && !req.tried.has(name) && !drainedDomains.includes(record.domain)
                && req.rule.isAllowed(record.version) && this.maySendIfCold(req.service, heard, name)
            ) {
                found.push({ record, receivedAt: heard.receivedAt, name, stats });
            }
        }
        return found;
    }

    private isFull(service: Service, record: UpstreamRecord, stats: UpstreamStats): boolean {
        const connections = connectionsPerInstance(service, this.deps.entryCount());
        const slots = Math.max(1, record.slots);
        const isQueueLong = !isEngine(service)
            && this.deps.upstreamStats.estimateRunning(stats) >= slots * (1 + QUEUE_PART);
        return stats.inFlight >= connections || isQueueLong;
    }

    private maySendIfCold(service: Service, heard: ReceivedRecord, name: string): boolean {
        if (!this.isCold(heard) || service.coldPerSecond <= 0) {
            return true;
        }
        const rate = { perSecond: service.coldPerSecond, ...this.deps.coldTolerance };
        return this.cold.maySend(name, rate, this.deps.entryCount());
    }

    private isCold({ record, receivedAt: heardAt }: ReceivedRecord): boolean {
        return record.coldMs > 0 && this.deps.clock.monotonic() < heardAt + record.coldMs;
    }

    private toCandidate({ record, receivedAt: heardAt, name, stats }: UsableUpstream): PlacementCandidate {
        const { upstreamStats: board, clock } = this.deps;
        return {
            id: name,
            domain: record.domain,
            slots: record.slots,
            running: board.estimateRunning(stats),
            waiting: board.estimateWaiting(stats),
            promptTokens: stats.promptTokens,
            failureRate: board.failureRate(stats),
            isStale: clock.monotonic() - heardAt > STALE_AFTER_MS,
            isPossiblyUnreachable: record.domain !== this.deps.domain
                && (board.mayBeUnreachable(record.domain) || !this.deps.hasQuorumContact()),
        };
    }
}

/** Connections that this instance may hold to one upstream, when all instances hold as many. */
export const connectionsPerInstance = (service: Service, entryCount: number): number =>
    Math.max(1, Math.floor(service.maxConnections * 0.8 / entryCount));

const isEngine = (service: Service): boolean => service.engineSlots !== undefined;

/** The last part that other requests share, and the tokens up to it. */
const affinityOf = (prompt: Prompt | undefined): { key: string; tokens: number; } | undefined => {
    const shared = prompt?.segments.slice(0, -1) ?? [];
    const last = shared.at(-1);
    return last === undefined
        ? undefined
        : { key: last.id, tokens: shared.reduce((sum, part) => sum + part.tokens, 0) };
};
