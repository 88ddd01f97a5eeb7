/**
 * Replays a trace on instance cores with simulated upstreams and a manual clock, and lists every outcome that
 * differs from the expected one.
 */
import { isRouterError } from "../../src/common/errors/RouterError.ts";
import { type Attempt } from "../../src/common/routing/Attempts.ts";
import { VersionPolicy } from "../../src/common/routing/VersionPolicy.ts";
import { readSheet } from "../../src/common/sheet/SheetReader.ts";
import { serviceTarget } from "../../src/common/upstreams/Upstream.ts";
import { sheetText } from "../fakes/SheetText.ts";
import { simRequest } from "../fakes/SimRequests.ts";
import { type SimNode, Simulation } from "../fakes/Simulation.ts";
import { type Expectation, parseTrace, type TraceEvent, type TraceLine } from "./Trace.ts";

/** Time after the last event in which pending requests and changes can complete, in ms. */
const TRAILING_MS = 5000;
const CHANGE_TIMEOUT_MS = 10_000;

/** Result of a replay. */
export interface ReplayResult {
    /** What the trace shows, as its start event states. */
    readonly about: string;
    readonly events: number;
    readonly mismatches: readonly string[];
}

type Event<K extends TraceEvent["do"]> = Extract<TraceEvent, { do: K; }>;

/** Observed outcome of a request. Its fields have the names of the fields of `Expectation`. */
interface ObservedOutcome {
    readonly outcome: "answered" | "refused" | "unknown";
    readonly version?: string;
    readonly upstream?: string;
    readonly code?: string;
    readonly run?: string;
    readonly isRepeat?: boolean;
    readonly tookMs: number;
}

/** Replays the text of a trace. Throws if the trace has faults. */
export const replayTrace = async (text: string): Promise<ReplayResult> => {
    const { lines, faults } = parseTrace(text);
    const [first, ...following] = lines;
    if (faults.length > 0 || first?.event.do !== "start") {
        throw new Error(faults.join("\n"));
    }
    const runner = new TraceRunner(first.event);
    await runner.run(first.event, following);
    return { about: first.event.about, events: lines.length, mismatches: runner.mismatches };
};

class TraceRunner {
    public readonly mismatches: string[] = [];
    private readonly sim: Simulation;

    public constructor(start: Event<"start">) {
        this.sim = new Simulation(start.seed, start.instances);
    }

    public async run(start: Event<"start">, lines: readonly TraceLine[]): Promise<void> {
        await this.sim.start(start.rows);
        const startedAt = this.sim.now;
        const pending: Promise<void>[] = [];
        const ordered = [...lines].sort((a, b) => timeOf(a.event) - timeOf(b.event));
        for (const { line, event } of ordered) {
            await this.sim.advance(Math.max(0, startedAt + timeOf(event) - this.sim.now));
            pending.push(
                this.apply(line, event).catch((err: unknown) => {
                    this.mismatches.push(`line ${line}: ${event.do} failed: ${(err as Error).message}`);
                }),
            );
        }
        await this.sim.advance(TRAILING_MS);
        await this.sim.advanceUntilSettled(Promise.all(pending));
        this.sim.dispose();
    }

    private async apply(line: number, event: TraceEvent): Promise<void> {
        const { sim } = this;
        switch (event.do) {
            case "upstream":
                this.addUpstream(event);
                return;
            case "request":
                await Promise.all([...Array(event.count).keys()].map(index => this.checkRequest(line, event, index)));
                return;
            case "sheet":
                await this.submitSheet(line, event);
                return;
            case "change":
                await this.submitChange(event);
                return;
            case "crash":
                sim.upstream(event.upstream).crash();
                return;
            case "restart":
                sim.upstream(event.upstream).start();
                return;
            case "leave":
                this.announceLeave(event.upstream);
                return;
            case "kill":
                sim.killInstance(event.instance);
                return;
            case "revive":
                sim.startInstance(event.instance);
                return;
            case "cut":
                sim.isolateDomain(event.domain);
                return;
            case "heal":
                sim.healPartitions();
                return;
            case "expect":
                this.checkState(line, event);
                return;
            case "start":
                this.mismatches.push(`line ${line}: a trace has only one start event`);
        }
    }

    private addUpstream(event: Event<"upstream">): void {
        const versions = event.versions.map(key => {
            const [model = "", version = ""] = key.split("@");
            return { model, version };
        });
        const { id, domain, service, capacity, coldCapacity = capacity, warmMs = 0 } = event;
        this.sim.addUpstream({
            id,
            domain,
            versions,
            capacity,
            coldCapacity,
            warmMs,
            ...(service === undefined ? {} : { service }),
        });
    }

    private announceLeave(id: string): void {
        const upstream = this.sim.upstream(id);
        const { startId } = upstream.announcement();
        upstream.isLeaving = true;
        this.sim.random.pick(this.sim.readyNodes).core.relay.leave({ id, startId });
    }

    private async submitSheet(line: number, event: Event<"sheet">): Promise<void> {
        const text = sheetText(event.number, event.rows);
        const { sheet, faults } = readSheet(text);
        if (sheet === undefined) {
            this.mismatches.push(`line ${line}: the sheet has faults: ${JSON.stringify(faults)}`);
            return;
        }
        const at = this.sim.clock.now();
        const command = {
            kind: "submitSheet",
            number: event.number,
            text,
            sha256: text,
            sheet,
            by: "trace",
            reason: "",
            at,
        };
        const { outcome } = await this.sim.readyNodes[0]!.core.client.submit(command, CHANGE_TIMEOUT_MS);
        this.compare(line, "sheet", event.expect, outcome["kind"]);
    }

    private async submitChange({ kind, target, name, model, version }: Event<"change">): Promise<void> {
        const subject = target === undefined ? { model, version } : { target, name };
        const command = { kind, ...subject, by: "trace", reason: "", at: this.sim.clock.now() };
        await this.sim.readyNodes[0]!.core.client.submit(command, CHANGE_TIMEOUT_MS);
    }

    private async checkRequest(line: number, event: Event<"request">, index: number): Promise<void> {
        const observed = await this.request(event, `${event.id}.${line}.${index}`);
        for (const [field, expected] of Object.entries(event.expect) as [keyof Expectation, unknown][]) {
            if (field === "withinMs") {
                if (observed.tookMs > Number(expected)) {
                    this.mismatches.push(
                        `line ${line}: ${event.id} took ${Math.round(observed.tookMs)} ms, expected at most ${
                            String(expected)
                        }`,
                    );
                }
                continue;
            }
            this.compare(line, `${event.id} ${field}`, expected, observed[field]);
        }
    }

    private async request(event: Event<"request">, id: string): Promise<ObservedOutcome> {
        const startedAt = this.sim.now;
        const elapsedMs = (): number => this.sim.now - startedAt;
        try {
            return { ...await this.execute(event, id), outcome: "answered", tookMs: elapsedMs() };
        }
        catch (err) {
            if (!isRouterError(err)) {
                throw err;
            }
            const outcome = err.run === "not_run" ? "refused" : "unknown";
            return { outcome, code: err.code, run: err.run, tookMs: elapsedMs() };
        }
    }

    private async execute(event: Event<"request">, id: string): Promise<Omit<ObservedOutcome, "outcome" | "tookMs">> {
        const node = this.sim.node(event.instance);
        const { core } = node;
        const { table } = core.follower;
        const account = table.accounts.find(item => item.name === event.account);
        if (account === undefined) {
            throw new Error(`no account ${event.account} in the sheet`);
        }
        const version = event.model === undefined ? undefined : await this.createPolicy(node).choose({
            id,
            table,
            account,
            model: event.model,
            session: event.session,
        });
        const target = version?.version.key ?? serviceTarget(event.service ?? "");
        const fingerprint = `${event.account} ${event.body === "" ? event.id : event.body}`;
        const run = (): Promise<Attempt> => this.send(node, event, id, account, target, fingerprint);
        const recordBill = async (attempt: Attempt): Promise<Attempt> => {
            await core.bills.record(createBill(event, id, target, this.sim.clock.now()));
            return attempt;
        };
        const key = event.key;
        if (key !== undefined && !event.isIdempotent) {
            const req = {
                account: event.account,
                key,
                bodyHash: fingerprint,
                claimId: id,
                remainingMs: event.deadlineMs,
            };
            const { isRepeat } = await core.atMostOnce.run(req, async () => {
                await recordBill(await run());
                return { status: 200, contentType: "text/plain", body: "" };
            });
            return { isRepeat };
        }
        const attempt = await recordBill(await run());
        const upstream = attempt.assignment.upstream.announcement.id;
        return { upstream, ...(version === undefined ? {} : { version: version.version.key }) };
    }

    private send(
        node: SimNode,
        event: Event<"request">,
        id: string,
        account: { readonly name: string; readonly weight: number; },
        target: string,
        fingerprint: string,
    ): Promise<Attempt> {
        const req = simRequest(this.sim.clock, id, account, event.deadlineMs);
        const work = { target, cost: 100, prefixes: [], prefillMs: 0, isIdempotent: event.isIdempotent, fingerprint };
        return this.sim.request(node, req, work, event.workMs, event.isPoison);
    }

    private createPolicy(node: SimNode): VersionPolicy {
        const { follower, sessions, dispatcher } = node.core;
        return new VersionPolicy({ follower, sessions, hasUpstreams: target => dispatcher.hasUpstreams(target) });
    }

    private checkState(line: number, event: Event<"expect">): void {
        if (event.upstream !== undefined) {
            this.checkUpstream(line, event, event.upstream);
        }
        if (event.request !== undefined) {
            this.checkRuns(line, event, event.request);
        }
        if (event.sheet !== undefined) {
            for (const node of this.sim.runningNodes) {
                this.compare(
                    line,
                    `sheet on ${node.plan.id}`,
                    event.sheet,
                    node.core.follower.configuration.sheet?.number,
                );
            }
        }
    }

    private checkUpstream(line: number, event: Event<"expect">, id: string): void {
        const upstream = this.sim.upstream(id);
        const { startedAtMost = Infinity, startedAtLeast = 0, crashesAtMost = Infinity, overloads } = event;
        if (upstream.started > startedAtMost || upstream.started < startedAtLeast) {
            this.mismatches.push(`line ${line}: ${id} started ${upstream.started} requests`);
        }
        if (upstream.crashes > crashesAtMost) {
            this.mismatches.push(`line ${line}: ${id} crashed ${upstream.crashes} times`);
        }
        if (overloads !== undefined) {
            this.compare(line, `overloads of ${id}`, overloads, upstream.overloads);
        }
    }

    private checkRuns(line: number, event: Event<"expect">, request: string): void {
        const startedIds = this.sim.upstreams.flatMap(upstream => upstream.startedIds).filter(id =>
            id.startsWith(request)
        );
        if (event.ran !== undefined) {
            this.compare(line, `runs of ${request}`, event.ran, startedIds.length);
        }
        if (event.bills !== undefined) {
            const ids = new Set([...this.sim.bills.values()].flatMap(bills => [...bills.keys()]));
            this.compare(
                line,
                `bills of ${request}`,
                event.bills,
                [...ids].filter(id => id.startsWith(request)).length,
            );
        }
    }

    private compare(line: number, what: string, expected: unknown, actual: unknown): void {
        if (expected !== actual) {
            this.mismatches.push(`line ${line}: ${what} is ${String(actual)}, expected ${String(expected)}`);
        }
    }
}

const timeOf = (event: TraceEvent): number => event.do === "start" ? 0 : event.at;

const createBill = (
    event: Event<"request">,
    id: string,
    target: string,
    at: number,
): Parameters<SimNode["core"]["bills"]["record"]>[0] => ({
    id: event.key === undefined ? id : `${event.id}.key`,
    account: event.account,
    target,
    at,
    promptTokens: 1,
    completionTokens: 1,
    cost: 1,
    items: [],
    isComplete: true,
});
