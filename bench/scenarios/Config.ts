/**
 * `config`: racing operators, 1,100 sheets, leader loss, isolation, voter loss and repair and a second loss,
 * full restart.
 */
import { accountRow, allowModel, domainRow, type Row, sheetText, versionRow } from "../../addons/fakes/SheetText.ts";
import { type SimNode, type SimNodePlan, Simulation } from "../../addons/fakes/Simulation.ts";
import { VOTERS_COMMAND } from "../../src/common/control/EntryLog.ts";
import { readSheet } from "../../src/common/sheet/SheetReader.ts";
import { type Outcome, quantile, round, type Scenario } from "../Scenario.ts";

const SHEETS = 1100;
const DOMAINS = ["a", "b", "c", "d"];
const SUBMIT_TIMEOUT_MS = 8000;
const PAUSE_MS = 40;
const OBSERVE_MS = 100;

/** Three voters, a fourth and a fifth control instance to replace lost ones, three plain entries. */
const plans: readonly SimNodePlan[] = [
    { id: "a-1", domain: "a", isControl: true },
    { id: "b-1", domain: "b", isControl: true },
    { id: "c-1", domain: "c", isControl: true },
    { id: "d-1", domain: "d", isControl: true },
    { id: "a-2", domain: "a", isControl: false },
    { id: "b-2", domain: "b", isControl: false },
    { id: "c-2", domain: "c", isControl: false },
    { id: "d-2", domain: "d", isControl: false },
];
const voters = ["a-1", "b-1", "c-1"];

const rowsOf = (number: number): Row[] => [
    ...DOMAINS.map(name => domainRow(name)),
    accountRow("x"),
    versionRow("m", "v1", 100 - number % 100),
    versionRow("m", "v2", number % 100),
    allowModel("x", "m"),
];

class ConfigurationChecker {
    public reverts = 0;
    public lost = 0;
    public conflicts = 0;
    public readonly inForceMs: number[] = [];
    private readonly world: Simulation;
    private readonly seen = new Map<string, { revision: number; sheet: number; }>();
    /** Accepted sheets by number, with the content that was accepted and when. */
    private readonly accepted = new Map<number, { text: string; at: number; isInForce: boolean; }>();
    /** Instances that are cut off; a change cannot be in force there. */
    private readonly unreachable = new Set<string>();

    public constructor(world: Simulation) {
        this.world = world;
        world.repeatEvery(OBSERVE_MS, () => this.observe());
    }

    /** Two operators race with the same number and other content; at most one may be accepted. */
    public async submitConflicting(number: number): Promise<void> {
        const { world } = this;
        const both = [rowsOf(number), [...rowsOf(number), accountRow("other")]].map(rows => sheetText(number, rows));
        const outcomes = await world.advanceUntilSettled(Promise.all(both.map(text => this.submitOnce(number, text))));
        if (outcomes.filter(kind => kind === "accepted").length > 1) {
            this.conflicts++;
        }
    }

    /** Offers a sheet until its answer is known, as an operator does who resends after a lost answer. */
    public async submit(number: number): Promise<void> {
        const text = sheetText(number, rowsOf(number));
        for (let attempt = 0; attempt < 10; attempt++) {
            const outcome = await this.world.advanceUntilSettled(this.submitOnce(number, text));
            if (outcome !== "lost") {
                return;
            }
        }
    }

    public cut(ids: readonly string[]): void {
        const others = plans.map(plan => plan.id).filter(id => !ids.includes(id));
        this.world.partition(ids, others);
        ids.forEach(id => this.unreachable.add(id));
    }

    public heal(): void {
        this.world.healPartitions();
        this.unreachable.clear();
    }

    /** Accepted sheets whose number is not in the history, or holds other content. */
    public countLost(): void {
        const newest = Math.max(...this.accepted.keys());
        for (const node of this.world.runningNodes) {
            const { sheet, history } = node.core.follower.configuration;
            if (sheet?.number !== newest) {
                this.lost++;
            }
            const last = history.at(-1);
            if (last !== undefined && this.accepted.get(last.number)?.text !== last.text) {
                this.lost++;
            }
        }
    }

    private async submitOnce(number: number, text: string): Promise<string> {
        const { world } = this;
        const { sheet } = readSheet(text);
        const at = world.clock.now();
        const command = { kind: "submitSheet", number, text, sha256: text, sheet, by: "bench", reason: "", at };
        const nodes = world.readyNodes.filter(node => !this.unreachable.has(node.plan.id));
        try {
            const { outcome } = await world.random.pick(nodes).core.client.submit(command, SUBMIT_TIMEOUT_MS);
            if (outcome["kind"] === "accepted" || outcome["kind"] === "repeated") {
                this.accepted.set(number, { text, at: world.now, isInForce: false });
            }
            return String(outcome["kind"]);
        }
        catch {
            return "lost";
        }
    }

    private observe(): void {
        for (const node of this.world.runningNodes) {
            this.observeNode(node);
        }
        for (const [number, item] of this.accepted) {
            if (!item.isInForce && this.isInForce(number)) {
                item.isInForce = true;
                this.inForceMs.push(this.world.now - item.at);
            }
        }
    }

    private observeNode({ plan, core }: SimNode): void {
        const { revision, sheet } = core.follower.configuration;
        const before = this.seen.get(plan.id);
        const number = sheet?.number ?? 0;
        // A process that has just started knows nothing yet, which is not a configuration that it applies.
        if (before !== undefined && number > 0 && (revision < before.revision || number < before.sheet)) {
            this.reverts++;
        }
        if (number > 0) {
            this.seen.set(plan.id, { revision, sheet: number });
        }
    }

    private isInForce(number: number): boolean {
        const live = this.world.readyNodes.filter(node => !this.unreachable.has(node.plan.id));
        return live.every(node => (node.core.follower.configuration.sheet?.number ?? 0) >= number);
    }
}

const run = async (seed: number): Promise<Outcome> => {
    const world = new Simulation(seed, plans, voters);
    await world.start(rowsOf(1));
    const bench = new ConfigurationChecker(world);
    let number = 2;
    const submitMany = async (count: number): Promise<void> => {
        for (let index = 0; index < count; index++) {
            await bench.submit(number++);
            await world.advance(PAUSE_MS * world.random.next());
        }
    };
    await submitMany(300);
    for (let index = 0; index < 20; index++) {
        await bench.submitConflicting(number++);
    }
    await loseLeader(world, submitMany);
    await isolateLeader(world, bench, submitMany);
    await loseTwoVoters(world, submitMany);
    await submitMany(SHEETS - number);
    await world.advance(9000);
    bench.countLost();
    const before = configurationOf(world);
    const restart = world.runningNodes.map(node => node.plan.id);
    restart.forEach(id => world.killInstance(id));
    restart.forEach(id => world.startInstance(id));
    await world.advance(8000);
    const isEqual = world.runningNodes.every(node => sheetOf(node) === before);
    world.dispose();
    return {
        violations: { reverts: bench.reverts, lost: bench.lost, double_accepted: bench.conflicts },
        figures: {
            sheets: number - 1,
            in_force_p50_ms: round(quantile(bench.inForceMs, 0.5)),
            in_force_p100_ms: round(Math.max(...bench.inForceMs)),
            recovered_equal: isEqual ? 1 : 0,
        },
    };
};

const leaderOf = (world: Simulation): string =>
    world.runningNodes.find(node => node.core.control?.status.role === "leader")?.plan.id ?? "a-1";

const loseLeader = async (world: Simulation, submitMany: (count: number) => Promise<void>): Promise<void> => {
    const leader = leaderOf(world);
    world.killInstance(leader);
    await submitMany(50);
    world.startInstance(leader);
    await submitMany(50);
};

/** The leader is isolated silently for a long time, and comes back with what it had. */
const isolateLeader = async (
    world: Simulation,
    bench: ConfigurationChecker,
    submitMany: (count: number) => Promise<void>,
): Promise<void> => {
    bench.cut([leaderOf(world)]);
    await submitMany(80);
    await world.advance(20_000);
    bench.heal();
    await submitMany(50);
};

/** A voter loses its disk and is replaced; right after the repair a second one is lost. */
const loseTwoVoters = async (world: Simulation, submitMany: (count: number) => Promise<void>): Promise<void> => {
    const victim = "b-1";
    world.killInstance(victim);
    world.logStores.get(victim)?.wipe();
    await submitMany(20);
    await changeVoters(world, ["a-1", "b-1", "c-1", "d-1"]);
    await changeVoters(world, ["a-1", "c-1", "d-1"]);
    world.killInstance("c-1");
    await submitMany(50);
    world.startInstance("c-1");
    world.startInstance(victim);
    await submitMany(20);
};

const changeVoters = async (world: Simulation, next: readonly string[]): Promise<void> => {
    const node = world.random.pick(world.readyNodes);
    await world.advanceUntilSettled(node.core.client.submit({ kind: VOTERS_COMMAND, voters: [...next] }, 20_000));
};

const sheetOf = (node: SimNode): string => JSON.stringify(node.core.follower.configuration.sheet);

const configurationOf = (world: Simulation): string => sheetOf(world.runningNodes[0] as SimNode);

export const config: Scenario = {
    name: "config",
    summary: "racing operators, 1,100 sheets, leader loss, isolation, two voters lost, full restart",
    isDeterministic: true,
    run,
};
