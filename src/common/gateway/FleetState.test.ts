import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyFleet, FleetState, latestRollout } from "./FleetState.ts";

const startCommand = { kind: "startRollout", service: "s", target: "v2", durationMs: 1000, orderedAt: 5 };

test("FleetState: only a higher version replaces the declared configuration", () => {
    const state = new FleetState();
    state.apply({ kind: "declare", version: 3, text: "three" }, 1);
    state.apply({ kind: "declare", version: 3, text: "other three" }, 2);
    state.apply({ kind: "declare", version: 2, text: "two" }, 3);
    assert.deepEqual([state.fleet.configText, state.fleet.revision], ["three", 1]);
    state.apply({ kind: "declare", version: 7, text: "seven" }, 4);
    assert.deepEqual([state.fleet.configText, state.fleet.revision], ["seven", 4]);
});

test("FleetState: commands are idempotent, and a finished roll-out is final", () => {
    const state = new FleetState();
    state.apply(startCommand, 1);
    state.apply(startCommand, 2);
    assert.equal(state.fleet.revision, 1);
    state.apply({ kind: "moveRollout", service: "s", target: "v2", state: "rolledBack", share: 0 }, 3);
    state.apply({ kind: "moveRollout", service: "s", target: "v2", state: "completed", share: 1 }, 4);
    state.apply(startCommand, 5);
    assert.equal(latestRollout(state.fleet, "s")?.state, "rolledBack");
    state.apply({ kind: "drainDomain", domain: "d" }, 6);
    state.apply({ kind: "drainDomain", domain: "d" }, 7);
    assert.deepEqual(state.fleet.drainedDomains, ["d"]);
    state.apply({ kind: "restoreDomain", domain: "d" }, 8);
    assert.deepEqual(state.fleet.drainedDomains, []);
});

test("FleetState: a snapshot restores the same state, and unknown commands change nothing", () => {
    const state = new FleetState();
    state.apply({ kind: "declare", version: 1, text: "one" }, 1);
    state.apply({ kind: "voters", voters: [] }, 2);
    const other = new FleetState();
    other.restore(state.snapshot());
    assert.deepEqual(other.fleet, state.fleet);
    other.restore({});
    assert.deepEqual(other.fleet, emptyFleet);
});

test("FleetState: an order given before the drained domains changed is outdated, unless it changes nothing", () => {
    const state = new FleetState();
    const drain = { kind: "drainDomain", domain: "d" };
    const restore = { kind: "restoreDomain", domain: "d" };
    state.apply(drain, 5);
    assert.equal(state.isOutdated({ ...restore, knownRevision: 4 }), true);
    assert.equal(state.isOutdated({ ...restore, knownRevision: 5 }), false);
    assert.equal(state.isOutdated({ ...drain, knownRevision: 4 }), false);
    // Builds that don't send what they knew.
    assert.equal(state.isOutdated(restore), false);
    state.apply({ kind: "declare", version: 1, text: "one" }, 6);
    assert.equal(state.isOutdated({ ...restore, knownRevision: 5 }), false);
    const restored = new FleetState();
    restored.restore(state.snapshot());
    assert.equal(restored.isOutdated({ ...restore, knownRevision: 5 }), true);
    assert.equal(restored.isOutdated({ ...restore, knownRevision: 6 }), false);
});
