/**
 * The state of one voter: its term, vote and role, its log in memory and on disk, and the commands that it
 * has applied. Elections, replication and the handlers of a follower share it.
 */
import { type RouterError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import {
    type Committed,
    type ControlEvent,
    type ControlLogDependencies,
    type ControlRole,
    type ControlStatus,
    type LeadershipEnd,
    noMajorityError,
} from "./ControlTypes.ts";
import { EntryLog } from "./EntryLog.ts";
import { type Command, type LogEntry, type Snapshot, type StoredLog } from "./LogStore.ts";
import { Mutex } from "./Mutex.ts";
import { Receipts } from "./Receipts.ts";
import { allVoters } from "./VoterConfiguration.ts";

/** Number of entries after the newest snapshot at which the log is compacted. */
const SNAPSHOT_AFTER_ENTRIES = 1000;
/** Size of these entries at which it is compacted, however few they are, in bytes. */
const SNAPSHOT_AFTER_BYTES = 16 * 1024 * 1024;
/** Delay after a storage failure before a voter reloads its log, in ms. */
const RECOVERY_DELAY_MS = 500;

/** Characters of a recovery id, which must differ between all losses of one voter. */
const RECOVERY_ID_LENGTH = 16;

/** A command that this voter appended as leader and that is not applied yet. */
interface PendingProposal {
    readonly term: number;
    resolve(committed: Committed): void;
    reject(err: RouterError): void;
}

/** State shared by the tasks of one voter. */
export class Voter extends DisposableOwner {
    public readonly deps: ControlLogDependencies;
    public readonly self: string;
    /** Serializes all writes to disk. */
    public readonly writeQueue = new Mutex();
    public log: EntryLog;
    public commitIndex = 0;
    /** Index up to which this voter's log is on disk. */
    public durableIndex = 0;
    /** Monotonic time at which the election timer was last restarted, in ms. */
    public electionTimerStartedAt = 0;
    /** Monotonic time of the newest message from the leader, in ms. */
    public leaderHeardAt = -Infinity;
    /** Show which messages of the leader were sent lately. */
    public readonly receipts: Receipts;
    /**
     * Boot time of the newest quorum confirmation known to this voter, in ms: a majority then followed the leader.
     * The leader sends the age of its newest one with each message.
     */
    public quorumConfirmedAt = -Infinity;
    private currentRole: ControlRole = "follower";
    private currentTerm = 0;
    private isVoting = false;
    /** The term that this voter has led last. */
    private ledTerm = 0;
    private currentLeader: string | undefined;
    private votedFor: string | undefined;
    private appliedIndex = 0;
    private isCompacting = false;
    private failure: string | undefined;
    private currentRecoveryId: string | undefined;
    /** Whether it is known, and stored, that this voter is whole or recovering. */
    private hasIntegrity = false;
    private readonly pending = new Map<number, PendingProposal>();
    private readonly roleChanged = this.register(new Emitter<ControlStatus>());
    private readonly applied = this.register(new Emitter<number>());
    private readonly events = this.register(new Emitter<ControlEvent>());

    public readonly onRoleChanged = this.roleChanged.event;
    public readonly onApplied = this.applied.event;
    public readonly onEvent = this.events.event;

    public constructor(deps: ControlLogDependencies) {
        super();
        this.deps = deps;
        this.self = deps.network.self;
        this.receipts = new Receipts(deps.clock);
        this.log = new EntryLog(emptySnapshot(deps.initialVoters), []);
    }

    public get now(): number {
        return this.deps.clock.monotonic();
    }

    /** By which leases and confirmations are counted, in ms. */
    public get boottime(): number {
        return this.deps.clock.boottime();
    }

    public get role(): ControlRole {
        return this.currentRole;
    }

    public get term(): number {
        return this.currentTerm;
    }

    public get leader(): string | undefined {
        return this.currentLeader;
    }

    public get vote(): string | undefined {
        return this.votedFor;
    }

    public get isVoter(): boolean {
        return allVoters(this.log.configuration).includes(this.self);
    }

    /** True while this voter takes part: it is neither stopped nor has its storage failed. */
    public get isActive(): boolean {
        return !this.isDisposed && this.failure === undefined;
    }

    /** Whether a term or a vote is being written, so that this voter may not confirm that it follows a leader. */
    public get isSavingVote(): boolean {
        return this.isVoting;
    }

    /** Id of the recovery from the loss of this voter's disk; undefined while it is whole. */
    public get recoveryId(): string | undefined {
        return this.currentRecoveryId;
    }

    /** Whether this voter may vote and be elected: a recovering one does not know what it has confirmed. */
    public get canVote(): boolean {
        return this.isActive && this.hasIntegrity && this.currentRecoveryId === undefined;
    }

    public get status(): ControlStatus {
        return {
            role: this.currentRole,
            term: this.currentTerm,
            leader: this.currentLeader,
            voters: this.log.voters,
            outgoing: this.log.configuration.outgoing,
            lastIndex: this.log.lastIndex,
            commitIndex: this.commitIndex,
            snapshotIndex: this.log.snapshot.lastIndex,
            recoveryId: this.currentRecoveryId,
            failure: this.failure,
        };
    }

    /** Loads the stored log and restores the state machine. */
    public async load(): Promise<void> {
        const stored = await this.deps.store.load();
        this.currentTerm = stored.term;
        this.votedFor = stored.votedFor;
        this.log = this.logOf(stored);
        if (stored.snapshot !== undefined) {
            this.deps.stateMachine.restore(stored.snapshot.state);
        }
        this.commitIndex = this.log.snapshot.lastIndex;
        this.appliedIndex = this.commitIndex;
        this.durableIndex = this.log.lastIndex;
        this.electionTimerStartedAt = this.now;
        await this.write(() => this.restoreIntegrity(stored)).catch(() => undefined);
    }

    /** Runs a task that writes to disk. Rejects when it fails; this voter then stops taking part in the control log. */
    public async write<T>(task: () => Promise<T>): Promise<T> {
        return this.writeQueue.run(async () => {
            if (!this.isActive) {
                throw noMajorityError(
                    `this voter has stopped: ${this.failure ?? "the instance is stopping"}`,
                    "unknown",
                    undefined,
                );
            }
            try {
                return await task();
            }
            catch (err) {
                this.onStorageFailure(err as Error);
                throw err;
            }
        });
    }

    /** Stores a term and a vote. Must be called inside `write`. */
    public async saveVote(term: number, votedFor: string | undefined): Promise<void> {
        if (term === this.currentTerm && votedFor === this.votedFor) {
            return;
        }
        this.isVoting = true;
        await this.deps.store.saveVote(term, votedFor).finally(() => {
            this.isVoting = false;
        });
        this.currentTerm = term;
        this.votedFor = votedFor;
    }

    /**
     * Takes part as a whole voter again, once the readmission is committed. Must be called inside `write`. The vote in the
     * current term counts as given, as it may have been given before the loss.
     */
    public async completeRecovery(leader: string): Promise<void> {
        await this.saveVote(this.currentTerm, this.votedFor ?? leader);
        await this.deps.store.saveIntegrity({});
        this.currentRecoveryId = undefined;
        this.events.fire({ kind: "recovered", lastIndex: this.log.lastIndex });
    }

    /** Tells observers what has happened; elections and replication report through this voter, too. */
    public report(event: ControlEvent): void {
        this.events.fire(event);
    }

    /** Adopts a higher term from another voter's reply, as a follower. */
    public adoptTerm(term: number): Promise<void> {
        return this.write(async () => {
            if (term > this.currentTerm) {
                await this.saveVote(term, undefined);
                this.setRole("follower", undefined, { reason: `a reply has term ${term}` });
            }
        });
    }

    /**
     * Sets the role and the leader, which is undefined when unknown. A former leader rejects its pending proposals, and
     * reports why its term ended.
     */
    public setRole(role: ControlRole, leader: string | undefined, end?: LeadershipEnd): void {
        const wasLeader = this.currentRole === "leader";
        const isSame = this.currentRole === role && this.currentLeader === leader;
        this.currentRole = role;
        this.currentLeader = leader;
        if (role === "leader") {
            this.ledTerm = this.currentTerm;
        }
        if (wasLeader && role !== "leader") {
            const { reason = `another instance leads: ${leader}`, silentMs } = end ?? {};
            this.report({ kind: "leadershipEnded", term: this.ledTerm, voters: this.log.voters, reason, silentMs });
            // The rejected commands remain in this voter's log, so the next leader may still commit them.
            this.rejectProposals("this instance is no longer the leader");
        }
        if (!isSame) {
            this.roleChanged.fire(this.status);
        }
    }

    /** Appends a command to the log as its leader; resolves when it is committed and applied. */
    public appendAsLeader(command: Command): Promise<Committed> {
        const entry: LogEntry = { index: this.log.lastIndex + 1, term: this.currentTerm, command };
        this.log.append([entry]);
        return new Promise((resolve, reject) => {
            this.pending.set(entry.index, { term: entry.term, resolve, reject });
        });
    }

    /** Advances the commit index to `index` and applies the committed commands. */
    public commit(index: number): void {
        this.commitIndex = Math.max(this.commitIndex, index);
        while (this.appliedIndex < this.commitIndex) {
            const entry = this.log.at(this.appliedIndex + 1);
            if (entry === undefined) {
                break;
            }
            this.appliedIndex = entry.index;
            this.completeProposal(entry, this.deps.stateMachine.apply(entry.command, entry.index));
        }
        this.applied.fire(this.appliedIndex);
        void this.compactWhenLong();
    }

    /**
     * Replaces log and state with a snapshot of the leader. Entries that follow it stay, as this voter may have confirmed
     * them: the snapshot may have been sent before. Must be called inside `write`.
     */
    public async installSnapshot(snapshot: Snapshot): Promise<void> {
        const { lastIndex, lastTerm, state } = snapshot;
        const isPartOfLog = this.log.termAt(lastIndex) === lastTerm;
        const following = isPartOfLog ? this.log.between(lastIndex + 1, this.durableIndex) : [];
        await this.deps.store.saveSnapshot(snapshot, following);
        this.log.reset(snapshot, following);
        this.durableIndex = this.log.lastIndex;
        // A heartbeat may have committed more in the meantime.
        if (lastIndex > this.commitIndex) {
            this.deps.stateMachine.restore(state);
            this.commitIndex = lastIndex;
            this.appliedIndex = lastIndex;
            this.applied.fire(lastIndex);
        }
    }

    public override dispose(): void {
        super.dispose();
        this.rejectProposals("the instance is stopping");
    }

    private completeProposal(entry: LogEntry, outcome: Record<string, unknown>): void {
        const pending = this.pending.get(entry.index);
        if (pending === undefined) {
            return;
        }
        this.pending.delete(entry.index);
        if (pending.term === entry.term) {
            pending.resolve({ index: entry.index, outcome });
        }
        else {
            pending.reject(noMajorityError("another leader overwrote the log entry", "not_run", this.currentLeader));
        }
    }

    private rejectProposals(reason: string): void {
        const proposals = [...this.pending.values()];
        this.pending.clear();
        for (const pending of proposals) {
            pending.reject(noMajorityError(reason, "unknown", undefined));
        }
    }

    private onStorageFailure(err: Error): void {
        if (this.failure !== undefined) {
            return;
        }
        this.failure = err.message;
        this.setRole("follower", undefined, { reason: `the storage failed: ${err.message}` });
        this.roleChanged.fire(this.status);
        if (this.deps.recoversStorage === true) {
            this.scheduleRecovery();
        }
    }

    private scheduleRecovery(): void {
        this.register(
            this.deps.clock.schedule(RECOVERY_DELAY_MS, () => void this.writeQueue.run(() => this.recover())),
        );
    }

    /**
     * Reloads the stored log and takes part again. Entries that this voter appended as leader but did not write are
     * lost here; it never counted its own copy of them towards a majority.
     */
    private async recover(): Promise<void> {
        if (this.isDisposed) {
            return;
        }
        try {
            await this.deps.store.repair?.();
            await this.reload();
        }
        catch (err) {
            this.failure = (err as Error).message;
            this.scheduleRecovery();
            return;
        }
        this.failure = undefined;
        this.roleChanged.fire(this.status);
    }

    /** Reloads the log only: commands that are already applied stay in the state machine. */
    private async reload(): Promise<void> {
        const stored = await this.deps.store.load();
        this.currentTerm = Math.max(this.currentTerm, stored.term);
        this.votedFor = stored.term === this.currentTerm ? stored.votedFor : undefined;
        this.log = this.logOf(stored);
        this.durableIndex = this.log.lastIndex;
        this.electionTimerStartedAt = this.now;
        await this.restoreIntegrity(stored);
    }

    private logOf({ integrity, snapshot, entries }: StoredLog): EntryLog {
        const initialVoters = integrity?.initialVoters ?? this.deps.initialVoters;
        return new EntryLog(snapshot ?? emptySnapshot(initialVoters), entries);
    }

    /** Determines whether this voter is whole. What is new is stored before the voter takes part. */
    private async restoreIntegrity({ integrity, entries, snapshot }: StoredLog): Promise<void> {
        const isEmpty = entries.length === 0 && snapshot === undefined;
        if (integrity === undefined && isEmpty) {
            const { isFirstStart, initialVoters, random, store } = this.deps;
            const isWhole = isFirstStart !== false && !this.hasIntegrity;
            const recoveryId = isWhole ? undefined : createRecoveryId(random);
            await store.saveIntegrity(isWhole ? { initialVoters } : { recoveryId });
            this.currentRecoveryId = recoveryId;
        }
        else {
            // Logs of earlier builds don't say that their voter is whole.
            this.currentRecoveryId = integrity?.recoveryId;
        }
        this.hasIntegrity = true;
        if (this.currentRecoveryId !== undefined) {
            this.events.fire({ kind: "recovering", recoveryId: this.currentRecoveryId });
        }
    }

    private async compactWhenLong(): Promise<void> {
        const maxEntries = this.deps.snapshotAfterEntries ?? SNAPSHOT_AFTER_ENTRIES;
        const isLong = this.log.length >= maxEntries || this.log.bytes >= SNAPSHOT_AFTER_BYTES;
        if (this.isCompacting || !isLong) {
            return;
        }
        this.isCompacting = true;
        try {
            await this.write(() => this.compact());
        }
        catch {
            // `write` has recorded the storage failure.
        }
        finally {
            this.isCompacting = false;
        }
    }

    private async compact(): Promise<void> {
        const lastIndex = this.appliedIndex;
        const { voters, outgoing } = this.log.configurationAt(lastIndex);
        // Snapshots hold one set of voters; a change is complete soon.
        if (lastIndex > this.durableIndex || outgoing !== undefined) {
            return;
        }
        const snapshot: Snapshot = {
            lastIndex,
            lastTerm: this.log.termAt(lastIndex) ?? 0,
            voters,
            state: this.deps.stateMachine.snapshot(),
        };
        await this.deps.store.saveSnapshot(snapshot, this.log.between(lastIndex + 1, this.durableIndex));
        this.log.compact(snapshot);
    }
}

const emptySnapshot = (voters: readonly string[]): Snapshot => ({ lastIndex: 0, lastTerm: 0, voters, state: {} });

const createRecoveryId = (random: () => number): string =>
    Array.from({ length: RECOVERY_ID_LENGTH }, () => Math.floor(random() * 16).toString(16)).join("");
