/**
 * The course of a roll-out: a small share of new sessions first, then all of them, then completion; and the verdict
 * on a version that answers worse than the one before it. Decisions only, from counts and times.
 *
 * Some faults never show in a small share, such as those under a load that does not come. All requests therefore move
 * so late that the whole roll-out stays within the exposure that a bad version may get.
 */
import { type Rollout } from "./FleetState.ts";
import { type RouteOutcomeCounts } from "./OutcomeCounters.ts";

/** Share of new sessions in the first part of a roll-out, as a part of the exposure allowed. */
const CANARY_PART = 1 / 3;
/** Part of the duration in which entry instances tell each other which sessions are under way. */
const PREPARE_UNTIL = 0.1;
/** Earliest part of the duration after which all sessions move, a little over the half in which they must stay. */
const EARLIEST_MOVE = 0.53;
/** Latest such part: some time must be left before completion. */
const LATEST_MOVE = 0.98;
/**
 * Part of the time after the move that is left at completion, for the commit of the order. What still runs on the old
 * version is broken off then.
 */
const LEFT_AT_COMPLETION = 0.32;
/** Least time that is left at completion, in ms: the leader looks every 200 ms, and a commit takes some 100 ms. */
const LEAST_LEFT_MS = 500;
/** Least failures of a bad version, so that single ones do not condemn it. */
const MIN_FAILURES = 5;
/** A bad version's failure rate is at least this much above the settled version's. */
const FAILURE_MARGIN = 0.12;
/** Least timed answers of a route before its latency counts. */
const MIN_TIMED = 10;
/** A bad version is at least this many times slower on some route. */
const SLOW_FACTOR = 2.2;

/** The course of a roll-out. */
export interface RolloutSchedule {
    /** Share of new sessions in the first part, 0 to 1. */
    readonly canaryShare: number;
    /** Part of the duration after which all sessions move. */
    readonly promoteAt: number;
    /** Part of the duration after which the roll-out is complete. */
    readonly completeAt: number;
}

/** @param exposure largest share of a service's requests that a bad version may get over a roll-out, 0 to 1 */
export const createRolloutSchedule = (exposure: number): RolloutSchedule => {
    const canaryShare = exposure * CANARY_PART;
    // canaryShare * (moveAt - PREPARE_UNTIL) + (1 - moveAt) = exposure
    const exact = (1 - exposure - canaryShare * PREPARE_UNTIL) / (1 - canaryShare);
    const moveAt = Math.min(LATEST_MOVE, Math.max(EARLIEST_MOVE, exact));
    return { canaryShare, promoteAt: moveAt, completeAt: 1 - (1 - moveAt) * LEFT_AT_COMPLETION };
};

/** What the leader should order next for a running roll-out; undefined while nothing changes. */
export type RolloutStep = Pick<Rollout, "state" | "share"> & { readonly reason: string; };

/**
 * @param elapsedMs time since the roll-out was ordered
 * @param hasTarget whether upstreams of the target version are ready
 */
export const planRolloutStep = (
    rollout: Rollout,
    elapsedMs: number,
    hasTarget: boolean,
    counts: readonly RouteOutcomeCounts[],
    course: RolloutSchedule,
): RolloutStep | undefined => {
    const fault = findFault(rollout, counts);
    if (fault !== undefined) {
        return { state: "rolledBack", share: 0, reason: fault };
    }
    const completeMs = Math.min(rollout.durationMs * course.completeAt, rollout.durationMs - LEAST_LEFT_MS);
    if (elapsedMs >= completeMs) {
        return hasTarget ? { state: "completed", share: 1, reason: "no fault was found in time" } : undefined;
    }
    const share = wantedShare(rollout, elapsedMs, hasTarget, course);
    return share > rollout.share ? { state: "running", share, reason: "time has passed without a fault" } : undefined;
};

const wantedShare = (rollout: Rollout, elapsedMs: number, hasTarget: boolean, course: RolloutSchedule): number => {
    if (!hasTarget || elapsedMs < rollout.durationMs * PREPARE_UNTIL) {
        return 0;
    }
    return elapsedMs >= rollout.durationMs * course.promoteAt ? 1 : course.canaryShare;
};

const findFault = (rollout: Rollout, counts: readonly RouteOutcomeCounts[]): string | undefined => {
    const own = counts.filter(count => count.service === rollout.service);
    const target = own.filter(count => count.version === rollout.target);
    const settled = own.filter(count => count.version !== rollout.target);
    const groups = [
        ["all routes", target, settled] as const,
        ...target.map(count => {
            const others = settled.filter(other => other.route === count.route);
            return [`route ${count.route}`, [count], others] as const;
        }),
    ];
    for (const [name, news, olds] of groups) {
        const failures = total(news, "failures");
        const rate = failures / Math.max(1, total(news, "answers"));
        const settledRate = total(olds, "failures") / Math.max(1, total(olds, "answers"));
        if (failures >= MIN_FAILURES && rate > settledRate + FAILURE_MARGIN) {
            return `${failures} failures on ${name}: ${percent(rate)} against ${percent(settledRate)}`;
        }
    }
    for (const count of target.filter(item => item.timed >= MIN_TIMED)) {
        const others = settled.filter(other => other.route === count.route);
        const timed = total(others, "timed");
        const factor = Math.exp(count.logMsSum / count.timed - total(others, "logMsSum") / Math.max(1, timed));
        if (timed >= MIN_TIMED && factor > SLOW_FACTOR) {
            return `answers on route ${count.route} take ${factor.toFixed(1)} times as long`;
        }
    }
    return undefined;
};

const total = (counts: readonly RouteOutcomeCounts[], field: "answers" | "failures" | "timed" | "logMsSum"): number =>
    counts.reduce((sum, count) => sum + count[field], 0);

const percent = (rate: number): string => `${Math.round(rate * 100)} %`;
