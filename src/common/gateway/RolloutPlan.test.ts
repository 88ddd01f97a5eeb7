import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";
import { type Rollout } from "./FleetState.ts";
import { OutcomeCounters, type RouteOutcomeCounts } from "./OutcomeCounters.ts";
import { createRolloutSchedule, planRolloutStep } from "./RolloutPlan.ts";

const schedule = createRolloutSchedule(0.15);
const CANARY_SHARE = schedule.canaryShare;

const rollout: Rollout = { service: "s", target: "v2", durationMs: 20_000, orderedAt: 0, state: "running", share: 0 };

const count = (version: string, answers: number, failures: number, meanMs = 100, route = "r"): RouteOutcomeCounts => ({
    service: "s",
    version,
    route,
    answers,
    failures,
    timed: answers - failures,
    logMsSum: (answers - failures) * Math.log(meanMs),
    latencies: [],
    paces: [],
});

test("RolloutPlan: the canary share comes first, then all sessions, then completion", () => {
    const counts = [count("v1", 200, 2), count("v2", 20, 0)];
    assert.equal(planRolloutStep(rollout, 3000, false, counts, schedule), undefined);
    // Entry instances first exchange which sessions are active.
    assert.equal(planRolloutStep(rollout, 1900, true, counts, schedule), undefined);
    assert.equal(planRolloutStep(rollout, 2100, true, counts, schedule)?.share, CANARY_SHARE);
    const canary = { ...rollout, share: CANARY_SHARE };
    assert.equal(planRolloutStep(canary, 17_600, true, counts, schedule), undefined);
    assert.equal(planRolloutStep(canary, 18_000, true, counts, schedule)?.share, 1);
    assert.equal(planRolloutStep({ ...rollout, share: 1 }, 19_000, true, counts, schedule), undefined);
    assert.equal(planRolloutStep({ ...rollout, share: 1 }, 19_400, true, counts, schedule)?.state, "completed");
});

test("RolloutPlan: a version that fails more often is rolled back, even if on one route only", () => {
    const few = [count("v1", 200, 2), count("v2", 6, 4)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, few, schedule), undefined);
    const many = [count("v1", 200, 2), count("v2", 12, 5)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, many, schedule)?.state, "rolledBack");
    const oneRoute = [
        count("v1", 200, 2),
        count("v1", 200, 2, 100, "q"),
        count("v2", 90, 0),
        count("v2", 12, 6, 100, "q"),
    ];
    assert.equal(planRolloutStep({ ...rollout, share: 1 }, 15_000, true, oneRoute, schedule)?.state, "rolledBack");
});

test("RolloutPlan: a much slower version is rolled back, but not when all versions of the service fail", () => {
    const slow = [count("v1", 200, 0, 100), count("v2", 12, 0, 600)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, slow, schedule)?.state, "rolledBack");
    const allFail = [count("v1", 200, 80), count("v2", 20, 8)];
    assert.equal(planRolloutStep({ ...rollout, share: CANARY_SHARE }, 3000, true, allFail, schedule), undefined);
});

test("RolloutPlan: a bad version whose faults are never detected stays within the exposure limit", () => {
    const tickMs = 200;
    const perMs = 0.06;
    const slack = 30;
    for (const exposure of [0.05, 0.15, 0.3, 0.45]) {
        const exposureSchedule = createRolloutSchedule(exposure);
        for (const durationMs of [8000, 16_000, 24_000, 60_000]) {
            let current: Rollout = { ...rollout, durationMs };
            let targetRequests = 0;
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += tickMs) {
                const counts = [count("v1", 200, 2), count("v2", 20, 0)];
                current = { ...current, ...planRolloutStep(current, elapsedMs, true, counts, exposureSchedule) };
                targetRequests += current.share * tickMs * perMs;
            }
            assert.equal(current.state, "completed", `in ${durationMs} ms at ${exposure}`);
            const allowed = exposure * durationMs * perMs + slack;
            assert.ok(targetRequests <= allowed, `${targetRequests} of ${durationMs * perMs} requests at ${exposure}`);
        }
    }
});

/** Time between the events of one stream, in ms: about 30, but 100 for one stream in twelve that shares a busy engine. */
const drawPace = (random: SeededRandom): number => (random.chance(1 / 12) ? 100 : 30) * Math.exp(random.next() - 0.5);

/** Runs the canary phase of a roll-out with outcomes that `record` adds; returns the state after `answers` answers. */
const runCanary = (
    answers: number,
    record: (counters: OutcomeCounters, version: string) => void,
): string => {
    const counters = new OutcomeCounters();
    for (let index = 0; index < 300; index++) {
        record(counters, "v1");
    }
    const canary = { ...rollout, share: CANARY_SHARE };
    for (let index = 0; index < answers; index++) {
        record(counters, "v2");
        const step = planRolloutStep(canary, 3000, true, counters.select(() => true), schedule);
        if (step !== undefined) {
            return step.state;
        }
    }
    return canary.state;
};

const SEEDS = 50;

// EXPOSURE: only the time to the first event was compared, and its mean hid that half of the answers were slow.
test("RolloutPlan: a version of which half of the streams are several times slower is rolled back in the canary", () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        const random = new SeededRandom(seed);
        const state = runCanary(28, (counters, version) => {
            const slowness = version === "v2" && random.chance(0.5) ? 4 : 1;
            counters.record("s", version, "r", false, 100);
            counters.recordPace("s", version, "r", drawPace(random) * slowness);
        });
        assert.equal(state, "rolledBack", `seed ${seed}`);
    }
});

test("RolloutPlan: a version of which half of the attempts are given up without an answer is rolled back", () => {
    const random = new SeededRandom(1);
    const state = runCanary(28, (counters, version) => {
        if (version === "v2" && random.chance(0.5)) {
            counters.recordUnanswered("s", version, "r", 400);
            return;
        }
        counters.record("s", version, "r", false, 45);
    });
    assert.equal(state, "rolledBack");
});

test("RolloutPlan: a version that is as fast as the previous one, or a little slower, is not rolled back", () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        const random = new SeededRandom(seed);
        const state = runCanary(60, (counters, version) => {
            const slowness = version === "v2" ? 1.2 : 1;
            counters.record("s", version, "r", false, drawPace(random) * slowness);
            counters.recordPace("s", version, "r", drawPace(random) * slowness);
        });
        assert.equal(state, "running", `seed ${seed}`);
    }
});
