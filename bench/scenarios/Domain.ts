/**
 * `domain`: a failure domain that is drained and restored, then partitioned and reconnected; an upstream that
 * leaves; and the graceful stop of an instance, all under load.
 */
import { simRequest, simWork } from "../../addons/fakes/SimRequests.ts";
import { type SimNode, type Simulation } from "../../addons/fakes/Simulation.ts";
import { isRouterError } from "../../src/common/errors/RouterError.ts";
import { type Outcome, quantile, round, type Scenario } from "../Scenario.ts";
import { addEngines, DOMAINS, startSimulation, TARGET } from "../SingleModelSetup.ts";

const ENGINES_PER_DOMAIN = 2;
const CAPACITY = 10;
const WORK_MS = 150;
const DEADLINE_MS = 5000;
/** About half of the capacity of all engines, so that the others can serve the load of a failure domain that is out. */
const RATE_PER_S = 250;
/** Time after which new work on an upstream that is drained or leaves counts as late, in ms. */
const LATE_AFTER_MS = 3000;
const PHASE_MS = 8000;

type Phase = "before" | "drained" | "cut" | "after";

class Counts {
    public lateNewWork = 0;
    public failedOnStop = 0;
    public failedIdempotent = 0;
    public isolatedOffered = 0;
    public isolatedServed = 0;
    public readonly latencies: Record<Phase, number[]> = { before: [], drained: [], cut: [], after: [] };
}

const run = async (seed: number): Promise<Outcome> => {
    const sim = await startSimulation(seed);
    const counts = new Counts();
    await addEngines(sim, ENGINES_PER_DOMAIN, { capacity: CAPACITY }, 4000);
    const experiment = new DomainExperiment(sim, counts);
    await experiment.run();
    sim.dispose();
    const during = Math.max(quantile(counts.latencies.drained, 0.95), quantile(counts.latencies.cut, 0.95));
    return {
        violations: {
            late_new_work: counts.lateNewWork,
            cut_requests: counts.failedOnStop,
            failed_idempotent: counts.failedIdempotent,
        },
        figures: {
            served_while_cut_ratio: round(counts.isolatedServed / counts.isolatedOffered, 4),
            p95_before_ms: round(quantile(counts.latencies.before, 0.95)),
            p95_drained_ms: round(quantile(counts.latencies.drained, 0.95)),
            p95_cut_ms: round(quantile(counts.latencies.cut, 0.95)),
            p95_during_over_before: round(during / quantile(counts.latencies.before, 0.95)),
        },
    };
};

class DomainExperiment {
    private readonly sim: Simulation;
    private readonly counts: Counts;
    private phase: Phase = "before";
    private count = 0;
    /** Time since which an upstream must not start requests, by its id. */
    private readonly closedSince = new Map<string, number>();
    private readonly stopping = new Set<string>();

    public constructor(sim: Simulation, counts: Counts) {
        this.sim = sim;
        this.counts = counts;
    }

    public async run(): Promise<void> {
        const { sim } = this;
        const end = sim.now + PHASE_MS * 6;
        sim.scheduleArrivals(() => RATE_PER_S, end, () => void this.sendRequest(this.pickNode()));
        this.countLateWork();
        await sim.advance(PHASE_MS);
        await this.drainAndRestore();
        await this.isolateAndHeal();
        await this.leaveAndStop();
        await sim.advance(Math.max(0, end - sim.now) + DEADLINE_MS);
    }

    private async drainAndRestore(): Promise<void> {
        const { sim } = this;
        const domain = sim.random.pick(DOMAINS);
        this.phase = "drained";
        await this.submitChange({ kind: "drain", target: "domain", name: domain });
        this.markClosed(sim.upstreams.filter(item => item.options.domain === domain).map(item => item.options.id));
        await sim.advance(PHASE_MS);
        this.closedSince.clear();
        await this.submitChange({ kind: "undrain", target: "domain", name: domain });
        await sim.advance(PHASE_MS / 2);
    }

    private async isolateAndHeal(): Promise<void> {
        const { sim } = this;
        this.phase = "cut";
        sim.isolateDomain("d");
        await sim.advance(PHASE_MS);
        sim.healPartitions();
        this.phase = "after";
        await sim.advance(PHASE_MS / 2);
    }

    /** An upstream sends its leave message, and an instance stops gracefully, both under load. */
    private async leaveAndStop(): Promise<void> {
        const { sim } = this;
        const upstream = sim.random.pick(sim.upstreams);
        const { startId } = upstream.announcement();
        upstream.isLeaving = true;
        sim.random.pick(sim.readyNodes).core.relay.leave({ id: upstream.options.id, startId });
        this.markClosed([upstream.options.id]);
        const node = sim.node("b-2");
        this.stopping.add("b-2");
        await sim.advance(1000);
        await sim.advanceUntilSettled(node.core.membership.leave());
        await sim.advance(DEADLINE_MS);
        sim.killInstance("b-2");
        await sim.advance(PHASE_MS / 2);
    }

    private pickNode(): SimNode {
        return this.sim.random.pick(this.sim.readyNodes.filter(node => !this.stopping.has(node.plan.id)));
    }

    private async sendRequest(node: SimNode): Promise<void> {
        const { sim, counts, phase } = this;
        const isIsolated = phase === "cut" && node.plan.domain === "d";
        counts.isolatedOffered += isIsolated ? 1 : 0;
        const startedAt = sim.now;
        const req = simRequest(sim.clock, `r${this.count++}`, { name: "x", weight: 1 }, DEADLINE_MS);
        try {
            await sim.request(node, req, simWork(TARGET, req.id), WORK_MS);
            counts.latencies[phase].push(sim.now - startedAt);
            counts.isolatedServed += isIsolated ? 1 : 0;
        }
        catch (err) {
            this.countFailure(err, isIsolated, node);
        }
    }

    private countFailure(err: unknown, isIsolated: boolean, node: SimNode): void {
        if (!isRouterError(err)) {
            throw err;
        }
        if (this.stopping.has(node.plan.id)) {
            this.counts.failedOnStop++;
        }
        this.counts.failedIdempotent += isIsolated ? 0 : 1;
    }

    private markClosed(ids: readonly string[]): void {
        ids.forEach(id => this.closedSince.set(id, this.sim.now));
    }

    private countLateWork(): void {
        const lastStarted = new Map<string, number>();
        this.sim.repeatEvery(20, () => {
            for (const upstream of this.sim.upstreams) {
                const { id } = upstream.options;
                const since = this.closedSince.get(id);
                const isLate = since !== undefined && this.sim.now - since > LATE_AFTER_MS;
                this.counts.lateNewWork += isLate ? upstream.started - (lastStarted.get(id) ?? upstream.started) : 0;
                lastStarted.set(id, upstream.started);
            }
        });
    }

    private async submitChange(change: object): Promise<void> {
        const { sim } = this;
        const command = { ...change, by: "bench", reason: "", at: sim.clock.now() };
        await sim.advanceUntilSettled(sim.random.pick(sim.readyNodes).core.client.submit(command, 10_000));
    }
}

export const domain: Scenario = {
    name: "domain",
    summary: "a failure domain drained, partitioned and reconnected; an upstream leaving; a graceful stop, under load",
    isDeterministic: true,
    run,
};
