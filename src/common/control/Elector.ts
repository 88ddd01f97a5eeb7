/**
 * Elections: a voter that has not heard a leader for a while first asks whether a majority would support
 * it, and only then raises the term, so that a voter which returns from a partition disturbs nobody.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { repeat } from "../time/Clock.ts";
import { CALL_TIMEOUT_MS, ELECTION_JITTER_MS, majorityOf, MIN_ELECTION_TIMEOUT_MS } from "./ControlTypes.ts";
import { type Voter } from "./Voter.ts";

/** How often the silence of the leader is looked at, in ms. */
const CHECK_PERIOD_MS = 50;
/** Silence after its start after which a voter stands for election, and its spread, in ms. */
const MIN_FIRST_TIMEOUT_MS = 200;
const FIRST_TIMEOUT_JITTER_MS = 400;

/** The elections of one voter. */
export class Elector extends DisposableOwner {
    private readonly voter: Voter;
    private readonly onElected: () => void;
    private electionTimeoutMs = 0;

    public constructor(voter: Voter, onElected: () => void) {
        super();
        this.voter = voter;
        this.onElected = onElected;
        this.resetElectionTimer();
        // Nobody is disturbed by an early first try: voters that hear a leader support no other one.
        if (voter.deps.hasShortFirstTimeout === true) {
            this.electionTimeoutMs = MIN_FIRST_TIMEOUT_MS + voter.deps.random() * FIRST_TIMEOUT_JITTER_MS;
        }
        this.register(repeat(voter.deps.clock, CHECK_PERIOD_MS, () => this.checkTimeout()));
    }

    /** Starts the wait for the leader anew. */
    public resetElectionTimer(): void {
        this.voter.electionTimerStartedAt = this.voter.now;
        this.electionTimeoutMs = MIN_ELECTION_TIMEOUT_MS + this.voter.deps.random() * ELECTION_JITTER_MS;
    }

    /** Answers another voter's request for support. */
    public async onRequestVote(req: PeerRequest<"requestVote">): Promise<PeerReply<"requestVote">> {
        const { voter } = this;
        if (this.hasActiveLeader() || !this.isLogUpToDate(req)) {
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
            const isFree = voter.vote === undefined || voter.vote === req.candidate;
            const isGranted = req.term === voter.term && isFree && this.isLogUpToDate(req);
            if (isGranted) {
                await voter.saveVote(req.term, req.candidate);
                this.resetElectionTimer();
            }
            return { term: voter.term, isGranted };
        });
    }

    private checkTimeout(): void {
        const { voter } = this;
        const isSilent = voter.now - voter.electionTimerStartedAt > this.electionTimeoutMs;
        if (voter.role !== "leader" && voter.isVoter && voter.isActive && isSilent) {
            this.resetElectionTimer();
            void this.runElection();
        }
    }

    /** A voter that hears its leader supports nobody else, which also makes the leader's lease safe. */
    private hasActiveLeader(): boolean {
        const { voter } = this;
        const isHeard = voter.leader !== undefined
            && voter.now - voter.electionTimerStartedAt < MIN_ELECTION_TIMEOUT_MS;
        return voter.role === "leader" || isHeard;
    }

    private isLogUpToDate(req: PeerRequest<"requestVote">): boolean {
        const { log } = this.voter;
        // An empty log beside a filled one means that this voter lost its disk and forgot what it promised.
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
            let open = others.length;
            const count = (reply?: PeerReply<"requestVote">): void => {
                open--;
                votes += reply?.isGranted === true ? 1 : 0;
                // Also before a vote: a candidate that failed may have raised its term above that of a fitter one.
                if (reply !== undefined && reply.term > voter.term) {
                    voter.adoptTerm(reply.term).catch(() => undefined);
                }
                if (votes >= needed || open === 0) {
                    resolve(votes >= needed);
                }
            };
            for (const other of others) {
                voter.deps.network.call(other, "requestVote", req, CALL_TIMEOUT_MS).then(count, () => count());
            }
        });
    }
}
