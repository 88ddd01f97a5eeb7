/**
 * A retry budget: limits retries to a fraction of the requests, so that they cannot multiply the load on a target
 * whose upstreams are failing already.
 */

/** Most retries that the budget accumulates while there are no failures. */
const MAX_BALANCE = 20;
/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;

/** The retry budget of one target. */
export class RetryBudget {
    /** Retries that may be made now. */
    private balance = MAX_BALANCE;

    /** Adds to the budget for the first attempt of a request. */
    public onRequest(): void {
        this.balance = Math.min(MAX_BALANCE, this.balance + RETRIES_PER_REQUEST);
    }

    /** Takes one retry out of the budget. Returns false when none is left. */
    public tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
