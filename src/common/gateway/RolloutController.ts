/**
 * Drives the running roll-outs while this instance leads the control log.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Fleet, type FleetCommand, type Rollout } from "./FleetState.ts";
import { type RouteOutcomeCounts } from "./OutcomeCounters.ts";
import { planRolloutStep, type RolloutSchedule, type RolloutStep } from "./RolloutPlan.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** How often the roll-outs are looked at, in ms. */
const PERIOD_MS = 200;

/** What a driver is built from. */
export interface RolloutControllerDependencies {
    readonly clock: Clock;
    readonly isLeader: () => boolean;
    readonly fleet: () => Fleet;
    readonly directory: UpstreamDirectory;
    readonly outcomes: () => readonly RouteOutcomeCounts[];
    readonly schedule: RolloutSchedule;
    readonly submit: (command: FleetCommand) => Promise<unknown>;
    readonly onStep: (rollout: Rollout, move: RolloutStep) => void;
}

/** Moves roll-outs on. */
export class RolloutController extends DisposableOwner {
    private readonly deps: RolloutControllerDependencies;
    /** Monotonic time at which each roll-out was ordered, in ms. */
    private readonly orderedAt = new Map<string, number>();
    private readonly pendingSteps = new Set<string>();

    public constructor(deps: RolloutControllerDependencies) {
        super();
        this.deps = deps;
        this.register(repeat(deps.clock, PERIOD_MS, () => this.tick()));
    }

    private tick(): void {
        for (const rollout of this.deps.fleet().rollouts) {
            const elapsedMs = this.elapsedOf(rollout);
            if (rollout.state === "running" && this.deps.isLeader()) {
                this.advance(rollout, elapsedMs);
            }
        }
    }

    /** A process that saw the order counts from there; one that started later has only the wall clock. */
    private elapsedOf(rollout: Rollout): number {
        const { clock } = this.deps;
        const key = `${rollout.service} ${rollout.target}`;
        const now = clock.monotonic();
        const orderedAt = this.orderedAt.get(key) ?? now - Math.max(0, clock.now() - rollout.orderedAt);
        this.orderedAt.set(key, orderedAt);
        return now - orderedAt;
    }

    private advance(rollout: Rollout, elapsedMs: number): void {
        const { outcomes, schedule: course } = this.deps;
        const { service, target } = rollout;
        const key = `${service} ${target}`;
        const move = planRolloutStep(rollout, elapsedMs, this.hasReadyTarget(rollout), outcomes(), course);
        if (move === undefined || this.pendingSteps.has(key)) {
            return;
        }
        this.pendingSteps.add(key);
        this.deps.onStep(rollout, move);
        this.deps.submit({ kind: "moveRollout", service, target, state: move.state, share: move.share })
            .catch(() => undefined)
            .finally(() => this.pendingSteps.delete(key));
    }

    private hasReadyTarget({ service, target }: Rollout): boolean {
        for (const { record } of this.deps.directory.all()) {
            if (record.service === service && record.version === target && record.state === "ready") {
                return true;
            }
        }
        return false;
    }
}
