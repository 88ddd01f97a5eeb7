/**
 * Replication by the leader: one task per peer sends the entries that the peer lacks, and an entry is committed
 * when a majority holds it durably.
 */
import { type PeerRequest } from "../peers/PeerCalls.ts";
import { type Clock } from "../time/Clock.ts";
import {
    CALL_TIMEOUT_MS,
    HEARTBEAT_MS,
    LEADER_LEASE_MS,
    NEVER_CONFIRMED_MS,
    noMajorityError,
    REPLICATION_TIMEOUT_MS,
} from "./ControlTypes.ts";
import { type Readmission, votersCommand } from "./EntryLog.ts";
import { type LeaderReply, PeerProgress } from "./PeerProgress.ts";
import { Signal } from "./Signal.ts";
import { type Voter } from "./Voter.ts";
import { allVoters, reachedByMajority } from "./VoterConfiguration.ts";

/** Time limit for a learner to catch up with the log before it becomes a voter, in ms. */
const CATCH_UP_TIMEOUT_MS = 10_000;
/** Time without a reply after which a learner is given up, in ms. */
const LEARNER_SILENCE_MS = 2000;
/** Number of entries that a peer may lack and still count as caught up: while there are changes it always lacks some. */
const MAX_LAG_ENTRIES = 32;
/** Maximum number of entries in one message; a new peer gets the whole log, at one message a round trip. */
const MAX_BATCH_ENTRIES = 1024;
/** Shortest time after which a snapshot is sent again, in ms. */
const MIN_SNAPSHOT_PATIENCE_MS = 1200;
/** Size of the entries in one message that is not exceeded, unless by a single entry, in bytes. */
const MAX_BATCH_BYTES = 8 * 1024 * 1024;

/** Replicates the log of one voter while it is the leader. */
export class Replicator {
    private readonly voter: Voter;
    /** Fires when the replication tasks may have work, or should end. */
    private readonly taskSignal: Signal;
    private readonly progress = new Map<string, PeerProgress>();
    /** Peers that receive the log before they become voters. */
    private readonly learners = new Set<string>();
    /** Instances that receive the log as they may have to become voters soon. */
    private standbys: readonly string[] = [];

    public constructor(voter: Voter) {
        this.voter = voter;
        this.taskSignal = new Signal(voter.deps.clock);
    }

    /** Becomes the leader of the voter's current term. */
    public startLeading(): void {
        const { voter } = this;
        this.progress.clear();
        this.learners.clear();
        this.standbys = [];
        voter.setRole("leader", voter.self);
        for (const peer of this.otherVoters()) {
            this.startReplication(peer, voter.boottime);
        }
        // Committing the term's first entry commits those of earlier terms, which a leader must not commit by
        // counting their copies.
        const isFirst = voter.log.lastIndex === 0;
        const command = isFirst ? votersCommand(voter.log.voters) : { kind: "none" };
        voter.appendAsLeader(command).catch(() => undefined);
        this.replicate();
    }

    /**
     * Replicates the log to a learner, until it has nearly caught up and is whole. If it became a voter earlier, the majority
     * of the new voters could need it, and an instance that is not whole neither votes nor counts. Rejects with
     * `noMajority` when that takes too long, the learner has ceased to reply, or this voter is no longer the leader.
     */
    public async catchUp(peer: string): Promise<void> {
        const { voter } = this;
        const { term } = voter;
        this.learners.add(peer);
        if (!this.progress.has(peer)) {
            this.startReplication(peer, voter.boottime);
        }
        const deadline = voter.now + CATCH_UP_TIMEOUT_MS;
        while (this.isLeading(term) && !this.isPrepared(peer)) {
            const silentMs = voter.boottime - (this.progress.get(peer)?.ackedAt ?? -Infinity);
            if (voter.now > deadline || silentMs > LEARNER_SILENCE_MS) {
                this.learners.delete(peer);
                throw noMajorityError(`instance ${peer} did not catch up with the log in time`, "not_run", voter.self);
            }
            await this.taskSignal.wait(HEARTBEAT_MS);
        }
        if (!this.isLeading(term)) {
            throw noMajorityError("this instance is no longer the leader", "not_run", voter.leader);
        }
    }

    /** Replicates the log to these instances and no other ones besides voters and learners, ahead of a change of voters. */
    public prepareStandbys(standbys: readonly string[]): void {
        this.standbys = standbys;
        for (const peer of standbys) {
            if (!this.progress.has(peer)) {
                this.startReplication(peer, this.voter.boottime);
            }
        }
    }

    /** Sends newly appended entries to all peers, and writes them to the local disk. */
    public replicate(): void {
        void this.persistLocally();
        this.taskSignal.fire();
    }

    /** True when no majority has replied for the length of the leader's lease. */
    public get hasLostMajority(): boolean {
        return this.voter.boottime - this.majorityAckedAt() > LEADER_LEASE_MS;
    }

    /** Time since the newest reply that counted, in ms, by voter; -1 for voters whose replies don't count. */
    public get silentMs(): Record<string, number> {
        const times = this.otherVoters().map(peer => {
            const { ackedAt } = this.countedProgress(peer) ?? {};
            return [peer, ackedAt === undefined ? -1 : Math.min(NEVER_CONFIRMED_MS, this.voter.boottime - ackedAt)];
        });
        return Object.fromEntries(times) as Record<string, number>;
    }

    /** Boot time up to which a majority is known to have followed this leader, in ms; -Infinity if none is. */
    private majorityAckedAt(): number {
        const { voter } = this;
        return reachedByMajority(
            voter.log.configuration,
            other => other === voter.self ? voter.boottime : this.countedProgress(other)?.ackedAt ?? -Infinity,
        );
    }

    /**
     * Boot time at which this leader's log was known to hold all that was committed, in ms. -Infinity until an
     * entry of its term is committed: it does not know before how far the log is.
     */
    public get confirmedAt(): number {
        const { voter } = this;
        const hasCommittedInTerm = voter.log.termAt(voter.commitIndex) === voter.term;
        return hasCommittedInTerm ? this.majorityAckedAt() : -Infinity;
    }

    /** The recovery of a peer; undefined if it is whole, or unknown. */
    public readmissionOf(peer: string): Readmission | undefined {
        const recoveryId = this.progress.get(peer)?.recoveryId;
        return recoveryId === undefined ? undefined : { voter: peer, recoveryId };
    }

    /** Recoveries of voters and of those that may become voters that hold nearly all committed entries. */
    public get dueReadmissions(): Readmission[] {
        return [...new Set([...this.otherVoters(), ...this.learners, ...this.standbys])]
            .filter(peer => this.hasNearlyCaughtUp(peer))
            .flatMap(peer => this.readmissionOf(peer) ?? []);
    }

    private isPrepared(peer: string): boolean {
        return this.hasNearlyCaughtUp(peer) && this.readmissionOf(peer) === undefined;
    }

    /** An instance that takes part in frequent changes lags behind by some entries all the time. */
    private hasNearlyCaughtUp(peer: string): boolean {
        const { matchIndex } = this.progress.get(peer) ?? { matchIndex: 0 };
        return matchIndex > 0 && matchIndex >= this.voter.commitIndex - MAX_LAG_ENTRIES;
    }

    /** Wakes the replication tasks, so that they end when this voter is no longer the leader. */
    public wakeTasks(): void {
        this.taskSignal.fire();
    }

    private isReplicationTarget(peer: string): boolean {
        const isVoter = allVoters(this.voter.log.configuration).includes(peer);
        return isVoter || this.learners.has(peer) || this.standbys.includes(peer);
    }

    private otherVoters(): string[] {
        return allVoters(this.voter.log.configuration).filter(other => other !== this.voter.self);
    }

    private startReplication(peer: string, ackedAt: number): void {
        this.progress.set(peer, new PeerProgress(this.voter.log.lastIndex + 1, ackedAt));
        void this.replicateTo(peer, this.voter.term);
    }

    /** Task that replicates to one peer while this voter leads in `term` and the peer is a voter or a learner. */
    private async replicateTo(peer: string, term: number): Promise<void> {
        const progress = this.progress.get(peer);
        while (progress !== undefined && this.isLeading(term) && this.isReplicationTarget(peer)) {
            const isAnswered = await this.replicateOnce(peer, progress, term);
            const hasMore = isAnswered && progress.nextIndex <= this.voter.log.lastIndex;
            if (!hasMore && this.isLeading(term)) {
                await this.taskSignal.wait(HEARTBEAT_MS);
            }
        }
        if (this.progress.get(peer) === progress) {
            this.progress.delete(peer);
        }
    }

    /** Sends what the peer lacks, or a heartbeat; resolves with whether it replied in time. */
    private async replicateOnce(peer: string, progress: PeerProgress, term: number): Promise<boolean> {
        if (progress.nextIndex <= this.voter.log.snapshot.lastIndex) {
            const patienceMs = Math.max(progress.patienceMs, MIN_SNAPSHOT_PATIENCE_MS);
            return this.untilReplied(peer, progress, term, this.sendSnapshot(peer, progress, term), patienceMs);
        }
        const message = this.entriesFor(progress, term);
        if (message.entries.length === 0) {
            return this.sendEntries(peer, progress, message, CALL_TIMEOUT_MS);
        }
        const reply = this.sendEntries(peer, progress, message, REPLICATION_TIMEOUT_MS);
        return this.untilReplied(peer, progress, term, reply, progress.patienceMs);
    }

    /**
     * Resolves with whether a reply came within `patienceMs`. A peer may take long to read a large message, or to write it:
     * meanwhile heartbeats show that it follows, a later reply counts all the same, and the next patience is longer.
     */
    private async untilReplied(
        peer: string,
        progress: PeerProgress,
        term: number,
        reply: Promise<boolean>,
        patienceMs: number,
    ): Promise<boolean> {
        const { clock } = this.voter.deps;
        for (let leftMs = patienceMs; leftMs > 0 && this.isLeading(term); leftMs -= HEARTBEAT_MS) {
            const isReplied = await settledWithin(clock, reply, Math.min(HEARTBEAT_MS, leftMs));
            if (isReplied !== undefined) {
                if (isReplied) {
                    progress.onInTime();
                }
                return isReplied;
            }
            void this.sendEntries(peer, progress, this.heartbeatFor(progress, term), CALL_TIMEOUT_MS);
        }
        progress.onOverdue(patienceMs);
        return false;
    }

    /** Sends a message with entries or a heartbeat; resolves with whether a reply came. */
    private async sendEntries(
        peer: string,
        progress: PeerProgress,
        message: PeerRequest<"appendEntries">,
        timeoutMs: number,
    ): Promise<boolean> {
        const { network } = this.voter.deps;
        return this.receive(progress, message.term, network.call(peer, "appendEntries", message, timeoutMs), reply => {
            // A heartbeat that is sent while entries are unanswered says nothing about the next position.
            if (message.entries.length > 0 || message.prevIndex === progress.nextIndex - 1) {
                if (reply.isAccepted) {
                    progress.onMatch(reply.lastIndex);
                }
                else {
                    progress.onMismatch(reply.lastIndex);
                }
            }
        });
    }

    private async sendSnapshot(peer: string, progress: PeerProgress, term: number): Promise<boolean> {
        const { lastIndex, lastTerm, state, voters } = this.voter.log.snapshot;
        const sender = { term, leader: this.voter.self, excludesRecovering: true };
        const message = { ...sender, lastIndex, lastTerm, state, voters: [...voters] };
        const reply = this.voter.deps.network.call(peer, "installSnapshot", message, REPLICATION_TIMEOUT_MS);
        return this.receive(progress, term, reply, () => progress.onMatch(lastIndex));
    }

    /** Takes what a reply says, and calls `onFollowing` if the peer follows this leader; resolves with whether there was one. */
    private async receive<T extends LeaderReply>(
        progress: PeerProgress,
        term: number,
        reply: Promise<T>,
        onFollowing: (reply: T) => void,
    ): Promise<boolean> {
        const sentAt = this.voter.boottime;
        const received = await reply.catch(() => undefined);
        if (received === undefined || !this.isLeading(term)) {
            return false;
        }
        if (received.term > term) {
            await this.voter.adoptTerm(received.term).catch(() => undefined);
            return false;
        }
        if (!progress.onReply(sentAt, received)) {
            return false;
        }
        onFollowing(received);
        this.advanceCommit();
        return true;
    }

    /** The next entries that the peer lacks, or a heartbeat if it lacks none. */
    private entriesFor(progress: PeerProgress, term: number): PeerRequest<"appendEntries"> {
        const { log } = this.voter;
        const entries = log.batch(progress.nextIndex, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES);
        return { ...this.heartbeatFor(progress, term), ...this.positionAfter(progress.nextIndex - 1), entries };
    }

    /** A message without entries, behind those that the peer is known to hold. */
    private heartbeatFor(progress: PeerProgress, term: number): PeerRequest<"appendEntries"> {
        const { voter } = this;
        const { snapshot } = voter.log;
        const matchIndex = progress.matchIndex < snapshot.lastIndex ? 0 : progress.matchIndex;
        return {
            term,
            leader: voter.self,
            excludesRecovering: true,
            ...this.positionAfter(matchIndex),
            entries: [],
            commitIndex: voter.commitIndex,
            contactAgeMs: Math.min(NEVER_CONFIRMED_MS, voter.boottime - this.confirmedAt),
            ...(progress.receipt === undefined ? {} : { receipt: progress.receipt }),
        };
    }

    private positionAfter(prevIndex: number): Pick<PeerRequest<"appendEntries">, "prevIndex" | "prevTerm"> {
        return { prevIndex, prevTerm: this.voter.log.termAt(prevIndex) ?? 0 };
    }

    private isLeading(term: number): boolean {
        return this.voter.role === "leader" && this.voter.term === term && this.voter.isActive;
    }

    /** Writes new entries to the leader's disk; entries proposed during a write are written together by the next. */
    private async persistLocally(): Promise<void> {
        const { voter } = this;
        try {
            await voter.write(async () => {
                const entries = voter.log.between(voter.durableIndex + 1, voter.log.lastIndex);
                const last = entries.at(-1);
                if (last !== undefined) {
                    await voter.deps.store.append(entries);
                    voter.durableIndex = last.index;
                }
            });
        }
        catch {
            return;
        }
        this.advanceCommit();
    }

    private advanceCommit(): void {
        const { voter } = this;
        if (voter.role !== "leader") {
            return;
        }
        const index = reachedByMajority(voter.log.configuration, other => this.matchIndexOf(other));
        if (index <= voter.commitIndex || voter.log.termAt(index) !== voter.term) {
            return;
        }
        voter.commit(index);
        this.applyVoterChange();
        this.taskSignal.fire();
    }

    private matchIndexOf(other: string): number {
        return other === this.voter.self ? this.voter.durableIndex : this.countedProgress(other)?.matchIndex ?? 0;
    }

    /** Progress of a peer whose replies count: a recovering one may have confirmed other things before its loss. */
    private countedProgress(peer: string): PeerProgress | undefined {
        const progress = this.progress.get(peer);
        return progress?.recoveryId === undefined ? progress : undefined;
    }

    /** Starts replication to added voters, and steps down when the removal of this voter is committed. */
    private applyVoterChange(): void {
        this.startMissingReplication();
        const { voter } = this;
        if (!voter.isVoter && voter.log.configuration.index <= voter.commitIndex) {
            voter.setRole("follower", undefined, { reason: "this instance is no voter any more" });
        }
    }

    /**
     * Starts replication to the voters that receive none yet. An added voter counts towards the majority as soon as the
     * entry with the change is appended, so replication to it can't wait until that entry is committed.
     */
    public startMissingReplication(): void {
        for (const peer of this.otherVoters()) {
            if (!this.progress.has(peer)) {
                this.startReplication(peer, -Infinity);
            }
        }
    }
}

/** Resolves with the value, or with undefined if there is none within `limitMs`. */
const settledWithin = <T>(clock: Clock, value: Promise<T>, limitMs: number): Promise<T | undefined> =>
    new Promise((resolve, reject) => {
        const timer = clock.schedule(limitMs, () => resolve(undefined));
        value.finally(() => timer.dispose()).then(resolve, reject);
    });
