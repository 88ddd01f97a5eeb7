import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
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

test("UpstreamStatements: the word that an upstream leaves, from an instance that knows no limit, leaves the limit in force", () => {
    const { own, other } = create();
    own.recordResponse("u 1", 3, false);
    other.recordLeaving("u 1");
    passOn(other, own);
    assert.deepEqual([own.limitOf("u 1"), own.isLeaving("u 1")], [3, true]);
});
