/**
 * Keeps the version on which each session ran last, for as long as the session may continue.
 */
import { type Clock } from "../time/Clock.ts";

const MAX_SESSIONS = 20_000;

interface SessionRun {
    readonly session: string;
    readonly service: string;
    readonly version: string;
    /** Monotonic time of the last run, in ms. */
    readonly at: number;
}

/** Last versions by session and service. */
export class SessionVersions {
    private readonly clock: Clock;
    private readonly retentionMs: number;
    private readonly lastRuns = new Map<string, SessionRun>();

    public constructor(clock: Clock, retentionMs: number) {
        this.clock = clock;
        this.retentionMs = retentionMs;
    }

    /** Version on which the session ran last; undefined when that is too long ago or was never recorded. */
    public get(session: string, service: string): string | undefined {
        const run = this.lastRuns.get(`${service} ${session}`);
        return run !== undefined && this.clock.monotonic() - run.at <= this.retentionMs ? run.version : undefined;
    }

    /** Returns the sessions that ran recently and for which `matches` is true of their last version. */
    public select(matches: (session: string, service: string, version: string) => boolean): string[] {
        const oldest = this.clock.monotonic() - this.retentionMs;
        const sessions: string[] = [];
        for (const { session, service, version, at } of this.lastRuns.values()) {
            if (at >= oldest && matches(session, service, version)) {
                sessions.push(session);
            }
        }
        return sessions;
    }

    /** Records the version of a request of the session. To be called when the request starts and when it ends. */
    public record(session: string, service: string, version: string): void {
        const key = `${service} ${session}`;
        const now = this.clock.monotonic();
        this.lastRuns.delete(key);
        this.lastRuns.set(key, { session, service, version, at: now });
        this.evictOld(now);
    }

    /** Iterates from the oldest run on, since the map is ordered by the time of the last run. */
    private evictOld(now: number): void {
        for (const [key, { at }] of this.lastRuns) {
            if (now - at <= this.retentionMs && this.lastRuns.size <= MAX_SESSIONS) {
                return;
            }
            this.lastRuns.delete(key);
        }
    }
}
