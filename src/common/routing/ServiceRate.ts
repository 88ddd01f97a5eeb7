/**
 * How fast one instance gets the requests of a target done: the mean time of a request, and the requests
 * completed a second, both over the recent past.
 */

/** Assumed time of a request before any has completed, in ms. */
const DEFAULT_REQUEST_MS = 500;
/** Weight of the newest request in the mean time. */
const MEAN_WEIGHT = 0.05;
/** Time over which completions are averaged, in ms. */
const WINDOW_MS = 1000;

/** Rate of one target on one instance. */
export class ServiceRate {
    private mean = 0;
    private completionsPerMs = 0;
    private updatedAt = 0;

    /** Mean time of a request, in ms. */
    public get meanMs(): number {
        return this.mean || DEFAULT_REQUEST_MS;
    }

    /** Mean time of a request, or 0 while none has completed and nothing speaks against any deadline. */
    public get measuredMeanMs(): number {
        return this.mean;
    }

    public onCompleted(durationMs: number, now: number): void {
        this.mean += (durationMs - this.mean) * (this.mean === 0 ? 1 : MEAN_WEIGHT);
        this.completionsPerMs = this.decayed(now) + 1 / WINDOW_MS;
        this.updatedAt = now;
    }

    /** Time until `ahead` requests that wait now have been started, in ms, with `slots` usable at least. */
    public waitMs(ahead: number, slots: number, now: number): number {
        const bySlots = Math.max(1, slots) / this.meanMs;
        return ahead / Math.max(this.decayed(now), bySlots);
    }

    private decayed(now: number): number {
        return this.completionsPerMs * Math.exp((this.updatedAt - now) / WINDOW_MS);
    }
}
