import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
import { ObservedRun, RunSamples } from "./RunSamples.ts";

const ignore = (): void => undefined;

test("ObservedRun: it lasts from its first to its newest part, and counts as answered when complete or long", () => {
    const clock = new ManualClock(0);
    let answers = 0;
    const observed = new ObservedRun(clock, false, () => answers++);
    clock.advance(300);
    assert.deepEqual([observed.lastedMs, observed.isComparable], [0, false]);
    observed.recordProgress();
    clock.advance(900);
    observed.recordProgress();
    assert.deepEqual([observed.lastedMs, observed.outcome, answers], [900, "open", 0]);
    clock.advance(200);
    observed.recordProgress();
    observed.complete();
    assert.deepEqual([observed.lastedMs, observed.outcome, answers], [1100, "complete", 1]);
    observed.fail();
    assert.equal(observed.outcome, "failed");
});

test("RunSamples: the runs of a popular key are thinned, so that their ages are spread", () => {
    const clock = new ManualClock(0);
    const samples = new RunSamples(clock);
    for (let index = 0; index < 2000; index++) {
        const observed = new ObservedRun(clock, false, ignore);
        observed.recordProgress();
        samples.add(observed, ["k"]);
        clock.advance(10);
    }
    const ages = samples.runsOf("k").map(({ startedAt }) => clock.monotonic() - startedAt);
    assert.ok(ages.length <= 16);
    for (const [from, to] of [[0, 500], [500, 1500], [1500, 4000], [4000, 20_001]] as const) {
        assert.ok(ages.some(age => age >= from && age < to), `${from} to ${to} ms: ${ages.join()}`);
    }
});

test("RunSamples: runs whose response has not begun are left out, and keys without a recent run are forgotten", () => {
    const clock = new ManualClock(0);
    const samples = new RunSamples(clock);
    const [first, second] = [new ObservedRun(clock, false, ignore), new ObservedRun(clock, false, ignore)];
    [first, second].forEach(observed => samples.add(observed, ["k"]));
    second.fail();
    assert.deepEqual(samples.runsOf("k"), [second]);
    clock.advance(31_000);
    samples.add(new ObservedRun(clock, false, ignore), ["other"]);
    assert.deepEqual(samples.runsOf("k"), []);
});
