import assert from "node:assert/strict";
import { test } from "node:test";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { type Attempt } from "./Attempt.ts";
import { AttemptGroup } from "./AttemptGroup.ts";

test("AttemptGroup: an error in the callback for the end of an attempt doesn't leave its request waiting", async () => {
    const group = new AttemptGroup();
    const attempt = { run: () => Promise.resolve(undefined), hasStalled: false } as unknown as Attempt;
    const errors: string[] = [];
    const fail = (): void => {
        throw new Error("fault in the queue");
    };
    group.run(attempt, {} as Selection, fail, ({ message }) => errors.push(message));
    let isWoken = false;
    void group.waitForChange().then(() => {
        isWoken = true;
    });
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(isWoken, true);
    assert.deepEqual(errors, ["fault in the queue"]);
});

test("AttemptGroup: an error thrown in an attempt fails that attempt alone", async () => {
    const group = new AttemptGroup();
    const createAttempt = (run: () => Promise<undefined>): Attempt =>
        ({ run, hasStalled: false }) as unknown as Attempt;
    const errors: string[] = [];
    const ignore = (): void => undefined;
    group.run(createAttempt(() => new Promise(ignore)), {} as Selection, ignore, ignore);
    group.run(
        createAttempt(() => Promise.reject(new Error("fault"))),
        {} as Selection,
        ignore,
        ({ message }) => errors.push(message),
    );
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual(errors, ["fault"]);
    assert.equal(group.takeEnded()?.failure?.mayHaveRun, true);
    assert.equal(group.size, 1);
});

// Otherwise the attempt would hold its answer, and what it takes of its engine, for ever.
test("AttemptGroup: an answer that asks for a larger model is not held after the end of its request", async () => {
    const group = new AttemptGroup();
    const asked = group.requestReplacement("u", 1);
    group.close();
    assert.equal(await asked, false);
    assert.equal(await group.requestReplacement("u", 1), false);
});
