/**
 * Requests whose connection an upstream broke, until it is known whether the upstream's process ended then. A
 * connection alone breaks for many reasons; a process that ends breaks it for the request that ended it.
 */
import { type Clock } from "../time/Clock.ts";

/** Time in which an ended process shows, in ms: the next one needs some seconds to start and check in. */
const MEMORY_MS = 15_000;
/** Most requests that are remembered. */
const MAX_REMEMBERED = 500;

interface BrokenRequest {
    readonly upstream: string;
    readonly fingerprint: string;
    readonly at: number;
}

/** Broken requests of one instance. */
export class CrashTracker {
    private readonly clock: Clock;
    private brokenRequests: BrokenRequest[] = [];
    private readonly counts = new Map<string, number>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** How often each request was part of a crash. */
    public get crashes(): { fingerprint: string; count: number; }[] {
        return [...this.counts].map(([fingerprint, count]) => ({ fingerprint, count }));
    }

    /** The upstream process broke the connection on which it ran the request. */
    public recordBrokenConnection(upstream: string, fingerprint: string): void {
        const now = this.clock.monotonic();
        this.brokenRequests = this.brokenRequests.filter(item => now - item.at <= MEMORY_MS).slice(-MAX_REMEMBERED);
        this.brokenRequests.push({ upstream, fingerprint, at: now });
    }

    /** The upstream process has ended: what it ran last may have ended it. */
    public recordProcessEnd(upstream: string): void {
        const now = this.clock.monotonic();
        const ended = this.brokenRequests.filter(item => item.upstream === upstream && now - item.at <= MEMORY_MS);
        this.brokenRequests = this.brokenRequests.filter(item => item.upstream !== upstream);
        for (const { fingerprint } of ended) {
            this.counts.set(fingerprint, (this.counts.get(fingerprint) ?? 0) + 1);
        }
        for (const fingerprint of [...this.counts.keys()].slice(0, -MAX_REMEMBERED)) {
            this.counts.delete(fingerprint);
        }
    }
}
