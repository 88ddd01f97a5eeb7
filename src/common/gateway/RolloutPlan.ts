/**
 * Plans the steps of a roll-out: a canary share of the new sessions first, then all sessions, then completion. A
 * version that performs worse than the previous one is rolled back. Pure functions of counts and times.
 *
 * Some faults don't show at a small share, for example those that occur only under a load which the canary doesn't get.
 * Therefore all sessions move so late that even a bad version that is never detected stays within its exposure limit
 * over the whole roll-out.
 */
import { type Fleet, mayBeInUse, type Rollout } from "./FleetState.ts";
import { type RouteOutcomeCounts } from "./OutcomeCounters.ts";
import { countFrom, countTimes, outlierBucket, sumHistograms } from "./TimeHistogram.ts";

/** Share of the new sessions in the canary phase, as a fraction of the exposure limit. */
const CANARY_FRACTION = 1 / 3;
/** Fraction of the duration before the canary phase. Entry instances use it to exchange which sessions are active. */
const PREPARE_UNTIL = 0.1;
/** Least fraction of the duration after which all sessions move. They must stay on their version for half of it. */
const EARLIEST_PROMOTION = 0.53;
/** Greatest such fraction, which leaves some time before completion. */
const LATEST_PROMOTION = 0.98;
/**
 * Fraction of the time after the promotion that is left at completion, so that the completion can be committed in time.
 * Requests that still run on the old version are cut off at completion.
 */
const LEFT_AT_COMPLETION = 0.32;
/** Least time left at completion, in ms: the leader checks roll-outs every 200 ms, and a commit takes about 100 ms. */
const MIN_LEFT_MS = 500;
/** Least failures before a version is rolled back, so that a few isolated failures don't suffice. */
const MIN_FAILURES = 5;
/** A version is rolled back when its failure rate exceeds that of the other versions by more than this. */
const FAILURE_MARGIN = 0.12;
/** Least measured answers on a route before its latencies are compared. */
const MIN_TIMED = 10;
/** A version is rolled back when its geometric mean latency on a route exceeds that of the others by this factor. */
const SLOW_FACTOR = 2.2;
/** Least factor by which a time exceeds the median of the other versions to count as an outlier. */
const OUTLIER_FACTOR = 2;
/** Largest share of the other versions' times that count as outliers. */
const OUTLIER_TAIL = 0.1;
/** Least outliers before a version is rolled back. */
const MIN_OUTLIERS = 6;
/** A version is rolled back when its share of outliers exceeds that of the other versions by more than this. */
const OUTLIER_MARGIN = 0.25;

/** Schedule of a roll-out, as fractions of its duration. */
export interface RolloutSchedule {
    /** Share of the new sessions in the canary phase, 0 to 1. */
    readonly canaryShare: number;
    /** Fraction of the duration after which all sessions move to the target version. */
    readonly promoteAt: number;
    /** Fraction of the duration after which the roll-out is completed. */
    readonly completeAt: number;
}

/**
 * Derives the schedule from the exposure limit.
 *
 * @param exposure largest share of a service's requests that a bad version may get over a roll-out, 0 to 1
 */
export const createRolloutSchedule = (exposure: number): RolloutSchedule => {
    const canaryShare = exposure * CANARY_FRACTION;
    // canaryShare * (promoteAt - PREPARE_UNTIL) + (1 - promoteAt) = exposure
    const exact = (1 - exposure - canaryShare * PREPARE_UNTIL) / (1 - canaryShare);
    const promoteAt = Math.min(LATEST_PROMOTION, Math.max(EARLIEST_PROMOTION, exact));
    return { canaryShare, promoteAt, completeAt: 1 - (1 - promoteAt) * LEFT_AT_COMPLETION };
};

/** A change of a running roll-out, with its reason for the log. */
export type RolloutStep = Pick<Rollout, "state" | "share"> & { readonly reason: string; };

/**
 * Selects the counts that say something about a roll-out: those of its target since it began, and those of the version in
 * use. While that is not known, any version that was not rolled back may be in use.
 */
export const selectOutcomes = (
    fleet: Fleet,
    { id, service, target }: Rollout,
    counts: readonly RouteOutcomeCounts[],
): RouteOutcomeCounts[] => {
    const isBaseline = mayBeInUse(fleet, service);
    return counts.filter(count =>
        count.service === service
        && (count.version === target ? id === undefined || count.rollout === id : isBaseline(count.version))
    );
};

/**
 * Returns the next step of a running roll-out; undefined while none is due.
 *
 * @param elapsedMs time since the start of the roll-out, in ms
 * @param hasTarget whether upstreams of the target version are ready
 */
export const planRolloutStep = (
    rollout: Rollout,
    elapsedMs: number,
    hasTarget: boolean,
    counts: readonly RouteOutcomeCounts[],
    schedule: RolloutSchedule,
): RolloutStep | undefined => {
    const fault = findFault(rollout, counts);
    if (fault !== undefined) {
        return { state: "rolledBack", share: 0, reason: fault };
    }
    const completeMs = Math.min(rollout.durationMs * schedule.completeAt, rollout.durationMs - MIN_LEFT_MS);
    if (elapsedMs >= completeMs) {
        return hasTarget
            ? { state: "completed", share: 1, reason: "no fault was found during the roll-out" }
            : undefined;
    }
    const share = wantedShare(rollout, elapsedMs, hasTarget, schedule);
    return share > rollout.share ? { state: "running", share, reason: "no fault has been found so far" } : undefined;
};

const wantedShare = (rollout: Rollout, elapsedMs: number, hasTarget: boolean, schedule: RolloutSchedule): number => {
    if (!hasTarget || elapsedMs < rollout.durationMs * PREPARE_UNTIL) {
        return 0;
    }
    return elapsedMs >= rollout.durationMs * schedule.promoteAt ? 1 : schedule.canaryShare;
};

const findFault = (rollout: Rollout, counts: readonly RouteOutcomeCounts[]): string | undefined => {
    const serviceCounts = counts.filter(count => count.service === rollout.service);
    const target = serviceCounts.filter(count => count.version === rollout.target);
    const baseline = serviceCounts.filter(count => count.version !== rollout.target);
    const groups = [
        ["all routes", target, baseline] as const,
        ...target.map(count => {
            const others = baseline.filter(other => other.route === count.route);
            return [`route ${count.route}`, [count], others] as const;
        }),
    ];
    for (const [name, targetCounts, baselineCounts] of groups) {
        const failures = total(targetCounts, "failures");
        const rate = failures / Math.max(1, total(targetCounts, "answers"));
        const baselineRate = total(baselineCounts, "failures") / Math.max(1, total(baselineCounts, "answers"));
        if (failures >= MIN_FAILURES && rate > baselineRate + FAILURE_MARGIN) {
            return `${failures} failures on ${name}: ${percent(rate)} against ${percent(baselineRate)}`;
        }
    }
    for (const [name, targetCounts, baselineCounts] of groups) {
        for (const measure of ["latencies", "paces"] as const) {
            const fault = findOutliers(targetCounts, baselineCounts, measure);
            if (fault !== undefined) {
                return `${fault} on ${name}`;
            }
        }
    }
    for (const count of target.filter(item => item.timed >= MIN_TIMED)) {
        const others = baseline.filter(other => other.route === count.route);
        const timed = total(others, "timed");
        const factor = Math.exp(count.logMsSum / count.timed - total(others, "logMsSum") / Math.max(1, timed));
        if (timed >= MIN_TIMED && factor > SLOW_FACTOR) {
            return `answers on route ${count.route} take ${factor.toFixed(1)} times as long`;
        }
    }
    return undefined;
};

/**
 * Finds whether many times are much longer than usual on the same route. This also shows a version of which only some
 * answers are slow, while the others raise no mean.
 */
const findOutliers = (
    target: readonly RouteOutcomeCounts[],
    baseline: readonly RouteOutcomeCounts[],
    measure: "latencies" | "paces",
): string | undefined => {
    let outliers = 0;
    let times = 0;
    let expected = 0;
    for (const count of target) {
        const others = sumHistograms(baseline.filter(item => item.route === count.route).map(item => item[measure]));
        if (countTimes(others) < MIN_TIMED) {
            continue;
        }
        const bucket = outlierBucket(others, OUTLIER_FACTOR, OUTLIER_TAIL);
        const measured = countTimes(count[measure]);
        outliers += countFrom(count[measure], bucket);
        times += measured;
        expected += measured * countFrom(others, bucket) / countTimes(others);
    }
    const isBad = outliers >= MIN_OUTLIERS && outliers > expected + times * OUTLIER_MARGIN;
    return isBad ? `${outliers} of ${times} ${measure} are outliers, ${expected.toFixed(1)} expected,` : undefined;
};

const total = (counts: readonly RouteOutcomeCounts[], field: "answers" | "failures" | "timed" | "logMsSum"): number =>
    counts.reduce((sum, count) => sum + count[field], 0);

const percent = (rate: number): string => `${Math.round(rate * 100)} %`;
