/**
 * The control log, a replicated log like Raft's: a command takes effect only after a majority of the voters holds
 * it durably. A leader that receives no replies from a majority stops accepting commands when its lease expires.
 */
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { repeat } from "../time/Clock.ts";
import { type Committed, type ControlLogDependencies, type ControlStatus, noMajorityError } from "./ControlTypes.ts";
import { Elector } from "./Elector.ts";
import { jointVotersCommand, VOTERS_COMMAND, votersCommand } from "./EntryLog.ts";
import { type Command, type LogEntry } from "./LogStore.ts";
import { Replicator } from "./Replicator.ts";
import { Voter } from "./Voter.ts";
import { allVoters } from "./VoterConfiguration.ts";

/** How often the leader checks its lease, and whether voters are to be readmitted or exchanged, in ms. */
const CHECK_PERIOD_MS = 50;

/** One voter of the control log: answers the calls of the other voters and, as the leader, accepts proposals. */
export class ControlLog extends DisposableOwner {
    private readonly voter: Voter;
    private readonly replicator: Replicator;
    private elector: Elector | undefined;

    public constructor(deps: ControlLogDependencies) {
        super();
        this.voter = this.register(new Voter(deps));
        this.replicator = new Replicator(this.voter);
        this.register({ dispose: () => this.replicator.wakeTasks() });
    }

    /** Fires when this voter's role or leader changes, and when its storage fails or recovers. */
    public get onRoleChanged(): Voter["onRoleChanged"] {
        return this.voter.onRoleChanged;
    }

    /** Fires with the index up to which commands are applied here. */
    public get onApplied(): Voter["onApplied"] {
        return this.voter.onApplied;
    }

    /** Fires when something happens that explains a later loss, or shows one. */
    public get onEvent(): Voter["onEvent"] {
        return this.voter.onEvent;
    }

    public get status(): ControlStatus {
        return this.voter.status;
    }

    /**
     * Time since a majority last confirmed that it follows the leader whose log is applied here, in ms; Infinity when
     * no confirmation is known.
     */
    public get confirmationAgeMs(): number {
        const { voter } = this;
        return voter.boottime - (voter.role === "leader" ? this.replicator.confirmedAt : voter.quorumConfirmedAt);
    }

    /** Loads the stored log, then takes part in elections and replication. */
    public async start(): Promise<void> {
        const { voter } = this;
        await voter.load();
        const { network, clock } = voter.deps;
        const elector = this.register(new Elector(voter, () => this.replicator.startLeading()));
        this.elector = elector;
        this.register(network.handle("requestVote", req => elector.onRequestVote(req)));
        this.register(network.handle("appendEntries", req => this.onAppendEntries(req)));
        this.register(network.handle("installSnapshot", req => this.onInstallSnapshot(req)));
        this.register(network.handle("propose", req => this.onPropose(req)));
        this.register(repeat(clock, CHECK_PERIOD_MS, () => {
            this.checkLease();
            this.readmitVoters();
            this.endVoterChange()?.catch(() => undefined);
        }));
    }

    /**
     * Resolves when the command is committed and applied. Rejects with `noMajority`; its `run` tells whether the
     * command can still take effect. A change of voters that is not allowed is rejected with `malformedRequest`, and a
     * command that a later one has replaced with `sheetOutdated`.
     */
    public async propose(command: Command): Promise<Committed> {
        const { voter } = this;
        if (voter.role !== "leader" || this.replicator.hasLostMajority) {
            throw noMajorityError("this instance is not the leader", "not_run", voter.leader);
        }
        if (command["kind"] === VOTERS_COMMAND) {
            return this.changeVoters(command["voters"] as string[]);
        }
        if (voter.deps.stateMachine.isOutdated?.(command) === true) {
            throw routerError("a later change has replaced this one", { code: "sheetOutdated", step: "propose" });
        }
        return this.append(command);
    }

    /**
     * While this instance leads, replicates the log to these instances, so that they can become voters without a delay. They
     * are readmitted if they have lost their disks.
     */
    public prepareVoters(instances: readonly string[]): void {
        if (this.voter.role === "leader") {
            this.replicator.prepareStandbys(instances.filter(id => id !== this.voter.self));
        }
    }

    /**
     * Commits a change of voters. A repeat with the current voters, as after a lost reply, appends an empty command and
     * so resolves only when these voters are committed.
     */
    private async changeVoters(next: readonly string[]): Promise<Committed> {
        const { voters } = this.voter.log;
        if (!isSameSet(next, voters)) {
            this.validateVoterChange(next);
            const added = next.filter(other => !voters.includes(other));
            if (added.length > 0) {
                await Promise.all(added.map(other => this.replicator.catchUp(other)));
                this.validateVoterChange(next);
            }
            return this.exchangeVoters(next);
        }
        const committed = await this.append({ kind: "none" });
        return this.endVoterChange() ?? committed;
    }

    private async exchangeVoters(next: readonly string[]): Promise<Committed> {
        if (!this.allowsJointChanges) {
            return this.append(votersCommand(next));
        }
        const committed = await this.append(jointVotersCommand(this.voter.log.voters, next));
        return this.endVoterChange() ?? committed;
    }

    /** Ends a change of several voters once its first entry is committed; undefined if there is nothing to end. */
    private endVoterChange(): Promise<Committed> | undefined {
        const { voter } = this;
        const { voters, outgoing, index } = voter.log.configuration;
        const isDue = voter.role === "leader" && outgoing !== undefined && index <= voter.commitIndex;
        return isDue && !this.replicator.hasLostMajority ? this.append(votersCommand(voters)) : undefined;
    }

    private get allowsJointChanges(): boolean {
        return this.voter.deps.allowsJointChanges?.() === true;
    }

    /**
     * Readmits an instance that has forgotten what it confirmed and nearly holds the log again, one at a time. The entry
     * is committed by the whole voters alone, so that a majority without this one outlives all that it has forgotten.
     */
    private readmitVoters(): void {
        const { voter } = this;
        if (voter.role !== "leader" || this.replicator.hasLostMajority || this.voterChangeObstacle !== undefined) {
            return;
        }
        const due = this.replicator.dueReadmissions.find(item => voter.log.indexOfReadmission(item) === undefined);
        if (due !== undefined) {
            voter.report({ kind: "readmitting", ...due });
            this.append(votersCommand(voter.log.voters, due)).catch(() => undefined);
        }
    }

    private append(command: Command): Promise<Committed> {
        const { voter } = this;
        const committed = voter.appendAsLeader(command);
        this.replicator.startMissingReplication();
        this.replicator.replicate();
        return committed;
    }

    /**
     * Without a joint configuration allows one added or removed voter at a time, so that every old and every new majority
     * share a voter.
     */
    private validateVoterChange(next: readonly string[]): void {
        const { log } = this.voter;
        const added = next.filter(other => !log.voters.includes(other));
        const removed = log.voters.filter(other => !next.includes(other));
        if (next.length === 0 || (added.length + removed.length !== 1 && !this.allowsJointChanges)) {
            throw voterChangeError("voters are added or removed one at a time");
        }
        const obstacle = this.voterChangeObstacle;
        if (obstacle !== undefined) {
            throw voterChangeError(obstacle);
        }
    }

    /** Why the voters can't be changed now; undefined if they can. */
    private get voterChangeObstacle(): string | undefined {
        const { log, commitIndex, term } = this.voter;
        const { index, outgoing } = log.configuration;
        if (index > commitIndex || outgoing !== undefined) {
            return "another change of voters is under way";
        }
        return log.termAt(commitIndex) === term ? undefined : "the leader has just been elected; try again";
    }

    private checkLease(): void {
        const { voter } = this;
        if (voter.role === "leader" && this.replicator.hasLostMajority) {
            voter.quorumConfirmedAt = Math.max(voter.quorumConfirmedAt, this.replicator.confirmedAt);
            voter.setRole("follower", undefined, {
                reason: "no majority has replied for the length of the lease",
                silentMs: this.replicator.silentMs,
            });
            this.elector?.resetElectionTimer();
            this.replicator.wakeTasks();
        }
    }

    private async onAppendEntries(req: PeerRequest<"appendEntries">): Promise<PeerReply<"appendEntries">> {
        const { voter } = this;
        this.requireExclusion(req);
        const reply = this.needsWrite(req) ? await voter.write(() => this.followEntries(req)) : this.follow(req);
        return { ...reply, receipt: voter.receipts.issue(), recoveryId: voter.recoveryId };
    }

    /** Throws if this voter is recovering and the leader would count its copy, as earlier builds do. */
    private requireExclusion({ excludesRecovering }: { excludesRecovering: boolean; }): void {
        if (!excludesRecovering && this.voter.recoveryId !== undefined) {
            throw noMajorityError("this voter has lost its disk, and the leader would count it", "not_run", undefined);
        }
    }

    private async followEntries(req: PeerRequest<"appendEntries">): Promise<PeerReply<"appendEntries">> {
        const { voter } = this;
        if (req.term < voter.term) {
            return { term: voter.term, isAccepted: false, lastIndex: voter.log.lastIndex };
        }
        await this.followLeader(req.term, req.leader);
        if (this.hasMatch(req)) {
            await this.storeEntries(req.entries);
        }
        const reply = this.follow(req);
        if (reply.isAccepted) {
            await this.completeRecoveryIfReadmitted(req.leader);
        }
        return reply;
    }

    /** Whether something must be stored before the reply. A heartbeat waits for no other write than that of a vote. */
    private needsWrite({ term, entries }: PeerRequest<"appendEntries">): boolean {
        const { log, self, recoveryId, isActive, isSavingVote } = this.voter;
        const isReadmitted = recoveryId !== undefined
            && log.indexOfReadmission({ voter: self, recoveryId }) !== undefined;
        return !isActive || isSavingVote || term !== this.voter.term || entries.length > 0 || isReadmitted;
    }

    /** Follows the leader of the present term as far as its entries are stored here. */
    private follow(req: PeerRequest<"appendEntries">): PeerReply<"appendEntries"> {
        const { voter } = this;
        const { term } = voter;
        this.acknowledgeLeader(req.leader);
        if (!this.hasMatch(req)) {
            return { term, isAccepted: false, lastIndex: Math.min(voter.log.lastIndex, req.prevIndex - 1) };
        }
        const lastIndex = req.prevIndex + req.entries.length;
        if (Math.min(req.commitIndex, lastIndex) > voter.commitIndex) {
            voter.commit(Math.min(req.commitIndex, lastIndex));
        }
        if (voter.commitIndex >= req.commitIndex) {
            this.recordConfirmation(req);
        }
        return { term, isAccepted: true, lastIndex };
    }

    /** Whether this log agrees with the leader's up to the entries in the message. */
    private hasMatch({ prevIndex, prevTerm }: PeerRequest<"appendEntries">): boolean {
        const { log } = this.voter;
        const term = log.termAt(prevIndex);
        return prevIndex <= log.lastIndex && (term === undefined || term === prevTerm);
    }

    /**
     * Ends the recovery once the readmission is committed. An entry that adds this instance to voters that were without it,
     * as leaders of earlier builds append it, need not be: these voters are committed, and a majority without this instance
     * has outlived what it may have forgotten.
     */
    private async completeRecoveryIfReadmitted(leader: string): Promise<void> {
        const { log, self, recoveryId, commitIndex } = this.voter;
        if (recoveryId === undefined) {
            return;
        }
        const index = log.indexOfReadmission({ voter: self, recoveryId });
        if (
            index !== undefined && (index <= commitIndex || !allVoters(log.configurationAt(index - 1)).includes(self))
        ) {
            await this.voter.completeRecovery(leader);
        }
    }

    /**
     * The leader sent the age of its confirmation after it had received the receipt. The time of arrival proves nothing,
     * as the message may have been held up on its way.
     */
    private recordConfirmation({ receipt, contactAgeMs }: PeerRequest<"appendEntries">): void {
        const { voter } = this;
        const sentAfter = voter.receipts.issuedAt(receipt) ?? -Infinity;
        voter.quorumConfirmedAt = Math.max(voter.quorumConfirmedAt, sentAfter - contactAgeMs);
    }

    /** Appends new entries after truncating conflicting ones, which another leader wrote and no majority holds. */
    private async storeEntries(entries: readonly LogEntry[]): Promise<void> {
        const { voter } = this;
        const { log } = voter;
        const first = entries.find(entry =>
            entry.index > log.snapshot.lastIndex && log.termAt(entry.index) !== entry.term
        );
        if (first === undefined) {
            return;
        }
        if (first.index <= log.lastIndex) {
            const { lastIndex } = log;
            voter.report({ kind: "truncated", index: first.index, lastIndex, commitIndex: voter.commitIndex });
            await voter.deps.store.truncate(first.index);
            log.truncate(first.index);
        }
        const newEntries = entries.filter(entry => entry.index >= first.index);
        await voter.deps.store.append(newEntries);
        log.append(newEntries);
        voter.durableIndex = log.lastIndex;
    }

    private async onInstallSnapshot(req: PeerRequest<"installSnapshot">): Promise<PeerReply<"installSnapshot">> {
        const { voter } = this;
        this.requireExclusion(req);
        return voter.write(async () => {
            if (req.term >= voter.term) {
                await this.followLeader(req.term, req.leader);
                const { lastIndex, lastTerm, voters, state } = req;
                if (lastIndex > voter.commitIndex) {
                    await voter.installSnapshot({ lastIndex, lastTerm, voters, state });
                }
            }
            return { term: voter.term, recoveryId: voter.recoveryId, receipt: voter.receipts.issue() };
        });
    }

    private async onPropose(req: PeerRequest<"propose">): Promise<PeerReply<"propose">> {
        const { voter } = this;
        if (voter.role !== "leader") {
            return { isLeader: false, ...(voter.leader === undefined ? {} : { leader: voter.leader }) };
        }
        const { index, outcome } = await this.propose(req.command);
        return { isLeader: true, leader: voter.self, index, outcome };
    }

    private async followLeader(term: number, leader: string): Promise<void> {
        const { voter } = this;
        if (term > voter.term) {
            // A recovering voter may have voted before its loss; its vote counts as given to the leader.
            await voter.saveVote(term, voter.recoveryId === undefined ? undefined : leader);
        }
        this.acknowledgeLeader(leader);
    }

    private acknowledgeLeader(leader: string): void {
        const { voter } = this;
        voter.leaderHeardAt = voter.now;
        this.elector?.resetElectionTimer();
        voter.setRole("follower", leader);
    }
}

const isSameSet = (a: readonly string[], b: readonly string[]): boolean =>
    a.length === b.length && a.every(item => b.includes(item));

const voterChangeError = (message: string): Error =>
    routerError(message, { code: "malformedRequest", step: "change voters" });
