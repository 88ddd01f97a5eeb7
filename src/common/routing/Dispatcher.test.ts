import assert from "node:assert/strict";
import { test } from "node:test";
import { simRequest, simWork } from "../../../addons/fakes/SimRequests.ts";
import { addEngines, startSimulation, TARGET } from "../../../bench/SingleModelSetup.ts";
import { isRouterError } from "../errors/RouterError.ts";

const WORK_MS = 400;

test("a waiting request is refused as soon as it cannot complete in time, not only at its deadline", async () => {
    const world = await startSimulation(1);
    await addEngines(world, 1, { capacity: 1 });
    const node = world.node("a-1");
    const send = (id: string, deadlineMs: number) => {
        const startedAt = world.now;
        const req = simRequest(world.clock, id, { name: "x", weight: 1 }, deadlineMs);
        return world.request(node, req, simWork(TARGET, id), WORK_MS).then(
            () => ({ code: "answered", tookMs: world.now - startedAt }),
            (err: unknown) => ({ code: isRouterError(err) ? err.code : "error", tookMs: world.now - startedAt }),
        );
    };
    await world.advanceUntilSettled(Promise.all([send("first", 5000), send("second", 5000)]));
    const answers = [...Array(12).keys()].map(index => send(`r${index}`, 1000));
    const outcomes = await world.advanceUntilSettled(Promise.all(answers));
    const refused = outcomes.filter(outcome => outcome.code !== "answered");
    assert.ok(refused.length > 0 && refused.length < 12);
    assert.ok(refused.every(outcome => outcome.tookMs <= 1000 - WORK_MS), JSON.stringify(refused));
    world.dispose();
});

test("a request for a target whose upstreams are all drained is refused at once with `noUpstream`", async () => {
    const world = await startSimulation(2);
    await addEngines(world, 1, { capacity: 4 });
    const { core } = world.node("b-1");
    for (const name of ["a", "b", "c", "d"]) {
        const change = { kind: "drain", target: "domain", name, by: "test", reason: "", at: world.clock.now() };
        await world.advanceUntilSettled(core.client.submit(change, 5000));
    }
    await world.advance(1500);
    const req = simRequest(world.clock, "r", { name: "x", weight: 1 }, 5000);
    const startedAt = world.now;
    await assert.rejects(
        world.advanceUntilSettled(world.request(world.node("c-2"), req, simWork(TARGET, "r"), 10)),
        (err: unknown) =>
            isRouterError(err) && err.code === "noUpstream" && err.run === "not_run" && (err.retryAfterMs ?? 0) > 0,
    );
    assert.ok(world.now - startedAt < 50);
    world.dispose();
});
