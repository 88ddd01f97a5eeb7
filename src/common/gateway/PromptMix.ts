/**
 * Sizes of the prompts of a service, and which engines read which sizes. Load: a prompt of 12,000 tokens for the largest
 * model occupies an engine a hundred times as long as a short one, and an instance doesn't know what the 59 others have
 * sent. So that short prompts rarely wait behind long ones, engines are ordered by a hash that is the same everywhere, and
 * prompts are mapped to positions in that order by size: a prompt's position is the share of all reading time that
 * prompts up to its size need. Each position then carries the same load. The map is a preference with a cost in ms, not a
 * partition: engines of other positions are used as soon as they are faster by more than that cost.
 */
import { type Clock } from "../time/Clock.ts";

/** Ratio between the bounds of neighbouring size classes. */
const CLASS_RATIO = 1.5;
/** Size classes; the last begins at 38 s of reading time. */
const CLASSES = 27;
/** Time constant with which old prompts are forgotten, in ms: some dozens of requests of one instance of sixty. */
const MEMORY_MS = 20_000;
/** Least load that is assumed, since the first requests say little about it. */
const MIN_LOAD = 0.05;
/** Share of the reading time of an engine from which its load counts as this, since the estimate is inexact. */
const MAX_LOAD = 0.7;

/** Prompts that one instance has sent to one service. */
export class PromptMix {
    private readonly clock: Clock;
    /** Reading time at usual pace by size class, and number of prompts, both decayed to `updatedAt`. */
    private readonly work = new Float64Array(CLASSES);
    private readonly counts = new Float64Array(CLASSES);
    private totalWork = 0;
    private updatedAt: number;
    private readonly startedAt: number;

    public constructor(clock: Clock) {
        this.clock = clock;
        this.updatedAt = clock.monotonic();
        this.startedAt = this.updatedAt;
    }

    /** Adds a prompt by its reading time at usual pace. */
    public record(workMs: number): void {
        if (workMs <= 0) {
            return;
        }
        const now = this.clock.monotonic();
        const decay = Math.exp((this.updatedAt - now) / MEMORY_MS);
        this.updatedAt = now;
        for (let index = 0; index < CLASSES; index++) {
            this.work[index] = (this.work[index] ?? 0) * decay;
            this.counts[index] = (this.counts[index] ?? 0) * decay;
        }
        const index = Math.max(0, Math.min(CLASSES - 1, Math.floor(Math.log(workMs) / Math.log(CLASS_RATIO))));
        this.work[index] = (this.work[index] ?? 0) + workMs;
        this.counts[index] = (this.counts[index] ?? 0) + 1;
        this.totalWork = this.totalWork * decay + workMs;
    }

    /**
     * Reading time of the prompts that belong to a position between 0 and 1, in ms; undefined until prompts are known.
     *
     * @param occupied part of the engines that have a position which belongs to prompts of their own
     */
    public workAt(position: number, occupied: number): number | undefined {
        let remaining = Math.max(0, 1 - (1 - position) / occupied) * this.totalWork;
        let size: number | undefined;
        for (let index = 0; index < CLASSES; index++) {
            const work = this.work[index] ?? 0;
            const count = this.counts[index] ?? 0;
            if (work > 0 && count > 0) {
                size = work / count;
                if (work >= remaining) {
                    return size;
                }
                remaining -= work;
            }
        }
        return size;
    }

    /**
     * Part of the time that engines read, if all instances send as much as this one.
     *
     * @param instances number of instances
     * @param engines number of engines
     * @param slowdown mean slowdown of the engines
     */
    public load(instances: number, engines: number, slowdown: number): number {
        const knownMs = MEMORY_MS * (1 - Math.exp((this.startedAt - this.clock.monotonic()) / MEMORY_MS));
        const decay = Math.exp((this.updatedAt - this.clock.monotonic()) / MEMORY_MS);
        const perMs = this.totalWork * decay / Math.max(1, knownMs);
        return Math.min(1, perMs * instances * slowdown / Math.max(1, engines));
    }
}

/**
 * Part of the engines on which all prompts but the smallest are concentrated at a load: they are busier there than on
 * average, so that the rest is nearly idle and short prompts rarely wait there. The cube root keeps long prompts within a
 * tenth of their time without this; with the square root they took up to 1.2 times as long at a load of 0.3.
 */
export const occupiedPart = (load: number): number => Math.cbrt(Math.max(MIN_LOAD, load));

/** Mean number of prompts to wait for at an engine whose position belongs to prompts of the same size. */
export const queueLength = (load: number): number => {
    const occupiedLoad = Math.min(MAX_LOAD, load / occupiedPart(load));
    return occupiedLoad / (2 * (1 - occupiedLoad));
};
