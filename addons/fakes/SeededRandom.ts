/**
 * Reproducible random numbers: the same seed gives the same sequence.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const SKIPPED_NUMBERS = 32;

/** Pseudo-random number generator with a seed. */
export class SeededRandom {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    public constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
        // The first numbers of neighbouring seeds are similar.
        for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) {
            this.generator.next();
        }
    }

    /** Uniform in [0, 1). */
    public readonly next = (): number => (this.generator.next() >>> 0) / 2 ** 32;

    /** Uniform integer in [0, limit). */
    public nextInt(limit: number): number {
        return Math.floor(this.next() * limit);
    }

    public pick<T>(items: readonly T[]): T {
        return items[this.nextInt(items.length)] as T;
    }

    /** Exponentially distributed with the given mean. */
    public exponential(mean: number): number {
        return -Math.log(1 - this.next()) * mean;
    }

    public chance(probability: number): boolean {
        return this.next() < probability;
    }
}
