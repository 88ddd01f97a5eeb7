/**
 * Drives the running roll-outs while this instance leads the control log.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Fleet, type FleetCommand, type Rollout } from "./FleetState.ts";
import { type OutcomeCount } from "./Outcomes.ts";
import { planRollout, type RolloutCourse, type RolloutMove } from "./RolloutPlan.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** How often the roll-outs are looked at, in ms. */
const PERIOD_MS = 200;

/** What a driver is built from. */
export interface RolloutDriverParts {
    readonly clock: Clock;
    readonly isLeader: () => boolean;
    readonly fleet: () => Fleet;
    readonly directory: UpstreamDirectory;
    readonly outcomes: () => readonly OutcomeCount[];
    readonly course: RolloutCourse;
    readonly submit: (command: FleetCommand) => Promise<unknown>;
    readonly onMove: (rollout: Rollout, move: RolloutMove) => void;
}

/** Moves roll-outs on. */
export class RolloutDriver extends DisposableOwner {
    private readonly parts: RolloutDriverParts;
    /** Monotonic time at which each roll-out was ordered, in ms. */
    private readonly orderedAt = new Map<string, number>();
    private readonly moving = new Set<string>();

    public constructor(parts: RolloutDriverParts) {
        super();
        this.parts = parts;
        this.register(repeat(parts.clock, PERIOD_MS, () => this.tick()));
    }

    private tick(): void {
        for (const rollout of this.parts.fleet().rollouts) {
            const elapsedMs = this.elapsedOf(rollout);
            if (rollout.state === "running" && this.parts.isLeader()) {
                this.drive(rollout, elapsedMs);
            }
        }
    }

    /** A process that saw the order counts from there; one that started later has only the wall clock. */
    private elapsedOf(rollout: Rollout): number {
        const { clock } = this.parts;
        const key = `${rollout.service} ${rollout.target}`;
        const now = clock.monotonic();
        const orderedAt = this.orderedAt.get(key) ?? now - Math.max(0, clock.now() - rollout.orderedAt);
        this.orderedAt.set(key, orderedAt);
        return now - orderedAt;
    }

    private drive(rollout: Rollout, elapsedMs: number): void {
        const { outcomes, course } = this.parts;
        const { service, target } = rollout;
        const key = `${service} ${target}`;
        const move = planRollout(rollout, elapsedMs, this.hasTarget(rollout), outcomes(), course);
        if (move === undefined || this.moving.has(key)) {
            return;
        }
        this.moving.add(key);
        this.parts.onMove(rollout, move);
        this.parts.submit({ kind: "moveRollout", service, target, state: move.state, share: move.share })
            .catch(() => undefined)
            .finally(() => this.moving.delete(key));
    }

    private hasTarget({ service, target }: Rollout): boolean {
        for (const { record } of this.parts.directory.all()) {
            if (record.service === service && record.version === target && record.state === "ready") {
                return true;
            }
        }
        return false;
    }
}
