/**
 * The version on which each session ran last, for as long as the session may go on.
 */
import { type Clock } from "../time/Clock.ts";

/** Most sessions that are remembered. */
const MAX_SESSIONS = 20_000;

/** Versions by session and service. */
export class SessionVersions {
    private readonly clock: Clock;
    private readonly memoryMs: number;
    private readonly pins = new Map<string, { version: string; at: number; }>();

    public constructor(clock: Clock, memoryMs: number) {
        this.clock = clock;
        this.memoryMs = memoryMs;
    }

    public get(session: string, service: string): string | undefined {
        const pin = this.pins.get(`${service} ${session}`);
        return pin !== undefined && this.clock.monotonic() - pin.at <= this.memoryMs ? pin.version : undefined;
    }

    /** Notes that a session ran, or has just ended a run, on a version. */
    public note(session: string, service: string, version: string): void {
        const key = `${service} ${session}`;
        this.pins.delete(key);
        this.pins.set(key, { version, at: this.clock.monotonic() });
        const [oldest] = this.pins.keys();
        if (this.pins.size > MAX_SESSIONS && oldest !== undefined) {
            this.pins.delete(oldest);
        }
    }
}
