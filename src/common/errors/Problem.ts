/**
 * Error responses to callers and operators: problem+json (RFC 9457) with a stable code and a reliable indication of
 * whether the request ran.
 */
import { ErrorStatus, type RouterError } from "./RouterError.ts";

/** Media type of a problem. */
export const PROBLEM_TYPE = "application/problem+json";

/** Body of an error response. */
export interface Problem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly code: string;
    /** Whether the request ran: `not_run`, `unknown` or `ran`. */
    readonly run: string;
    /** Time after which the caller may retry, in ms. */
    readonly retryAfterMs?: number;
    readonly requestId?: string;
}

/** Converts `err` to a response body. The step and the peer are only logged, as are messages of internal errors. */
export const toProblem = (err: RouterError, requestId?: string): Problem => ({
    type: `urn:skylarktide:error:${err.code}`,
    title: titleOf(err.code),
    status: ErrorStatus[err.code],
    detail: err.code === "internal" ? "an unexpected error occurred" : err.message,
    code: err.code,
    run: err.run,
    ...(err.retryAfterMs === undefined ? {} : { retryAfterMs: err.retryAfterMs }),
    ...(requestId === undefined ? {} : { requestId }),
});

/** `unknownModel` becomes `Unknown model`. */
const titleOf = (code: string): string => {
    const words = code.replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
    return words.charAt(0).toUpperCase() + words.slice(1);
};
