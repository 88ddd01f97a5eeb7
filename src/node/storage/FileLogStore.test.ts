import assert from "node:assert/strict";
import { appendFileSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createLog } from "../log/Log.ts";
import { FileLogStore } from "./FileLogStore.ts";

test("FileLogStore: repair after an interrupted write keeps all synced entries, and new ones can follow", async () => {
    const folder = mkdtempSync(join(tmpdir(), "log-store-"));
    const store = new FileLogStore(folder, createLog("test", "fatal"));
    await store.load();
    await store.append([{ index: 1, term: 1, command: { kind: "one" } }]);
    // A partial record, such as a full disk leaves behind.
    appendFileSync(join(folder, "entries"), Buffer.from([0, 0, 1, 0, 7, 7]));
    await store.repair();
    const repaired = await store.load();
    assert.deepEqual(repaired.entries.map(entry => entry.index), [1]);
    await store.append([{ index: 2, term: 1, command: { kind: "two" } }]);
    await store.repair();
    const again = await store.load();
    assert.deepEqual(again.entries.map(entry => entry.command["kind"]), ["one", "two"]);
    await store.close();
    rmSync(folder, { recursive: true });
});
