import assert from "node:assert/strict";
import { test } from "node:test";
import { type AttemptActivity, findStall } from "./StallDetection.ts";

const route = { kind: "stream", gapMs: 800, objectiveMs: 1500, isResumable: true } as const;

const isStalled = (activity: Omit<AttemptActivity, "heartbeatAgeMs">): boolean =>
    findStall({ ...activity, heartbeatAgeMs: 0 }) === "stalled";

test("StallDetection: a stream that a working upstream has lost is resumed before its deadline", () => {
    const waiting = { route, hasBegun: false, upstreamIdleMs: 20 };
    assert.equal(isStalled({ ...waiting, idleMs: 2900 }), false);
    assert.equal(isStalled({ ...waiting, idleMs: 3100 }), true);
    const begun = { route, hasBegun: true, upstreamIdleMs: 20 };
    assert.equal(isStalled({ ...begun, idleMs: 2300 }), false);
    assert.equal(isStalled({ ...begun, idleMs: 2500 }), true);
});

test("StallDetection: a stream of a silent upstream is resumed shortly after its longest gap", () => {
    const begun = { route, hasBegun: true, upstreamIdleMs: 1000 };
    assert.equal(isStalled({ ...begun, idleMs: 950 }), false);
    assert.equal(isStalled({ ...begun, idleMs: 1000 }), true);
});

test("StallDetection: a stream that can't be resumed never counts as stalled", () => {
    const silent = { idleMs: 60_000, upstreamIdleMs: 60_000 };
    assert.equal(isStalled({ ...silent, route: { ...route, isResumable: false }, hasBegun: true }), false);
    assert.equal(isStalled({ ...silent, route: { ...route, isResumable: false }, hasBegun: false }), false);
});
