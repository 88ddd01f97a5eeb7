/**
 * Reconciles the voters of the control log while this instance leads it: new control instances become voters as far as
 * they are needed, and replace voters that are lost permanently.
 */
import { type Committed } from "../control/ControlTypes.ts";
import { votersCommand } from "../control/EntryLog.ts";
import { type Command } from "../control/LogStore.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type ControlReachability, likelyVoters, nextVoters, plannedVoters } from "./VoterPlan.ts";

/** Interval at which the voters are checked, in ms. */
const CHECK_INTERVAL_MS = 200;

/** Dependencies of a voter reconciler. */
export interface VoterReconcilerDependencies {
    readonly clock: Clock;
    readonly isLeader: () => boolean;
    readonly voters: () => readonly string[];
    readonly reachability: () => ControlReachability;
    /** Whether the control log takes changes of several voters at once; one at a time by default. */
    readonly allowsJointChanges?: () => boolean;
    /** Replicates the log to instances that are likely to become voters, and no longer to other ones that aren't voters. */
    readonly prepare?: (instances: readonly string[]) => void;
    /** Resolves when the leader has committed the command. */
    readonly propose: (command: Command) => Promise<Committed>;
    /** Called before a change is proposed. */
    readonly onChange: (from: readonly string[], to: readonly string[]) => void;
    /** Called when a proposal was not committed. */
    readonly onFailure: (err: Error) => void;
}

/** Changes the voters to the planned ones. */
export class VoterReconciler extends DisposableOwner {
    private readonly deps: VoterReconcilerDependencies;
    private isChanging = false;

    public constructor(deps: VoterReconcilerDependencies) {
        super();
        this.deps = deps;
        this.register(repeat(deps.clock, CHECK_INTERVAL_MS, () => void this.reconcile()));
    }

    private async reconcile(): Promise<void> {
        if (this.isChanging) {
            return;
        }
        this.isChanging = true;
        try {
            this.prepare();
            await this.applySteps();
        }
        catch (err) {
            this.deps.onFailure(err as Error);
        }
        finally {
            this.isChanging = false;
        }
    }

    private prepare(): void {
        const { isLeader, voters, reachability, prepare } = this.deps;
        if (isLeader()) {
            prepare?.(likelyVoters(voters(), reachability()));
        }
    }

    /**
     * Applies all due changes without a pause between them. Where voters are changed one at a time, an even number of them
     * tolerates fewer losses than before, from the addition of a successor to the removal of the lost voter.
     */
    private async applySteps(): Promise<void> {
        const { isLeader, voters, reachability, propose, onChange } = this.deps;
        while (isLeader() && !this.isDisposed) {
            const from = voters();
            const plan = this.deps.allowsJointChanges?.() === true ? plannedVoters : nextVoters;
            const to = plan(from, reachability());
            if (to === undefined) {
                return;
            }
            onChange(from, to);
            await propose(votersCommand(to));
        }
    }
}
