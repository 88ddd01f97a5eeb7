/**
 * `cascade`: requests of mixed difficulty, drifting quality, and ratings that are sampled and arrive late. The
 * oracle knows all ratings in advance; the baselines get the same requests.
 */
import { SeededRandom } from "../../addons/fakes/SeededRandom.ts";
import { CascadePolicy, type CascadeRequest, type CascadeVersion } from "../../src/common/policy/CascadePolicy.ts";
import { QualityEstimates } from "../../src/common/policy/QualityEstimates.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";

const REQUESTS = 12_000;
/** Number of requests at the start that are not measured. */
const WARM_UP = 1500;
/** Number of answers of one account over which a mean rating is computed. */
const WINDOW = 500;
/** Fraction of the strongest version's answers that are rated, although no escalation depends on the rating. */
const SAMPLED_FRACTION = 0.3;
/** Delay of a sampled rating, in requests. */
const RATING_DELAY_REQUESTS = 40;
/** Rating from which the baseline `cheapestFirst` accepts an answer. */
const FIXED_THRESHOLD = 0.7;

const versions: readonly CascadeVersion[] = [
    { key: "small@v3", cost: 0.1, quality: 0.72 },
    { key: "middle@v7", cost: 0.4, quality: 0.86 },
    { key: "large@v2", cost: 1, quality: 0.93 },
];
const accounts = [
    { name: "farm", target: 0.8 },
    { name: "congress", target: 0.85 },
];
/** Range of the difficulty of requests, by class. */
const classes: Readonly<Record<string, readonly [number, number]>> = { easy: [0, 0.4], mixed: [0, 1], hard: [0.5, 1] };
/** Strength of each version: requests with a difficulty up to it are answered well. */
const strengths = [0.45, 0.75, 1.05];

interface Request {
    readonly account: string;
    readonly target: number;
    readonly requestClass: string;
    /** Rating that the answer of each version would get. */
    readonly ratings: readonly number[];
}

interface Tally {
    cost: number;
    readonly ratings: Map<string, number[]>;
}

const generateRequests = (random: SeededRandom): Request[] =>
    [...Array(REQUESTS).keys()].map(index => {
        const { name, target } = random.pick(accounts);
        const requestClass = random.pick(Object.keys(classes));
        const [from = 0, to = 1] = classes[requestClass] ?? [];
        const difficulty = from + (to - from) * random.next();
        // The small version is worse in the middle third of the run, and better than at first in the last sixth.
        const drift = index > REQUESTS / 3 && index < REQUESTS * 2 / 3 ? -0.2 : index >= REQUESTS * 5 / 6 ? 0.1 : 0;
        const ratings = strengths.map((strength, version) => {
            const shortfall = Math.max(0, difficulty - strength - (version === 0 ? drift : 0));
            return Math.min(1, Math.max(0, 0.95 - shortfall * 1.6 + (random.next() - 0.5) * 0.1));
        });
        return { account: name, target, requestClass, ratings };
    });

const newTally = (): Tally => ({ cost: 0, ratings: new Map(accounts.map(({ name }) => [name, []])) });

const addToTally = (tally: Tally, req: Request, index: number, cost: number, rating: number): void => {
    if (index >= WARM_UP) {
        tally.cost += cost;
        tally.ratings.get(req.account)?.push(rating);
    }
};

const runPolicy = (requests: readonly Request[], seed: number): Tally => {
    const random = new SeededRandom(seed + 1);
    const policy = new CascadePolicy(new QualityEstimates(), random.next);
    const tally = newTally();
    const pendingRatings: { readonly due: number; readonly apply: () => void; }[] = [];
    for (const [index, req] of requests.entries()) {
        while (pendingRatings[0] !== undefined && pendingRatings[0].due <= index) {
            pendingRatings.shift()?.apply();
        }
        const cascadeReq: CascadeRequest = { ...req, qualityTarget: req.target, versions, mayEscalate: true };
        let version = policy.firstVersion(cascadeReq) as CascadeVersion;
        let cost = 0;
        for (;;) {
            cost += version.cost;
            const tried = version;
            const rating = ratingOf(req, tried);
            const isLast = tried === versions.at(-1);
            // The request waits for a rating only if a stronger version could replace the answer.
            const stronger = isLast ? undefined : policy.strongerVersion(cascadeReq, tried, rating);
            if (!isLast) {
                policy.onRating(cascadeReq, tried.key, rating, stronger === undefined);
            }
            else if (random.chance(SAMPLED_FRACTION)) {
                pendingRatings.push({
                    due: index + RATING_DELAY_REQUESTS,
                    apply: () => policy.onRating(cascadeReq, tried.key, rating, true),
                });
            }
            if (stronger === undefined) {
                addToTally(tally, req, index, cost, rating);
                break;
            }
            version = stronger;
        }
    }
    return tally;
};

/**
 * Lowest cost that meets each account's target with all ratings known: the requests that gain the most rating per cost
 * get the stronger versions.
 */
const runOracle = (requests: readonly Request[]): Tally => {
    const tally = newTally();
    for (const { name, target } of accounts) {
        const accountRequests = requests.map((req, index) => ({ req, index })).filter(item =>
            item.req.account === name && item.index >= WARM_UP
        );
        const price = findPrice(accountRequests.map(item => item.req), target);
        accountRequests.forEach(({ req, index }) => {
            const choice = bestVersionAt(req, price);
            addToTally(tally, req, index, choice.cost, ratingOf(req, choice));
        });
    }
    return tally;
};

/** Finds by bisection the price of a unit of rating at which the mean rating just meets the target. */
const findPrice = (requests: readonly Request[], target: number): number => {
    let low = 0;
    let high = 100;
    for (let step = 0; step < 40; step++) {
        const price = (low + high) / 2;
        const mean = requests.reduce((sum, req) => sum + ratingOf(req, bestVersionAt(req, price)), 0) / requests.length;
        if (mean >= target) {
            high = price;
        }
        else {
            low = price;
        }
    }
    return high;
};

/** Returns the version with the lowest cost minus the value of its rating at `price`. */
const bestVersionAt = (req: Request, price: number): CascadeVersion =>
    versions.reduce((best, version) =>
        version.cost - price * ratingOf(req, version) < best.cost - price * ratingOf(req, best) ? version : best
    );

const ratingOf = (req: Request, version: CascadeVersion): number => req.ratings[versions.indexOf(version)] ?? 0;

const runBaseline = (requests: readonly Request[], choose: (req: Request) => readonly CascadeVersion[]): Tally => {
    const tally = newTally();
    requests.forEach((req, index) => {
        const tried = choose(req);
        const cost = tried.reduce((sum, version) => sum + version.cost, 0);
        addToTally(tally, req, index, cost, ratingOf(req, tried.at(-1) as CascadeVersion));
    });
    return tally;
};

const strongest = versions.at(-1) as CascadeVersion;

const cheapestFirst = (req: Request): readonly CascadeVersion[] => {
    const tried: CascadeVersion[] = [];
    for (const version of versions) {
        tried.push(version);
        if (ratingOf(req, version) >= FIXED_THRESHOLD) {
            break;
        }
    }
    return tried;
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const meetsTarget = (tally: Tally): number =>
    accounts.every(({ name, target }) => mean(tally.ratings.get(name) ?? []) >= target) ? 1 : 0;

/** Lowest mean rating of any window of one account's answers, minus the account's target. */
const worstWindow = (tally: Tally): number => {
    let worst = Infinity;
    for (const { name, target } of accounts) {
        const ratings = tally.ratings.get(name) ?? [];
        for (let from = 0; from + WINDOW <= ratings.length; from += WINDOW) {
            worst = Math.min(worst, mean(ratings.slice(from, from + WINDOW)) - target);
        }
    }
    return worst;
};

const run = async (seed: number): Promise<Outcome> => {
    const random = new SeededRandom(seed);
    const requests = generateRequests(random);
    const policy = runPolicy(requests, seed);
    const oracle = runOracle(requests);
    const strong = runBaseline(requests, () => [strongest]);
    const cheap = runBaseline(requests, cheapestFirst);
    const randomChoice = runBaseline(requests, () => [random.pick(versions)]);
    return {
        violations: {},
        figures: {
            quality_met: meetsTarget(policy),
            worst_window_over_target: round(worstWindow(policy)),
            cost_over_oracle: round(policy.cost / oracle.cost),
            cost_over_strongest: round(policy.cost / strong.cost),
            baseline_cheapest_first_cost_over_oracle: round(cheap.cost / oracle.cost),
            baseline_cheapest_first_quality_met: meetsTarget(cheap),
            baseline_random_cost_over_oracle: round(randomChoice.cost / oracle.cost),
            baseline_random_quality_met: meetsTarget(randomChoice),
            baseline_strongest_cost_over_oracle: round(strong.cost / oracle.cost),
        },
    };
};

export const cascade: Scenario = {
    name: "cascade",
    summary: "requests of mixed difficulty, drifting quality, late and sampled ratings",
    isDeterministic: true,
    run,
};
