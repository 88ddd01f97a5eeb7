import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspendAwareClock } from "./SuspendAwareClock.ts";

test("SuspendAwareClock: a suspension advances the clock, a backward jump of the wall clock does not", context => {
    let wall = 1_000_000;
    let steady = 500;
    context.mock.method(Date, "now", () => wall);
    context.mock.method(performance, "now", () => steady);
    const clock = new SuspendAwareClock();
    const startedAt = clock.monotonic();
    const pass = (steadyMs: number, wallMs: number): number => {
        steady += steadyMs;
        wall += wallMs;
        return clock.monotonic() - startedAt;
    };
    assert.equal(pass(1000, 1000), 1000);
    assert.equal(pass(100, 6100), 7100);
    assert.equal(pass(100, -2300), 7200);
    assert.equal(pass(100, 100), 7300);
});
