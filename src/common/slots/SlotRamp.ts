/**
 * The concurrency limit of one upstream. A cold upstream starts at its cold capacity; the limit grows by
 * additive steps, never faster than the announced warm-up, and only while the request times stay near their baseline.
 */
import { type Announcement } from "../upstreams/Upstream.ts";

/** Minimum time between two steps, in ms. */
export const RAMP_STEP_MS = 500;
/** A mean request time above this multiple of the baseline means that the upstream is overloaded. */
const SLOW_FACTOR = 2;
/** A mean request time above this multiple means that the upstream has turned cold without reporting it. */
const COLD_FACTOR = 4;
/** Weight of the newest mean in the baseline of the request time. */
const BASELINE_WEIGHT = 0.1;
/** The limit grows only while at least this fraction of it is used. */
const USED_FRACTION = 0.7;
/** Minimum number of completed requests for a comparison with the baseline. */
const MIN_COMPLETED = 3;

/** What the holders reported about an upstream since the last step. */
export interface RampSample {
    readonly inUse: number;
    readonly completed: number;
    readonly failed: number;
    /** Mean time of the completed requests, in ms. */
    readonly meanMs: number;
}

/** Adapts the limit of one upstream. */
export class SlotRamp {
    private readonly announcement: Announcement;
    private current: number;
    private baselineMs = 0;
    /** Warm-up time that the current limit corresponds to, in ms. */
    private warmedMs = 0;
    private lastStepAt: number;

    public constructor(announcement: Announcement, now: number) {
        this.announcement = announcement;
        this.current = Math.min(announcement.coldCapacity, announcement.capacity);
        this.lastStepAt = now;
    }

    /** Concurrent requests that the upstream may have at present. */
    public get limit(): number {
        return Math.floor(this.current);
    }

    /** Adopts a higher limit that an earlier owner had reached for the same start of the upstream. */
    public adoptLimit(limit: number): void {
        if (limit <= this.current) {
            return;
        }
        this.current = Math.min(limit, this.announcement.capacity);
        this.warmedMs = this.announcement.warmMs * this.warmFraction();
    }

    /** Adapts the limit to the sample since the last step. Returns true when the upstream has turned cold. */
    public step(sample: RampSample, now: number): boolean {
        const elapsedMs = now - this.lastStepAt;
        this.lastStepAt = now;
        if (this.looksCold(sample)) {
            this.reset();
            return true;
        }
        if (this.isSlow(sample) || sample.failed > 0) {
            this.current = Math.max(this.announcement.coldCapacity, this.current / 2);
            this.warmedMs = this.announcement.warmMs * this.warmFraction();
            return false;
        }
        this.updateBaseline(sample);
        if (sample.inUse >= this.limit * USED_FRACTION) {
            this.grow(elapsedMs);
        }
        return false;
    }

    /** Resets the limit to the cold capacity. */
    public reset(): void {
        this.current = Math.min(this.announcement.coldCapacity, this.announcement.capacity);
        this.warmedMs = 0;
    }

    private grow(elapsedMs: number): void {
        const { capacity, coldCapacity, warmMs } = this.announcement;
        this.warmedMs = Math.min(warmMs, this.warmedMs + elapsedMs);
        const fraction = warmMs === 0 ? 1 : this.warmedMs / warmMs;
        this.current = Math.min(capacity, coldCapacity + (capacity - coldCapacity) * fraction);
    }

    private warmFraction(): number {
        const { capacity, coldCapacity } = this.announcement;
        return capacity <= coldCapacity ? 1 : (this.current - coldCapacity) / (capacity - coldCapacity);
    }

    private isSlow(sample: RampSample): boolean {
        return this.isComparable(sample) && sample.meanMs > this.baselineMs * SLOW_FACTOR;
    }

    private looksCold(sample: RampSample): boolean {
        return this.isComparable(sample) && sample.meanMs > this.baselineMs * COLD_FACTOR;
    }

    private isComparable(sample: RampSample): boolean {
        return sample.completed >= MIN_COMPLETED && this.baselineMs > 0;
    }

    private updateBaseline(sample: RampSample): void {
        if (sample.completed < MIN_COMPLETED) {
            return;
        }
        const weight = this.baselineMs === 0 ? 1 : BASELINE_WEIGHT;
        this.baselineMs += (sample.meanMs - this.baselineMs) * weight;
    }
}
