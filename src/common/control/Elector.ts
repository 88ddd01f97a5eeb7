/**
 * Leader election with pre-votes: a voter whose election timeout expires raises its term only after a majority
 * would vote for it, so that a voter which returns from a partition does not disrupt the others.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { repeat } from "../time/Clock.ts";
import { CALL_TIMEOUT_MS, ELECTION_JITTER_MS, MIN_ELECTION_TIMEOUT_MS } from "./ControlTypes.ts";
import { type Voter } from "./Voter.ts";
import { allVoters, isMajority } from "./VoterConfiguration.ts";

/** How often the election timeout is checked, in ms. */
const CHECK_PERIOD_MS = 50;
/** Minimum of the shorter election timeout after the start, and its largest random addition, in ms. */
const MIN_FIRST_TIMEOUT_MS = 200;
const FIRST_TIMEOUT_JITTER_MS = 400;

/** Time limit for a vote, which is written before it is given, in ms: until the candidate asks again at the latest. */
const VOTE_TIMEOUT_MS = MIN_ELECTION_TIMEOUT_MS + ELECTION_JITTER_MS;

/** Runs the elections of one voter and answers the vote requests of others. */
export class Elector extends DisposableOwner {
    private readonly voter: Voter;
    private readonly onElected: () => void;
    private electionTimeoutMs = 0;
    /** Monotonic time at which this voter last voted for another one, in ms. */
    private votedAt = -Infinity;
    /** Monotonic time at which this voter last asked for pre-votes, in ms. */
    private askedAt = -Infinity;
    /** The newest term in which this candidate was refused a vote. */
    private refusedTerm = -1;

    public constructor(voter: Voter, onElected: () => void) {
        super();
        this.voter = voter;
        this.onElected = onElected;
        this.resetElectionTimer();
        // An early first attempt disrupts nothing: voters with an active leader grant no votes.
        if (voter.deps.hasShortFirstTimeout === true) {
            this.electionTimeoutMs = MIN_FIRST_TIMEOUT_MS + voter.deps.random() * FIRST_TIMEOUT_JITTER_MS;
        }
        this.register(repeat(voter.deps.clock, CHECK_PERIOD_MS, () => this.checkTimeout()));
    }

    /** Restarts the election timer with a new random timeout. */
    public resetElectionTimer(): void {
        this.voter.electionTimerStartedAt = this.voter.now;
        this.electionTimeoutMs = MIN_ELECTION_TIMEOUT_MS + this.voter.deps.random() * ELECTION_JITTER_MS;
    }

    /** Answers another voter's request for a vote or a pre-vote. */
    public async onRequestVote(req: PeerRequest<"requestVote">): Promise<PeerReply<"requestVote">> {
        const { voter } = this;
        const refusal = this.refusalOf(req);
        if (refusal === undefined && req.isPreVote) {
            // The candidate goes first: of two at the same time, often neither is elected.
            this.resetElectionTimer();
        }
        if (refusal !== undefined || req.isPreVote) {
            return this.voteReply(refusal);
        }
        return voter.write(async () => {
            // A leader may have been elected while this request waited for the disk.
            const lateRefusal = this.refusalOf(req);
            if (lateRefusal !== undefined) {
                return this.voteReply(lateRefusal);
            }
            const { term, candidate, lastIndex } = req;
            const isNewTerm = term > voter.term;
            await voter.saveVote(term, candidate);
            if (isNewTerm) {
                voter.setRole("follower", undefined, { reason: `${candidate} asks for a vote in term ${term}` });
            }
            this.resetElectionTimer();
            this.votedAt = voter.now;
            voter.report({ kind: "voted", term, candidate, candidateLastIndex: lastIndex });
            return this.voteReply(undefined);
        });
    }

    private voteReply(refusal: string | undefined): PeerReply<"requestVote"> {
        return { term: this.voter.term, isGranted: refusal === undefined, refusal };
    }

    /** Why this voter refuses the vote or pre-vote; undefined if it grants it. */
    private refusalOf(req: PeerRequest<"requestVote">): string | undefined {
        const { voter } = this;
        if (!voter.canVote) {
            return voter.recoveryId === undefined ? "it has stopped" : "it is recovering";
        }
        if (this.hasActiveLeader()) {
            return `it follows ${voter.leader}`;
        }
        if (!this.isLogUpToDate(req)) {
            return `its log ends at ${voter.log.lastIndex}, term ${voter.log.lastTerm}`;
        }
        return req.isPreVote ? this.preVoteRefusalOf(req) : this.takenVoteOf(req);
    }

    private preVoteRefusalOf({ term, candidate, lastIndex, lastTerm }: PeerRequest<"requestVote">): string | undefined {
        const { voter } = this;
        if (term <= voter.term) {
            return `its term is ${voter.term}`;
        }
        // Of two that ask at the same time and are equally fit, one goes first.
        const isEquallyFit = lastIndex === voter.log.lastIndex && lastTerm === voter.log.lastTerm;
        const isAsking = voter.now - this.askedAt < CALL_TIMEOUT_MS;
        if (isAsking && isEquallyFit && voter.self < candidate) {
            return "it asks for votes itself";
        }
        // The candidate that has the vote may lead already; a higher term would end its lead at once.
        const isVoteRecent = voter.now - this.votedAt < MIN_ELECTION_TIMEOUT_MS;
        return isVoteRecent && voter.vote !== candidate ? `it has just voted for ${voter.vote}` : undefined;
    }

    private takenVoteOf({ term, candidate }: PeerRequest<"requestVote">): string | undefined {
        const { voter } = this;
        const isTaken = voter.vote !== undefined && voter.vote !== candidate;
        if (term < voter.term || (term === voter.term && isTaken)) {
            return `its vote in term ${voter.term} is for ${voter.vote}`;
        }
        return undefined;
    }

    private checkTimeout(): void {
        const { voter } = this;
        const hasTimedOut = voter.now - voter.electionTimerStartedAt > this.electionTimeoutMs;
        if (voter.role !== "leader" && voter.isVoter && voter.canVote && hasTimedOut) {
            this.resetElectionTimer();
            void this.runElection();
        }
    }

    /**
     * Whether this voter is the leader or has recently received a message from it. Such a voter grants no votes, so no
     * other leader is elected before the leader's lease expires.
     */
    private hasActiveLeader(): boolean {
        const { voter } = this;
        const isLeaderRecent = voter.leader !== undefined
            && voter.now - voter.leaderHeardAt < MIN_ELECTION_TIMEOUT_MS;
        return voter.role === "leader" || isLeaderRecent;
    }

    /** Whether the candidate's log allows this voter to vote for it. */
    private isLogUpToDate(req: PeerRequest<"requestVote">): boolean {
        const { log, deps } = this.voter;
        // Where a first start can't be told from the loss of the disk, an empty log beside a filled one shows the loss.
        if (deps.isFirstStart === "unknown" && log.lastIndex === 0 && req.lastIndex > 0) {
            return false;
        }
        return req.lastTerm > log.lastTerm || (req.lastTerm === log.lastTerm && req.lastIndex >= log.lastIndex);
    }

    /**
     * Asks for votes. A voter may take long to write its vote, so a candidate that nobody refused asks in the same term again:
     * in a higher one all voters would have to write again.
     */
    private async runElection(): Promise<void> {
        const { voter } = this;
        const isUndecided = voter.role === "candidate" && this.refusedTerm !== voter.term;
        if (!isUndecided && !await this.becomeCandidate()) {
            return;
        }
        const { term } = voter;
        const isElected = await this.collectVotes(term, false);
        if (isElected && voter.term === term && voter.role === "candidate" && voter.isActive) {
            this.onElected();
        }
    }

    /** Raises the term after a majority of pre-votes, unless something has been decided meanwhile. */
    private async becomeCandidate(): Promise<boolean> {
        const { voter } = this;
        const { term, vote } = voter;
        this.askedAt = voter.now;
        try {
            const isSupported = await this.collectVotes(term + 1, true);
            return isSupported && await voter.write(async () => {
                if (voter.term !== term || voter.vote !== vote || this.hasActiveLeader()) {
                    return false;
                }
                await voter.saveVote(term + 1, voter.self);
                voter.setRole("candidate", undefined);
                return true;
            });
        }
        catch {
            return false;
        }
    }

    private async collectVotes(term: number, isPreVote: boolean): Promise<boolean> {
        const { voter } = this;
        const { lastIndex, lastTerm, configuration } = voter.log;
        const req = { term, candidate: voter.self, lastIndex, lastTerm, isPreVote };
        const others = allVoters(configuration).filter(other => other !== voter.self);
        const granted = [voter.self];
        if (isMajority(configuration, granted)) {
            return true;
        }
        const unanswered = new Set(others);
        const refused: Record<string, string> = {};
        return new Promise(resolve => {
            let outstanding = others.length;
            const onReply = (other: string, reply?: PeerReply<"requestVote">): void => {
                outstanding--;
                if (reply !== undefined) {
                    unanswered.delete(other);
                }
                if (reply?.isGranted === true) {
                    granted.push(other);
                }
                else if (reply !== undefined) {
                    refused[other] = reply.refusal ?? "no reason given";
                    this.refusedTerm = isPreVote ? this.refusedTerm : term;
                }
                // Pre-votes adopt a higher term too: a failed candidate may have raised its term above that of a
                // candidate with a more complete log.
                if (reply !== undefined && reply.term > voter.term) {
                    voter.adoptTerm(reply.term).catch(() => undefined);
                }
                const isElected = isMajority(configuration, granted);
                if (outstanding === 0 && !isElected) {
                    const replies = { granted, refused, unanswered: [...unanswered] };
                    voter.report({ kind: "notElected", term, isPreVote, voters: configuration.voters, ...replies });
                }
                if (isElected || outstanding === 0) {
                    resolve(isElected);
                }
            };
            for (const other of others) {
                voter.deps.network.call(other, "requestVote", req, VOTE_TIMEOUT_MS)
                    .then(reply => onReply(other, reply), () => onReply(other));
            }
        });
    }
}
