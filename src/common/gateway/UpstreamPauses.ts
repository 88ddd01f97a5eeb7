/**
 * Pauses that upstreams ask of this instance. An upstream that turns a request away may name a time for which it wants
 * no requests from the instance. Load pattern: many instances are told to pause at the same moment, and would all come
 * back at once. Each therefore returns a little later than it may, at a moment of its own, and sends single requests
 * until one is answered.
 */
import { hashFraction } from "../routing/Hash.ts";
import { type Clock } from "../time/Clock.ts";

/** Longest pause that is granted, in ms. */
export const MAX_ASKED_PAUSE_MS = 300_000;
/** Longest time by which the return of an instance is deferred, as a fraction of the pause, and in ms. */
const SPREAD_FRACTION = 0.25;
const MAX_SPREAD_MS = 1000;
/** Least time between two requests to an upstream that has not answered since its pause, in ms. */
const TRIAL_PERIOD_MS = 250;
/** Time after the end of a pause from which the upstream counts as any other, even if it has not answered, in ms. */
const TRIAL_MS = 5000;

interface Pause {
    /** Monotonic time of its end, in ms, with the deferral. */
    readonly until: number;
    /** Monotonic time from which the next request may be sent, in ms. */
    nextAt: number;
}

/** Pauses by upstream process. */
export class UpstreamPauses {
    private readonly clock: Clock;
    private readonly self: string;
    private readonly pauses = new Map<string, Pause>();

    /** @param self id of this instance, which determines its moment of return */
    public constructor(clock: Clock, self: string) {
        this.clock = clock;
        this.self = self;
    }

    /** Begins a pause, or extends the one that lasts. */
    public begin(upstream: string, ms: number): void {
        const pauseMs = Math.min(ms, MAX_ASKED_PAUSE_MS);
        const spreadMs = Math.min(MAX_SPREAD_MS, pauseMs * SPREAD_FRACTION);
        const until = this.clock.monotonic() + pauseMs + spreadMs * hashFraction(`${this.self}|${upstream}`);
        if (until > (this.pauses.get(upstream)?.until ?? -Infinity)) {
            this.pauses.set(upstream, { until, nextAt: until });
        }
    }

    /** Whether the upstream has asked for a pause that is not over. */
    public isPaused(upstream: string): boolean {
        return this.clock.monotonic() < (this.pauses.get(upstream)?.until ?? -Infinity);
    }

    /** Time until the upstream may get a request, in ms; 0 if it may get one now. */
    public remainingMs(upstream: string): number {
        const pause = this.pauses.get(upstream);
        return pause === undefined ? 0 : Math.max(0, pause.nextAt - this.clock.monotonic());
    }

    public recordSend(upstream: string): void {
        const pause = this.pauses.get(upstream);
        const now = this.clock.monotonic();
        if (pause !== undefined && now >= pause.until + TRIAL_MS) {
            this.pauses.delete(upstream);
        }
        else if (pause !== undefined) {
            pause.nextAt = Math.max(pause.until, now + TRIAL_PERIOD_MS);
        }
    }

    /** Records an answer other than a refusal, which ends the time of single requests. */
    public recordAnswer(upstream: string): void {
        if (this.clock.monotonic() >= (this.pauses.get(upstream)?.until ?? Infinity)) {
            this.pauses.delete(upstream);
        }
    }

    /** Discards the pause of an upstream process that is gone. */
    public forget(upstream: string): void {
        this.pauses.delete(upstream);
    }
}
