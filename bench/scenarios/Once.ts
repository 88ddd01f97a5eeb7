/**
 * `once`: keyed and unkeyed calls that may not be repeated, under instance crashes, resends to other
 * instances, upstream crashes and lost answers. What ran is read from the upstreams' own logs, what was
 * billed from the disks.
 */
import { accountRow, allowService, callRow, domainRow } from "../../addons/fakes/SheetText.ts";
import { simRequest } from "../../addons/fakes/SimRequests.ts";
import { eightInstances, type SimNode, Simulation } from "../../addons/fakes/Simulation.ts";
import { isRouterError, type RunState } from "../../src/common/errors/RouterError.ts";
import { serviceTarget } from "../../src/common/upstreams/Upstream.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";

const DOMAINS = ["a", "b", "c", "d"];
const RUN_MS = 30_000;
const RATE = 25;
const DEADLINE_MS = 4000;
const WORK_MS = 120;
const RESENDS = 3;
const KEYED_FRACTION = 0.7;
const KILL_EVERY_MS = 6000;
const DOWN_MS = 3000;

/** One booking of a caller, from its first sending to its last. */
interface Booking {
    readonly id: string;
    readonly isKeyed: boolean;
    readonly answers: ("answered" | RunState)[];
}

const run = async (seed: number): Promise<Outcome> => {
    const world = new Simulation(seed, eightInstances);
    await world.start([
        ...DOMAINS.map(name => domainRow(name)),
        accountRow("x"),
        { record: "service", name: "book" },
        callRow("book", "POST", "/", "no"),
        allowService("x", "book"),
    ]);
    DOMAINS.forEach(domain => world.addUpstream({ id: `s-${domain}`, domain, service: "book", capacity: 16 }));
    await world.advance(3000);
    const syncsBefore = countSyncs(world);
    const bookings: Booking[] = [];
    const end = world.now + RUN_MS;
    world.scheduleArrivals(() => RATE, end, () => {
        const booking: Booking = {
            id: `b${bookings.length}`,
            isKeyed: world.random.chance(KEYED_FRACTION),
            answers: [],
        };
        bookings.push(booking);
        void sendUntilKnown(world, booking);
    });
    injectFaults(world, end);
    await world.advance(RUN_MS + DEADLINE_MS * (RESENDS + 2));
    const syncs = countSyncs(world) - syncsBefore;
    const outcome = computeOutcome(world, bookings, syncs);
    world.dispose();
    return outcome;
};

/** Sends the booking, and again to another instance while its outcome is not known to its caller. */
const sendUntilKnown = async (world: Simulation, booking: Booking): Promise<void> => {
    for (let attempt = 0; attempt <= RESENDS; attempt++) {
        const node = world.random.pick(world.readyNodes);
        const state = await sendBooking(world, node, booking, attempt);
        booking.answers.push(state);
        const isRepeatable = booking.isKeyed ? state !== "answered" : state === "not_run";
        if (!isRepeatable) {
            return;
        }
        await world.sleep(200 + world.random.next() * 800);
    }
};

const sendBooking = async (
    world: Simulation,
    node: SimNode,
    booking: Booking,
    attempt: number,
): Promise<"answered" | RunState> => {
    const id = `${booking.id}.${attempt}`;
    const req = simRequest(world.clock, id, { name: "x", weight: 1 }, DEADLINE_MS);
    const work = {
        target: serviceTarget("book"),
        cost: 1,
        prefixes: [],
        prefillMs: 0,
        isIdempotent: false,
        fingerprint: booking.id,
    };
    const execute = async (): Promise<{ status: number; contentType: string; body: string; }> => {
        await world.request(node, req, work, WORK_MS);
        await node.core.bills.record(billOf(booking, id, world.clock.now()));
        return { status: 200, contentType: "text/plain", body: "" };
    };
    // A caller whose instance is killed sees its connection break and learns nothing.
    const broken = rejectWhenKilled(world, node);
    try {
        if (booking.isKeyed) {
            const keyed = {
                account: "x",
                key: booking.id,
                bodyHash: booking.id,
                claimId: id,
                remainingMs: DEADLINE_MS,
            };
            await Promise.race([node.core.keyed.run(keyed, execute), broken]);
        }
        else {
            await Promise.race([execute(), broken]);
        }
        return "answered";
    }
    catch (err) {
        return isRouterError(err) ? err.run : "unknown";
    }
};

const rejectWhenKilled = async (world: Simulation, node: SimNode): Promise<never> => {
    while (world.isRunning(node.plan.id) && world.node(node.plan.id) === node) {
        await world.sleep(50);
    }
    throw new Error("the connection broke");
};

/** Instances are killed and come back, upstreams crash and come back, a domain is cut off for a while. */
const injectFaults = (world: Simulation, end: number): void => {
    world.repeatEvery(KILL_EVERY_MS, () => {
        const victim = world.random.pick(world.readyNodes).plan.id;
        if (world.now > end || world.runningNodes.length < eightInstances.length) {
            return;
        }
        world.killInstance(victim);
        world.clock.schedule(DOWN_MS, () => world.startInstance(victim));
    });
    world.repeatEvery(KILL_EVERY_MS * 0.8, () => {
        const victim = world.random.pick(world.upstreams);
        if (world.now > end || !victim.isUp) {
            return;
        }
        victim.crash();
        world.clock.schedule(DOWN_MS, () => victim.start());
    });
    world.clock.schedule(RUN_MS / 2, () => world.isolateDomain(world.random.pick(DOMAINS)));
    world.clock.schedule(RUN_MS / 2 + 5000, () => world.healPartitions());
};

const computeOutcome = (world: Simulation, bookings: readonly Booking[], syncs: number): Outcome => {
    const runs = new Map<string, number>();
    for (const id of world.upstreams.flatMap(upstream => upstream.startedIds)) {
        const booking = id.slice(0, id.indexOf("."));
        runs.set(booking, (runs.get(booking) ?? 0) + 1);
    }
    const bills = new Set([...world.bills.values()].flatMap(disk => [...disk.keys()]));
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

/** Every answer said "not run", and yet it ran. */
const isFalselyNotRun = (booking: Booking, runs: number): boolean =>
    runs > 0 && booking.answers.length > 0 && booking.answers.every(answer => answer === "not_run");

const billOf = (booking: Booking, id: string, at: number): Parameters<SimNode["core"]["bills"]["record"]>[0] => ({
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

const countSyncs = (world: Simulation): number =>
    [...world.logStores.values()].reduce((sum, store) => sum + store.syncCount, 0);

export const once: Scenario = {
    name: "once",
    summary: "calls that may not be repeated, under crashes, resends, cuts and lost answers",
    isDeterministic: true,
    run,
};
