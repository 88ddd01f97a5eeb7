import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
import { MAX_ASKED_PAUSE_MS, UpstreamPauses } from "./UpstreamPauses.ts";

test("UpstreamPauses: a pause holds for its time, is bounded, and ends with single requests", () => {
    const clock = new ManualClock(0);
    const pauses = new UpstreamPauses(clock, "e:1");
    pauses.begin("u", 3000);
    pauses.begin("u", 1000);
    clock.advance(2999);
    assert.ok(pauses.remainingMs("u") > 0 && pauses.isPaused("u"));
    clock.advance(1001);
    assert.deepEqual([pauses.remainingMs("u"), pauses.isPaused("u")], [0, false]);
    pauses.recordSend("u");
    assert.ok(pauses.remainingMs("u") > 0 && !pauses.isPaused("u"));
    pauses.recordAnswer("u");
    assert.equal(pauses.remainingMs("u"), 0);
    pauses.begin("v", 1e12);
    clock.advance(MAX_ASKED_PAUSE_MS + 1000);
    assert.equal(pauses.isPaused("v"), false);
});

test("UpstreamPauses: instances that were told at the same moment come back at different ones", () => {
    const clock = new ManualClock(0);
    const remaining = Array.from({ length: 200 }, (...[, index]) => {
        const pauses = new UpstreamPauses(clock, `e:${index}`);
        pauses.begin("u", 3000);
        return pauses.remainingMs("u");
    });
    for (let from = 3000; from < 4000; from += 100) {
        const back = remaining.filter(ms => ms >= from && ms < from + 100).length;
        assert.ok(back <= 80, `${back} of 200 within 100 ms`);
    }
    assert.ok(remaining.every(ms => ms >= 3000));
});
