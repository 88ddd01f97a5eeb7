/**
 * Monitors versions in roll-out over all instances: each instance counts the outcomes of its requests and reports
 * them to the control instances; the leader evaluates them and withdraws a version that has turned bad, with the
 * measured rates as the reason.
 */
import { type ConfigurationFollower } from "../configuration/ConfigurationFollower.ts";
import { type ActiveVersion } from "../configuration/RoutingTable.ts";
import { type ControlClient } from "../control/ControlClient.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Member, processKeyOf } from "../membership/Member.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerRequest } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { FULL_SHARE_PERCENT } from "../sheet/Sheet.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Timeline } from "../timeline/Timeline.ts";
import { type Evaluation, type OutcomeCount, VersionEvaluator } from "./VersionEvaluator.ts";

/** How often outcomes are reported and evaluated, in ms. */
const REPORT_PERIOD_MS = 1000;
const CALL_TIMEOUT_MS = 500;
const WITHDRAW_TIMEOUT_MS = 10_000;
/** A request that takes this many times the settled version's mean time counts as slow. */
const SLOW_FACTOR = 4;

/** Ways in which an outcome can be bad. */
export const badOutcomeKinds = ["error", "slow", "rating"] as const;
export type BadOutcomeKind = (typeof badOutcomeKinds)[number];

/** Outcome of one request on a version. */
export interface VersionOutcome {
    readonly isError: boolean;
    readonly durationMs: number;
}

type Count = PeerRequest<"reportOutcomes">["counts"][number];

/** Components that the monitor uses. */
export interface RolloutMonitorDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly follower: ConfigurationFollower;
    readonly client: ControlClient;
    readonly timeline: Timeline;
    readonly isLeader: () => boolean;
}

/** Monitor of all roll-outs. */
export class RolloutMonitor extends DisposableOwner {
    private readonly deps: RolloutMonitorDependencies;
    /** Outcomes on this instance, by version and kind, since the version came into roll-out or the process started. */
    private readonly localCounts = new Map<
        string,
        { version: string; kind: BadOutcomeKind; total: number; bad: number; }
    >();
    /** Moving mean of the request time on this instance, by version, in ms. */
    private readonly meanMs = new Map<string, number>();
    /** Counts that each process of an instance last reported, by process key. */
    private readonly reported = new Map<string, Map<string, Count>>();
    /** Total counts at the last evaluation. */
    private readonly evaluated = new Map<string, OutcomeCount>();
    private readonly evaluators = new Map<string, VersionEvaluator>();
    private readonly withdrawing = new Set<string>();
    /** Versions that were in roll-out at the last check. */
    private inRollout: ReadonlySet<string> = new Set();

    public constructor(deps: RolloutMonitorDependencies) {
        super();
        this.deps = deps;
        this.register(deps.network.handle("reportOutcomes", req => this.onReported(req)));
        this.register(repeat(deps.clock, REPORT_PERIOD_MS, () => this.reportAndEvaluate()));
    }

    /** Counts the outcome of a request. */
    public onOutcome(version: string, outcome: VersionOutcome): void {
        this.count(version, "error", outcome.isError);
        if (outcome.isError) {
            return;
        }
        const settled = this.settledOf(version);
        const settledMeanMs = settled === undefined ? undefined : this.meanMs.get(settled);
        if (settledMeanMs !== undefined) {
            this.count(version, "slow", outcome.durationMs > settledMeanMs * SLOW_FACTOR);
        }
        const mean = this.meanMs.get(version);
        this.meanMs.set(
            version,
            mean === undefined ? outcome.durationMs : mean + (outcome.durationMs - mean) * MEAN_WEIGHT,
        );
    }

    /** Counts a rating from 0 to 1. */
    public onRating(version: string, rating: number): void {
        this.count(version, "rating", rating < LOW_RATING);
    }

    private count(version: string, kind: BadOutcomeKind, isBad: boolean): void {
        const key = `${version} ${kind}`;
        const entry = this.localCounts.get(key) ?? { version, kind, total: 0, bad: 0 };
        entry.total++;
        entry.bad += isBad ? 1 : 0;
        this.localCounts.set(key, entry);
    }

    private reportAndEvaluate(): void {
        const inRollout = new Set(this.versionsInRollout().map(version => version.key));
        [...inRollout].filter(version => !this.inRollout.has(version)).forEach(version =>
            this.startEvaluation(version)
        );
        this.inRollout = inRollout;
        const counts = this.rolloutCounts();
        if (counts.length > 0) {
            this.report(counts);
        }
        if (this.deps.isLeader()) {
            this.evaluateAll();
        }
    }

    /**
     * Begins a new evaluation of a version that has come into roll-out, for the first time or again: what it did before, and
     * that it was withdrawn for it, says nothing about what it is now.
     */
    private startEvaluation(version: string): void {
        this.withdrawing.delete(version);
        for (const kind of badOutcomeKinds) {
            const key = `${version} ${kind}`;
            this.localCounts.delete(key);
            this.evaluators.delete(key);
            this.evaluated.delete(`${key} settled`);
            this.evaluated.set(key, this.reportedOutcomes(version, kind));
        }
    }

    /** Outcomes on this instance for the models whose requests are shared among several versions. */
    private rolloutCounts(): Count[] {
        const models = new Set(this.versionsInRollout().map(version => version.model));
        const { table } = this.deps.follower;
        return [...this.localCounts.values()].filter(count =>
            models.has(table.activeVersion(count.version)?.model ?? "")
        );
    }

    private versionsInRollout(): readonly ActiveVersion[] {
        const versions = this.deps.follower.table.allActiveVersions();
        return versions.filter(version => version.share > 0 && version.share < FULL_SHARE_PERCENT);
    }

    private report(counts: Count[]): void {
        const { membership, network } = this.deps;
        const req = { start: processKeyOf(membership.self), counts };
        this.onReported(req);
        for (const member of membership.alive().filter(isOtherControl(membership.self))) {
            network.call(member.id, "reportOutcomes", req, CALL_TIMEOUT_MS).catch(() => undefined);
        }
    }

    private onReported({ start, counts }: PeerRequest<"reportOutcomes">): Record<string, never> {
        this.reported.set(start, new Map(counts.map(count => [`${count.version} ${count.kind}`, count])));
        return {};
    }

    private evaluateAll(): void {
        for (const version of this.versionsInRollout()) {
            const settled = this.settledOf(version.key);
            if (settled === undefined || settled === version.key || this.withdrawing.has(version.key)) {
                continue;
            }
            for (const kind of badOutcomeKinds) {
                this.evaluate(version, settled, kind);
            }
        }
    }

    private evaluate(version: ActiveVersion, settled: string, kind: BadOutcomeKind): void {
        const key = `${version.key} ${kind}`;
        let evaluator = this.evaluators.get(key);
        if (evaluator === undefined) {
            evaluator = new VersionEvaluator();
            this.evaluators.set(key, evaluator);
        }
        const evaluation = evaluator.evaluate(
            this.newOutcomes(key, version.key, kind),
            this.newOutcomes(`${key} settled`, settled, kind),
        );
        if (evaluation.isBad && !this.withdrawing.has(version.key)) {
            this.withdraw(version, settled, kind, evaluation);
        }
    }

    /** Outcomes of all instances since the last evaluation. */
    private newOutcomes(key: string, version: string, kind: BadOutcomeKind): OutcomeCount {
        const sum = this.reportedOutcomes(version, kind);
        const before = this.evaluated.get(key) ?? { total: 0, bad: 0 };
        this.evaluated.set(key, sum);
        return { total: Math.max(0, sum.total - before.total), bad: Math.max(0, sum.bad - before.bad) };
    }

    /** Outcomes that all instances have counted. */
    private reportedOutcomes(version: string, kind: BadOutcomeKind): OutcomeCount {
        const sum = { total: 0, bad: 0 };
        for (const counts of this.reported.values()) {
            const count = counts.get(`${version} ${kind}`);
            sum.total += count?.total ?? 0;
            sum.bad += count?.bad ?? 0;
        }
        return sum;
    }

    private withdraw(version: ActiveVersion, settled: string, kind: BadOutcomeKind, evaluation: Evaluation): void {
        const { clock, client, timeline } = this.deps;
        const { badRate, settledRate, outcomes } = evaluation;
        const reason = `${kind}: ${percent(badRate)} of ${outcomes} answers were bad, against ${
            percent(settledRate)
        } on ${settled}`;
        timeline.record("versionJudged", `${version.key} is withdrawn, ${reason}`, { version: version.key });
        this.withdrawing.add(version.key);
        const change = {
            kind: "withdraw",
            model: version.model,
            version: version.version,
            by: "policy",
            reason,
            at: clock.now(),
        };
        client.submit(change, WITHDRAW_TIMEOUT_MS).catch(() => this.withdrawing.delete(version.key));
    }

    private settledOf(version: string): string | undefined {
        const { table, configuration } = this.deps.follower;
        const model = table.activeVersion(version)?.model;
        const settled = model === undefined ? undefined : configuration.settled[model];
        return settled === undefined ? undefined : `${model}@${settled}`;
    }
}

/** Ratings below this count as bad. */
const LOW_RATING = 0.5;
/** Weight of the newest request in the moving mean of the request time. */
const MEAN_WEIGHT = 0.05;

const percent = (rate: number): string => `${(rate * 100).toFixed(1)} %`;

const isOtherControl = (self: Member) => (member: Member): boolean =>
    member.id !== self.id && member.roles.includes("control");
