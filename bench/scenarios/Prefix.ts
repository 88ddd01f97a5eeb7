/**
 * `prefix`: prompts with common prefixes, and engines that cache prefixes in limited memory and whose cache events
 * arrive late or are lost. The same requests are routed once by cached prefixes and once by load only.
 */
import { SeededRandom } from "../../addons/fakes/SeededRandom.ts";
import { simRequest } from "../../addons/fakes/SimRequests.ts";
import { type Simulation } from "../../addons/fakes/Simulation.ts";
import { type Outcome, quantile, round, type Scenario } from "../Scenario.ts";
import { addEngines, startSimulation, TARGET } from "../SingleModelSetup.ts";

const CAPACITY = 12;
const RATE_PER_S = 90;
const RUN_MS = 25_000;
const DEADLINE_MS = 8000;
/** Duration of the prefill of a prompt that is not cached, and of the decoding of its answer, in ms. */
const PREFILL_MS = 240;
const DECODE_MS = 160;
const BLOCKS = 8;
/** Number of documents with which prompts begin; a few of them are requested often. */
const DOCUMENTS = 60;
/** Number of prefix blocks in an engine's cache. */
const CACHE_BLOCKS = 12 * BLOCKS;
const EVENT_DELAY_MS = 800;
const LOST_EVENT_FRACTION = 0.2;

/** LRU cache of the prefix blocks of one engine. */
class EngineCache {
    private readonly blocks = new Set<string>();
    private seq = 0;

    public cachedFraction(prefixes: readonly string[]): number {
        const missing = prefixes.findIndex(prefix => !this.blocks.has(prefix));
        return (missing < 0 ? prefixes.length : missing) / prefixes.length;
    }

    /** Stores the prefixes; returns the cache event that the engine sends. */
    public store(prefixes: readonly string[]): { seq: number; stored: string[]; evicted: string[]; } {
        for (const prefix of prefixes) {
            this.blocks.delete(prefix);
            this.blocks.add(prefix);
        }
        const evicted: string[] = [];
        for (const block of this.blocks) {
            if (this.blocks.size <= CACHE_BLOCKS) {
                break;
            }
            this.blocks.delete(block);
            evicted.push(block);
        }
        return { seq: this.seq++, stored: [...prefixes], evicted };
    }
}

interface Result {
    /** Mean time from a request to its first token, in ms. */
    readonly firstTokenMean: number;
    /** 95th percentile of the same time, in ms. */
    readonly firstTokenP95: number;
    /** Mean fraction of a prompt that was cached. */
    readonly prefillSaved: number;
    readonly failed: number;
}

const runOnce = async (seed: number, isPrefixAware: boolean): Promise<Result> => {
    const sim = await startSimulation(seed);
    await addEngines(sim, 2, { capacity: CAPACITY });
    const caches = new Map(sim.upstreams.map(upstream => [upstream.options.id, new EngineCache()]));
    // Separate from the simulation's generator, so that both runs have the same requests.
    const random = new SeededRandom(seed + 1000);
    const firstTokens: number[] = [];
    let saved = 0;
    let failed = 0;
    let count = 0;
    sim.scheduleArrivals(() => RATE_PER_S, sim.now + RUN_MS, () => {
        const document = Math.floor(random.next() ** 2 * DOCUMENTS);
        const prefixes = [...Array(BLOCKS).keys()].map(block => `d${document}-${block}`);
        const id = `r${count++}`;
        const startedAt = sim.now;
        const work = {
            target: TARGET,
            cost: 100,
            prefixes: isPrefixAware ? prefixes : [],
            prefillMs: PREFILL_MS,
            isIdempotent: true,
            fingerprint: id,
        };
        const workMsOn = (upstreamId: string): number => {
            const fraction = caches.get(upstreamId)?.cachedFraction(prefixes) ?? 0;
            const prefillMs = PREFILL_MS * (1 - fraction);
            saved += fraction;
            firstTokens.push(sim.now - startedAt + prefillMs);
            sendCacheEvent(sim, upstreamId, caches, prefixes);
            return prefillMs + DECODE_MS;
        };
        const req = simRequest(sim.clock, id, { name: "x", weight: 1 }, DEADLINE_MS);
        sim.request(sim.random.pick(sim.readyNodes), req, work, workMsOn).catch(() => failed++);
    });
    await sim.advance(RUN_MS + DEADLINE_MS);
    sim.dispose();
    return {
        firstTokenMean: firstTokens.reduce((sum, ms) => sum + ms, 0) / firstTokens.length,
        firstTokenP95: quantile(firstTokens, 0.95),
        prefillSaved: saved / firstTokens.length,
        failed,
    };
};

const sendCacheEvent = (
    sim: Simulation,
    id: string,
    caches: ReadonlyMap<string, EngineCache>,
    prefixes: readonly string[],
): void => {
    const event = caches.get(id)?.store(prefixes);
    if (event === undefined || sim.random.chance(LOST_EVENT_FRACTION)) {
        return;
    }
    const { startId } = sim.upstream(id).announcement();
    sim.clock.schedule(
        EVENT_DELAY_MS,
        () => sim.random.pick(sim.readyNodes).core.relay.cache({ id, startId, ...event }),
    );
};

const run = async (seed: number): Promise<Outcome> => {
    const aware = await runOnce(seed, true);
    const loadOnly = await runOnce(seed, false);
    return {
        violations: { failed: aware.failed },
        figures: {
            first_token_mean_over_load_only: round(aware.firstTokenMean / loadOnly.firstTokenMean),
            first_token_p95_over_load_only: round(aware.firstTokenP95 / loadOnly.firstTokenP95),
            prefill_saved: round(aware.prefillSaved),
            prefill_saved_load_only: round(loadOnly.prefillSaved),
        },
    };
};

export const prefix: Scenario = {
    name: "prefix",
    summary: "routing by cached prompt prefixes compared with routing by load only",
    isDeterministic: true,
    run,
};
