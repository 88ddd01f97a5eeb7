import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "../../node/time/SystemClock.ts";
import { SuspendAwareClock } from "./SuspendAwareClock.ts";

test("SuspendAwareClock: a suspension advances the boot time only, a backward jump of the wall clock nothing", context => {
    let wall = 1_000_000;
    let steady = 500;
    context.mock.method(Date, "now", () => wall);
    context.mock.method(performance, "now", () => steady);
    const clock = new SystemClock();
    const startedAt = clock.boottime();
    const steadyFrom = clock.monotonic();
    let passedMs = 0;
    const pass = (steadyMs: number, wallMs: number): number => {
        steady += steadyMs;
        wall += wallMs;
        passedMs += steadyMs;
        assert.equal(clock.monotonic() - steadyFrom, passedMs);
        return clock.boottime() - startedAt;
    };
    assert.equal(pass(1000, 1000), 1000);
    assert.equal(pass(100, 6100), 7100);
    assert.equal(pass(100, -2300), 7200);
    assert.equal(pass(100, 100), 7300);
});

// FAILBACK: a process that was held up between its readings of the two clocks gained that time for good.
test("SuspendAwareClock: a pause between the readings of the two clocks doesn't count twice", () => {
    const pauseMs = 400;
    let time = 0;
    let nextPauseMs = 0;
    const read = (): number => {
        const reading = time;
        time += nextPauseMs;
        nextPauseMs = 0;
        return reading;
    };
    const clock = new SuspendAwareClock({ now: read, monotonic: read, schedule: () => ({ dispose: () => undefined }) });
    for (const readTime of [() => clock.boottime(), () => clock.monotonic()]) {
        const startedAt = readTime();
        nextPauseMs = pauseMs;
        readTime();
        assert.equal(readTime() - startedAt, pauseMs);
    }
});
