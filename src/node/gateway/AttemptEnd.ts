/**
 * How an attempt ended: for its request, and for its engine, which decides when the memory that was reserved for it is free again.
 */
import { type AttemptEnd } from "../../common/gateway/PromptReservations.ts";

/** Time without a byte from an engine after which it may not notice that a connection was closed, in ms. */
const SILENT_AFTER_MS = 1500;

/** Why an attempt failed. */
export interface AttemptFailure {
    readonly message: string;
    /** Whether a byte of the request can have been sent. */
    readonly wasSent: boolean;
    /** False only if it is certain that the upstream has not run the request and will not run it. */
    readonly mayHaveRun: boolean;
    /** Whether the upstream sent a complete response with a 5xx status. */
    readonly isErrorResponse: boolean;
    /** Whether it was aborted because another attempt is relayed. */
    readonly isSuperseded?: boolean;
}

/** @param silenceMs time since the newest byte from the engine, on any connection */
export const attemptEnd = (failure: AttemptFailure | undefined, silenceMs: number): AttemptEnd => {
    if (failure === undefined || !failure.wasSent || !failure.mayHaveRun || failure.isErrorResponse) {
        return "complete";
    }
    return silenceMs > SILENT_AFTER_MS ? "silent" : "aborted";
};
