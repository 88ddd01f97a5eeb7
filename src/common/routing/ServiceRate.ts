/**
 * Measures how fast one instance serves the requests of a target: the mean time of a request and the rate of
 * completions, both over the recent past. From these it estimates how long a request will wait.
 */

/** Request time that is assumed before any request has completed, in ms. */
const DEFAULT_REQUEST_MS = 500;
/** Weight of the newest request in the moving average of request times. */
const MEAN_WEIGHT = 0.05;
/** Time constant of the exponential decay of the completion rate, in ms. */
const WINDOW_MS = 1000;

/** Service rate of one target on one instance. */
export class ServiceRate {
    private mean = 0;
    private completionsPerMs = 0;
    private updatedAt = 0;

    /** Mean time of a request, or the assumed time while none has completed, in ms. */
    public get meanMs(): number {
        return this.mean || DEFAULT_REQUEST_MS;
    }

    /** Mean time of completed requests in ms, or 0 while none has completed, so that no deadline seems too short. */
    public get measuredMeanMs(): number {
        return this.mean;
    }

    public onCompleted(durationMs: number, now: number): void {
        this.mean += (durationMs - this.mean) * (this.mean === 0 ? 1 : MEAN_WEIGHT);
        this.completionsPerMs = this.decayedRate(now) + 1 / WINDOW_MS;
        this.updatedAt = now;
    }

    /** Estimated time until `ahead` waiting requests have started, in ms, if at least `slots` slots can be used. */
    public waitMs(ahead: number, slots: number, now: number): number {
        const slotRate = Math.max(1, slots) / this.meanMs;
        return ahead / Math.max(this.decayedRate(now), slotRate);
    }

    private decayedRate(now: number): number {
        return this.completionsPerMs * Math.exp((this.updatedAt - now) / WINDOW_MS);
    }
}
