/**
 * A breaker for each upstream: consecutive faults close it to new work for a growing time, after which a
 * single request probes it.
 */
import { type Clock } from "../time/Clock.ts";
import { type Upstream } from "../upstreams/UpstreamRegistry.ts";

/** Consecutive faults that open a breaker. */
const FAILURE_THRESHOLD = 3;
/** First time for which an open breaker keeps work away, in ms. */
const INITIAL_OPEN_MS = 500;
/** Longest such time, in ms. */
const MAX_OPEN_MS = 15_000;

interface CircuitBreaker {
    consecutiveFaults: number;
    openMs: number;
    /** True during the pause, in which no work is sent. */
    isOpen: boolean;
    isProbing: boolean;
}

/** Breakers of all upstreams. */
export class CircuitBreakers {
    private readonly clock: Clock;
    private readonly breakers = new WeakMap<Upstream, CircuitBreaker>();
    /** Called when the pause of an upstream is over and it may be probed. */
    private readonly onHalfOpen: (upstream: Upstream) => void;

    public constructor(clock: Clock, onHalfOpen: (upstream: Upstream) => void) {
        this.clock = clock;
        this.onHalfOpen = onHalfOpen;
    }

    /** True when a request may be sent: the breaker is closed, or its pause is over and nothing probes yet. */
    public allows(upstream: Upstream): boolean {
        const breaker = this.breakers.get(upstream);
        if (breaker === undefined || breaker.consecutiveFaults < FAILURE_THRESHOLD) {
            return true;
        }
        return !breaker.isProbing && !breaker.isOpen;
    }

    public onStart(upstream: Upstream): void {
        const breaker = this.breakers.get(upstream);
        if (breaker !== undefined && breaker.consecutiveFaults >= FAILURE_THRESHOLD) {
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
        breaker.consecutiveFaults++;
        breaker.isProbing = false;
        if (breaker.consecutiveFaults >= FAILURE_THRESHOLD) {
            breaker.isOpen = true;
            this.clock.schedule(breaker.openMs, () => {
                breaker.isOpen = false;
                this.onHalfOpen(upstream);
            });
            breaker.openMs = Math.min(MAX_OPEN_MS, breaker.openMs * 2);
        }
    }

    public remove(upstream: Upstream): void {
        this.breakers.delete(upstream);
    }
}

const newBreaker = (): CircuitBreaker => ({
    consecutiveFaults: 0,
    openMs: INITIAL_OPEN_MS,
    isOpen: false,
    isProbing: false,
});
