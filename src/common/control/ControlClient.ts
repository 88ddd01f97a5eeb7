/**
 * Submits commands to the leader of the control log from any instance. Commands are idempotent, so a command
 * whose reply was lost is sent again.
 */
import { type ErrorCode, type RouterError, toRouterError } from "../errors/RouterError.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, sleep } from "../time/Clock.ts";
import { type ControlLog } from "./ControlLog.ts";
import { type Committed, noMajorityError } from "./ControlTypes.ts";
import { type Command } from "./LogStore.ts";

/** Time limit for the leader's reply to a proposal, in ms. */
const PROPOSE_TIMEOUT_MS = 1500;
/** Pause between two attempts, in ms. */
const RETRY_PAUSE_MS = 100;

/** Codes of errors that a repeat of the same command would meet again. */
const finalErrors: ReadonlySet<ErrorCode> = new Set<ErrorCode>(["malformedRequest", "sheetOutdated"]);

/** Sends commands to the last known leader, or to the possible voters in turn while the leader is unknown. */
export class ControlClient {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly localLog: ControlLog | undefined;
    /** Ids of instances that may be voters, the likeliest first. */
    private readonly possibleVoters: () => readonly string[];
    private leader: string | undefined;

    public constructor(
        clock: Clock,
        network: PeerNetwork,
        localLog: ControlLog | undefined,
        possibleVoters: () => readonly string[],
    ) {
        this.clock = clock;
        this.network = network;
        this.localLog = localLog;
        this.possibleVoters = possibleVoters;
    }

    /**
     * Resolves when the command is committed. Rejects with `noMajority` after `timeoutMs`; its `run` is
     * "not_run" only when no attempt can still take effect. `malformedRequest` and `sheetOutdated` are not retried.
     */
    public async submit(command: Command, timeoutMs: number): Promise<Committed> {
        const deadline = this.clock.monotonic() + timeoutMs;
        let mayTakeEffect = false;
        let lastError: RouterError | undefined;
        for (let attempt = 0; this.clock.monotonic() < deadline; attempt++) {
            const target = this.leader ?? this.targetOfAttempt(attempt);
            if (target === undefined) {
                break;
            }
            try {
                const committed = await this.proposeAt(target, command, deadline);
                if (committed !== undefined) {
                    return committed;
                }
            }
            catch (err) {
                lastError = toRouterError(err, { code: "noMajority", run: "unknown", step: "propose", peer: target });
                if (finalErrors.has(lastError.code)) {
                    throw lastError;
                }
                mayTakeEffect ||= lastError.run !== "not_run";
                this.leader = undefined;
            }
            if (this.leader === undefined) {
                await sleep(this.clock, RETRY_PAUSE_MS);
            }
        }
        const reason = lastError === undefined ? "no control instance is the leader" : lastError.message;
        throw noMajorityError(
            `the control majority is out of reach: ${reason}`,
            mayTakeEffect ? "unknown" : "not_run",
            undefined,
        );
    }

    private targetOfAttempt(attempt: number): string | undefined {
        const voters = this.possibleVoters();
        return voters[attempt % Math.max(1, voters.length)];
    }

    private async proposeAt(target: string, command: Command, deadline: number): Promise<Committed | undefined> {
        if (target === this.network.self) {
            return this.proposeLocally(command);
        }
        const timeoutMs = Math.max(1, Math.min(PROPOSE_TIMEOUT_MS, deadline - this.clock.monotonic()));
        const reply = await this.network.call(target, "propose", { command }, timeoutMs);
        this.leader = reply.leader === target && !reply.isLeader ? undefined : reply.leader;
        if (!reply.isLeader || reply.index === undefined) {
            return undefined;
        }
        return { index: reply.index, outcome: reply.outcome ?? {} };
    }

    private async proposeLocally(command: Command): Promise<Committed | undefined> {
        const status = this.localLog?.status;
        if (this.localLog === undefined || status?.role !== "leader") {
            this.leader = status?.leader;
            return undefined;
        }
        this.leader = this.network.self;
        return this.localLog.propose(command);
    }
}
