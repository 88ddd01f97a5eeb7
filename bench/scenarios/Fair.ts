/**
 * `fair`: one account that offers ten times its share, together with accounts of low load, over all instances.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { type Simulation } from "../../addons/fakes/Simulation.ts";
import { type Outcome, quantile, round, type Scenario } from "../Scenario.ts";
import { addEngines, DOMAINS, startSimulation, TARGET } from "../SingleModelSetup.ts";

const CAPACITY = 8;
const WORK_MS = 200;
const DEADLINE_MS = 8000;
const RUN_MS = 20_000;
const WARM_UP_MS = 4000;
/** Requests per second that all four engines can run; full batches make them 1.3 times as long. */
const CAPACITY_PER_S = 4 * CAPACITY * 1000 / (WORK_MS * 1.3);
const LIGHT = ["l1", "l2", "l3", "l4"];
/** Weights of the accounts that all offer more than their share. */
const WEIGHTS: Readonly<Record<string, number>> = { w1: 1, w2: 2, w4: 4 };

interface LoadResult {
    readonly sim: Simulation;
    readonly latencies: Map<string, number[]>;
    readonly served: Map<string, number>;
    readonly utilization: number;
}

const names = [...LIGHT, "heavy", ...Object.keys(WEIGHTS)];

const prepare = async (seed: number): Promise<Simulation> => {
    const sim = await startSimulation(seed, Object.fromEntries(names.map(name => [name, WEIGHTS[name] ?? 1])));
    await addEngines(sim, 1, { capacity: CAPACITY });
    return sim;
};

/** Generates load by account, in requests per second, and measures after the warm-up. */
const runLoad = async (seed: number, rates: Readonly<Record<string, number>>): Promise<LoadResult> => {
    const sim = await prepare(seed);
    const latencies = new Map<string, number[]>();
    const served = new Map<string, number>();
    const from = sim.now + WARM_UP_MS;
    const end = sim.now + RUN_MS;
    let count = 0;
    for (const [name, rate] of Object.entries(rates)) {
        const account = { name, weight: WEIGHTS[name] ?? 1 };
        sim.scheduleArrivals(() => rate, end, () => {
            const startedAt = sim.now;
            const req = simRequest(sim.clock, `r${count++}`, account, DEADLINE_MS);
            sim.request(sim.random.pick(sim.readyNodes), req, simWork(TARGET, req.id), WORK_MS).then(() => {
                if (startedAt >= from && sim.now <= end) {
                    latencies.set(name, [...latencies.get(name) ?? [], sim.now - startedAt]);
                }
                if (sim.now >= from && sim.now <= end) {
                    served.set(name, (served.get(name) ?? 0) + 1);
                }
            }, () => undefined);
        });
    }
    let samples = 0;
    let running = 0;
    sim.repeatEvery(50, () => {
        if (sim.now >= from && sim.now < end) {
            samples++;
            running += sim.upstreams.reduce((sum, upstream) => sum + upstream.running, 0);
        }
    });
    await sim.advance(RUN_MS);
    sim.dispose();
    return { sim, latencies, served, utilization: running / (samples * CAPACITY * DOMAINS.length) };
};

/** Jain's fairness index of the values: 1 if all are equal. */
const jainIndex = (values: readonly number[]): number => {
    const sum = values.reduce((total, value) => total + value, 0);
    const squares = values.reduce((total, value) => total + value * value, 0);
    return sum * sum / (values.length * squares);
};

const run = async (seed: number): Promise<Outcome> => {
    const share = CAPACITY_PER_S / 5;
    const light = Object.fromEntries(LIGHT.map(name => [name, share * 0.5]));
    const alone = await runLoad(seed, light);
    const withHeavy = await runLoad(seed, { ...light, heavy: share * 10 });
    const weighted = await runLoad(seed, Object.fromEntries(Object.keys(WEIGHTS).map(name => [name, CAPACITY_PER_S])));
    const p95 = (item: LoadResult): number => quantile(LIGHT.flatMap(name => item.latencies.get(name) ?? []), 0.95);
    const byWeight = Object.entries(WEIGHTS).map(([name, weight]) => (weighted.served.get(name) ?? 0) / weight);
    const lightServed = LIGHT.reduce((sum, name) => sum + (withHeavy.latencies.get(name)?.length ?? 0), 0);
    return {
        violations: {},
        figures: {
            jain: round(jainIndex(byWeight)),
            light_p95_over_alone: round(p95(withHeavy) / p95(alone)),
            light_p95_alone_ms: round(p95(alone)),
            light_answered: lightServed,
            heavy_answered: withHeavy.served.get("heavy") ?? 0,
            utilization: round(withHeavy.utilization),
        },
    };
};

export const fair: Scenario = {
    name: "fair",
    summary: "one account that offers ten times its share, together with accounts of low load, over all instances",
    isDeterministic: true,
    run,
};
