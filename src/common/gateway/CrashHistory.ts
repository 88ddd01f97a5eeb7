/**
 * Counts the upstream crashes that each request may have caused, and quarantines a request after too many. Callers
 * send such a request again with a new id and to any instance, so it is identified by a fingerprint of its content.
 */
import { type Clock } from "../time/Clock.ts";

/** Crashes after which a request is quarantined. */
const QUARANTINE_CRASHES = 2;
/** How long a request is kept after its last crash, in ms. */
const RETENTION_MS = 120_000;
/** Most requests that are kept. */
const MAX_REQUESTS = 2000;

/** A request that was running when its upstream crashed. */
interface SuspectRequest {
    /** Number of crashes counted by each reporter. */
    readonly counts: Map<string, number>;
    lastCrashAt: number;
}

/** Crashes by request, added up over the processes that report them. */
export class CrashHistory {
    private readonly clock: Clock;
    private readonly suspects = new Map<string, SuspectRequest>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /**
     * Merges the counts of one reporter. The highest count of each reporter is kept, because a restarted process
     * starts again from 0.
     */
    public mergeCounts(
        reporter: string,
        crashes: readonly { readonly fingerprint: string; readonly count: number; }[],
    ): void {
        const now = this.clock.monotonic();
        for (const { fingerprint, count } of crashes) {
            const suspect = this.suspects.get(fingerprint) ?? { counts: new Map<string, number>(), lastCrashAt: now };
            if (count > (suspect.counts.get(reporter) ?? 0)) {
                suspect.counts.set(reporter, count);
                suspect.lastCrashAt = now;
            }
            this.suspects.set(fingerprint, suspect);
        }
        this.evictOld(now);
    }

    /** Fingerprints of the requests that must not run again. */
    public quarantined(): Set<string> {
        const fingerprints = new Set<string>();
        for (const [fingerprint, { counts }] of this.suspects) {
            const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
            if (total >= QUARANTINE_CRASHES) {
                fingerprints.add(fingerprint);
            }
        }
        return fingerprints;
    }

    private evictOld(now: number): void {
        for (const [fingerprint, suspect] of this.suspects) {
            if (this.suspects.size > MAX_REQUESTS || now - suspect.lastCrashAt > RETENTION_MS) {
                this.suspects.delete(fingerprint);
            }
        }
    }
}
