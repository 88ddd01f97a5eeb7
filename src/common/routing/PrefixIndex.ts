/**
 * Which upstream holds which prompt prefix in its cache, from events that come late and with gaps. A gap
 * means that evictions may have been missed, so what was known before it is only trusted for a short time.
 */
import { type Clock } from "../time/Clock.ts";
import { type CacheEvent } from "../upstreams/Upstream.ts";

/** Most prefixes remembered for each upstream. */
const MAX_PREFIXES = 4096;
/** How long an entry is trusted without being seen again. */
const TRUST_MS = 600_000;
/** How long entries from before a gap are trusted. */
const TRUST_AFTER_GAP_MS = 30_000;

interface UpstreamCache {
    startId: string;
    seq: number;
    /** Prefix hash to the monotonic time until which it is trusted; oldest first. */
    readonly trustedUntil: Map<string, number>;
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
            shortenTrust(cache, now + TRUST_AFTER_GAP_MS);
        }
        cache.seq = event.seq;
        for (const prefix of event.evicted) {
            cache.trustedUntil.delete(prefix);
        }
        for (const prefix of event.stored) {
            remember(cache, prefix, now + TRUST_MS);
        }
    }

    /** Assumes that `upstreamId` holds the prefixes from now on, ahead of its own event. */
    public expect(upstreamId: string, startId: string, prefixes: readonly string[]): void {
        const cache = this.cacheOf({ id: upstreamId, startId });
        const until = this.clock.monotonic() + TRUST_AFTER_GAP_MS;
        for (const prefix of prefixes) {
            remember(cache, prefix, Math.max(until, cache.trustedUntil.get(prefix) ?? 0));
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
        while (held < prefixes.length && (cache.trustedUntil.get(prefixes[held] ?? "") ?? 0) > now) {
            held++;
        }
        return held / prefixes.length;
    }

    public forget(upstreamId: string): void {
        this.caches.delete(upstreamId);
    }

    private cacheOf(event: { readonly id: string; readonly startId: string; }): UpstreamCache {
        const known = this.caches.get(event.id);
        if (known?.startId === event.startId) {
            return known;
        }
        const fresh = { startId: event.startId, seq: -1, trustedUntil: new Map<string, number>() };
        this.caches.set(event.id, fresh);
        return fresh;
    }
}

const remember = (cache: UpstreamCache, prefix: string, until: number): void => {
    cache.trustedUntil.delete(prefix);
    cache.trustedUntil.set(prefix, until);
    if (cache.trustedUntil.size <= MAX_PREFIXES) {
        return;
    }
    const oldest = cache.trustedUntil.keys().next();
    if (!oldest.done) {
        cache.trustedUntil.delete(oldest.value);
    }
};

const shortenTrust = (cache: UpstreamCache, limit: number): void => {
    for (const [prefix, until] of cache.trustedUntil) {
        cache.trustedUntil.set(prefix, Math.min(until, limit));
    }
};
