/**
 * `config`: concurrent submissions of two operators, 1,100 sheets, loss and isolation of the leader, replacement
 * of a lost voter, loss of a second voter, and a full restart.
 */
import { accountRow, allowModel, domainRow, type Row, sheetText, versionRow } from "../../addons/fakes/SheetText.ts";
import { type SimNode, type SimNodePlan, Simulation } from "../../addons/fakes/Simulation.ts";
import { VOTERS_COMMAND } from "../../src/common/control/EntryLog.ts";
import { readSheet } from "../../src/common/sheet/SheetReader.ts";
import { type Outcome, quantile, round, type Scenario } from "../Scenario.ts";

const SHEETS = 1100;
const DOMAINS = ["a", "b", "c", "d"];
const SUBMIT_TIMEOUT_MS = 8000;
/** Largest pause between two submissions, in ms. */
const PAUSE_MS = 40;
/** Interval at which the configurations of all instances are read, in ms. */
const OBSERVE_MS = 100;

/** Three voters, a fourth control instance to replace a lost one, and four instances with the entry role only. */
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

/** Submits sheets, and checks on all instances that no accepted sheet is lost or reverted. */
class ConfigurationChecker {
    public reverts = 0;
    public lost = 0;
    public conflicts = 0;
    public readonly inForceMs: number[] = [];
    private readonly sim: Simulation;
    private readonly lastObserved = new Map<string, { revision: number; sheet: number; }>();
    /** Accepted sheets by number, with their content and the time of acceptance. */
    private readonly accepted = new Map<number, { text: string; at: number; isInForce: boolean; }>();
    /** Isolated instances, on which a change can't come into force. */
    private readonly unreachable = new Set<string>();

    public constructor(sim: Simulation) {
        this.sim = sim;
        sim.repeatEvery(OBSERVE_MS, () => this.observe());
    }

    /** Two operators submit different sheets with the same number at once; at most one may be accepted. */
    public async submitConflicting(number: number): Promise<void> {
        const { sim } = this;
        const texts = [rowsOf(number), [...rowsOf(number), accountRow("other")]].map(rows => sheetText(number, rows));
        const outcomes = await sim.advanceUntilSettled(Promise.all(texts.map(text => this.submitOnce(number, text))));
        if (outcomes.filter(kind => kind === "accepted").length > 1) {
            this.conflicts++;
        }
    }

    /** Submits a sheet until its outcome is known, as an operator does after a lost answer. */
    public async submit(number: number): Promise<void> {
        const text = sheetText(number, rowsOf(number));
        for (let attempt = 0; attempt < 10; attempt++) {
            const outcome = await this.sim.advanceUntilSettled(this.submitOnce(number, text));
            if (outcome !== "lost") {
                return;
            }
        }
    }

    public isolate(ids: readonly string[]): void {
        const others = plans.map(plan => plan.id).filter(id => !ids.includes(id));
        this.sim.partition(ids, others);
        ids.forEach(id => this.unreachable.add(id));
    }

    public reconnect(): void {
        this.sim.healPartitions();
        this.unreachable.clear();
    }

    /** Counts instances without the newest accepted sheet, or whose last sheet has other content than was accepted. */
    public countLost(): void {
        const newest = Math.max(...this.accepted.keys());
        for (const node of this.sim.runningNodes) {
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
        const { sim } = this;
        const { sheet } = readSheet(text);
        const at = sim.clock.now();
        const command = { kind: "submitSheet", number, text, sha256: text, sheet, by: "bench", reason: "", at };
        const nodes = sim.readyNodes.filter(node => !this.unreachable.has(node.plan.id));
        try {
            const { outcome } = await sim.random.pick(nodes).core.client.submit(command, SUBMIT_TIMEOUT_MS);
            if (outcome["kind"] === "accepted" || outcome["kind"] === "repeated") {
                this.accepted.set(number, { text, at: sim.now, isInForce: false });
            }
            return String(outcome["kind"]);
        }
        catch {
            return "lost";
        }
    }

    private observe(): void {
        for (const node of this.sim.runningNodes) {
            this.observeNode(node);
        }
        for (const [number, item] of this.accepted) {
            if (!item.isInForce && this.isInForce(number)) {
                item.isInForce = true;
                this.inForceMs.push(this.sim.now - item.at);
            }
        }
    }

    private observeNode({ plan, core }: SimNode): void {
        const { revision, sheet } = core.follower.configuration;
        const previous = this.lastObserved.get(plan.id);
        const number = sheet?.number ?? 0;
        // A process that has just started has no configuration yet, which is no revert.
        if (previous !== undefined && number > 0 && (revision < previous.revision || number < previous.sheet)) {
            this.reverts++;
        }
        if (number > 0) {
            this.lastObserved.set(plan.id, { revision, sheet: number });
        }
    }

    private isInForce(number: number): boolean {
        const reachable = this.sim.readyNodes.filter(node => !this.unreachable.has(node.plan.id));
        return reachable.every(node => (node.core.follower.configuration.sheet?.number ?? 0) >= number);
    }
}

const run = async (seed: number): Promise<Outcome> => {
    const sim = new Simulation(seed, plans, voters);
    await sim.start(rowsOf(1));
    const checker = new ConfigurationChecker(sim);
    let number = 2;
    const submitMany = async (count: number): Promise<void> => {
        for (let index = 0; index < count; index++) {
            await checker.submit(number++);
            await sim.advance(PAUSE_MS * sim.random.next());
        }
    };
    await submitMany(300);
    for (let index = 0; index < 20; index++) {
        await checker.submitConflicting(number++);
    }
    await restartLeader(sim, submitMany);
    await isolateLeader(sim, checker, submitMany);
    await loseTwoVoters(sim, submitMany);
    await submitMany(SHEETS - number);
    await sim.advance(9000);
    checker.countLost();
    const sheetBefore = configurationOf(sim);
    const ids = sim.runningNodes.map(node => node.plan.id);
    ids.forEach(id => sim.killInstance(id));
    ids.forEach(id => sim.startInstance(id));
    await sim.advance(8000);
    const isEqual = sim.runningNodes.every(node => sheetOf(node) === sheetBefore);
    sim.dispose();
    return {
        violations: { reverts: checker.reverts, lost: checker.lost, double_accepted: checker.conflicts },
        figures: {
            sheets: number - 1,
            in_force_p50_ms: round(quantile(checker.inForceMs, 0.5)),
            in_force_p100_ms: round(Math.max(...checker.inForceMs)),
            recovered_equal: isEqual ? 1 : 0,
        },
    };
};

const leaderOf = (sim: Simulation): string =>
    sim.runningNodes.find(node => node.core.control?.status.role === "leader")?.plan.id ?? "a-1";

const restartLeader = async (sim: Simulation, submitMany: (count: number) => Promise<void>): Promise<void> => {
    const leader = leaderOf(sim);
    sim.killInstance(leader);
    await submitMany(50);
    sim.startInstance(leader);
    await submitMany(50);
};

/** Isolates the leader for a long time without closing its connections; it returns with its old state. */
const isolateLeader = async (
    sim: Simulation,
    checker: ConfigurationChecker,
    submitMany: (count: number) => Promise<void>,
): Promise<void> => {
    checker.isolate([leaderOf(sim)]);
    await submitMany(80);
    await sim.advance(20_000);
    checker.reconnect();
    await submitMany(50);
};

/** A voter loses its disk and is replaced; right after the replacement, a second voter is lost. */
const loseTwoVoters = async (sim: Simulation, submitMany: (count: number) => Promise<void>): Promise<void> => {
    const victim = "b-1";
    sim.killInstance(victim);
    sim.logStores.get(victim)?.wipe();
    await submitMany(20);
    await changeVoters(sim, ["a-1", "b-1", "c-1", "d-1"]);
    await changeVoters(sim, ["a-1", "c-1", "d-1"]);
    sim.killInstance("c-1");
    await submitMany(50);
    sim.startInstance("c-1");
    sim.startInstance(victim);
    await submitMany(20);
};

const changeVoters = async (sim: Simulation, next: readonly string[]): Promise<void> => {
    const node = sim.random.pick(sim.readyNodes);
    await sim.advanceUntilSettled(node.core.client.submit({ kind: VOTERS_COMMAND, voters: [...next] }, 20_000));
};

const sheetOf = (node: SimNode): string => JSON.stringify(node.core.follower.configuration.sheet);

const configurationOf = (sim: Simulation): string => sheetOf(sim.runningNodes[0] as SimNode);

export const config: Scenario = {
    name: "config",
    summary: "concurrent submissions, 1,100 sheets, leader loss and isolation, loss of two voters, full restart",
    isDeterministic: true,
    run,
};
