import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
import { MAX_ASKED_PAUSE_MS, UpstreamPauses } from "./UpstreamPauses.ts";
import { UpstreamStatements, upstreamStatementSchema } from "./UpstreamStatements.ts";

const create = (): { clock: ManualClock; own: UpstreamStatements; other: UpstreamStatements; } => {
    const clock = new ManualClock(0);
    return { clock, own: new UpstreamStatements(clock), other: new UpstreamStatements(clock) };
};

const passOn = (from: UpstreamStatements, to: UpstreamStatements): void =>
    from.changedSince(0).forEach(statement => to.merge(upstreamStatementSchema.parse(statement)));

test("UpstreamStatements: an upstream that told this instance that it leaves is spared whatever others say", () => {
    const { clock, own, other } = create();
    own.recordResponse("u 1", undefined, true);
    other.recordResponse("u 1", undefined, false);
    passOn(other, own);
    clock.advance(600_000);
    own.recordResponse("u 1", undefined, false);
    assert.equal(own.isLeaving("u 1"), true);
    assert.equal(own.isLeaving("u 2"), false);
});

test("UpstreamStatements: the word of another instance expires, or is contradicted by the upstream", () => {
    const { clock, own, other } = create();
    other.recordResponse("u 1", undefined, true);
    other.recordResponse("u 2", undefined, true);
    passOn(other, own);
    assert.deepEqual([own.isLeaving("u 1"), own.isLeaving("u 2")], [true, true]);
    own.recordResponse("u 2", undefined, false);
    assert.equal(own.isLeaving("u 2"), false);
    clock.advance(16_000);
    assert.equal(own.isLeaving("u 1"), false);
    // Passing the old word on again doesn't make it newer.
    passOn(other, own);
    assert.equal(own.isLeaving("u 1"), false);
});

test("UpstreamStatements: what a build without the notice passes on leaves the notice and the limit as they are", () => {
    const { own } = create();
    own.recordResponse("u 1", 3, true);
    own.merge({ upstream: "u 1", ageMs: 1000 });
    assert.deepEqual([own.limitOf("u 1"), own.isLeaving("u 1")], [3, true]);
});

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
