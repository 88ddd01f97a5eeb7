/**
 * `domain`: a failure domain drained, cut off and back; an upstream leaving; a planned stop under load.
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
/** Half of what all engines bear, so that the rest can carry a failure domain that is out. */
const RATE = 250;
/** New work on something taken out is late after this time, in ms. */
const LATE_MS = 3000;
const PHASE_MS = 8000;

type Phase = "before" | "drained" | "cut" | "after";

class Counts {
    public lateNewWork = 0;
    public failedOnStop = 0;
    public failedIdempotent = 0;
    public insideOffered = 0;
    public insideServed = 0;
    public readonly latencies: Record<Phase, number[]> = { before: [], drained: [], cut: [], after: [] };
}

const run = async (seed: number): Promise<Outcome> => {
    const world = await startSimulation(seed);
    const counts = new Counts();
    await addEngines(world, ENGINES_PER_DOMAIN, { capacity: CAPACITY }, 4000);
    const play = new DomainExperiment(world, counts);
    await play.run();
    world.dispose();
    const during = Math.max(quantile(counts.latencies.drained, 0.95), quantile(counts.latencies.cut, 0.95));
    return {
        violations: {
            late_new_work: counts.lateNewWork,
            cut_requests: counts.failedOnStop,
            failed_idempotent: counts.failedIdempotent,
        },
        figures: {
            served_while_cut_ratio: round(counts.insideServed / counts.insideOffered, 4),
            p95_before_ms: round(quantile(counts.latencies.before, 0.95)),
            p95_drained_ms: round(quantile(counts.latencies.drained, 0.95)),
            p95_cut_ms: round(quantile(counts.latencies.cut, 0.95)),
            p95_during_over_before: round(during / quantile(counts.latencies.before, 0.95)),
        },
    };
};

class DomainExperiment {
    private readonly world: Simulation;
    private readonly counts: Counts;
    private phase: Phase = "before";
    private count = 0;
    /** Upstreams that must not begin requests, and since when. */
    private readonly closedSince = new Map<string, number>();
    private readonly stopping = new Set<string>();

    public constructor(world: Simulation, counts: Counts) {
        this.world = world;
        this.counts = counts;
    }

    public async run(): Promise<void> {
        const { world } = this;
        const end = world.now + PHASE_MS * 6;
        world.scheduleArrivals(() => RATE, end, () => void this.sendRequest(this.pickNode()));
        this.watchLateWork();
        await world.advance(PHASE_MS);
        await this.drainAndReturn();
        await this.isolateAndHeal();
        await this.leaveAndStop();
        await world.advance(Math.max(0, end - world.now) + DEADLINE_MS);
    }

    private async drainAndReturn(): Promise<void> {
        const { world } = this;
        const domain = world.random.pick(DOMAINS);
        this.phase = "drained";
        await this.submitChange({ kind: "drain", target: "domain", name: domain });
        this.markClosed(world.upstreams.filter(item => item.options.domain === domain).map(item => item.options.id));
        await world.advance(PHASE_MS);
        this.closedSince.clear();
        await this.submitChange({ kind: "undrain", target: "domain", name: domain });
        await world.advance(PHASE_MS / 2);
    }

    private async isolateAndHeal(): Promise<void> {
        const { world } = this;
        this.phase = "cut";
        world.isolateDomain("d");
        await world.advance(PHASE_MS);
        world.healPartitions();
        this.phase = "after";
        await world.advance(PHASE_MS / 2);
    }

    /** An upstream says that it leaves, and an instance is stopped as planned, both under load. */
    private async leaveAndStop(): Promise<void> {
        const { world } = this;
        const upstream = world.random.pick(world.upstreams);
        const { startId } = upstream.announcement();
        upstream.isLeaving = true;
        world.random.pick(world.readyNodes).core.relay.leave({ id: upstream.options.id, startId });
        this.markClosed([upstream.options.id]);
        const node = world.node("b-2");
        this.stopping.add("b-2");
        await world.advance(1000);
        await world.advanceUntilSettled(node.core.membership.leave());
        await world.advance(DEADLINE_MS);
        world.killInstance("b-2");
        await world.advance(PHASE_MS / 2);
    }

    private pickNode(): SimNode {
        return this.world.random.pick(this.world.readyNodes.filter(node => !this.stopping.has(node.plan.id)));
    }

    private async sendRequest(node: SimNode): Promise<void> {
        const { world, counts, phase } = this;
        const isInside = phase === "cut" && node.plan.domain === "d";
        counts.insideOffered += isInside ? 1 : 0;
        const startedAt = world.now;
        const req = simRequest(world.clock, `r${this.count++}`, { name: "x", weight: 1 }, DEADLINE_MS);
        try {
            await world.request(node, req, simWork(TARGET, req.id), WORK_MS);
            counts.latencies[phase].push(world.now - startedAt);
            counts.insideServed += isInside ? 1 : 0;
        }
        catch (err) {
            this.countFailure(err, isInside, node);
        }
    }

    private countFailure(err: unknown, isInside: boolean, node: SimNode): void {
        if (!isRouterError(err)) {
            throw err;
        }
        if (this.stopping.has(node.plan.id)) {
            this.counts.failedOnStop++;
        }
        this.counts.failedIdempotent += isInside ? 0 : 1;
    }

    private markClosed(ids: readonly string[]): void {
        ids.forEach(id => this.closedSince.set(id, this.world.now));
    }

    private watchLateWork(): void {
        const begun = new Map<string, number>();
        this.world.repeatEvery(20, () => {
            for (const upstream of this.world.upstreams) {
                const { id } = upstream.options;
                const since = this.closedSince.get(id);
                const isLate = since !== undefined && this.world.now - since > LATE_MS;
                this.counts.lateNewWork += isLate ? upstream.started - (begun.get(id) ?? upstream.started) : 0;
                begun.set(id, upstream.started);
            }
        });
    }

    private async submitChange(change: object): Promise<void> {
        const { world } = this;
        const command = { ...change, by: "bench", reason: "", at: world.clock.now() };
        await world.advanceUntilSettled(world.random.pick(world.readyNodes).core.client.submit(command, 10_000));
    }
}

export const domain: Scenario = {
    name: "domain",
    summary: "a failure domain drained, cut off and back; an upstream leaving; a planned stop under load",
    isDeterministic: true,
    run,
};
