/**
 * Keeps the voters of the control log right while this instance leads it: control instances that appear become voters
 * as far as they are needed, and take the place of those that are gone for good.
 */
import { type Committed } from "../control/ControlTypes.ts";
import { VOTERS_COMMAND } from "../control/EntryLog.ts";
import { type Command } from "../control/LogStore.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type ControlReachability, nextVoters } from "./VoterPlan.ts";

/** How often the voters are looked at, in ms. */
const PERIOD_MS = 500;

/** What a keeper is built from. */
export interface VoterReconcilerDependencies {
    readonly clock: Clock;
    readonly isLeader: () => boolean;
    readonly voters: () => readonly string[];
    readonly reachability: () => ControlReachability;
    /** Resolves when the leader has committed the command. */
    readonly propose: (command: Command) => Promise<Committed>;
    readonly onChange: (from: readonly string[], to: readonly string[]) => void;
    readonly onFailure: (err: Error) => void;
}

/** Adjusts the voters one step at a time. */
export class VoterReconciler extends DisposableOwner {
    private readonly deps: VoterReconcilerDependencies;
    private isChanging = false;

    public constructor(deps: VoterReconcilerDependencies) {
        super();
        this.deps = deps;
        this.register(repeat(deps.clock, PERIOD_MS, () => void this.reconcile()));
    }

    private async reconcile(): Promise<void> {
        if (this.isChanging) {
            return;
        }
        this.isChanging = true;
        try {
            await this.applySteps();
        }
        catch (err) {
            this.deps.onFailure(err as Error);
        }
        finally {
            this.isChanging = false;
        }
    }

    /** The steps follow at once: between a removal and the addition that it makes room for no voter may be lost. */
    private async applySteps(): Promise<void> {
        const { isLeader, voters, reachability: contacts, propose, onChange } = this.deps;
        while (isLeader() && !this.isDisposed) {
            const from = voters();
            const to = nextVoters(from, contacts());
            if (to === undefined) {
                return;
            }
            onChange(from, to);
            await propose({ kind: VOTERS_COMMAND, voters: to });
        }
    }
}
