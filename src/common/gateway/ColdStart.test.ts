import assert from "node:assert/strict";
import { test } from "node:test";
import {
    BOUND,
    COLD_MS,
    COLD_PER_SECOND,
    type ColdStartOptions,
    ColdStartSimulation,
    CONTROLS,
    HEARTBEAT_MS,
    SETTLED_MS,
    STEP_MS,
} from "../../../addons/fakes/ColdStartSimulation.ts";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";

/** Number of entry instances of the largest deployment that the users have described so far. */
const ENTRIES = 71;

/** A deployment whose instances know each other. */
const startSettled = async (options: ColdStartOptions): Promise<ColdStartSimulation> => {
    const simulation = new ColdStartSimulation(options);
    await simulation.run(SETTLED_MS);
    return simulation;
};

const assertWithinBound = ({ mostInOneSecond: most }: ColdStartSimulation, when = ""): void =>
    assert.ok(most <= BOUND, `${when}${most} requests in one second, allowed ${BOUND}`);

// FAILBACK: the first request of each instance was not limited.
test(`cold start: ${ENTRIES} instances that begin together don't flood an upstream`, async () => {
    const simulation = await startSettled({ entries: ENTRIES });
    simulation.startUpstreams();
    await simulation.run(COLD_MS - STEP_MS);
    assertWithinBound(simulation);
    simulation.dispose();
});

test(`cold start: ${ENTRIES} instances use at least half of the declared rate`, async () => {
    const simulation = await startSettled({ entries: ENTRIES });
    simulation.startUpstreams();
    await simulation.run(COLD_MS - STEP_MS);
    const perSecond = simulation.sent / (COLD_MS / 1000);
    assert.ok(perSecond >= COLD_PER_SECOND / 2, `${perSecond} requests per second`);
    simulation.dispose();
});

/** Changes the deployment at random: instances start again or lose contact for a while. */
const disturb = (simulation: ColdStartSimulation, random: SeededRandom): void => {
    const chosen = simulation.entryIds.filter(() => random.chance(0.3));
    const lostControls = CONTROLS.filter(() => random.chance(0.5));
    const forMs = random.nextInt(12_000);
    switch (random.nextInt(4)) {
        case 0:
            chosen.forEach(id => simulation.cut.add(id));
            simulation.clock.schedule(forMs, () => chosen.forEach(id => simulation.cut.delete(id)));
            break;
        case 1:
            simulation.restart(chosen, forMs / 4);
            break;
        case 2:
            simulation.restart(lostControls, forMs / 4);
            break;
        default:
            simulation.restart([...CONTROLS, ...chosen], forMs / 4);
    }
};

/** Seeds in CI; `COLD_START_SEEDS=50` runs more by hand. */
const SEEDS = Number(process.env.COLD_START_SEEDS ?? 5);
const DISTURBED_ENTRIES = 24;
const ROUNDS = 12;

test("cold start: the limit holds while instances start again and lose contact", async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        const random = new SeededRandom(seed);
        const simulation = await startSettled({ entries: DISTURBED_ENTRIES });
        for (let round = 0; round < ROUNDS; round++) {
            disturb(simulation, random);
            await simulation.run(random.nextInt(COLD_MS));
            simulation.startUpstreams();
            await simulation.run(COLD_MS - STEP_MS);
            assertWithinBound(simulation, `seed ${seed}, round ${round}: `);
        }
        simulation.dispose();
    }
});

/** Change of the time of day, and the longest time until it is set right, in ms. */
const CLOCK_STEP_MS = 2400;
const MAX_STEPPED_MS = 6000;
const STEPPED_SHARE = 0.3;

/** Sets the time of day of some machines ahead, or of fewer back, for a while. */
const stepClocks = (simulation: ColdStartSimulation, random: SeededRandom): void => {
    for (const id of [...CONTROLS, ...simulation.entryIds].filter(() => random.chance(STEPPED_SHARE))) {
        simulation.stepClock(id, random.chance(0.7) ? CLOCK_STEP_MS : -CLOCK_STEP_MS, random.nextInt(MAX_STEPPED_MS));
    }
};

// FAILBACK: an instance whose time of day jumped ahead took a cold upstream for warm.
for (const entries of [7, 24, ENTRIES]) {
    test(
        `cold start: the limit holds while the time of day jumps at ${entries} instances`,
        async () => {
            const random = new SeededRandom(entries);
            const simulation = await startSettled({ entries });
            for (let round = 0; round < 4; round++) {
                simulation.startUpstreams();
                const stepAtMs = STEP_MS * random.nextInt(50);
                await simulation.run(stepAtMs);
                stepClocks(simulation, random);
                await simulation.run(COLD_MS - STEP_MS - stepAtMs);
                assertWithinBound(simulation, `round ${round}: `);
            }
            simulation.dispose();
        },
    );
}

/** Longest time from a start, or from turning cold, until the first check-in reaches control instances, in ms. */
const LATE_NEWS_MS = HEARTBEAT_MS;

// FAILBACK: the upstreams of a domain were taken for warm after an evacuation, though they had turned cold.
for (
    const { entries, upstreams, intervalMs } of [
        { entries: 7, upstreams: 1, intervalMs: STEP_MS },
        { entries: 8, upstreams: 16, intervalMs: STEP_MS },
        { entries: ENTRIES, upstreams: 64, intervalMs: 6 * STEP_MS },
    ]
) {
    test(`cold start: the limit holds after an evacuation, with ${entries} instances and ${upstreams} upstreams`, async () => {
        const random = new SeededRandom(entries);
        const simulation = await startSettled({ entries, upstreams, intervalMs });
        simulation.startUpstreams();
        await simulation.run(COLD_MS + HEARTBEAT_MS);
        simulation.evacuate("d0", COLD_MS, () => random.nextInt(LATE_NEWS_MS));
        await simulation.run(2 * COLD_MS);
        assertWithinBound(simulation);
        simulation.dispose();
    });
}

// FAILBACK: an upstream that had ended and started again, cold, under its id was taken for warm.
for (
    const { entries, upstreams, intervalMs, todo } of [
        { entries: 7, upstreams: 1, intervalMs: STEP_MS },
        { entries: 24, upstreams: 1, intervalMs: STEP_MS },
        { entries: ENTRIES, upstreams: 1, intervalMs: STEP_MS },
        { entries: ENTRIES, upstreams: 64, intervalMs: 12 * STEP_MS },
        {
            entries: ENTRIES,
            upstreams: 64,
            intervalMs: 6 * STEP_MS,
            todo: "KNOWN-RED.txt: most instances haven't tried it",
        },
    ]
) {
    const load = `${entries} instances with a request each ${intervalMs} ms`;
    test(`cold start: the limit holds when some of ${upstreams} upstreams start again, ${load}`, { todo }, async () => {
        const random = new SeededRandom(entries);
        const simulation = await startSettled({ entries, upstreams, intervalMs });
        simulation.startUpstreams();
        await simulation.run(COLD_MS + HEARTBEAT_MS);
        for (let round = 0; round < 3; round++) {
            simulation.restartUpstreams("d0", 600, () => random.nextInt(LATE_NEWS_MS));
            await simulation.run(600 + COLD_MS + HEARTBEAT_MS);
        }
        assertWithinBound(simulation);
        simulation.dispose();
    });
}

/** Lets instances differ for a while in whom they know, by replacing some, and by cutting some off from some control instances. */
const divideRosters = (simulation: ColdStartSimulation, random: SeededRandom): void => {
    const chosen = simulation.entryIds.filter(() => random.chance(0.2));
    if (random.chance(0.5)) {
        chosen.forEach(id => simulation.replace(id, random.nextInt(2000)));
    }
    const pairs = simulation.entryIds.filter(() => random.chance(0.3)).map(id => `${id} ${random.pick(CONTROLS)}`);
    pairs.forEach(pair => simulation.cutPairs.add(pair));
    simulation.clock.schedule(random.nextInt(12_000), () => pairs.forEach(pair => simulation.cutPairs.delete(pair)));
    if (random.chance(0.5)) {
        simulation.restart(CONTROLS.filter(() => random.chance(0.5)), random.nextInt(2000));
    }
};

test("cold start: the limit holds while instances differ in their clocks, rosters and news", async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        const random = new SeededRandom(seed);
        const simulation = await startSettled({ entries: DISTURBED_ENTRIES });
        for (let round = 0; round < ROUNDS; round++) {
            divideRosters(simulation, random);
            if (random.chance(0.5)) {
                disturb(simulation, random);
            }
            await simulation.run(random.nextInt(COLD_MS));
            simulation.startUpstreams();
            await simulation.run(random.nextInt(1000));
            stepClocks(simulation, random);
            await simulation.run(COLD_MS);
            assertWithinBound(simulation, `seed ${seed}, round ${round}: `);
        }
        simulation.dispose();
    }
});
