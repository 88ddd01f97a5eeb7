import assert from "node:assert/strict";
import { test } from "node:test";
import { createUpstreamRecord } from "../../../addons/fakes/UpstreamRecords.ts";
import { CrashObserver } from "../../common/gateway/CrashObserver.ts";
import { ObservedRun } from "../../common/gateway/RunSamples.ts";
import { UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { createLog } from "../log/Log.ts";
import { type BrokenRunDependencies, reportBrokenRun } from "./BrokenRuns.ts";
import { type Call } from "./Call.ts";
import { type ProbeResult } from "./UpstreamConnections.ts";

const record = createUpstreamRecord({});

/** What is reported of a run that breaks 700 ms after it was sent, once `change` has been made to the directory. */
const reportsAfter = async (
    change: (directory: UpstreamDirectory) => void,
    probe: ProbeResult = "refused",
    unreached: string[] = [],
) => {
    const clock = new ManualClock(1000);
    const directory = new UpstreamDirectory(clock);
    const observer = new CrashObserver(clock);
    directory.merge(record, 0);
    const run = new ObservedRun(clock, false, () => undefined);
    clock.advance(700);
    change(directory);
    const connections = { probe: () => Promise.resolve(probe) };
    const cold = { recordUnreached: (id: string) => unreached.push(id) };
    const deps = { clock, log: createLog("test", "fatal"), directory, connections, observer, cold };
    const call = { req: { id: "q" }, keys: { request: () => "r", parts: new Set(["part:s/p"]) } };
    const selection = { record, name: "u1 100" };
    await reportBrokenRun(
        deps as unknown as BrokenRunDependencies,
        call as unknown as Call,
        selection as unknown as Selection,
        run,
    );
    return observer.runsSince(0).runs;
};

test("reportBrokenRun: a run is reported with what its process has done, also if another process is at the address", async () => {
    const [run] = await reportsAfter(() => undefined);
    assert.deepEqual([run?.request, run?.parts, run?.startedAgeMs], ["r", ["part:s/p"], 700]);
    assert.deepEqual([run?.isRefused, run?.isAccepted], [true, false]);
    const [accepted] = await reportsAfter(() => undefined, "accepted");
    assert.deepEqual([accepted?.isRefused, accepted?.isAccepted], [false, true]);
    // BUDGET: crashes were not reported once another process had registered at the address, or accepted the probe.
    const replaced = await reportsAfter(
        directory => directory.merge({ ...record, id: "u2", start: 500 }, 0),
        "accepted",
    );
    assert.equal(replaced.length, 1);
    assert.equal(
        (await reportsAfter(directory => directory.merge({ ...record, start: 500 }, 0), "accepted")).length,
        1,
    );
});

test("reportBrokenRun: the end of a process that has announced it is not reported", async () => {
    assert.deepEqual(await reportsAfter(directory => directory.markGone("u1", 100)), []);
    assert.deepEqual(await reportsAfter(directory => directory.merge({ ...record, seq: 2, state: "draining" }, 0)), []);
});

// FAILBACK: the next process at the address, which is cold, was taken for the one that had ended.
test("reportBrokenRun: an upstream counts as cold once nothing listens at its address", async () => {
    const unreached: string[] = [];
    await reportsAfter(() => undefined, "accepted", unreached);
    await reportsAfter(() => undefined, "unanswered", unreached);
    assert.deepEqual(unreached, []);
    await reportsAfter(() => undefined, "refused", unreached);
    assert.deepEqual(unreached, ["u1"]);
});
