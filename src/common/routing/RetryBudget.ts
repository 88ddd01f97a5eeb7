/**
 * Bounds retries to a fraction of the requests, so that retries cannot multiply the load of a pool that
 * is failing already.
 */

/** Retries that may be saved up while there are no failures. */
const MAX_SAVED_RETRIES = 20;
/** Retries earned by each request. */
const RETRIES_PER_REQUEST = 0.1;

/** A budget of retries for one target. */
export class RetryBudget {
    private saved = MAX_SAVED_RETRIES;

    /** Counts a first attempt. */
    public onRequest(): void {
        this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_REQUEST);
    }

    /** Takes one retry out of the budget, if there is one. */
    public tryTake(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
