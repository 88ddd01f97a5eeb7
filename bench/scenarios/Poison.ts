/**
 * `poison`: requests that crash every upstream that runs them, resent to all instances, among normal requests.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { type Simulation } from "../../addons/fakes/Simulation.ts";
import { isRouterError } from "../../src/common/errors/RouterError.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";
import { addEngines, startSimulation, TARGET } from "../SingleModelSetup.ts";

const ENGINES_PER_DOMAIN = 3;
const POISON_REQUESTS = 4;
/** Number of times that a caller resends its request after a failure. */
const RESENDS = 10;
const RESEND_PAUSE_MS = 300;
const RATE_PER_S = 80;
const RUN_MS = 30_000;
const DEADLINE_MS = 10_000;
const RESTART_MS = 2500;

const run = async (seed: number): Promise<Outcome> => {
    const sim = await startSimulation(seed);
    await addEngines(sim, ENGINES_PER_DOMAIN, { capacity: 8 });
    let innocentRefused = 0;
    let innocentFailed = 0;
    let innocent = 0;
    const end = sim.now + RUN_MS;
    sim.scheduleArrivals(() => RATE_PER_S, end, () => {
        const id = `good-${innocent++}`;
        const req = simRequest(sim.clock, id, { name: "x", weight: 1 }, DEADLINE_MS);
        sim.request(sim.random.pick(sim.readyNodes), req, simWork(TARGET, id), 150).catch((err: unknown) => {
            const isQuarantined = isRouterError(err) && err.code === "quarantined";
            innocentRefused += isQuarantined ? 1 : 0;
            innocentFailed += isQuarantined ? 0 : 1;
        });
    });
    restartCrashed(sim);
    for (let index = 0; index < POISON_REQUESTS; index++) {
        sim.clock.schedule(3000 + index * 4000, () => void sendPoison(sim, `poison-${index}`));
    }
    await sim.advance(RUN_MS + DEADLINE_MS);
    const crashes = [...Array(POISON_REQUESTS).keys()].map(index => countRuns(sim, `poison-${index}`));
    sim.dispose();
    return {
        violations: { innocent_refused: innocentRefused },
        figures: {
            crashes_per_poison: Math.max(...crashes),
            innocent,
            innocent_failed_ratio: round(innocentFailed / innocent, 5),
        },
    };
};

/** Sends the request, and resends it to one instance after the other. */
const sendPoison = async (sim: Simulation, body: string): Promise<void> => {
    for (let attempt = 0; attempt <= RESENDS; attempt++) {
        const req = simRequest(sim.clock, `${body}.${attempt}`, { name: "x", weight: 1 }, DEADLINE_MS);
        const node = sim.readyNodes[attempt % sim.readyNodes.length];
        if (node === undefined) {
            return;
        }
        await sim.request(node, req, simWork(TARGET, body), 150, true).catch(() => undefined);
        await sim.sleep(RESEND_PAUSE_MS);
    }
};

const countRuns = (sim: Simulation, body: string): number =>
    sim.upstreams.flatMap(upstream => upstream.startedIds).filter(id => id.startsWith(`${body}.`)).length;

const restartCrashed = (sim: Simulation): void => {
    const downSince = new Map<string, number>();
    sim.repeatEvery(100, () => {
        for (const upstream of sim.upstreams.filter(item => !item.isUp)) {
            const { id } = upstream.options;
            const since = downSince.get(id) ?? sim.now;
            downSince.set(id, since);
            if (sim.now - since >= RESTART_MS) {
                downSince.delete(id);
                upstream.start();
            }
        }
    });
};

export const poison: Scenario = {
    name: "poison",
    summary: "requests that crash every upstream that runs them, resent to all instances, among normal requests",
    isDeterministic: true,
    run,
};
