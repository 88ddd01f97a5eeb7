import assert from "node:assert/strict";
import { test } from "node:test";
import { createUpstreamRecord as record } from "../../../addons/fakes/UpstreamRecords.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";

const create = (): { clock: ManualClock; directory: UpstreamDirectory; } => {
    const clock = new ManualClock(1000);
    return { clock, directory: new UpstreamDirectory(clock) };
};

test("UpstreamDirectory: a late record changes nothing, and an upstream that leaves doesn't become ready again", () => {
    const { directory } = create();
    assert.equal(directory.merge(record({ seq: 5 }), 0), true);
    assert.equal(directory.merge(record({ seq: 4 }), 0), false);
    assert.equal(directory.merge(record({ seq: 6, state: "draining" }), 0), true);
    assert.equal(directory.merge(record({ seq: 7 }), 0), false);
    assert.equal(directory.get("u1")?.record.state, "draining");
    directory.markGone("u1", undefined);
    assert.equal(directory.merge(record({ seq: 8, state: "draining" }), 0), false);
    assert.equal(directory.get("u1")?.record.state, "gone");
    assert.equal(directory.merge(record({ start: 200, seq: 1 }), 0), true);
    assert.equal(directory.get("u1")?.record.state, "ready");
});

test("UpstreamDirectory: the address of an ended process belongs to the process that started later", () => {
    const { directory } = create();
    directory.merge(record({}), 0);
    assert.equal(directory.merge(record({ id: "u2", start: 300, service: "other" }), 0), true);
    assert.equal(directory.get("u1")?.record.state, "gone");
    // A network partition delayed a record of the first process.
    assert.equal(directory.merge(record({ seq: 9 }), 0), false);
    assert.equal(directory.merge(record({ id: "u3", start: 200 }), 0), false);
});

// BUDGET: the arrival of the later process was taken for a heartbeat of the ended one.
test("UpstreamDirectory: a process that another one replaces at its address has given no sign of life by that", () => {
    const { clock, directory } = create();
    const other = new UpstreamDirectory(clock);
    directory.merge(record({}), 0);
    other.merge(record({}), 0);
    clock.advance(300);
    directory.merge(record({ id: "u2", start: 300 }), 0);
    directory.changedSince(0).records.forEach(item =>
        other.merge(item.record, clock.monotonic() - item.receivedAt, true)
    );
    for (
        const { record: known, receivedAt } of [directory.get("u1"), other.get("u1")].filter(item => item !== undefined)
    ) {
        assert.deepEqual([known.state, known.endedUnannounced, receivedAt], ["gone", true, 1000]);
    }
});

test("UpstreamDirectory: a process that left at its own request has announced its end, as has a draining one", () => {
    const { clock, directory } = create();
    directory.merge(record({}), 0);
    clock.advance(300);
    directory.markGone("u1", undefined);
    directory.merge(record({ id: "u2", start: 300 }), 0);
    directory.merge(record({ id: "u2", start: 300, seq: 2, state: "draining" }), 0);
    directory.merge(record({ id: "u3", start: 600 }), 0);
    assert.deepEqual(["u1", "u2"].map(id => directory.get(id)?.record.endedUnannounced), [false, false]);
    assert.equal(directory.get("u1")?.receivedAt, 1300);
});

test("UpstreamDirectory: an unknown process can be marked as gone before its first record arrives", () => {
    const { directory } = create();
    directory.markGone("u9", 100);
    assert.equal(directory.merge(record({ id: "u9" }), 0), false);
    directory.markGone("u9", 50);
    assert.equal(directory.merge(record({ id: "u9", start: 150 }), 0), true);
    directory.markGone("u9", 100);
    assert.equal(directory.get("u9")?.record.state, "ready");
});

test("UpstreamDirectory: followers get only new changes, and arrivals and departures are urgent", () => {
    const { clock, directory } = create();
    const urgent: boolean[] = [];
    directory.onChanged(change => urgent.push(change.isUrgent));
    directory.merge(record({}), 0);
    const { version } = directory;
    directory.merge(record({ seq: 2 }), 40);
    assert.deepEqual(directory.changedSince(version).records, []);
    assert.deepEqual(directory.changedSince(version).heartbeats.map(renewal => renewal.seq), [2]);
    assert.equal(directory.changedSince(0).records.length, 1);
    directory.merge(record({ seq: 3, coldMs: 500 }), 0);
    directory.merge(record({ seq: 4, state: "draining" }), 0);
    assert.deepEqual(urgent, [true, false, true, true]);
    assert.equal(directory.changedSince(version).records.length, 1);
    assert.deepEqual(directory.changedSince(directory.version), { records: [], heartbeats: [] });
    clock.advance(31_000);
    directory.evictStale();
    assert.equal(directory.get("u1"), undefined);
});

test("UpstreamDirectory: relayed heartbeats are merged, but not relayed again", () => {
    const { clock, directory } = create();
    directory.merge(record({}), 0);
    const { version } = directory;
    clock.advance(1000);
    directory.mergeHeartbeat("u1", 100, 2, 30);
    assert.equal(directory.get("u1")?.receivedAt, clock.monotonic() - 30);
    assert.deepEqual(directory.changedSince(version), { records: [], heartbeats: [] });
    directory.mergeHeartbeat("u1", 99, 9, 0);
    directory.mergeHeartbeat("u1", 100, 1, 0);
    assert.equal(directory.get("u1")?.record.seq, 2);
    directory.merge(record({ seq: 3, state: "draining" }), 0, true);
    assert.equal(directory.changedSince(version).records.length, 1);
});

// FAILBACK: the news waited for up to a second with the heartbeats, while instances took the upstream for warm.
test("UpstreamDirectory: that an upstream turns cold once more before it has said that it is warm is urgent", () => {
    const { clock, directory } = create();
    const urgent: boolean[] = [];
    directory.merge(record({ seq: 1, coldMs: 3000 }), 0);
    directory.onChanged(change => urgent.push(change.isUrgent));
    clock.advance(1200);
    directory.merge(record({ seq: 2, coldMs: 1800 }), 0);
    clock.advance(1200);
    directory.merge(record({ seq: 3, coldMs: 700 }), 20);
    clock.advance(900);
    directory.merge(record({ seq: 4, coldMs: 2900 }), 0);
    assert.deepEqual(urgent, [false, false, true]);
});

// CONFIG: the address of the earlier process still stood for the upstream, which counted as replaced there.
test("UpstreamDirectory: an upstream that has started again elsewhere outlives the reuse of its earlier address", () => {
    const { directory } = create();
    const moved = record({ start: 200, port: 9999 });
    directory.merge(record({}), 0);
    directory.merge(moved, 0);
    directory.merge(record({ id: "u2", start: 300, service: "other" }), 0);
    assert.equal(directory.get("u1")?.record.state, "ready");
    assert.equal(directory.recordAt(`${moved.host}:${moved.port}`)?.id, "u1");
    assert.equal(directory.recordAt(`${moved.host}:${record({}).port}`)?.id, "u2");
    directory.merge(record({ id: "u3", start: 400, port: 9999 }), 0);
    assert.equal(directory.get("u1")?.record.state, "gone");
});
