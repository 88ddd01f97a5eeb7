/**
 * The version on which each session ran last, for as long as the session may go on.
 */
import { type Clock } from "../time/Clock.ts";

/** Most sessions that are remembered. */
const MAX_SESSIONS = 20_000;

interface Pin {
    readonly session: string;
    readonly service: string;
    readonly version: string;
    /** Monotonic time of the last run, in ms. */
    readonly at: number;
}

/** Versions by session and service. */
export class SessionVersions {
    private readonly clock: Clock;
    private readonly memoryMs: number;
    private readonly pins = new Map<string, Pin>();

    public constructor(clock: Clock, memoryMs: number) {
        this.clock = clock;
        this.memoryMs = memoryMs;
    }

    public get(session: string, service: string): string | undefined {
        const pin = this.pins.get(`${service} ${session}`);
        return pin !== undefined && this.clock.monotonic() - pin.at <= this.memoryMs ? pin.version : undefined;
    }

    /** Sessions that ran lately on a version which the test holds to be held back. */
    public select(isHeldBack: (session: string, service: string, version: string) => boolean): string[] {
        const oldest = this.clock.monotonic() - this.memoryMs;
        const held: string[] = [];
        for (const { session, service, version, at } of this.pins.values()) {
            if (at >= oldest && isHeldBack(session, service, version)) {
                held.push(session);
            }
        }
        return held;
    }

    /** Notes that a session ran, or has just ended a run, on a version. */
    public note(session: string, service: string, version: string): void {
        const key = `${service} ${session}`;
        const now = this.clock.monotonic();
        this.pins.delete(key);
        this.pins.set(key, { session, service, version, at: now });
        this.forgetOld(now);
    }

    /** The map is in the order of the last runs. */
    private forgetOld(now: number): void {
        for (const [key, { at }] of this.pins) {
            if (now - at <= this.memoryMs && this.pins.size <= MAX_SESSIONS) {
                return;
            }
            this.pins.delete(key);
        }
    }
}
