/**
 * A breaker for each upstream: consecutive faults close it to new work for a growing time, after which a
 * single request probes it.
 */
import { type Clock } from "../time/Clock.ts";
import { type Upstream } from "../upstreams/UpstreamRegistry.ts";

/** Consecutive faults that open a breaker. */
const FAULTS_TO_OPEN = 3;
/** First time for which an open breaker keeps work away, in ms. */
const FIRST_PAUSE_MS = 500;
/** Longest such time, in ms. */
const MAX_PAUSE_MS = 15_000;

interface Breaker {
    faults: number;
    pauseMs: number;
    /** True during the pause, in which no work is sent. */
    isPaused: boolean;
    isProbing: boolean;
}

/** Breakers of all upstreams. */
export class Breakers {
    private readonly clock: Clock;
    private readonly breakers = new WeakMap<Upstream, Breaker>();
    /** Called when the pause of an upstream is over and it may be probed. */
    private readonly onPauseOver: (upstream: Upstream) => void;

    public constructor(clock: Clock, onPauseOver: (upstream: Upstream) => void) {
        this.clock = clock;
        this.onPauseOver = onPauseOver;
    }

    /** True when a request may be sent: the breaker is closed, or its pause is over and nothing probes yet. */
    public allows(upstream: Upstream): boolean {
        const breaker = this.breakers.get(upstream);
        if (breaker === undefined || breaker.faults < FAULTS_TO_OPEN) {
            return true;
        }
        return !breaker.isProbing && !breaker.isPaused;
    }

    public onStart(upstream: Upstream): void {
        const breaker = this.breakers.get(upstream);
        if (breaker !== undefined && breaker.faults >= FAULTS_TO_OPEN) {
            breaker.isProbing = true;
        }
    }

    public onEnd(upstream: Upstream, isFault: boolean): void {
        if (!isFault) {
            this.breakers.delete(upstream);
            return;
        }
        const breaker = this.breakers.get(upstream) ?? newBreaker();
        this.breakers.set(upstream, breaker);
        breaker.faults++;
        breaker.isProbing = false;
        if (breaker.faults >= FAULTS_TO_OPEN) {
            breaker.isPaused = true;
            this.clock.schedule(breaker.pauseMs, () => {
                breaker.isPaused = false;
                this.onPauseOver(upstream);
            });
            breaker.pauseMs = Math.min(MAX_PAUSE_MS, breaker.pauseMs * 2);
        }
    }

    public forget(upstream: Upstream): void {
        this.breakers.delete(upstream);
    }
}

const newBreaker = (): Breaker => ({ faults: 0, pauseMs: FIRST_PAUSE_MS, isPaused: false, isProbing: false });
