/**
 * The upstreams of each service, in the order in which this instance prefers them: those of its own failure domain first,
 * and within a domain by rendezvous hashing of instance and upstream. Load: each of 60 instances sends a few requests a
 * second, and each upstream that it uses costs connections and has to be observed. The first upstreams of the order are
 * the subset that an instance uses on a calm day. Subsets of different instances differ, cover all upstreams and all
 * positions of `PromptMix` evenly, and change little when upstreams come and go. The order is computed when the directory changes, not for each request.
 */
import { hash32, mixHashes } from "../routing/Hash.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";
import { processName } from "./UpstreamRecord.ts";

/** Least number of upstreams in the subset: with 4 requests per second, each reports its load every 2 s. */
const MIN_SUBSET = 8;
/** Number of instances that have an upstream in their subset, on average, so that none is without. */
const INSTANCES_PER_UPSTREAM = 6;
/** Number of prompt prefixes for which the preferred upstreams are remembered. */
const MAX_PREFIXES = 256;

/** One process of an upstream. */
export interface IndexedUpstream {
    readonly id: string;
    readonly start: number;
    readonly name: string;
    /** Hash of the name. */
    readonly hash: number;
    /** Position among the upstreams of its failure domain, between 0 and 1, the same at all instances; see `PromptMix`. */
    readonly position: number;
}

type UnorderedUpstream = Omit<IndexedUpstream, "position">;

interface RankedUpstream {
    readonly upstream: IndexedUpstream;
    readonly score: number;
    /** Number of upstreams of its range of positions that this instance prefers to it. */
    readonly round: number;
}

/** Order of the upstreams of one service. */
export interface ServiceUpstreams {
    readonly ordered: readonly IndexedUpstream[];
    readonly byName: ReadonlyMap<string, IndexedUpstream>;
    /** Preferred upstreams by prompt prefix. */
    readonly prefixes: Map<string, readonly IndexedUpstream[]>;
}

/** Index of the upstreams that are ready. */
export class UpstreamIndex {
    private readonly directory: UpstreamDirectory;
    private readonly self: string;
    private readonly domain: string;
    private readonly services = new Map<string, ServiceUpstreams>();
    private version = -1;

    /** @param self id of this instance, which determines its order of the upstreams of a domain */
    public constructor(directory: UpstreamDirectory, self: string, domain: string) {
        this.directory = directory;
        this.self = self;
        this.domain = domain;
    }

    public upstreamsOf(service: string): ServiceUpstreams {
        if (this.version !== this.directory.contentVersion) {
            this.version = this.directory.contentVersion;
            this.services.clear();
        }
        const existing = this.services.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const created = this.createOrder(service);
        this.services.set(service, created);
        return created;
    }

    /** The upstreams that are most likely to have the prefix cached, the best first. All instances compute the same. */
    public preferredFor(
        { ordered, prefixes }: ServiceUpstreams,
        prefix: string,
        count: number,
    ): readonly IndexedUpstream[] {
        const known = prefixes.get(prefix);
        if (known !== undefined) {
            return known;
        }
        const key = hash32(prefix);
        const preferred = ordered
            .map(upstream => ({ upstream, score: mixHashes(key, upstream.hash) }))
            .sort((a, b) => b.score - a.score || (a.upstream.name < b.upstream.name ? -1 : 1))
            .slice(0, count)
            .map(({ upstream }) => upstream);
        const oldest = prefixes.size < MAX_PREFIXES ? undefined : prefixes.keys().next().value;
        if (oldest !== undefined) {
            prefixes.delete(oldest);
        }
        prefixes.set(prefix, preferred);
        return preferred;
    }

    private createOrder(service: string): ServiceUpstreams {
        const domains = new Map<string, UnorderedUpstream[]>();
        for (const { record } of this.directory.all()) {
            if (record.service === service && record.state === "ready") {
                const name = processName(record);
                const members = domains.get(record.domain) ?? [];
                members.push({ id: record.id, start: record.start, name, hash: hash32(name) });
                domains.set(record.domain, members);
            }
        }
        const found = [...domains].flatMap(([domain, members]) => {
            const isOther = Number(domain !== this.domain);
            return this.rankMembers(members).map(ranked => ({ ...ranked, isOther }));
        });
        found.sort((a, b) => a.isOther - b.isOther || a.round - b.round || b.score - a.score);
        const ordered = found.map(({ upstream }) => upstream);
        return { ordered, byName: new Map(ordered.map(item => [item.name, item])), prefixes: new Map() };
    }

    /** Ranks the upstreams of one domain for this instance within each range of positions. */
    private rankMembers(members: UnorderedUpstream[]): RankedUpstream[] {
        const rounds = new Map<number, number>();
        return members
            .sort((a, b) => a.hash - b.hash)
            .map((member, index) => {
                const position = (index + 0.5) / members.length;
                return { upstream: { ...member, position }, score: hash32(`${this.self}|${member.name}`) };
            })
            .sort((a, b) => b.score - a.score)
            .map(item => {
                const range = Math.floor(item.upstream.position * MIN_SUBSET);
                const round = rounds.get(range) ?? 0;
                rounds.set(range, round + 1);
                return { ...item, round };
            });
    }
}

/** Number of upstreams that an instance uses on a calm day. */
export const subsetSize = (upstreams: number, entryCount: number): number =>
    Math.min(upstreams, Math.max(MIN_SUBSET, Math.ceil(INSTANCES_PER_UPSTREAM * upstreams / Math.max(1, entryCount))));
