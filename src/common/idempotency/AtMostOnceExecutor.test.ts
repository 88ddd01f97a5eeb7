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

/** Points in the run of a request with an idempotency key at which the tests kill its instance. */
const steps = [
    "before the reservation",
    "after the reservation",
    "while it runs",
    "after it ran",
    "after its outcome is recorded",
] as const;

const setUp = async (): Promise<Simulation> => {
    const sim = new Simulation(1, plans);
    await sim.start([
        domainRow("a"),
        domainRow("b"),
        domainRow("c"),
        accountRow("x"),
        { record: "service", name: "book" },
        callRow("book", "POST", "/", "no"),
        allowService("x", "book"),
    ]);
    return sim;
};

const keyed = (claimId: string) => ({ account: "x", key: "k", bodyHash: "h", claimId, remainingMs: 5000 });

/** Sends the request again to `node` and describes the result. */
const repeat = async (sim: Simulation, node: SimNode, ran: () => void): Promise<string> => {
    const answer = node.core.atMostOnce.run(keyed("second"), async () => {
        ran();
        return outcome;
    });
    return sim.advanceUntilSettled(answer.then(
        ({ isRepeat }) => isRepeat ? "recorded answer" : "ran",
        (err: unknown) => isRouterError(err) ? `${err.code} ${err.run}` : "error",
    ));
};

for (const step of steps) {
    test(`a request runs at most once when its instance is lost ${step}`, async () => {
        const sim = await setUp();
        const node = sim.node("a-2");
        let runs = 0;
        const killAt = (now: string): void => {
            if (now === step) {
                sim.killInstance("a-2");
            }
        };
        killAt("before the reservation");
        if (sim.isRunning("a-2")) {
            const done = node.core.atMostOnce.run(keyed("first"), async () => {
                killAt("after the reservation");
                if (!sim.isRunning("a-2")) {
                    await sim.sleep(60_000);
                }
                runs++;
                killAt("while it runs");
                await sim.sleep(100);
                killAt("after it ran");
                return outcome;
            });
            done.catch(() => undefined);
            await sim.advance(1500);
            killAt("after its outcome is recorded");
        }
        await sim.advance(6000);
        const got = await repeat(sim, sim.node("b-2"), () => runs++);
        const expected = step === "before the reservation"
            ? "ran"
            : step === "after its outcome is recorded"
            ? "recorded answer"
            : "outcomeUnknown unknown";
        assert.equal(got, expected);
        assert.ok(runs <= 1, `${runs} runs`);
        sim.dispose();
    });
}

test("a request that provably did not run releases its key", async () => {
    const sim = await setUp();
    const { atMostOnce } = sim.node("a-2").core;
    const failed = atMostOnce.run(keyed("first"), () => Promise.reject(notRun()));
    await assert.rejects(
        sim.advanceUntilSettled(failed),
        (err: unknown) => isRouterError(err) && err.run === "not_run",
    );
    await sim.advance(1000);
    assert.equal(await repeat(sim, sim.node("c-2"), () => undefined), "ran");
    sim.dispose();
});

test("without the control majority a keyed request is rejected with run \"not_run\", and does not run", async () => {
    const sim = await setUp();
    sim.isolateDomain("a");
    await sim.advance(4000);
    let runs = 0;
    assert.equal(await repeat(sim, sim.node("a-2"), () => runs++), "noMajority not_run");
    assert.equal(runs, 0);
    sim.dispose();
});

const notRun = (): Error => routerError("refused", { code: "upstreamFailed", run: "not_run", step: "test" });
