/**
 * Finds the requests that were running when their upstream crashed. A connection can break for many reasons, so a
 * broken connection alone is no sign of a crash: the request counts as suspect only when the process of the upstream
 * is then found to have ended.
 */
import { type Clock } from "../time/Clock.ts";

/**
 * How long after a broken connection the end of the process is attributed to its request, in ms. A replacement process
 * needs some seconds to start and register.
 */
const RETENTION_MS = 15_000;
/** Most broken requests that are kept, and most requests whose crashes are counted. */
const MAX_REQUESTS = 500;

interface BrokenRequest {
    readonly upstream: string;
    readonly fingerprint: string;
    readonly at: number;
}

/** Suspect requests of this instance. `upstream` identifies one process of an upstream. */
export class CrashTracker {
    private readonly clock: Clock;
    private brokenRequests: BrokenRequest[] = [];
    private readonly counts = new Map<string, number>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Number of crashes for each suspect request. */
    public get crashes(): { fingerprint: string; count: number; }[] {
        return [...this.counts].map(([fingerprint, count]) => ({ fingerprint, count }));
    }

    /** Must be called when an upstream closes a connection while it runs a request. */
    public recordBrokenConnection(upstream: string, fingerprint: string): void {
        const now = this.clock.monotonic();
        this.brokenRequests = this.brokenRequests.filter(item => now - item.at <= RETENTION_MS).slice(-MAX_REQUESTS);
        this.brokenRequests.push({ upstream, fingerprint, at: now });
    }

    /**
     * Counts a crash for each request whose connection the upstream's process broke shortly before it ended; returns
     * their number.
     */
    public recordProcessEnd(upstream: string): number {
        const now = this.clock.monotonic();
        const suspects = this.brokenRequests.filter(item =>
            item.upstream === upstream && now - item.at <= RETENTION_MS
        );
        this.brokenRequests = this.brokenRequests.filter(item => item.upstream !== upstream);
        for (const { fingerprint } of suspects) {
            this.counts.set(fingerprint, (this.counts.get(fingerprint) ?? 0) + 1);
        }
        for (const fingerprint of [...this.counts.keys()].slice(0, -MAX_REQUESTS)) {
            this.counts.delete(fingerprint);
        }
        return suspects.length;
    }
}
