import assert from "node:assert/strict";
import { test } from "node:test";
import { partKeysOf } from "./CallKeys.ts";

const promptOf = (count: number) => ({
    tokens: count,
    maxOutput: 1,
    segments: Array.from(Array(count).keys(), index => ({ id: `p${index}`, tokens: 1 })),
});

const keysOf = (count: number): Set<string> => partKeysOf(promptOf(count), "s", text => text);

// BUDGET: the last part, which may belong to a session, and those behind the sixteenth had no keys.
test("partKeysOf: every part of a prompt has a key, the last one too", () => {
    const keys = keysOf(40);
    assert.equal(keys.size, 40);
    assert.ok(keys.has("part:s/p0") && keys.has("part:s/p17") && keys.has("part:s/p39"));
});

test("partKeysOf: of very long prompts, the parts at either end have keys", () => {
    const keys = keysOf(1000);
    assert.equal(keys.size, 128);
    assert.ok(keys.has("part:s/p0") && keys.has("part:s/p999"));
});
