import assert from "node:assert/strict";
import { test } from "node:test";
import { isStalled } from "./StallRule.ts";

const route = { gapMs: 800, objectiveMs: 1500, isResumable: true };

test("StallRule: an answer that is lost at an upstream which answers others goes on elsewhere before its deadline", () => {
    const waiting = { route, hasBegun: false, upstreamSilentMs: 20, hasAttempts: true };
    assert.equal(isStalled({ ...waiting, silentMs: 2900 }), false);
    assert.equal(isStalled({ ...waiting, silentMs: 3100 }), true);
    const begun = { route, hasBegun: true, upstreamSilentMs: 20, hasAttempts: true };
    assert.equal(isStalled({ ...begun, silentMs: 2300 }), false);
    assert.equal(isStalled({ ...begun, silentMs: 2500 }), true);
    assert.equal(isStalled({ ...begun, silentMs: 2500, hasAttempts: false }), false);
});

test("StallRule: a stream at an upstream that is silent goes on elsewhere after a little over its longest pause", () => {
    const begun = { route, hasBegun: true, upstreamSilentMs: 1000, hasAttempts: false };
    assert.equal(isStalled({ ...begun, silentMs: 950 }), false);
    assert.equal(isStalled({ ...begun, silentMs: 1000 }), true);
});

test("StallRule: a stream that can't be resumed is never given up for its silence", () => {
    const silent = { silentMs: 60_000, upstreamSilentMs: 60_000, hasAttempts: true };
    assert.equal(isStalled({ ...silent, route: { ...route, isResumable: false }, hasBegun: true }), false);
    assert.equal(isStalled({ ...silent, route: { ...route, isResumable: false }, hasBegun: false }), false);
});
