/**
 * `poison`: requests that crash whatever runs them, resent to all instances, beside innocent ones.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { type Simulation } from "../../addons/fakes/Simulation.ts";
import { isRouterError } from "../../src/common/errors/RouterError.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";
import { addEngines, startSimulation, TARGET } from "../SingleModelSetup.ts";

const ENGINES_PER_DOMAIN = 3;
const POISONS = 4;
/** Times that a caller sends its request again after a failure. */
const RESENDS = 10;
const RESEND_PAUSE_MS = 300;
const RATE = 80;
const RUN_MS = 30_000;
const DEADLINE_MS = 10_000;
const RESTART_MS = 2500;

const run = async (seed: number): Promise<Outcome> => {
    const world = await startSimulation(seed);
    await addEngines(world, ENGINES_PER_DOMAIN, { capacity: 8 });
    let innocentRefused = 0;
    let innocentFailed = 0;
    let innocent = 0;
    const end = world.now + RUN_MS;
    world.scheduleArrivals(() => RATE, end, () => {
        const id = `good-${innocent++}`;
        const req = simRequest(world.clock, id, { name: "x", weight: 1 }, DEADLINE_MS);
        world.request(world.random.pick(world.readyNodes), req, simWork(TARGET, id), 150).catch((err: unknown) => {
            const isQuarantined = isRouterError(err) && err.code === "quarantined";
            innocentRefused += isQuarantined ? 1 : 0;
            innocentFailed += isQuarantined ? 0 : 1;
        });
    });
    restartCrashed(world);
    for (let index = 0; index < POISONS; index++) {
        world.clock.schedule(3000 + index * 4000, () => void sendPoison(world, `poison-${index}`));
    }
    await world.advance(RUN_MS + DEADLINE_MS);
    const crashes = [...Array(POISONS).keys()].map(index => crashesOf(world, `poison-${index}`));
    world.dispose();
    return {
        violations: { innocent_refused: innocentRefused },
        figures: {
            crashes_per_poison: Math.max(...crashes),
            innocent,
            innocent_failed_ratio: round(innocentFailed / innocent, 5),
        },
    };
};

/** Sends the request, and again to another instance each time that it fails. */
const sendPoison = async (world: Simulation, body: string): Promise<void> => {
    for (let attempt = 0; attempt <= RESENDS; attempt++) {
        const req = simRequest(world.clock, `${body}.${attempt}`, { name: "x", weight: 1 }, DEADLINE_MS);
        const node = world.readyNodes[attempt % world.readyNodes.length];
        if (node === undefined) {
            return;
        }
        await world.request(node, req, simWork(TARGET, body), 150, true).catch(() => undefined);
        await world.sleep(RESEND_PAUSE_MS);
    }
};

const crashesOf = (world: Simulation, body: string): number =>
    world.upstreams.flatMap(upstream => upstream.startedIds).filter(id => id.startsWith(`${body}.`)).length;

const restartCrashed = (world: Simulation): void => {
    const downSince = new Map<string, number>();
    world.repeatEvery(100, () => {
        for (const upstream of world.upstreams.filter(item => !item.isUp)) {
            const { id } = upstream.options;
            const since = downSince.get(id) ?? world.now;
            downSince.set(id, since);
            if (world.now - since >= RESTART_MS) {
                downSince.delete(id);
                upstream.start();
            }
        }
    });
};

export const poison: Scenario = {
    name: "poison",
    summary: "requests that crash whatever runs them, resent to all instances, beside innocent ones",
    isDeterministic: true,
    run,
};
