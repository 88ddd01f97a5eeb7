import assert from "node:assert/strict";
import { test } from "node:test";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { type Attempt } from "./Attempt.ts";
import { AttemptGroup } from "./AttemptGroup.ts";

test("AttemptGroup: an error in the callback for the end of an attempt doesn't leave its request waiting", async () => {
    const group = new AttemptGroup();
    const attempt = { run: () => Promise.resolve(undefined), hasStalled: false } as unknown as Attempt;
    group.run(attempt, {} as Selection, () => {
        throw new Error("fault in the queue");
    });
    let isWoken = false;
    void group.waitForChange().then(() => {
        isWoken = true;
    });
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(isWoken, true);
});
