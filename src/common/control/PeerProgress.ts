/**
 * What a leader knows of the log of one peer, from its replies. Replies may arrive late and in another order than the messages
 * were sent, and the peer may have started again in between, without its disk.
 */
import { CALL_TIMEOUT_MS, REPLICATION_TIMEOUT_MS } from "./ControlTypes.ts";
import { processOf } from "./Receipts.ts";

/** What all replies to a leader say. */
export interface LeaderReply {
    readonly term: number;
    readonly receipt?: string | undefined;
    readonly recoveryId?: string | undefined;
}

/** Progress of the replication to one peer. */
export class PeerProgress {
    public nextIndex: number;
    public matchIndex = 0;
    /** Boot time at which the newest of the messages that got a reply was sent, in ms. */
    public ackedAt: number;
    private newestSentAt = -Infinity;
    private newestReceipt: string | undefined;
    private currentRecoveryId: string | undefined;
    private currentPatienceMs = CALL_TIMEOUT_MS;

    public constructor(nextIndex: number, ackedAt: number) {
        this.nextIndex = nextIndex;
        this.ackedAt = ackedAt;
    }

    /** Receipt of its newest reply. */
    public get receipt(): string | undefined {
        return this.newestReceipt;
    }

    /** Id of its recovery from the loss of its disk; its replies don't count meanwhile. */
    public get recoveryId(): string | undefined {
        return this.currentRecoveryId;
    }

    /** Time without a reply after which entries or a snapshot are sent again, in ms. */
    public get patienceMs(): number {
        return this.currentPatienceMs;
    }

    /** Waits longer for the next reply, as this one did not come within `patienceMs`. */
    public onOverdue(patienceMs: number): void {
        this.currentPatienceMs = Math.min(REPLICATION_TIMEOUT_MS, patienceMs * 2);
    }

    public onInTime(): void {
        this.currentPatienceMs = CALL_TIMEOUT_MS;
    }

    /**
     * Records a reply to a message that was sent at `sentAt`, and returns whether it tells what the peer holds: a late reply
     * to an earlier message does so only if the same process, with the same disk, has sent the newest one.
     */
    public onReply(sentAt: number, { receipt, recoveryId }: LeaderReply): boolean {
        if (sentAt < this.newestSentAt) {
            const isSameProcess = receipt !== undefined && processOf(receipt) === processOf(this.newestReceipt);
            return isSameProcess && recoveryId === this.currentRecoveryId;
        }
        this.newestSentAt = sentAt;
        this.ackedAt = Math.max(this.ackedAt, sentAt);
        this.newestReceipt = receipt ?? this.newestReceipt;
        if (recoveryId !== undefined && this.currentRecoveryId !== recoveryId) {
            // What was known of its copy was lost with its disk.
            this.matchIndex = 0;
        }
        this.currentRecoveryId = recoveryId;
        return true;
    }

    /** The peer holds the leader's log up to `index`. */
    public onMatch(index: number): void {
        this.matchIndex = Math.max(this.matchIndex, index);
        this.nextIndex = this.matchIndex + 1;
    }

    /** The peer's log differs before `nextIndex`, and may agree up to `index`. */
    public onMismatch(index: number): void {
        this.nextIndex = Math.max(1, Math.min(this.nextIndex - 1, index + 1));
    }
}
