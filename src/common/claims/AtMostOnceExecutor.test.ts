import assert from "node:assert/strict";
import { test } from "node:test";
import { accountRow, allowService, callRow, domainRow } from "../../../addons/fakes/SheetText.ts";
import { type SimNode, type SimNodePlan, Simulation } from "../../../addons/fakes/Simulation.ts";
import { isRouterError, routerError } from "../errors/RouterError.ts";
import { type RecordedOutcome } from "./ReservationTable.ts";

const plans: readonly SimNodePlan[] = ["a", "b", "c"].flatMap(domain => [
    { id: `${domain}-1`, domain, isControl: true },
    { id: `${domain}-2`, domain, isControl: false },
]);

const outcome: RecordedOutcome = { status: 200, contentType: "text/plain", body: "" };

/** Steps of a keyed request, at each of which its instance is killed. */
const steps = [
    "before the claim",
    "after the claim",
    "while it runs",
    "after it ran",
    "after its outcome is recorded",
] as const;

const setUp = async (): Promise<Simulation> => {
    const world = new Simulation(1, plans);
    await world.start([
        domainRow("a"),
        domainRow("b"),
        domainRow("c"),
        accountRow("x"),
        { record: "service", name: "book" },
        callRow("book", "POST", "/", "no"),
        allowService("x", "book"),
    ]);
    return world;
};

const keyed = (claimId: string) => ({ account: "x", key: "k", bodyHash: "h", claimId, remainingMs: 5000 });

/** What a repeat at another instance gets. */
const repeat = async (world: Simulation, node: SimNode, ran: () => void): Promise<string> => {
    const answer = node.core.keyed.run(keyed("second"), async () => {
        ran();
        return outcome;
    });
    return world.advanceUntilSettled(answer.then(
        ({ isRepeat }) => isRepeat ? "recorded answer" : "ran",
        (err: unknown) => isRouterError(err) ? `${err.code} ${err.run}` : "error",
    ));
};

for (const step of steps) {
    test(`an instance that is lost ${step} never leads to a second run`, async () => {
        const world = await setUp();
        const node = world.node("a-2");
        let runs = 0;
        const killAt = (now: string): void => {
            if (now === step) {
                world.killInstance("a-2");
            }
        };
        killAt("before the claim");
        if (world.isRunning("a-2")) {
            const done = node.core.keyed.run(keyed("first"), async () => {
                killAt("after the claim");
                if (!world.isRunning("a-2")) {
                    await world.sleep(60_000);
                }
                runs++;
                killAt("while it runs");
                await world.sleep(100);
                killAt("after it ran");
                return outcome;
            });
            done.catch(() => undefined);
            await world.advance(1500);
            killAt("after its outcome is recorded");
        }
        await world.advance(6000);
        const got = await repeat(world, world.node("b-2"), () => runs++);
        const expected = step === "before the claim"
            ? "ran"
            : step === "after its outcome is recorded"
            ? "recorded answer"
            : "outcomeUnknown unknown";
        assert.equal(got, expected);
        assert.ok(runs <= 1, `${runs} runs`);
        world.dispose();
    });
}

test("a request that provably did not run leaves its key free", async () => {
    const world = await setUp();
    const { keyed: execution } = world.node("a-2").core;
    const failed = execution.run(keyed("first"), () => Promise.reject(notRun()));
    await assert.rejects(
        world.advanceUntilSettled(failed),
        (err: unknown) => isRouterError(err) && err.run === "not_run",
    );
    await world.advance(1000);
    assert.equal(await repeat(world, world.node("c-2"), () => undefined), "ran");
    world.dispose();
});

test("without the control majority a keyed request is refused as \"not run\", and does not run", async () => {
    const world = await setUp();
    world.isolateDomain("a");
    await world.advance(4000);
    let runs = 0;
    assert.equal(await repeat(world, world.node("a-2"), () => runs++), "noMajority not_run");
    assert.equal(runs, 0);
    world.dispose();
});

const notRun = (): Error => routerError("refused", { code: "upstreamFailed", run: "not_run", step: "test" });
