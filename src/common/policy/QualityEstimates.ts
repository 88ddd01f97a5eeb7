/**
 * Estimates the quality of versions by client account and request class, from ratings that arrive late and only
 * for some of the answers. Old ratings decay, so that the estimates follow drift.
 */

/** Number of later ratings after which a rating has lost most of its weight. */
const MEMORY_RATINGS = 150;
/** Weight of the sheet's expected quality, in ratings. */
const PRIOR_WEIGHT = 4;
/** Maximum weight of all accounts' ratings of the class in the estimate for one account, in ratings. */
const CLASS_WEIGHT = 20;
/** Number of bins in a histogram of ratings from 0 to 1. */
export const RATING_BINS = 10;

/** A distribution of ratings. */
export interface RatingDistribution {
    readonly mean: number;
    /** Probability of each bin. */
    readonly bins: readonly number[];
}

interface Histogram {
    readonly counts: number[];
    weight: number;
}

/** Decaying histograms of ratings by version. */
export class QualityEstimates {
    private readonly byClass = new Map<string, Histogram>();
    private readonly byAccount = new Map<string, Histogram>();

    /** Adds the rating, from 0 to 1, of an answer. */
    public add(account: string, requestClass: string, version: string, rating: number): void {
        addRating(histogramOf(this.byClass, `${requestClass}|${version}`), rating);
        addRating(histogramOf(this.byAccount, `${account}|${requestClass}|${version}`), rating);
    }

    /** Expected ratings of a version; `prior` is the expected quality in the sheet. */
    public expectedRatings(account: string, requestClass: string, version: string, prior: number): RatingDistribution {
        const accountHistogram = this.byAccount.get(`${account}|${requestClass}|${version}`);
        const classHistogram = this.byClass.get(`${requestClass}|${version}`);
        const bins = new Array<number>(RATING_BINS).fill(0);
        let total = addTo(bins, accountHistogram, 1);
        total += addTo(
            bins,
            classHistogram,
            classHistogram === undefined ? 0 : Math.min(1, CLASS_WEIGHT / classHistogram.weight),
        );
        bins[binOf(prior)] = (bins[binOf(prior)] ?? 0) + PRIOR_WEIGHT;
        total += PRIOR_WEIGHT;
        const probabilities = bins.map(count => count / total);
        return {
            mean: probabilities.reduce((sum, probability, bin) => sum + probability * binValue(bin), 0),
            bins: probabilities,
        };
    }
}

/** Rating at the middle of a bin. */
export const binValue = (bin: number): number => (bin + 0.5) / RATING_BINS;

const binOf = (rating: number): number => Math.min(RATING_BINS - 1, Math.max(0, Math.floor(rating * RATING_BINS)));

const histogramOf = (map: Map<string, Histogram>, key: string): Histogram => {
    let histogram = map.get(key);
    if (histogram === undefined) {
        histogram = { counts: new Array<number>(RATING_BINS).fill(0), weight: 0 };
        map.set(key, histogram);
    }
    return histogram;
};

const addRating = (histogram: Histogram, rating: number): void => {
    const decay = 1 - 1 / MEMORY_RATINGS;
    for (let bin = 0; bin < RATING_BINS; bin++) {
        histogram.counts[bin] = (histogram.counts[bin] ?? 0) * decay;
    }
    histogram.counts[binOf(rating)] = (histogram.counts[binOf(rating)] ?? 0) + 1;
    histogram.weight = histogram.weight * decay + 1;
};

const addTo = (bins: number[], histogram: Histogram | undefined, factor: number): number => {
    if (histogram === undefined || factor === 0) {
        return 0;
    }
    histogram.counts.forEach((count, bin) => bins[bin] = (bins[bin] ?? 0) + count * factor);
    return histogram.weight * factor;
};
