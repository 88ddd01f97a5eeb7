/**
 * Tells how old a message can be at most. Clocks of instances can't be compared, and a message may be held up for any
 * time on its way. A receipt is a reading of the own clock that is sent to a peer; a message that returns it was sent
 * later than that.
 */
import { type Clock } from "../time/Clock.ts";

const SEPARATOR = " ";

/** Tells apart the processes that issue receipts; undefined without a receipt. */
export const processOf = (receipt: string | undefined): string | undefined => receipt?.split(SEPARATOR)[0];

/** Receipts of one process. */
export class Receipts {
    private readonly clock: Clock;
    /** Differs between processes, whose clocks can't be compared either. */
    private readonly processKey: string;

    public constructor(clock: Clock) {
        this.clock = clock;
        this.processKey = `${clock.now()}`;
    }

    /** A receipt for a message that is sent now. */
    public issue(): string {
        return `${this.processKey}${SEPARATOR}${this.clock.boottime()}`;
    }

    /** Boot time at which this process issued the receipt, in ms; undefined if another one did, or none. */
    public issuedAt(receipt: string | undefined): number | undefined {
        const [processKey, issuedAt] = receipt?.split(SEPARATOR) ?? [];
        const time = Number.parseFloat(issuedAt ?? "");
        return processKey === this.processKey && Number.isFinite(time) ? time : undefined;
    }
}
