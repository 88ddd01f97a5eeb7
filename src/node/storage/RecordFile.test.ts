import fc from "fast-check";
import assert from "node:assert/strict";
import { appendFile, mkdtemp, readFile, rm, truncate, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createLog } from "../log/Log.ts";
import { DataFolder } from "./DataFolder.ts";
import { FileLogStore } from "./FileLogStore.ts";
import { RecordFile } from "./RecordFile.ts";

const inFolder = async (run: (folder: string) => Promise<void>): Promise<void> => {
    const folder = await mkdtemp(join(tmpdir(), "records-"));
    try {
        await run(folder);
    }
    finally {
        await rm(folder, { recursive: true, force: true });
    }
};

test("a torn tail of any length is truncated, and everything synced before it is kept", () =>
    inFolder(async folder => {
        const path = join(folder, "file");
        const file = new RecordFile(path);
        await file.open();
        await file.append(["one", "two"]);
        const synced = file.bytes;
        await file.append(["three"]);
        await file.close();
        const whole = await readFile(path);
        for (let length = synced; length < whole.length; length++) {
            await writeFile(path, whole.subarray(0, length));
            const again = new RecordFile(path);
            const { values, truncatedBytes } = await again.open();
            await again.close();
            assert.deepEqual(values, ["one", "two"]);
            assert.equal(truncatedBytes, length - synced);
        }
    }));

test("damage before later synced records is an error and not a silent loss", () =>
    inFolder(async folder => {
        const path = join(folder, "file");
        const file = new RecordFile(path);
        await file.open();
        for (const value of ["one", "two", "three"]) {
            await file.append([value]);
        }
        await file.close();
        const bytes = await readFile(path);
        bytes[12] = (bytes[12] ?? 0) ^ 0xff;
        await writeFile(path, bytes);
        await assert.rejects(new RecordFile(path).open(), /is damaged at byte 0/);
    }));

test("opening a file of up to 100 arbitrary bytes finds no records and does not fail", () =>
    inFolder(async folder => {
        const path = join(folder, "file");
        await fc.assert(
            fc.asyncProperty(fc.uint8Array({ maxLength: 100 }), async bytes => {
                await writeFile(path, bytes);
                const file = new RecordFile(path);
                const { values } = await file.open();
                await file.close();
                assert.equal(values.length, 0);
            }),
            { seed: 9, numRuns: 100 },
        );
    }));

test("a control log survives a crash between writing its snapshot and dropping the entries that it covers", () =>
    inFolder(async folder => {
        const log = createLog("test", "fatal");
        const store = new FileLogStore(folder, log);
        await store.load();
        const entry = (index: number) => ({ index, term: 1, command: { kind: "none" } });
        await store.append([entry(1), entry(2), entry(3)]);
        const before = await readFile(join(folder, "entries"));
        await store.saveSnapshot({ lastIndex: 2, lastTerm: 1, voters: ["a"], state: {} }, [entry(3)]);
        await store.close();
        await writeFile(join(folder, "entries"), before);
        const again = new FileLogStore(folder, log);
        const stored = await again.load();
        assert.deepEqual(stored.entries.map(item => item.index), [3]);
        await again.append([entry(4)]);
        await again.close();
        const last = await new FileLogStore(folder, log).load();
        assert.deepEqual(last.entries.map(item => item.index), [3, 4]);
    }));

test("a data folder of another deployment is rejected", () =>
    inFolder(async folder => {
        const acquired = await DataFolder.acquire(folder, "orchard", "a-1");
        await acquired.release();
        await assert.rejects(DataFolder.acquire(folder, "kitahama", "a-1"), /deployment "orchard"/);
        await appendFile(join(folder, "x"), "");
        await truncate(join(folder, "x"), 0);
    }));
