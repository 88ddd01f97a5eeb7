/**
 * The version on which each session ran last, for as long as the session may go on.
 */
import { type Clock } from "../time/Clock.ts";

/** Most sessions that are remembered. */
const MAX_SESSIONS = 20_000;

interface SessionRun {
    readonly session: string;
    readonly service: string;
    readonly version: string;
    /** Monotonic time of the last run, in ms. */
    readonly at: number;
}

/** Versions by session and service. */
export class SessionVersions {
    private readonly clock: Clock;
    private readonly retentionMs: number;
    private readonly lastRuns = new Map<string, SessionRun>();

    public constructor(clock: Clock, retentionMs: number) {
        this.clock = clock;
        this.retentionMs = retentionMs;
    }

    public get(session: string, service: string): string | undefined {
        const pin = this.lastRuns.get(`${service} ${session}`);
        return pin !== undefined && this.clock.monotonic() - pin.at <= this.retentionMs ? pin.version : undefined;
    }

    /** Sessions that ran lately on a version which the test holds to be held back. */
    public select(isHeldBack: (session: string, service: string, version: string) => boolean): string[] {
        const oldest = this.clock.monotonic() - this.retentionMs;
        const held: string[] = [];
        for (const { session, service, version, at } of this.lastRuns.values()) {
            if (at >= oldest && isHeldBack(session, service, version)) {
                held.push(session);
            }
        }
        return held;
    }

    /** Notes that a session ran, or has just ended a run, on a version. */
    public record(session: string, service: string, version: string): void {
        const key = `${service} ${session}`;
        const now = this.clock.monotonic();
        this.lastRuns.delete(key);
        this.lastRuns.set(key, { session, service, version, at: now });
        this.evictOld(now);
    }

    /** The map is in the order of the last runs. */
    private evictOld(now: number): void {
        for (const [key, { at }] of this.lastRuns) {
            if (now - at <= this.retentionMs && this.lastRuns.size <= MAX_SESSIONS) {
                return;
            }
            this.lastRuns.delete(key);
        }
    }
}
