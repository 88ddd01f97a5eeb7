/**
 * `ramp`: cold starts and silent re-cold under full load from all instances.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { type Simulation } from "../../addons/fakes/Simulation.ts";
import { type SimUpstream } from "../../addons/fakes/SimUpstream.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";
import { addEngines, startSimulation, TARGET } from "../SingleModelSetup.ts";

const CAPACITY = 16;
const COLD = 2;
const WARM_MS = 10_000;
const WORK_MS = 200;
const DEADLINE_MS = 4000;
const SETTLE_MS = 2000;
/** More than all upstreams bear when warm. */
const OFFERED_PER_S = 400;
/** Least time in which a process is back after a crash, in ms. */
const RESTART_MS = 300;
const COLD_RUN_MS = 20_000;
const RECOLD_RUN_MS = 15_000;

const run = async (seed: number): Promise<Outcome> => {
    const world = await startSimulation(seed);
    const end = world.now + SETTLE_MS + COLD_RUN_MS + RECOLD_RUN_MS;
    let answered = 0;
    let count = 0;
    world.scheduleArrivals(() => OFFERED_PER_S, end, () => {
        const req = simRequest(world.clock, `r${count++}`, { name: "x", weight: 1 }, DEADLINE_MS);
        const node = world.random.pick(world.readyNodes);
        world.request(node, req, simWork(TARGET), WORK_MS).then(() => answered++, () => undefined);
    });
    const engine = { capacity: CAPACITY, coldCapacity: COLD, warmMs: WARM_MS, deathFactor: 12 };
    await addEngines(world, 1, engine, 0);
    const engines = world.upstreams;
    const warmMs = await timeToWarm(world, engines, COLD_RUN_MS);
    // One engine restarts under its own id, the other without a word.
    world.upstream("e-a0").crash();
    await world.advance(RESTART_MS);
    world.upstream("e-a0").start();
    const silent = world.upstream("e-b0");
    silent.start(false);
    await world.advance(RECOLD_RUN_MS);
    world.dispose();
    return {
        violations: {
            over_capacity: sum(engines.filter(engine => engine !== silent), engine => engine.overloads),
            upstream_deaths: sum(engines, engine => engine.overloadCrashes),
        },
        figures: {
            answered,
            time_to_warm_over_ideal: round(warmMs / WARM_MS),
            silent_recold_overloads: silent.overloads,
        },
    };
};

/** Time until all engines together have run at 90 % of their warm capacity, in ms. */
const timeToWarm = async (world: Simulation, engines: readonly SimUpstream[], limitMs: number): Promise<number> => {
    const startedAt = world.now;
    let warmAt: number | undefined;
    while (world.now - startedAt < limitMs) {
        await world.advance(100);
        const running = sum(engines, engine => engine.running);
        if (warmAt === undefined && running >= 0.9 * CAPACITY * engines.length) {
            warmAt = world.now - startedAt;
        }
    }
    return warmAt ?? Infinity;
};

const sum = (engines: readonly SimUpstream[], valueOf: (engine: SimUpstream) => number): number =>
    engines.reduce((total, engine) => total + valueOf(engine), 0);

export const ramp: Scenario = {
    name: "ramp",
    summary: "cold starts and silent re-cold under full load from all instances",
    isDeterministic: true,
    run,
};
