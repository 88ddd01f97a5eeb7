/**
 * `once`: calls that are not idempotent, with and without an idempotency key, under instance crashes, resends to
 * other instances, upstream crashes and lost answers. The executed calls are read from the upstreams' logs, the
 * bills from the disks.
 */
import { accountRow, allowService, callRow, domainRow } from "../../addons/fakes/SheetText.ts";
import { simRequest } from "../../addons/fakes/SimRequests.ts";
import { eightInstances, type SimNode, Simulation } from "../../addons/fakes/Simulation.ts";
import { isRouterError, type RunState } from "../../src/common/errors/RouterError.ts";
import { serviceTarget } from "../../src/common/upstreams/Upstream.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";

const DOMAINS = ["a", "b", "c", "d"];
const RUN_MS = 30_000;
const RATE_PER_S = 25;
const DEADLINE_MS = 4000;
const WORK_MS = 120;
const RESENDS = 3;
const KEYED_FRACTION = 0.7;
const KILL_EVERY_MS = 6000;
const DOWN_MS = 3000;

/** A booking of a caller, with the outcome of each time that it was sent. */
interface Booking {
    readonly id: string;
    readonly isKeyed: boolean;
    readonly answers: ("answered" | RunState)[];
}

const run = async (seed: number): Promise<Outcome> => {
    const sim = new Simulation(seed, eightInstances);
    await sim.start([
        ...DOMAINS.map(name => domainRow(name)),
        accountRow("x"),
        { record: "service", name: "book" },
        callRow("book", "POST", "/", "no"),
        allowService("x", "book"),
    ]);
    DOMAINS.forEach(domain => sim.addUpstream({ id: `s-${domain}`, domain, service: "book", capacity: 16 }));
    await sim.advance(3000);
    const syncsBefore = countSyncs(sim);
    const bookings: Booking[] = [];
    const end = sim.now + RUN_MS;
    sim.scheduleArrivals(() => RATE_PER_S, end, () => {
        const booking: Booking = {
            id: `b${bookings.length}`,
            isKeyed: sim.random.chance(KEYED_FRACTION),
            answers: [],
        };
        bookings.push(booking);
        void sendUntilKnown(sim, booking);
    });
    injectFaults(sim, end);
    await sim.advance(RUN_MS + DEADLINE_MS * (RESENDS + 2));
    const syncs = countSyncs(sim) - syncsBefore;
    const outcome = computeOutcome(sim, bookings, syncs);
    sim.dispose();
    return outcome;
};

/**
 * Sends the booking until it is answered, each time to a random instance. A booking without a key is resent only after
 * the answer that it did not run.
 */
const sendUntilKnown = async (sim: Simulation, booking: Booking): Promise<void> => {
    for (let attempt = 0; attempt <= RESENDS; attempt++) {
        const node = sim.random.pick(sim.readyNodes);
        const state = await sendBooking(sim, node, booking, attempt);
        booking.answers.push(state);
        const isRepeatable = booking.isKeyed ? state !== "answered" : state === "not_run";
        if (!isRepeatable) {
            return;
        }
        await sim.sleep(200 + sim.random.next() * 800);
    }
};

const sendBooking = async (
    sim: Simulation,
    node: SimNode,
    booking: Booking,
    attempt: number,
): Promise<"answered" | RunState> => {
    const id = `${booking.id}.${attempt}`;
    const req = simRequest(sim.clock, id, { name: "x", weight: 1 }, DEADLINE_MS);
    const work = {
        target: serviceTarget("book"),
        cost: 1,
        prefixes: [],
        prefillMs: 0,
        isIdempotent: false,
        fingerprint: booking.id,
    };
    const execute = async (): Promise<{ status: number; contentType: string; body: string; }> => {
        await sim.request(node, req, work, WORK_MS);
        await node.core.bills.record(createBill(booking, id, sim.clock.now()));
        return { status: 200, contentType: "text/plain", body: "" };
    };
    // If the instance is killed, the caller's connection breaks, and the outcome is unknown to the caller.
    const connectionLoss = rejectWhenKilled(sim, node);
    try {
        if (booking.isKeyed) {
            const keyed = {
                account: "x",
                key: booking.id,
                bodyHash: booking.id,
                claimId: id,
                remainingMs: DEADLINE_MS,
            };
            await Promise.race([node.core.atMostOnce.run(keyed, execute), connectionLoss]);
        }
        else {
            await Promise.race([execute(), connectionLoss]);
        }
        return "answered";
    }
    catch (err) {
        return isRouterError(err) ? err.run : "unknown";
    }
};

const rejectWhenKilled = async (sim: Simulation, node: SimNode): Promise<never> => {
    while (sim.isRunning(node.plan.id) && sim.node(node.plan.id) === node) {
        await sim.sleep(50);
    }
    throw new Error("the connection broke");
};

/** Kills and restarts instances, crashes and restarts upstreams, and isolates a failure domain for 5 s. */
const injectFaults = (sim: Simulation, end: number): void => {
    sim.repeatEvery(KILL_EVERY_MS, () => {
        const victim = sim.random.pick(sim.readyNodes).plan.id;
        if (sim.now > end || sim.runningNodes.length < eightInstances.length) {
            return;
        }
        sim.killInstance(victim);
        sim.clock.schedule(DOWN_MS, () => sim.startInstance(victim));
    });
    sim.repeatEvery(KILL_EVERY_MS * 0.8, () => {
        const victim = sim.random.pick(sim.upstreams);
        if (sim.now > end || !victim.isUp) {
            return;
        }
        victim.crash();
        sim.clock.schedule(DOWN_MS, () => victim.start());
    });
    sim.clock.schedule(RUN_MS / 2, () => sim.isolateDomain(sim.random.pick(DOMAINS)));
    sim.clock.schedule(RUN_MS / 2 + 5000, () => sim.healPartitions());
};

const computeOutcome = (sim: Simulation, bookings: readonly Booking[], syncs: number): Outcome => {
    const runs = new Map<string, number>();
    for (const id of sim.upstreams.flatMap(upstream => upstream.startedIds)) {
        const booking = id.slice(0, id.indexOf("."));
        runs.set(booking, (runs.get(booking) ?? 0) + 1);
    }
    const bills = new Set([...sim.bills.values()].flatMap(disk => [...disk.keys()]));
    const billsOf = (booking: Booking): number =>
        [...bills].filter(id => id === booking.id || id.startsWith(`${booking.id}.`)).length;
    const answered = bookings.filter(booking => booking.answers.includes("answered"));
    return {
        violations: {
            ran_twice: bookings.filter(booking => (runs.get(booking.id) ?? 0) > 1).length,
            billed_twice: bookings.filter(booking => billsOf(booking) > 1).length,
            billed_never: answered.filter(booking => billsOf(booking) === 0).length,
            false_not_run: bookings.filter(booking => isFalselyNotRun(booking, runs.get(booking.id) ?? 0)).length,
            wrong_answer: answered.filter(booking => (runs.get(booking.id) ?? 0) === 0).length,
        },
        figures: {
            bookings: bookings.length,
            answered_ratio: round(answered.length / bookings.length),
            unknown_ratio: round(
                bookings.filter(booking => booking.answers.at(-1) === "unknown").length / bookings.length,
            ),
            forced_writes_per_request: round(syncs / bookings.length, 2),
        },
    };
};

/** Whether all answers were `not_run` although the booking ran. */
const isFalselyNotRun = (booking: Booking, runs: number): boolean =>
    runs > 0 && booking.answers.length > 0 && booking.answers.every(answer => answer === "not_run");

const createBill = (booking: Booking, id: string, at: number): Parameters<SimNode["core"]["bills"]["record"]>[0] => ({
    id: booking.isKeyed ? booking.id : id,
    account: "x",
    target: "service book",
    at,
    promptTokens: 0,
    completionTokens: 0,
    cost: 1,
    items: [],
    isComplete: true,
});

const countSyncs = (sim: Simulation): number =>
    [...sim.logStores.values()].reduce((sum, store) => sum + store.syncCount, 0);

export const once: Scenario = {
    name: "once",
    summary: "calls that are not idempotent, under crashes, resends, partitions and lost answers",
    isDeterministic: true,
    run,
};
