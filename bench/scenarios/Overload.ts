/**
 * `overload`: goodput at up to three times the capacity. Only requests that are answered in time count.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { isRouterError } from "../../src/common/errors/RouterError.ts";
import { type Outcome, quantile, round, type Scenario } from "../Scenario.ts";
import { addEngines, startSimulation, TARGET } from "../SingleModelSetup.ts";

const CAPACITY = 8;
const WORK_MS = 200;
const DEADLINE_MS = 1500;
const RUN_MS = 12_000;
const WARM_UP_MS = 3000;
/** Requests per second that all four engines can run; full batches make them 1.3 times as long. */
const CAPACITY_PER_S = 4 * CAPACITY * 1000 / (WORK_MS * 1.3);
const LOADS = [0.7, 1, 2, 3];

interface LoadResult {
    readonly answered: number;
    readonly falseNotRun: number;
    readonly refusalP95Ms: number;
}

const runLoad = async (seed: number, load: number): Promise<LoadResult> => {
    const sim = await startSimulation(seed);
    await addEngines(sim, 1, { capacity: CAPACITY });
    const from = sim.now + WARM_UP_MS;
    const end = sim.now + RUN_MS;
    const refusals: number[] = [];
    const notRun = new Set<string>();
    let answered = 0;
    let count = 0;
    sim.scheduleArrivals(() => CAPACITY_PER_S * load, end, () => {
        const id = `r${count++}`;
        const startedAt = sim.now;
        const req = simRequest(sim.clock, id, { name: "x", weight: 1 }, DEADLINE_MS);
        sim.request(sim.random.pick(sim.readyNodes), req, simWork(TARGET, id), WORK_MS).then(() => {
            answered += startedAt >= from && sim.now - startedAt <= DEADLINE_MS ? 1 : 0;
        }, (err: unknown) => {
            refusals.push(sim.now - startedAt);
            if (isRouterError(err) && err.run === "not_run") {
                notRun.add(id);
            }
        });
    });
    await sim.advance(RUN_MS + DEADLINE_MS);
    const startedIds = sim.upstreams.flatMap(upstream => upstream.startedIds).map(id =>
        id.slice(0, id.lastIndexOf("-"))
    );
    sim.dispose();
    return {
        answered: answered * 1000 / (RUN_MS - WARM_UP_MS),
        falseNotRun: startedIds.filter(id => notRun.has(id)).length,
        refusalP95Ms: refusals.length === 0 ? 0 : quantile(refusals, 0.95),
    };
};

const run = async (seed: number): Promise<Outcome> => {
    const results: LoadResult[] = [];
    for (const load of LOADS) {
        results.push(await runLoad(seed, load));
    }
    const peak = Math.max(...results.map(item => item.answered));
    const [atSeventy, atOne, atTwo, atThree] = results.map(item => item.answered);
    return {
        violations: { false_not_run: results.reduce((sum, item) => sum + item.falseNotRun, 0) },
        figures: {
            goodput_at_0_7: round(atSeventy ?? NaN, 1),
            goodput_at_1: round(atOne ?? NaN, 1),
            goodput_at_2: round(atTwo ?? NaN, 1),
            goodput_at_3: round(atThree ?? NaN, 1),
            goodput_at_2_over_peak: round((atTwo ?? NaN) / peak),
            peak_over_bearable: round(peak / CAPACITY_PER_S),
            refusal_p95_ms_at_2: round(results[2]?.refusalP95Ms ?? NaN, 1),
        },
    };
};

export const overload: Scenario = {
    name: "overload",
    summary: "goodput at up to three times the capacity",
    isDeterministic: true,
    run,
};
