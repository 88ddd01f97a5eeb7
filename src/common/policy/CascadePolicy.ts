/**
 * Model cascade: chooses the version that answers first, and decides whether its rated answer is returned or the
 * request escalates to a stronger version. Each client account has a price of quality, which rises while its answers
 * are rated below its target and falls while they are above; each decision minimizes the expected cost at that price.
 */
import { binValue, type QualityEstimates, type RatingDistribution } from "./QualityEstimates.ts";

/** Fraction of the requests that start at a random version, so that changes of quality are detected. */
const EXPLORATION_FRACTION = 0.02;
/** Safety margin above the target, for ratings that are not known yet. */
const TARGET_MARGIN = 0.008;
/** Change of the price of quality per rating, relative to the cost of the most expensive version. */
const PRICE_STEP = 0.15;
/** Highest price of quality, relative to the cost of the most expensive version. */
const MAX_PRICE = 40;

/** A version that the cascade can choose. */
export interface CascadeVersion {
    readonly key: string;
    /** Cost of an answer. */
    readonly cost: number;
    /** Expected quality from the sheet, from 0 to 1. */
    readonly quality: number;
}

/** The properties of a request on which the cascade decides. */
export interface CascadeRequest {
    readonly account: string;
    readonly qualityTarget: number;
    /** Class of requests that are expected to be of similar difficulty. */
    readonly requestClass: string;
    /** Versions that may answer, the cheapest first. */
    readonly versions: readonly CascadeVersion[];
    /** Whether there is time for a second answer after a rated first one; false for streams. */
    readonly mayEscalate: boolean;
}

/** Chooses versions by cost and estimated quality. */
export class CascadePolicy {
    private readonly estimates: QualityEstimates;
    private readonly random: () => number;
    private readonly prices = new Map<string, number>();

    /** `random` is uniform in [0, 1). */
    public constructor(estimates: QualityEstimates, random: () => number) {
        this.estimates = estimates;
        this.random = random;
    }

    /** Chooses the version that answers first; undefined when there are none. */
    public firstVersion(req: CascadeRequest): CascadeVersion | undefined {
        if (this.random() < EXPLORATION_FRACTION) {
            return req.versions[Math.floor(this.random() * req.versions.length)];
        }
        const netCosts = this.netCostsFrom(req, 0);
        return minBy(req.versions, version => netCosts.get(version.key) ?? Infinity);
    }

    /** Chooses the version to escalate to after `version` was rated `rating`; undefined when its answer is kept. */
    public strongerVersion(req: CascadeRequest, version: CascadeVersion, rating: number): CascadeVersion | undefined {
        if (!req.mayEscalate) {
            return undefined;
        }
        const position = req.versions.indexOf(version);
        const stronger = req.versions.slice(position + 1);
        const netCosts = this.netCostsFrom(req, position + 1);
        const best = minBy(stronger, item => netCosts.get(item.key) ?? Infinity);
        const keepCost = -this.priceOf(req) * rating;
        return best !== undefined && (netCosts.get(best.key) ?? Infinity) < keepCost ? best : undefined;
    }

    /** Records the rating of an answer; `isFinal` when it is the one that the caller received. */
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

    /** Expected cost less the priced expected quality, for starting at each version from `position` on. */
    private netCostsFrom(req: CascadeRequest, position: number): Map<string, number> {
        const price = this.priceOf(req);
        const netCosts = new Map<string, number>();
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
            const netCost = version.cost
                + expectedNetCostAfter(expected, price, req.mayEscalate ? bestStronger : Infinity);
            netCosts.set(version.key, netCost);
            bestStronger = Math.min(bestStronger, netCost);
        }
        return netCosts;
    }
}

/** Expected net cost after an answer, which is kept at its priced rating or replaced by the best stronger version. */
const expectedNetCostAfter = ({ bins, mean }: RatingDistribution, price: number, bestStronger: number): number => {
    if (bestStronger === Infinity) {
        return -price * mean;
    }
    return bins.reduce(
        (sum, probability, bin) => sum + probability * Math.min(-price * binValue(bin), bestStronger),
        0,
    );
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
