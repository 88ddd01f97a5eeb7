/**
 * Tracks which upstream has which prompt prefixes in its cache, from cache events that arrive late and with gaps.
 * Evictions may have been missed in a gap, so entries from before it expire soon.
 */
import { type Clock } from "../time/Clock.ts";
import { type CacheEvent } from "../upstreams/Upstream.ts";

/** Maximum number of prefixes stored for each upstream. */
const MAX_PREFIXES = 4096;
/** Time after which an entry expires unless its prefix is reported again, in ms. */
const ENTRY_TTL_MS = 600_000;
/** Time after which entries from before a gap expire, and entries that no event has confirmed, in ms. */
const TTL_AFTER_GAP_MS = 30_000;

interface UpstreamCache {
    /** Start id of the process that sent the events. */
    startId: string;
    /** Sequence number of the newest event, or -1 before the first one. */
    seq: number;
    /** Monotonic time at which each prefix hash expires, in ms; oldest entry first. */
    readonly expiryByPrefix: Map<string, number>;
}

/** Index of cached prompt prefixes. */
export class PrefixIndex {
    private readonly clock: Clock;
    private readonly caches = new Map<string, UpstreamCache>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Applies a cache event. Events that arrive out of order are ignored; another start id begins an empty cache. */
    public apply(event: CacheEvent): void {
        const cache = this.cacheOf(event);
        if (event.seq <= cache.seq) {
            return;
        }
        const now = this.clock.monotonic();
        if (event.seq > cache.seq + 1 && cache.seq >= 0) {
            capExpiry(cache, now + TTL_AFTER_GAP_MS);
        }
        cache.seq = event.seq;
        for (const prefix of event.evicted) {
            cache.expiryByPrefix.delete(prefix);
        }
        for (const prefix of event.stored) {
            store(cache, prefix, now + ENTRY_TTL_MS);
        }
    }

    /** Assumes that `upstreamId` has cached the prefixes, before its own event reports them. */
    public assumeCached(upstreamId: string, startId: string, prefixes: readonly string[]): void {
        const cache = this.cacheOf({ id: upstreamId, startId });
        const until = this.clock.monotonic() + TTL_AFTER_GAP_MS;
        for (const prefix of prefixes) {
            store(cache, prefix, Math.max(until, cache.expiryByPrefix.get(prefix) ?? 0));
        }
    }

    /** Fraction (0 to 1) of the prompt's prefix blocks, in order from the first, that the upstream has cached. */
    public cachedFraction(upstreamId: string, prefixes: readonly string[]): number {
        const cache = this.caches.get(upstreamId);
        if (cache === undefined || prefixes.length === 0) {
            return 0;
        }
        const now = this.clock.monotonic();
        let cached = 0;
        while (cached < prefixes.length && (cache.expiryByPrefix.get(prefixes[cached] ?? "") ?? 0) > now) {
            cached++;
        }
        return cached / prefixes.length;
    }

    public remove(upstreamId: string): void {
        this.caches.delete(upstreamId);
    }

    private cacheOf(event: { readonly id: string; readonly startId: string; }): UpstreamCache {
        const cache = this.caches.get(event.id);
        if (cache?.startId === event.startId) {
            return cache;
        }
        const emptyCache = { startId: event.startId, seq: -1, expiryByPrefix: new Map<string, number>() };
        this.caches.set(event.id, emptyCache);
        return emptyCache;
    }
}

/** Stores a prefix as the newest entry, and evicts the oldest one when there are too many. */
const store = (cache: UpstreamCache, prefix: string, until: number): void => {
    cache.expiryByPrefix.delete(prefix);
    cache.expiryByPrefix.set(prefix, until);
    if (cache.expiryByPrefix.size <= MAX_PREFIXES) {
        return;
    }
    const oldest = cache.expiryByPrefix.keys().next();
    if (!oldest.done) {
        cache.expiryByPrefix.delete(oldest.value);
    }
};

/** Lets no entry expire later than `limit`. */
const capExpiry = (cache: UpstreamCache, limit: number): void => {
    for (const [prefix, until] of cache.expiryByPrefix) {
        cache.expiryByPrefix.set(prefix, Math.min(until, limit));
    }
};
