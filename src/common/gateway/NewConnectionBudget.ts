/**
 * Prices new connections to upstreams. Load: an instance with a few requests per second that picks among all upstreams
 * opens a connection for every second request. New connections are worth a short delay as long as they stay below one
 * per eight requests, and a longer one beyond that; they are never forbidden, since idle connections may lead to
 * upstreams that are busy or gone.
 */

/** New connections per request that are in budget. */
const PER_REQUEST = 1 / 8;
/** New connections that may be opened at once, for a burst of requests or after the loss of upstreams. */
const MAX_SAVED = 4;
/** Delay that a new connection is worth avoiding, in ms: about the round trips that it takes, and its cost. */
const PENALTY_MS = 40;
/** The same beyond the budget, in ms: more than the domain penalty, less than an objective of the short prompts. */
const EXCESS_PENALTY_MS = 250;

/** Budget of one instance. */
export class NewConnectionBudget {
    private saved = MAX_SAVED;

    /** Delay that a new connection is worth avoiding at the moment, in ms. */
    public get penaltyMs(): number {
        return this.saved >= 1 ? PENALTY_MS : EXCESS_PENALTY_MS;
    }

    /** Must be called for each request that is sent. */
    public recordRequest(hasIdleConnection: boolean): void {
        this.saved = Math.min(MAX_SAVED, this.saved + PER_REQUEST);
        if (!hasIdleConnection) {
            // A debt is bounded, so that the penalty returns to its usual value soon after a disturbance.
            this.saved = Math.max(-MAX_SAVED, this.saved - 1);
        }
    }
}
