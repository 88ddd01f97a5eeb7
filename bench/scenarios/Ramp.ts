/**
 * `ramp`: cold starts, and an engine that becomes cold without a new start id, under full load from all instances.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { type Simulation } from "../../addons/fakes/Simulation.ts";
import { type SimUpstream } from "../../addons/fakes/SimUpstream.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";
import { addEngines, startSimulation, TARGET } from "../SingleModelSetup.ts";

const CAPACITY = 16;
const COLD_CAPACITY = 2;
const WARM_MS = 10_000;
const WORK_MS = 200;
const DEADLINE_MS = 4000;
const SETTLE_MS = 2000;
/** More than the capacity of all warm upstreams. */
const OFFERED_PER_S = 400;
/** Shortest time in which a process restarts after a crash, in ms. */
const RESTART_MS = 300;
const COLD_RUN_MS = 20_000;
const RECOLD_RUN_MS = 15_000;

const run = async (seed: number): Promise<Outcome> => {
    const sim = await startSimulation(seed);
    const end = sim.now + SETTLE_MS + COLD_RUN_MS + RECOLD_RUN_MS;
    let answered = 0;
    let count = 0;
    sim.scheduleArrivals(() => OFFERED_PER_S, end, () => {
        const req = simRequest(sim.clock, `r${count++}`, { name: "x", weight: 1 }, DEADLINE_MS);
        const node = sim.random.pick(sim.readyNodes);
        sim.request(node, req, simWork(TARGET), WORK_MS).then(() => answered++, () => undefined);
    });
    const engine = { capacity: CAPACITY, coldCapacity: COLD_CAPACITY, warmMs: WARM_MS, crashLoadFactor: 12 };
    await addEngines(sim, 1, engine, 0);
    const engines = sim.upstreams;
    const warmMs = await timeToWarm(sim, engines, COLD_RUN_MS);
    // One engine restarts with a new start id, the other becomes cold under its previous one.
    sim.upstream("e-a0").crash();
    await sim.advance(RESTART_MS);
    sim.upstream("e-a0").start();
    const silent = sim.upstream("e-b0");
    silent.start(false);
    await sim.advance(RECOLD_RUN_MS);
    sim.dispose();
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

/** Time until all engines together run at 90 % of their warm capacity, in ms; Infinity if they never do. */
const timeToWarm = async (sim: Simulation, engines: readonly SimUpstream[], limitMs: number): Promise<number> => {
    const startedAt = sim.now;
    let warmAt: number | undefined;
    while (sim.now - startedAt < limitMs) {
        await sim.advance(100);
        const running = sum(engines, engine => engine.running);
        if (warmAt === undefined && running >= 0.9 * CAPACITY * engines.length) {
            warmAt = sim.now - startedAt;
        }
    }
    return warmAt ?? Infinity;
};

const sum = (engines: readonly SimUpstream[], valueOf: (engine: SimUpstream) => number): number =>
    engines.reduce((total, engine) => total + valueOf(engine), 0);

export const ramp: Scenario = {
    name: "ramp",
    summary: "cold starts, also without a new start id, under full load from all instances",
    isDeterministic: true,
    run,
};
