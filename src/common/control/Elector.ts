/**
 * Elections: a voter that has not heard a leader for a while first asks whether a majority would support
 * it, and only then raises the term, so that a voter which returns from a partition disturbs nobody.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { repeat } from "../time/Clock.ts";
import { CALL_TIMEOUT_MS, ELECTION_MIN_MS, ELECTION_SPREAD_MS, majorityOf } from "./ControlTypes.ts";
import { type Voter } from "./Voter.ts";

/** How often the silence of the leader is looked at, in ms. */
const TICK_MS = 50;
/** Silence after its start after which a voter stands for election, and its spread, in ms. */
const FIRST_MIN_MS = 200;
const FIRST_SPREAD_MS = 400;

/** The elections of one voter. */
export class Elector extends DisposableOwner {
    private readonly voter: Voter;
    private readonly onElected: () => void;
    private electionMs = 0;

    public constructor(voter: Voter, onElected: () => void) {
        super();
        this.voter = voter;
        this.onElected = onElected;
        this.resetTimeout();
        // Nobody is disturbed by an early first try: voters that hear a leader support no other one.
        if (voter.parts.electsEarly === true) {
            this.electionMs = FIRST_MIN_MS + voter.parts.random() * FIRST_SPREAD_MS;
        }
        this.register(repeat(voter.parts.clock, TICK_MS, () => this.tick()));
    }

    /** Starts the wait for the leader anew. */
    public resetTimeout(): void {
        this.voter.heardAt = this.voter.now;
        this.electionMs = ELECTION_MIN_MS + this.voter.parts.random() * ELECTION_SPREAD_MS;
    }

    /** Answers another voter's request for support. */
    public async onRequestVote(req: PeerRequest<"requestVote">): Promise<PeerReply<"requestVote">> {
        const { voter } = this;
        if (this.hasLeader() || !this.isCandidateFit(req)) {
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
            const isGranted = req.term === voter.term && isFree && this.isCandidateFit(req);
            if (isGranted) {
                await voter.saveVote(req.term, req.candidate);
                this.resetTimeout();
            }
            return { term: voter.term, isGranted };
        });
    }

    private tick(): void {
        const { voter } = this;
        const isSilent = voter.now - voter.heardAt > this.electionMs;
        if (voter.role !== "leader" && voter.isVoter && voter.isActive && isSilent) {
            this.resetTimeout();
            void this.stand();
        }
    }

    /** A voter that hears its leader supports nobody else, which also makes the leader's lease safe. */
    private hasLeader(): boolean {
        const { voter } = this;
        const isHeard = voter.leader !== undefined && voter.now - voter.heardAt < ELECTION_MIN_MS;
        return voter.role === "leader" || isHeard;
    }

    private isCandidateFit(req: PeerRequest<"requestVote">): boolean {
        const { log } = this.voter;
        // An empty log beside a filled one means that this voter lost its disk and forgot what it promised.
        if (log.lastIndex === 0 && req.lastIndex > 0) {
            return false;
        }
        return req.lastTerm > log.lastTerm || (req.lastTerm === log.lastTerm && req.lastIndex >= log.lastIndex);
    }

    private async stand(): Promise<void> {
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
                voter.parts.network.call(other, "requestVote", req, CALL_TIMEOUT_MS).then(count, () => count());
            }
        });
    }
}
