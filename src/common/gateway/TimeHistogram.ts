/**
 * Histograms of times with logarithmic buckets, as arrays of counts that end with the last bucket in use. They can be
 * added up over instances.
 */

/** Buckets for each doubling of the time. */
const BUCKETS_PER_DOUBLING = 4;
/** Number of buckets; the last one begins at a little more than 55 s. */
const BUCKETS = 64;

/** Counts by bucket. */
export type TimeHistogram = readonly number[];

/** Bucket of a time in ms. */
const bucketOf = (ms: number): number =>
    Math.min(BUCKETS - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, ms)) * BUCKETS_PER_DOUBLING)));

/** Adds a time in ms to the histogram. */
export const addTime = (histogram: number[], ms: number): void => {
    const bucket = bucketOf(ms);
    while (histogram.length <= bucket) {
        histogram.push(0);
    }
    histogram[bucket] = (histogram[bucket] ?? 0) + 1;
};

/** Adds up histograms. */
export const sumHistograms = (histograms: readonly TimeHistogram[]): number[] => {
    const length = Math.max(0, ...histograms.map(histogram => histogram.length));
    return [...Array(length).keys()].map(bucket =>
        histograms.reduce((sum, histogram) => sum + (histogram[bucket] ?? 0), 0)
    );
};

/** Number of times in the histogram. */
export const countTimes = (histogram: TimeHistogram): number => histogram.reduce((sum, count) => sum + count, 0);

/** Number of times in this bucket and all later ones. */
export const countFrom = (histogram: TimeHistogram, bucket: number): number => countTimes(histogram.slice(bucket));

/**
 * First bucket all of whose times exceed the median by at least `factor`, and which is reached by at most the share
 * `tail` of the times.
 */
export const outlierBucket = (histogram: TimeHistogram, factor: number, tail: number): number => {
    const total = countTimes(histogram);
    let median = 0;
    while (countFrom(histogram, median + 1) > total / 2) {
        median++;
    }
    let bucket = median + 1 + Math.ceil(Math.log2(factor) * BUCKETS_PER_DOUBLING);
    while (countFrom(histogram, bucket) > total * tail) {
        bucket++;
    }
    return bucket;
};
