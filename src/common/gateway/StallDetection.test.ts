import assert from "node:assert/strict";
import { test } from "node:test";
import { isStalled } from "./StallDetection.ts";

const route = { gapMs: 800, objectiveMs: 1500, isResumable: true };

test("StallRule: an answer that is lost at an upstream which answers others goes on elsewhere before its deadline", () => {
    const waiting = { route, hasBegun: false, upstreamIdleMs: 20, hasAttemptsLeft: true };
    assert.equal(isStalled({ ...waiting, idleMs: 2900 }), false);
    assert.equal(isStalled({ ...waiting, idleMs: 3100 }), true);
    const begun = { route, hasBegun: true, upstreamIdleMs: 20, hasAttemptsLeft: true };
    assert.equal(isStalled({ ...begun, idleMs: 2300 }), false);
    assert.equal(isStalled({ ...begun, idleMs: 2500 }), true);
    assert.equal(isStalled({ ...begun, idleMs: 2500, hasAttemptsLeft: false }), false);
});

test("StallRule: a stream at an upstream that is silent goes on elsewhere after a little over its longest pause", () => {
    const begun = { route, hasBegun: true, upstreamIdleMs: 1000, hasAttemptsLeft: false };
    assert.equal(isStalled({ ...begun, idleMs: 950 }), false);
    assert.equal(isStalled({ ...begun, idleMs: 1000 }), true);
});

test("StallRule: a stream that can't be resumed is never given up for its silence", () => {
    const silent = { idleMs: 60_000, upstreamIdleMs: 60_000, hasAttemptsLeft: true };
    assert.equal(isStalled({ ...silent, route: { ...route, isResumable: false }, hasBegun: true }), false);
    assert.equal(isStalled({ ...silent, route: { ...route, isResumable: false }, hasBegun: false }), false);
});
