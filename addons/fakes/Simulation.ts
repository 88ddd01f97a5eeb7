/**
 * Simulates a deployment: several instance cores on one manual clock, with simulated upstreams and a network that
 * can be partitioned. All decisions are made by the production modules.
 */
import { type Bill } from "../../src/common/billing/Bill.ts";
import { type BillStore } from "../../src/common/billing/BillRecorder.ts";
import { type Configuration } from "../../src/common/configuration/Configuration.ts";
import { type LogStore } from "../../src/common/control/LogStore.ts";
import { routerError } from "../../src/common/errors/RouterError.ts";
import { type ConfigurationStore, InstanceCore } from "../../src/common/instance/InstanceCore.ts";
import { type Member } from "../../src/common/membership/Member.ts";
import {
    type Attempt,
    type AttemptRequest,
    Attempts,
    CONNECT_STEP,
    type Work,
} from "../../src/common/routing/Attempts.ts";
import { readSheet } from "../../src/common/sheet/SheetReader.ts";
import { ManualClock } from "../../src/common/time/ManualClock.ts";
import { MemoryLogStore } from "./MemoryLogStore.ts";
import { MemoryHub, type MemoryNetwork } from "./MemoryNetwork.ts";
import { SeededRandom } from "./SeededRandom.ts";
import { type Row, sheetText } from "./SheetText.ts";
import { type SimRequest, SimUpstream, type SimUpstreamOptions } from "./SimUpstream.ts";

/** Identity, failure domain and role of a simulated instance. */
export interface SimNodePlan {
    readonly id: string;
    readonly domain: string;
    readonly isControl: boolean;
}

/** A running simulated instance. */
export interface SimNode {
    readonly plan: SimNodePlan;
    readonly core: InstanceCore;
    readonly network: MemoryNetwork;
    readonly attempts: Attempts;
}

/** Duration of a sync of an in-memory disk, in ms. */
const SYNC_MS = 2;
const HEARTBEAT_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 300;
const PARTITION_POLL_MS = 100;
const LOAD_REPORT_INTERVAL_MS = 500;
/** Start time of the manual clock, in ms since 1970: late enough that ages are never negative. */
const START_TIME_MS = 1_700_000_000_000;

/** Lets all callbacks of settled promises run. */
const flushPromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Four failure domains with two instances each; three of the instances are voters. */
export const eightInstances: readonly SimNodePlan[] = ["a", "b", "c", "d"].flatMap(domain => [
    { id: `${domain}-1`, domain, isControl: domain !== "d" },
    { id: `${domain}-2`, domain, isControl: false },
]);

/** Instances, upstreams and network of one simulation run. */
export class Simulation {
    public readonly clock = new ManualClock(START_TIME_MS);
    public readonly random: SeededRandom;
    public readonly hub: MemoryHub;
    public readonly upstreams: SimUpstream[] = [];
    public readonly logStores = new Map<string, MemoryLogStore>();
    public readonly bills = new Map<string, Map<string, Bill>>();
    private readonly nodes = new Map<string, SimNode>();
    private readonly startedCores = new Set<InstanceCore>();
    private readonly plans: readonly SimNodePlan[];
    /** Pairs of groups between which the network is partitioned. */
    private partitions: { readonly a: ReadonlySet<string>; readonly b: ReadonlySet<string>; }[] = [];

    private readonly configurations = new Map<string, Configuration>();
    private readonly voters: readonly string[];

    /** `voters` are the voters of the first start, by default all control instances. */
    public constructor(seed: number, plans: readonly SimNodePlan[], voters?: readonly string[]) {
        this.random = new SeededRandom(seed);
        this.voters = voters ?? plans.filter(plan => plan.isControl).map(plan => plan.id);
        this.plans = plans;
        this.hub = new MemoryHub(this.clock, (from, to) => this.linkDelay(from, to));
    }

    /** Time since the start of the run, in ms. */
    public get now(): number {
        return this.clock.monotonic() - START_TIME_MS;
    }

    public get runningNodes(): SimNode[] {
        return [...this.nodes.values()];
    }

    /** Instances whose start has completed; callers can reach only these. */
    public get readyNodes(): SimNode[] {
        return this.runningNodes.filter(node => this.startedCores.has(node.core));
    }

    public node(id: string): SimNode {
        const node = this.nodes.get(id);
        if (node === undefined) {
            throw new Error(`instance ${id} is not running`);
        }
        return node;
    }

    public isRunning(id: string): boolean {
        return this.nodes.has(id);
    }

    /** Starts all instances and puts a first sheet with `rows` in force. */
    public async start(rows: readonly Row[]): Promise<void> {
        this.plans.forEach(plan => this.startInstance(plan.id));
        await this.advance(4000);
        await this.submitSheet(1, rows);
        await this.advance(1500);
    }

    public startInstance(id: string): SimNode {
        const plan = this.plans.find(item => item.id === id);
        if (plan === undefined) {
            throw new Error(`no plan for instance ${id}`);
        }
        const network = this.hub.join(id, this.plans.map(item => item.id));
        const core = new InstanceCore({
            clock: this.clock,
            network,
            member: createMember(plan, this.clock.now()),
            random: this.random.next,
            otherDomainMs: 2,
            initialVoters: this.voters,
            logStore: plan.isControl ? this.openLogStore(id) : undefined,
            configurationStore: plan.isControl ? this.configurationStoreOf(id) : undefined,
            billStore: plan.isControl ? this.billStoreOf(id) : undefined,
        });
        const attempts = new Attempts({ ...core, clock: this.clock }, {
            onDispatch: noop,
            onOutcome: noop,
            onFailure: noop,
        });
        const node = { plan, core, network, attempts };
        this.nodes.set(id, node);
        void core.start().then(() => this.startedCores.add(core));
        return node;
    }

    /** Ends an instance as SIGKILL does; the content of its disk is kept. */
    public killInstance(id: string): void {
        const node = this.node(id);
        this.hub.remove(node.network);
        node.core.dispose();
        this.nodes.delete(id);
    }

    /** Partitions the network between two groups of instances and upstreams. */
    public partition(a: Iterable<string>, b: Iterable<string>): void {
        this.partitions.push({ a: new Set(a), b: new Set(b) });
    }

    /** Partitions the network between a failure domain and all others. */
    public isolateDomain(domain: string): void {
        const inside = this.idsInDomains(name => name === domain);
        this.partition(inside, this.idsInDomains(name => name !== domain));
    }

    public healPartitions(): void {
        this.partitions = [];
    }

    public isPartitioned(from: string, to: string): boolean {
        return this.partitions.some(({ a, b }) => (a.has(from) && b.has(to)) || (b.has(from) && a.has(to)));
    }

    public advance(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, flushPromises);
    }

    /** Submits a sheet to the instance `nodeId`, by default a random one, and waits for the outcome. */
    public async submitSheet(number: number, rows: readonly Row[], nodeId?: string): Promise<void> {
        const text = sheetText(number, rows);
        const { sheet, faults } = readSheet(text);
        if (sheet === undefined) {
            throw new Error(JSON.stringify(faults));
        }
        const node = nodeId === undefined ? this.random.pick(this.runningNodes) : this.node(nodeId);
        const command = {
            kind: "submitSheet",
            number,
            text,
            // Hashes are only compared for equality, so the text can be used as its own hash.
            sha256: text,
            sheet,
            by: "bench",
            reason: "",
            at: this.clock.now(),
        };
        await this.advanceUntilSettled(node.core.client.submit(command, 10_000));
    }

    /** Advances the clock until `promise` is settled, and returns its result. */
    public async advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
        let isSettled = false;
        promise.then(() => (isSettled = true), () => (isSettled = true));
        while (!isSettled) {
            await this.advance(5);
        }
        return promise;
    }

    /** Adds an upstream that sends announcements and load reports to the instances that it can reach. */
    public addUpstream(options: SimUpstreamOptions): SimUpstream {
        const upstream = new SimUpstream(this.clock, options);
        upstream.start();
        this.upstreams.push(upstream);
        this.sendPeriodically(
            upstream,
            HEARTBEAT_INTERVAL_MS,
            node => void node.core.relay.announce(upstream.announcement()),
        );
        this.sendPeriodically(upstream, LOAD_REPORT_INTERVAL_MS, node => node.core.relay.report(upstream.report()));
        return upstream;
    }

    public upstream(id: string): SimUpstream {
        const found = this.upstreams.find(upstream => upstream.options.id === id);
        if (found === undefined) {
            throw new Error(`upstream ${id} does not exist`);
        }
        return found;
    }

    /** Runs a request on an instance through the production `Attempts`. `workMs` may depend on the upstream. */
    public request(
        node: SimNode,
        req: AttemptRequest,
        work: Work,
        workMs: number | ((upstreamId: string) => number),
        isPoison = false,
    ): Promise<Attempt> {
        const send = async (attempt: Attempt): Promise<Attempt> => {
            const ms = typeof workMs === "number" ? workMs : workMs(attempt.assignment.upstream.announcement.id);
            await this.sendToUpstream(node, attempt, { id: attempt.id, workMs: ms, isPoison });
            return attempt;
        };
        return node.attempts.run(req, work, send, () => false);
    }

    /** During a partition, connection attempts time out, and responses to requests in flight arrive after its end. */
    private async sendToUpstream(node: SimNode, attempt: Attempt, req: SimRequest): Promise<void> {
        const { id } = attempt.assignment.upstream.announcement;
        if (this.isPartitioned(node.plan.id, id)) {
            await this.sleep(CONNECT_TIMEOUT_MS);
            throw routerError("the connection timed out", {
                code: "upstreamFailed",
                run: "not_run",
                step: CONNECT_STEP,
                peer: id,
            });
        }
        const answer = this.upstream(id).run(req, attempt.signal);
        await Promise.race([answer, rejectOnAbort(attempt.signal, id)]);
        while (this.isPartitioned(node.plan.id, id)) {
            await Promise.race([this.sleep(PARTITION_POLL_MS), rejectOnAbort(attempt.signal, id)]);
        }
    }

    public sleep(ms: number): Promise<void> {
        return new Promise(resolve => this.clock.schedule(ms, resolve));
    }

    /** Calls `run` every `periodMs` until the simulation ends, first after a random fraction of the period. */
    public repeatEvery(periodMs: number, run: () => void): void {
        const tick = (): void => {
            run();
            this.clock.schedule(periodMs, tick);
        };
        this.clock.schedule(this.random.next() * periodMs, tick);
    }

    /** Schedules Poisson arrivals with `rate()` per second, from now until the time `untilMs` of the run. */
    public scheduleArrivals(rate: () => number, untilMs: number, arrive: () => void): void {
        const next = (): void => {
            if (this.now >= untilMs) {
                return;
            }
            arrive();
            this.clock.schedule(this.random.exponential(1000 / rate()), next);
        };
        this.clock.schedule(this.random.exponential(1000 / rate()), next);
    }

    public dispose(): void {
        this.nodes.forEach(node => node.core.dispose());
    }

    private sendPeriodically(upstream: SimUpstream, periodMs: number, send: (node: SimNode) => void): void {
        this.repeatEvery(periodMs, () => {
            const { id, domain } = upstream.options;
            const sameDomain = this.runningNodes.filter(node =>
                node.plan.domain === domain && !this.isPartitioned(id, node.plan.id)
            );
            const anyDomain = this.runningNodes.filter(node => !this.isPartitioned(id, node.plan.id));
            const reachable = sameDomain.length > 0 ? sameDomain : anyDomain;
            if (upstream.isUp && !upstream.isLeaving && reachable.length > 0) {
                send(this.random.pick(reachable));
            }
        });
    }

    /** Delay of a message in ms, or undefined if it is lost. Shorter between ids that begin with the same letter. */
    private linkDelay(from: string, to: string): number | undefined {
        if (this.isPartitioned(from, to)) {
            return undefined;
        }
        return from.slice(0, 1) === to.slice(0, 1) ? 0.2 + this.random.next() * 0.2 : 1 + this.random.next() * 0.8;
    }

    private idsInDomains(isIncluded: (domain: string) => boolean): string[] {
        const instances = this.plans.filter(plan => isIncluded(plan.domain)).map(plan => plan.id);
        const upstreams = this.upstreams.filter(item => isIncluded(item.options.domain)).map(item => item.options.id);
        return [...instances, ...upstreams];
    }

    private openLogStore(id: string): LogStore {
        let store = this.logStores.get(id);
        if (store === undefined) {
            store = new MemoryLogStore(this.clock, SYNC_MS);
            this.logStores.set(id, store);
        }
        return store.open();
    }

    private configurationStoreOf(id: string): ConfigurationStore {
        return {
            load: async () => this.configurations.get(id),
            save: configuration => void this.configurations.set(id, configuration),
        };
    }

    private billStoreOf(id: string): BillStore {
        const storedBills = this.bills.get(id) ?? new Map<string, Bill>();
        this.bills.set(id, storedBills);
        return {
            append: async bills => {
                await this.sleep(SYNC_MS);
                bills.forEach(bill => storedBills.set(bill.id, bill));
            },
        };
    }
}

/** Rejects when the attempt is cancelled. */
const rejectOnAbort = (signal: AbortSignal, peer: string): Promise<never> =>
    new Promise((...[, reject]) => {
        const details = { code: "upstreamFailed", run: "unknown", step: "wait for answer", peer } as const;
        const onAbort = (): void => reject(routerError("the attempt was cancelled", details));
        if (signal.aborted) {
            onAbort();
        }
        signal.addEventListener("abort", onAbort, { once: true });
    });

const noop = (): void => undefined;

const createMember = (plan: SimNodePlan, start: number): Member => ({
    id: plan.id,
    start,
    seq: 0,
    state: "alive",
    domain: plan.domain,
    region: "demo",
    roles: plan.isControl ? ["entry", "control"] : ["entry"],
    address: "",
    revision: 0,
});
