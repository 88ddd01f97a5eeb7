/**
 * Recognizes what must not reach a caller as a whole response of an upstream: a status that is none, and a body that lacks
 * its end. Without keep-alive, undici treats every end of the connection as the end of the response. That holds only for a
 * response with neither a length nor chunked encoding, and only for an orderly close.
 */
import { type Socket } from "node:net";
import type { Dispatcher } from "undici";

const FIRST_FINAL_STATUS = 200;
const FIRST_REDIRECT = 300;
const LAST_STATUS = 599;

/** Whether a response may end with this status. HTTP has none above 599. */
export const isFinalStatus = (status: number): boolean => status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;

/** Whether the status is one of success. */
export const isSuccess = (status: number): boolean => status >= FIRST_FINAL_STATUS && status < FIRST_REDIRECT;

/** `closedEarly`: an orderly close before the request was written. */
type ConnectionEnd = "reset" | "closed" | "closedEarly";

/** How the connections of one pool end. */
export class ConnectionEnds {
    /** Set only while the listeners of an ending connection run. */
    private current: ConnectionEnd | undefined;

    /**
     * Must be called before undici gets the connection, whose listeners for the same events then run after these ones. The end
     * of a relayed connection may be that of the relay, so it counts as a reset.
     */
    public track(socket: Socket, isRelayed: boolean): void {
        let hasEnded = false;
        const record = (end: ConnectionEnd): void => {
            hasEnded = true;
            this.current = end;
            process.nextTick(() => {
                this.current = undefined;
            });
        };
        socket.on("error", () => record("reset"));
        socket.on("end", () => {
            const isWritten = socket.writableLength === 0;
            record(isRelayed ? "reset" : isWritten ? "closed" : "closedEarly");
        });
        socket.on("close", () => {
            if (!hasEnded) {
                record("reset");
            }
        });
    }

    /**
     * To be called when undici reports the end of a response: whether it lacks its end. An upstream that closes before it was
     * sent the whole request may have ended in the middle of its answer, so a success isn't taken for whole.
     */
    public isTruncated(status: number, isChunked: boolean): boolean {
        const { current } = this;
        return current === "reset"
            || (current !== undefined && isChunked)
            || (current === "closedEarly" && isSuccess(status));
    }
}

/** Fails the responses that lack their end. */
export const failTruncated = (
    ends: ConnectionEnds,
    handler: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler => {
    let status = 0;
    let isChunked = false;
    return {
        onRequestStart: (...args) => handler.onRequestStart?.(...args),
        onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
        onResponseStart: (controller, statusCode, headers, ...rest) => {
            status = statusCode;
            isChunked = headers["transfer-encoding"] !== undefined;
            handler.onResponseStart?.(controller, statusCode, headers, ...rest);
        },
        onResponseData: (...args) => handler.onResponseData?.(...args),
        onResponseEnd: (controller, trailers) => {
            if (ends.isTruncated(status, isChunked)) {
                const err = Object.assign(new Error("the connection ended within the response"), {
                    code: "ECONNRESET",
                });
                handler.onResponseError?.(controller, err);
                return;
            }
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (...args) => handler.onResponseError?.(...args),
    };
};
