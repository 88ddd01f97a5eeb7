/**
 * `poison`: requests that crash whatever runs them, resent to all instances, beside innocent ones.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { type World } from "../../addons/fakes/World.ts";
import { isRouterError } from "../../src/common/errors/RouterError.ts";
import { addEngines, startOneModel, TARGET } from "../OneModel.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";

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
    const world = await startOneModel(seed);
    await addEngines(world, ENGINES_PER_DOMAIN, { capacity: 8 });
    let innocentRefused = 0;
    let innocentFailed = 0;
    let innocent = 0;
    const end = world.now + RUN_MS;
    world.arrivals(() => RATE, end, () => {
        const id = `good-${innocent++}`;
        const req = simRequest(world.clock, id, { name: "x", weight: 1 }, DEADLINE_MS);
        world.request(world.random.pick(world.ready), req, simWork(TARGET, id), 150).catch((err: unknown) => {
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
const sendPoison = async (world: World, body: string): Promise<void> => {
    for (let attempt = 0; attempt <= RESENDS; attempt++) {
        const req = simRequest(world.clock, `${body}.${attempt}`, { name: "x", weight: 1 }, DEADLINE_MS);
        const node = world.ready[attempt % world.ready.length];
        if (node === undefined) {
            return;
        }
        await world.request(node, req, simWork(TARGET, body), 150, true).catch(() => undefined);
        await world.sleepFor(RESEND_PAUSE_MS);
    }
};

const crashesOf = (world: World, body: string): number =>
    world.upstreams.flatMap(upstream => upstream.log).filter(id => id.startsWith(`${body}.`)).length;

const restartCrashed = (world: World): void => {
    const downSince = new Map<string, number>();
    world.every(100, () => {
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
    isExact: true,
    run,
};
