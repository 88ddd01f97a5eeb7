/**
 * Which upstream holds which prompt prefix in its cache, from events that come late and with gaps. A gap
 * means that evictions may have been missed, so what was known before it is only trusted for a short time.
 */
import { type Clock } from "../time/Clock.ts";
import { type CacheEvent } from "../upstreams/Upstream.ts";

/** Most prefixes remembered for each upstream. */
const MAX_PREFIXES = 4096;
/** How long an entry is trusted without being seen again. */
const ENTRY_TTL_MS = 600_000;
/** How long entries from before a gap are trusted. */
const TTL_AFTER_GAP_MS = 30_000;

interface UpstreamCache {
    startId: string;
    seq: number;
    /** Prefix hash to the monotonic time until which it is trusted; oldest first. */
    readonly expiryByPrefix: Map<string, number>;
}

/** Index of cached prompt prefixes. */
export class PrefixIndex {
    private readonly clock: Clock;
    private readonly caches = new Map<string, UpstreamCache>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Takes a cache event. Events of an older start or out of order are ignored. */
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

    /** Assumes that `upstreamId` holds the prefixes from now on, ahead of its own event. */
    public assumeCached(upstreamId: string, startId: string, prefixes: readonly string[]): void {
        const cache = this.cacheOf({ id: upstreamId, startId });
        const until = this.clock.monotonic() + TTL_AFTER_GAP_MS;
        for (const prefix of prefixes) {
            store(cache, prefix, Math.max(until, cache.expiryByPrefix.get(prefix) ?? 0));
        }
    }

    /** Fraction from 0 to 1 of the prompt's prefix blocks, ordered from the first, that the upstream holds. */
    public cachedFraction(upstreamId: string, prefixes: readonly string[]): number {
        const cache = this.caches.get(upstreamId);
        if (cache === undefined || prefixes.length === 0) {
            return 0;
        }
        const now = this.clock.monotonic();
        let held = 0;
        while (held < prefixes.length && (cache.expiryByPrefix.get(prefixes[held] ?? "") ?? 0) > now) {
            held++;
        }
        return held / prefixes.length;
    }

    public remove(upstreamId: string): void {
        this.caches.delete(upstreamId);
    }

    private cacheOf(event: { readonly id: string; readonly startId: string; }): UpstreamCache {
        const known = this.caches.get(event.id);
        if (known?.startId === event.startId) {
            return known;
        }
        const fresh = { startId: event.startId, seq: -1, expiryByPrefix: new Map<string, number>() };
        this.caches.set(event.id, fresh);
        return fresh;
    }
}

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

const capExpiry = (cache: UpstreamCache, limit: number): void => {
    for (const [prefix, until] of cache.expiryByPrefix) {
        cache.expiryByPrefix.set(prefix, Math.min(until, limit));
    }
};
