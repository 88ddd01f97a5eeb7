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

const rolloutsOf = (state: FleetState): string[] =>
    state.fleet.rollouts.map(({ id, target, state: phase }) => `${id} ${target} ${phase}`);

test("FleetState: steps of an earlier roll-out to the same version don't move the later one", () => {
    const state = new FleetState();
    const move = { kind: "moveRollout", service: "s", target: "v2", state: "rolledBack", share: 0 };
    state.apply({ ...startCommand, newestKnownId: 0 }, 1);
    state.apply({ ...move, id: 1 }, 2);
    state.apply({ ...startCommand, newestKnownId: 1 }, 3);
    state.apply({ ...move, id: 1 }, 4);
    state.apply(move, 5);
    assert.deepEqual(rolloutsOf(state), ["3 v2 running"]);
    state.apply({ ...move, id: 3 }, 6);
    assert.deepEqual(rolloutsOf(state), ["3 v2 rolledBack"]);
});

test("FleetState: an order given before another roll-out began is outdated, unless it repeats the newest one", () => {
    const state = new FleetState();
    state.apply({ ...startCommand, newestKnownId: 0 }, 1);
    assert.equal(state.isOutdated({ ...startCommand, newestKnownId: 0 }), false);
    const other = { ...startCommand, target: "v3" };
    assert.equal(state.isOutdated({ ...other, newestKnownId: 0 }), true);
    assert.deepEqual(state.apply({ ...other, newestKnownId: 0 }, 2), { revision: 1, isOutdated: true });
    state.apply({ ...other, newestKnownId: 1 }, 3);
    assert.equal(state.isOutdated({ ...startCommand, newestKnownId: 0 }), true);
    assert.deepEqual(rolloutsOf(state), ["1 v2 rolledBack", "3 v3 running"]);
});

test("FleetState: an order of an earlier build that would be ignored is outdated", () => {
    const state = new FleetState();
    state.apply(startCommand, 1);
    assert.equal(state.isOutdated(startCommand), false);
    state.apply({ ...startCommand, target: "v3" }, 2);
    assert.equal(state.isOutdated(startCommand), true);
});

// Such an order could undo a later one: it doesn't tell what its receiver knew.
test("FleetState: an order from an instance that doesn't know the feature level yet is outdated", () => {
    const state = new FleetState();
    state.apply({ kind: "raiseFeatureLevel", level: 1 }, 1);
    assert.equal(state.isOutdated(startCommand), true);
    assert.deepEqual(state.apply(startCommand, 2), { revision: 1, isOutdated: true });
    state.apply({ ...startCommand, newestKnownId: 0 }, 3);
    assert.equal(state.isOutdated(startCommand), false);
});

test("FleetState: the list of roll-outs doesn't grow without end, and keeps the version in use", () => {
    const state = new FleetState();
    state.apply({ ...startCommand, newestKnownId: 0 }, 1);
    state.apply({ kind: "moveRollout", id: 1, service: "s", target: "v2", state: "completed", share: 1 }, 2);
    let newestKnownId = 1;
    for (let index = 3; index < 200; index += 2) {
        const target = `v${index}`;
        state.apply({ ...startCommand, target, newestKnownId }, index);
        state.apply({ kind: "moveRollout", id: index, service: "s", target, state: "rolledBack", share: 0 }, index + 1);
        newestKnownId = index;
    }
    assert.ok(state.fleet.rollouts.length < 20, `${state.fleet.rollouts.length} roll-outs`);
    assert.equal(rolloutsOf(state)[0], "1 v2 completed");
});
