import assert from "node:assert/strict";
import { test } from "node:test";
import { simRequest, simWork } from "../../../addons/fakes/SimRequests.ts";
import { addEngines, startSimulation, TARGET } from "../../../bench/SingleModelSetup.ts";
import { isRouterError } from "../errors/RouterError.ts";

const WORK_MS = 400;

test("a waiting request is refused as soon as it cannot complete in time, not only at its deadline", async () => {
    const sim = await startSimulation(1);
    await addEngines(sim, 1, { capacity: 1 });
    const node = sim.node("a-1");
    const send = (id: string, deadlineMs: number) => {
        const startedAt = sim.now;
        const req = simRequest(sim.clock, id, { name: "x", weight: 1 }, deadlineMs);
        return sim.request(node, req, simWork(TARGET, id), WORK_MS).then(
            () => ({ code: "answered", tookMs: sim.now - startedAt }),
            (err: unknown) => ({ code: isRouterError(err) ? err.code : "error", tookMs: sim.now - startedAt }),
        );
    };
    await sim.advanceUntilSettled(Promise.all([send("first", 5000), send("second", 5000)]));
    const answers = [...Array(12).keys()].map(index => send(`r${index}`, 1000));
    const outcomes = await sim.advanceUntilSettled(Promise.all(answers));
    const refused = outcomes.filter(outcome => outcome.code !== "answered");
    assert.ok(refused.length > 0 && refused.length < 12);
    assert.ok(refused.every(outcome => outcome.tookMs <= 1000 - WORK_MS), JSON.stringify(refused));
    sim.dispose();
});

test("a request for a target whose upstreams are all drained is refused at once with `noUpstream`", async () => {
    const sim = await startSimulation(2);
    await addEngines(sim, 1, { capacity: 4 });
    const { core } = sim.node("b-1");
    for (const name of ["a", "b", "c", "d"]) {
        const change = { kind: "drain", target: "domain", name, by: "test", reason: "", at: sim.clock.now() };
        await sim.advanceUntilSettled(core.client.submit(change, 5000));
    }
    await sim.advance(1500);
    const req = simRequest(sim.clock, "r", { name: "x", weight: 1 }, 5000);
    const startedAt = sim.now;
    await assert.rejects(
        sim.advanceUntilSettled(sim.request(sim.node("c-2"), req, simWork(TARGET, "r"), 10)),
        (err: unknown) =>
            isRouterError(err) && err.code === "noUpstream" && err.run === "not_run" && (err.retryAfterMs ?? 0) > 0,
    );
    assert.ok(sim.now - startedAt < 50);
    sim.dispose();
});
