/**
 * A circuit breaker for each upstream. Consecutive faults open it, which blocks new requests to the upstream for a
 * time that doubles with each further fault; then a single request probes the upstream.
 */
import { type Clock } from "../time/Clock.ts";
import { type Upstream } from "../upstreams/UpstreamRegistry.ts";

/** Consecutive faults at which a breaker opens. */
const FAILURE_THRESHOLD = 3;
/** Time for which a breaker opens at first, in ms. */
const INITIAL_OPEN_MS = 500;
/** Longest time for which a breaker opens, in ms. */
const MAX_OPEN_MS = 15_000;

interface CircuitBreaker {
    consecutiveFaults: number;
    /** Time for which the breaker opens at the next fault, in ms. */
    openMs: number;
    /** True while no requests are sent to the upstream. */
    isOpen: boolean;
    /** True while the single request of the half-open state is in flight. */
    isProbing: boolean;
}

/** The circuit breakers of all upstreams. */
export class CircuitBreakers {
    private readonly clock: Clock;
    private readonly breakers = new WeakMap<Upstream, CircuitBreaker>();
    /** Called when the breaker of an upstream becomes half-open, so that one request may probe the upstream. */
    private readonly onHalfOpen: (upstream: Upstream) => void;

    public constructor(clock: Clock, onHalfOpen: (upstream: Upstream) => void) {
        this.clock = clock;
        this.onHalfOpen = onHalfOpen;
    }

    /** True when a request may be sent: the breaker is closed, or it is half-open and no probe is in flight. */
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
