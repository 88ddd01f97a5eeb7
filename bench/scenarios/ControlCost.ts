/**
 * `control_cost`: cost of announcements, load reports, gossip and configuration for growing numbers of nodes
 * (instances) and engines, without any request, extrapolated to the required size.
 */
import { accountRow, allowModel, domainRow, versionRow } from "../../addons/fakes/SheetText.ts";
import { type SimNodePlan, Simulation } from "../../addons/fakes/Simulation.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";

const RUN_MS = 20_000;
const MS_PER_S = 1000;
const BYTES_PER_MB = 1_048_576;
const DOMAINS = ["a", "b", "c", "d"];
/** Nodes and engines of one of the five regions of the required size; regions share only the control log. */
const REGION_NODES = 68;
const REGION_ENGINES = 200;

interface Size {
    readonly nodes: number;
    readonly engines: number;
}

/** Cost of one node. */
interface Cost {
    readonly bytesPerS: number;
    readonly messagesPerS: number;
    readonly cpuPercent: number;
    readonly heapMb: number;
}

/** Sizes that differ in one number at a time, so that the cost per node and per engine is measured separately. */
const sizes = {
    few: { nodes: 4, engines: 16 },
    base: { nodes: 8, engines: 16 },
    manyNodes: { nodes: 24, engines: 16 },
    manyEngines: { nodes: 8, engines: 96 },
} as const satisfies Record<string, Size>;

/** Measures the cost of one node in a deployment of the given size without requests. */
const measure = async (seed: number, size: Size): Promise<Cost> => {
    const plans: SimNodePlan[] = [...Array(size.nodes).keys()].map(index => {
        const domain = DOMAINS[index % DOMAINS.length] ?? "a";
        return { id: `${domain}-${index}`, domain, isControl: index < 3 };
    });
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const sim = new Simulation(seed, plans);
    await sim.start([
        ...DOMAINS.map(name => domainRow(name)),
        accountRow("x"),
        versionRow("m", "v1", 100),
        allowModel("x", "m"),
    ]);
    for (let index = 0; index < size.engines; index++) {
        const domain = DOMAINS[index % DOMAINS.length] ?? "a";
        sim.addUpstream({ id: `engine-${index}`, domain, versions: [{ model: "m", version: "v1" }], capacity: 16 });
    }
    await sim.advance(5000);
    sim.hub.countsBytes = true;
    sim.hub.bytes = 0;
    sim.hub.messages = 0;
    await sim.advance(RUN_MS);
    const { bytes, messages } = sim.hub;
    // Counting bytes takes processor time, so processor time is measured in a second period without it.
    sim.hub.countsBytes = false;
    const cpuBefore = process.cpuUsage();
    await sim.advance(RUN_MS);
    const cpu = process.cpuUsage(cpuBefore);
    globalThis.gc?.();
    const heap = process.memoryUsage().heapUsed - heapBefore;
    sim.dispose();
    const seconds = RUN_MS / MS_PER_S;
    return {
        bytesPerS: bytes / size.nodes / seconds,
        messagesPerS: messages / size.nodes / seconds,
        cpuPercent: (cpu.user + cpu.system) / 1e6 / seconds / size.nodes * 100,
        heapMb: heap / BYTES_PER_MB / size.nodes,
    };
};

const run = async (seed: number): Promise<Outcome> => {
    const few = await measure(seed, sizes.few);
    const base = await measure(seed, sizes.base);
    const manyNodes = await measure(seed, sizes.manyNodes);
    const manyEngines = await measure(seed, sizes.manyEngines);
    const figures: Record<string, number> = {};
    const add = (name: string, valueOf: (cost: Cost) => number, digits: number): void => {
        const perNode = (valueOf(manyNodes) - valueOf(few)) / (sizes.manyNodes.nodes - sizes.few.nodes);
        const perEngine = (valueOf(manyEngines) - valueOf(base)) / (sizes.manyEngines.engines - sizes.base.engines);
        const atSize = valueOf(base) + perNode * (REGION_NODES - sizes.base.nodes)
            + perEngine * (REGION_ENGINES - sizes.base.engines);
        figures[`${name}_today`] = round(valueOf(base), digits);
        figures[`${name}_per_node`] = round(perNode, digits + 2);
        figures[`${name}_per_engine`] = round(perEngine, digits + 2);
        figures[`${name}_at_letter_size`] = round(atSize, digits);
    };
    add("bytes_per_s", cost => cost.bytesPerS, 0);
    add("messages_per_s", cost => cost.messagesPerS, 1);
    add("cpu_percent", cost => cost.cpuPercent, 3);
    add("heap_mb", cost => cost.heapMb, 2);
    return { violations: {}, figures };
};

export const controlCost: Scenario = {
    name: "control_cost",
    summary: "control traffic, processor time and memory for growing numbers of nodes and engines",
    isDeterministic: false,
    run,
};
