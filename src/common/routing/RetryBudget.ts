/**
 * Bounds retries to a fraction of the requests, so that retries cannot multiply the load of a pool that
 * is failing already.
 */

/** Retries that may be saved up while there are no failures. */
const MAX_BALANCE = 20;
/** Retries earned by each request. */
const RETRIES_PER_REQUEST = 0.1;

/** A budget of retries for one target. */
export class RetryBudget {
    private balance = MAX_BALANCE;

    /** Counts a first attempt. */
    public onRequest(): void {
        this.balance = Math.min(MAX_BALANCE, this.balance + RETRIES_PER_REQUEST);
    }

    /** Takes one retry out of the budget, if there is one. */
    public tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
