import assert from "node:assert/strict";
import { test } from "node:test";
import { type Rollout } from "./FleetState.ts";
import { type RouteOutcomeCounts } from "./OutcomeCounters.ts";
import { createRolloutSchedule, planRolloutStep } from "./RolloutPlan.ts";

const course = createRolloutSchedule(0.15);
const CANARY_SHARE = course.canaryShare;

const rollout: Rollout = { service: "s", target: "v2", durationMs: 20_000, orderedAt: 0, state: "running", share: 0 };

const count = (version: string, answers: number, failures: number, meanMs = 100, route = "r"): RouteOutcomeCounts => ({
    service: "s",
    version,
    route,
    answers,
    failures,
    timed: answers - failures,
    logMsSum: (answers - failures) * Math.log(meanMs),
});

test("RolloutPlan: a small share first, then all, then completion", () => {
    const counts = [count("v1", 200, 2), count("v2", 20, 0)];
    assert.equal(planRolloutStep(rollout, 3000, false, counts, course), undefined);
    // Entry instances first tell each other which sessions are under way.
    assert.equal(planRolloutStep(rollout, 1900, true, counts, course), undefined);
    assert.equal(planRolloutStep(rollout, 2100, true, counts, course)?.share, CANARY_SHARE);
    const canary = { ...rollout, share: CANARY_SHARE };
    assert.equal(planRolloutStep(canary, 17_600, true, counts, course), undefined);
    assert.equal(planRolloutStep(canary, 18_000, true, counts, course)?.share, 1);
    assert.equal(planRolloutStep({ ...rollout, share: 1 }, 19_000, true, counts, course), undefined);
    assert.equal(planRolloutStep({ ...rollout, share: 1 }, 19_400, true, counts, course)?.state, "completed");
});

test("RolloutPlan: a version that fails more often is rolled back, also on one route only", () => {
    const few = [count("v1", 200, 2), count("v2", 6, 4)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, few, course), undefined);
    const many = [count("v1", 200, 2), count("v2", 12, 5)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, many, course)?.state, "rolledBack");
    const oneRoute = [
        count("v1", 200, 2),
        count("v1", 200, 2, 100, "q"),
        count("v2", 90, 0),
        count("v2", 12, 6, 100, "q"),
    ];
    assert.equal(planRolloutStep({ ...rollout, share: 1 }, 15_000, true, oneRoute, course)?.state, "rolledBack");
});

test("RolloutPlan: a version that is several times slower is rolled back, a service that fails as a whole is not", () => {
    const slow = [count("v1", 200, 0, 100), count("v2", 12, 0, 600)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, slow, course)?.state, "rolledBack");
    const allFail = [count("v1", 200, 80), count("v2", 20, 8)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, allFail, course), undefined);
});

test("RolloutPlan: a version whose faults never show gets no more requests than a bad one may", () => {
    const tickMs = 200;
    const perMs = 0.06;
    const slack = 30;
    for (const exposure of [0.05, 0.15, 0.3, 0.45]) {
        const wanted = createRolloutSchedule(exposure);
        for (const durationMs of [8000, 16_000, 24_000, 60_000]) {
            let current: Rollout = { ...rollout, durationMs };
            let onTarget = 0;
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += tickMs) {
                const counts = [count("v1", 200, 2), count("v2", 20, 0)];
                current = { ...current, ...planRolloutStep(current, elapsedMs, true, counts, wanted) };
                onTarget += current.share * tickMs * perMs;
            }
            assert.equal(current.state, "completed", `in ${durationMs} ms at ${exposure}`);
            const allowed = exposure * durationMs * perMs + slack;
            assert.ok(onTarget <= allowed, `${onTarget} of ${durationMs * perMs} requests at ${exposure}`);
        }
    }
});
