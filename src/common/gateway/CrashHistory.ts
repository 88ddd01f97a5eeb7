/**
 * Requests that were running when their upstream crashed. A request that did so often enough is quarantined: its
 * callers send it again, under new ids and to any instance, so it is known by its content.
 */
import { type Clock } from "../time/Clock.ts";

/** Crashes after which a request runs no more. */
const CRASH_LIMIT = 2;
/** How long a request is remembered after its last crash, in ms. */
const MEMORY_MS = 120_000;
/** Most requests that are remembered. */
const MAX_REMEMBERED = 2000;

interface SuspectRequest {
    readonly counts: Map<string, number>;
    lastCrashAt: number;
}

/** Crashes by request, as counted by each reporting instance. */
export class CrashHistory {
    private readonly clock: Clock;
    private readonly suspects = new Map<string, SuspectRequest>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Takes the counts of one process. A restarted process counts anew, which the higher count outlives. */
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

    /** Fingerprints of the requests that run no more. */
    public quarantined(): Set<string> {
        const found = new Set<string>();
        for (const [fingerprint, { counts }] of this.suspects) {
            const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
            if (total >= CRASH_LIMIT) {
                found.add(fingerprint);
            }
        }
        return found;
    }

    private evictOld(now: number): void {
        for (const [fingerprint, suspect] of this.suspects) {
            if (this.suspects.size > MAX_REMEMBERED || now - suspect.lastCrashAt > MEMORY_MS) {
                this.suspects.delete(fingerprint);
            }
        }
    }
}
