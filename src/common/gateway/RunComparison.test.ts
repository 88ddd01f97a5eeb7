import assert from "node:assert/strict";
import { test } from "node:test";
import { type CrashedRun, RunComparison, type SampledRun } from "./RunComparison.ts";

const KEY = "part:s/p";

/** Runs that crashed one process each, some time after each other: their starts, and how long they lasted. */
const crashedRuns = (...runs: readonly (readonly [startedAt: number, lastedMs: number])[]): CrashedRun[] =>
    runs.map(([startedAt, lastedMs], crash) => ({ crash, startedAt, lastedMs }));

const run = (startedAt: number, lastedMs: number, isComplete: boolean): SampledRun => ({
    startedAt,
    lastedMs,
    outcome: isComplete ? "complete" : "open",
});

const crashingSince = (crashed: readonly CrashedRun[], ...sound: readonly SampledRun[]): number => {
    const comparison = new RunComparison();
    comparison.record("e", KEY, sound);
    return comparison.crashingSince(KEY, crashed);
};

// BUDGET: an answer to a request that was sent before the part became fatal cleared it of later crashes.
test("RunComparison: complete runs that began earlier don't clear a key of crashes", () => {
    const crashed = crashedRuns([1000, 50], [1200, 60], [1400, 40]);
    assert.equal(crashingSince(crashed, run(500, 2400, true), run(900, 2400, true)), 1000);
});

test("RunComparison: a complete run that began later clears a key of the crashes before, and not of later ones", () => {
    const crashed = crashedRuns([1000, 50], [1200, 60], [1400, 40]);
    assert.equal(crashingSince(crashed, run(1450, 300, true)), Infinity);
    assert.equal(crashingSince(crashed, run(1100, 300, true)), 1200);
});

test("RunComparison: few answers between many crashes don't clear a key, and one after them does", () => {
    const crashed = crashedRuns([1000, 50], [1200, 60], [1400, 40], [1600, 50], [1800, 40]);
    assert.equal(crashingSince(crashed, run(1700, 80, true)), 1000);
    assert.equal(crashingSince(crashed, run(1900, 80, true)), Infinity);
});

// BUDGET: a stream that had gone on for a second cleared what later ended its upstream.
test("RunComparison: runs that have lasted less than those that crashed say nothing", () => {
    const crashed = crashedRuns([1000, 1500], [1200, 1900], [1400, 1300]);
    assert.equal(crashingSince(crashed, run(1500, 1200, false), run(1600, 1100, true)), 1000);
    assert.equal(crashingSince(crashed, run(1500, 2000, true)), Infinity);
});

test("RunComparison: many open runs that have lasted longer clear a key, and few don't, as they may still crash", () => {
    const crashed = crashedRuns([1000, 1500], [1200, 1900], [1400, 1300]);
    assert.equal(
        crashingSince(
            [...crashed, { crash: 3, startedAt: 1450, lastedMs: 1500 }],
            run(1500, 2000, false),
        ),
        1000,
    );
    assert.equal(crashingSince(crashed, ...Array<SampledRun>(3).fill(run(1500, 2000, false))), Infinity);
});

test("RunComparison: several processes that end at once count as one crash", () => {
    const crashed = crashedRuns([1000, 50], [1200, 60], [1400, 40]).map(item => ({ ...item, crash: 0 }));
    assert.equal(crashingSince(crashed, run(1450, 100, false)), Infinity);
});

test("RunComparison: what an instance reports replaces what it reported before, and only complete runs are answers", () => {
    const comparison = new RunComparison();
    comparison.record("e", KEY, [run(1500, 100, true)]);
    assert.equal(comparison.hasAnswer(KEY, 1400, 50), true);
    assert.equal(comparison.hasAnswer(KEY, 1600, 50), false);
    comparison.record("e", KEY, [run(1500, 100, false)]);
    assert.equal(comparison.hasAnswer(KEY, 1400, 50), false);
    comparison.record("e", KEY, [run(1500, 100, true)]);
    comparison.forget(KEY);
    assert.equal(comparison.hasAnswer(KEY, 1400, 50), false);
});
