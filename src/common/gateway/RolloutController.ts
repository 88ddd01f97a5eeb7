/**
 * Control loop of the roll-outs: while this instance leads the control log, it submits the next step of each running
 * roll-out when the step is due.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Fleet, type FleetCommand, type Rollout } from "./FleetState.ts";
import { type RouteOutcomeCounts } from "./OutcomeCounters.ts";
import { planRolloutStep, type RolloutSchedule, type RolloutStep, selectOutcomes } from "./RolloutPlan.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Interval at which the roll-outs are checked, in ms. */
const CHECK_INTERVAL_MS = 200;

/** Time within which a connected instance learns of a roll-out, in ms. */
const MAX_DISCOVERY_DELAY_MS = 2000;

/** Dependencies of a roll-out controller. */
export interface RolloutControllerDependencies {
    readonly clock: Clock;
    readonly isLeader: () => boolean;
    readonly fleet: () => Fleet;
    /** Time since a control quorum last confirmed that there was no later revision than `fleet`, in ms. */
    readonly confirmationAgeMs: () => number;
    readonly directory: UpstreamDirectory;
    readonly outcomes: () => readonly RouteOutcomeCounts[];
    readonly schedule: RolloutSchedule;
    readonly submit: (command: FleetCommand) => Promise<unknown>;
    /** Called when a step is submitted. */
    readonly onStep: (rollout: Rollout, step: RolloutStep) => void;
}

/** Submits the steps of roll-outs. */
export class RolloutController extends DisposableOwner {
    private readonly deps: RolloutControllerDependencies;
    /** Monotonic time at which each roll-out was requested, in ms. */
    private readonly orderedAt = new Map<string, number>();
    /** Boot time up to which the roll-outs seen at the last check were all there were, in ms. */
    private completeUntil = -Infinity;
    /** Roll-outs for which a submitted step is not committed yet. */
    private readonly pendingSteps = new Set<string>();

    public constructor(deps: RolloutControllerDependencies) {
        super();
        this.deps = deps;
        this.register(repeat(deps.clock, CHECK_INTERVAL_MS, () => this.tick()));
    }

    /** To be called when the fleet has changed: the time of a roll-out counts from when this instance learns of it. */
    public observe(): void {
        this.deps.fleet().rollouts.forEach(rollout => this.elapsedOf(rollout));
    }

    private tick(): void {
        const { clock, fleet, confirmationAgeMs } = this.deps;
        const { rollouts } = fleet();
        const keys = new Set(rollouts.map(keyOf));
        [...this.orderedAt.keys()].filter(key => !keys.has(key)).forEach(key => this.orderedAt.delete(key));
        for (const rollout of rollouts) {
            const elapsedMs = this.elapsedOf(rollout);
            if (rollout.state === "running" && this.deps.isLeader()) {
                this.advance(rollout, elapsedMs);
            }
        }
        this.completeUntil = Math.max(this.completeUntil, clock.boottime() - confirmationAgeMs());
    }

    /** Time since a roll-out was requested, in ms, by the monotonic clock of this process since it learned of it. */
    private elapsedOf(rollout: Rollout): number {
        const now = this.deps.clock.monotonic();
        const key = keyOf(rollout);
        const orderedAt = this.orderedAt.get(key) ?? now - this.ageAtDiscovery(rollout);
        this.orderedAt.set(key, orderedAt);
        return now - orderedAt;
    }

    /**
     * Age of a roll-out of which this process has just learned, in ms. The time of day at which it was requested is another
     * instance's, and both may be set; it is used only if this process was not running or was cut off at that time.
     */
    private ageAtDiscovery({ orderedAt }: Rollout): number {
        const { clock } = this.deps;
        const maxAgeMs = clock.boottime() - this.completeUntil;
        return maxAgeMs <= MAX_DISCOVERY_DELAY_MS ? 0 : Math.min(maxAgeMs, Math.max(0, clock.now() - orderedAt));
    }

    private advance(rollout: Rollout, elapsedMs: number): void {
        const { fleet, outcomes, schedule } = this.deps;
        const { id, service, target } = rollout;
        const key = keyOf(rollout);
        const counts = selectOutcomes(fleet(), rollout, outcomes());
        const step = planRolloutStep(rollout, elapsedMs, this.hasReadyTarget(rollout), counts, schedule);
        if (step === undefined || this.pendingSteps.has(key)) {
            return;
        }
        this.pendingSteps.add(key);
        this.deps.onStep(rollout, step);
        this.deps.submit({ kind: "moveRollout", id, service, target, state: step.state, share: step.share })
            .catch(() => undefined)
            .finally(() => this.pendingSteps.delete(key));
    }

    private hasReadyTarget({ service, target }: Rollout): boolean {
        return this.deps.directory.some(record =>
            record.service === service && record.version === target && record.state === "ready"
        );
    }
}

/** Identifies a roll-out among those of the fleet, also one to a version that was a target before. */
const keyOf = ({ id, service, target }: Rollout): string => `${id} ${service} ${target}`;
