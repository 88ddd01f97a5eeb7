/**
 * The cascade: which version to try first, and whether a rated answer is good enough or a stronger version is
 * asked. Each client account has a price of quality, which rises while its answers are rated below its target
 * and falls while they are above; a decision takes the least expected cost at that price.
 */
import { binValue, type QualityEstimates, type RatingDistribution } from "./QualityEstimates.ts";

/** Part of the requests that start at a random version, so that changes of quality are noticed. */
const EXPLORATION_FRACTION = 0.02;
/** Safety margin above the target, for ratings that are not known yet. */
const TARGET_MARGIN = 0.008;
/** Change of the price of quality by one rating, relative to the cost of the dearest version. */
const PRICE_STEP = 0.15;
/** Highest price of quality, relative to the cost of the dearest version. */
const MAX_PRICE = 40;

/** A version as the cascade sees it. */
export interface CascadeVersion {
    readonly key: string;
    /** Cost of an answer. */
    readonly cost: number;
    /** Expected quality from the sheet, from 0 to 1. */
    readonly quality: number;
}

/** What the cascade needs to know of a request. */
export interface CascadeRequest {
    readonly account: string;
    readonly qualityTarget: number;
    /** Requests of one class are expected to be alike in difficulty. */
    readonly requestClass: string;
    /** Versions that may answer, the cheapest first. */
    readonly versions: readonly CascadeVersion[];
    /** Whether there is time for a second answer after a rated first one; false for streams. */
    readonly mayEscalate: boolean;
}

/** Decides by estimated quality. */
export class CascadePolicy {
    private readonly estimates: QualityEstimates;
    private readonly random: () => number;
    private readonly prices = new Map<string, number>();

    /** `random` is uniform in [0, 1). */
    public constructor(estimates: QualityEstimates, random: () => number) {
        this.estimates = estimates;
        this.random = random;
    }

    /** The version to try first. */
    public firstVersion(req: CascadeRequest): CascadeVersion | undefined {
        if (this.random() < EXPLORATION_FRACTION) {
            return req.versions[Math.floor(this.random() * req.versions.length)];
        }
        const values = this.valuesFrom(req, 0);
        return minBy(req.versions, version => values.get(version.key) ?? Infinity);
    }

    /** The stronger version to ask after `version` was rated `rating`; undefined when the answer is kept. */
    public strongerVersion(req: CascadeRequest, version: CascadeVersion, rating: number): CascadeVersion | undefined {
        if (!req.mayEscalate) {
            return undefined;
        }
        const position = req.versions.indexOf(version);
        const stronger = req.versions.slice(position + 1);
        const values = this.valuesFrom(req, position + 1);
        const best = minBy(stronger, item => values.get(item.key) ?? Infinity);
        const keepValue = -this.priceOf(req) * rating;
        return best !== undefined && (values.get(best.key) ?? Infinity) < keepValue ? best : undefined;
    }

    /** Takes the rating of any answer; `isFinal` when the caller got it. */
    public onRating(req: CascadeRequest, version: string, rating: number, isFinal: boolean): void {
        this.estimates.add(req.account, req.requestClass, version, rating);
        if (!isFinal) {
            return;
        }
        const scale = highestCost(req);
        const price = this.priceOf(req) + PRICE_STEP * scale * (req.qualityTarget + TARGET_MARGIN - rating);
        this.prices.set(req.account, Math.min(MAX_PRICE * scale, Math.max(0, price)));
    }

    private priceOf(req: CascadeRequest): number {
        return this.prices.get(req.account) ?? highestCost(req);
    }

    /** Expected cost less the worth of the expected quality, for starting at each version from `position` on. */
    private valuesFrom(req: CascadeRequest, position: number): Map<string, number> {
        const price = this.priceOf(req);
        const values = new Map<string, number>();
        let bestStronger = Infinity;
        for (let index = req.versions.length - 1; index >= position; index--) {
            const version = req.versions[index];
            if (version === undefined) {
                continue;
            }
            const expected = this.estimates.expectedRatings(
                req.account,
                req.requestClass,
                version.key,
                version.quality,
            );
            const value = version.cost + expectedRest(expected, price, req.mayEscalate ? bestStronger : Infinity);
            values.set(version.key, value);
            bestStronger = Math.min(bestStronger, value);
        }
        return values;
    }
}

/** What follows an answer: it is kept for the worth of its rating, or the best stronger version is asked. */
const expectedRest = ({ bins, mean }: RatingDistribution, price: number, bestStronger: number): number => {
    if (bestStronger === Infinity) {
        return -price * mean;
    }
    return bins.reduce((sum, part, bin) => sum + part * Math.min(-price * binValue(bin), bestStronger), 0);
};

const highestCost = (req: CascadeRequest): number => Math.max(...req.versions.map(version => version.cost));

const minBy = <T>(items: readonly T[], valueOf: (item: T) => number): T | undefined => {
    let best: T | undefined;
    let least = Infinity;
    for (const item of items) {
        const value = valueOf(item);
        if (value < least) {
            best = item;
            least = value;
        }
    }
    return best;
};
