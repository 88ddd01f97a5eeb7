import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "./EventSplitter.ts";

test("EventSplitter: passes only complete events, wherever the chunks are cut, and tracks the last event id", () => {
    const arbitrary = fc.record({
        count: fc.integer({ min: 1, max: 8 }),
        cuts: fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 40 }),
        lineEnd: fc.constantFrom("\n", "\r\n"),
    });
    fc.assert(
        fc.property(arbitrary, ({ count, cuts, lineEnd }) => {
            const events = [...Array(count).keys()].map(index =>
                `id: ${index + 1}${lineEnd}data: some words${lineEnd}${lineEnd}`
            );
            const data = Buffer.from(`${events.join("")}id: ${count + 1}${lineEnd}data: torn`);
            const splitter = new EventSplitter();
            let passed = "";
            let offset = 0;
            for (const size of [...cuts, data.length]) {
                passed += splitter.push(data.subarray(offset, offset + size)).toString();
                offset += size;
                const complete = passed.split(`${lineEnd}${lineEnd}`).length - 1;
                assert.equal(splitter.lastEventId, complete === 0 ? undefined : String(complete));
            }
            assert.equal(passed, events.join(""));
            assert.ok(splitter.partialLength > 0);
        }),
        { seed: 7, numRuns: 300 },
    );
});
