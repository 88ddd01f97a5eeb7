import assert from "node:assert/strict";
import { test } from "node:test";
import { repeatWhileBusy } from "./Clock.ts";
import { ManualClock } from "./ManualClock.ts";

test("Clock: a repeated call ends when there is nothing to do, begins again when woken, and ends for good", () => {
    const clock = new ManualClock(0);
    let work = 0;
    let calls = 0;
    const repeated = repeatWhileBusy(clock, 100, () => {
        calls++;
        return --work > 0;
    });
    clock.advance(1000);
    assert.equal(calls, 0);
    work = 3;
    repeated.wake();
    repeated.wake();
    clock.advance(1000);
    assert.equal(calls, 3);
    work = 1;
    repeated.wake();
    clock.advance(1000);
    assert.equal(calls, 4);
    work = 5;
    repeated.wake();
    repeated.dispose();
    repeated.wake();
    clock.advance(1000);
    assert.equal(calls, 4);
});
