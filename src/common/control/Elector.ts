/**
 * Leader election with pre-votes: a voter whose election timeout expires raises its term only after a majority
 * would vote for it, so that a voter which returns from a partition does not disrupt the others.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { repeat } from "../time/Clock.ts";
import { CALL_TIMEOUT_MS, ELECTION_JITTER_MS, majorityOf, MIN_ELECTION_TIMEOUT_MS } from "./ControlTypes.ts";
import { type Voter } from "./Voter.ts";

/** How often the election timeout is checked, in ms. */
const CHECK_PERIOD_MS = 50;
/** Minimum of the shorter election timeout after the start, and its largest random addition, in ms. */
const MIN_FIRST_TIMEOUT_MS = 200;
const FIRST_TIMEOUT_JITTER_MS = 400;

/** Runs the elections of one voter and answers the vote requests of others. */
export class Elector extends DisposableOwner {
    private readonly voter: Voter;
    private readonly onElected: () => void;
    private electionTimeoutMs = 0;

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
        if (!voter.canVote || this.hasActiveLeader() || !this.isLogUpToDate(req)) {
            return { term: voter.term, isGranted: false };
        }
        if (req.isPreVote) {
            return { term: voter.term, isGranted: req.term > voter.term };
        }
        return voter.write(async () => {
            if (req.term > voter.term) {
                await voter.saveVote(req.term, undefined);
                voter.setRole("follower", undefined);
            }
            const hasVoteLeft = voter.vote === undefined || voter.vote === req.candidate;
            const isGranted = req.term === voter.term && hasVoteLeft && voter.canVote && this.isLogUpToDate(req);
            if (isGranted) {
                const { term, candidate, lastIndex } = req;
                await voter.saveVote(term, candidate);
                this.resetElectionTimer();
                voter.report({ kind: "voted", term, candidate, candidateLastIndex: lastIndex });
            }
            return { term: voter.term, isGranted };
        });
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
        const { log } = this.voter;
        // Where a first start can't be told from the loss of the disk, an empty log beside a filled one shows the loss.
        if (log.lastIndex === 0 && req.lastIndex > 0) {
            return false;
        }
        return req.lastTerm > log.lastTerm || (req.lastTerm === log.lastTerm && req.lastIndex >= log.lastIndex);
    }

    private async runElection(): Promise<void> {
        const { voter } = this;
        const term = voter.term + 1;
        if (!await this.collectVotes(term, true)) {
            return;
        }
        try {
            await voter.write(async () => {
                if (voter.term === term - 1) {
                    await voter.saveVote(term, voter.self);
                }
            });
        }
        catch {
            return;
        }
        if (voter.term !== term || voter.vote !== voter.self) {
            return;
        }
        voter.setRole("candidate", undefined);
        const isElected = await this.collectVotes(term, false);
        if (isElected && voter.term === term && voter.role === "candidate" && voter.isActive) {
            this.onElected();
        }
    }

    private async collectVotes(term: number, isPreVote: boolean): Promise<boolean> {
        const { voter } = this;
        const { lastIndex, lastTerm, voters } = voter.log;
        const req = { term, candidate: voter.self, lastIndex, lastTerm, isPreVote };
        const needed = majorityOf(voters.length);
        const others = voters.filter(other => other !== voter.self);
        let votes = voters.length - others.length;
        if (votes >= needed) {
            return true;
        }
        return new Promise(resolve => {
            let outstanding = others.length;
            const onReply = (reply?: PeerReply<"requestVote">): void => {
                outstanding--;
                votes += reply?.isGranted === true ? 1 : 0;
                // Pre-votes adopt a higher term too: a failed candidate may have raised its term above that of a
                // candidate with a more complete log.
                if (reply !== undefined && reply.term > voter.term) {
                    voter.adoptTerm(reply.term).catch(() => undefined);
                }
                if (votes >= needed || outstanding === 0) {
                    resolve(votes >= needed);
                }
            };
            for (const other of others) {
                voter.deps.network.call(other, "requestVote", req, CALL_TIMEOUT_MS).then(onReply, () => onReply());
            }
        });
    }
}
