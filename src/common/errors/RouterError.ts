/**
 * The errors that callers, operators and other components receive. Each has a stable code, the step and the peer at
 * which it occurred, and a reliable indication of whether the request ran.
 */
import ModernError from "modern-errors";

/** HTTP status of each stable error code. */
export const ErrorStatus = {
    malformedRequest: 400,
    malformedJson: 400,
    missingDeadline: 400,
    invalidDeadline: 400,
    unknownKey: 401,
    notAllowed: 403,
    versionNotAllowed: 403,
    unknownModel: 404,
    unknownService: 404,
    notFound: 404,
    methodNotAllowed: 405,
    bodyTimeout: 408,
    sheetConflict: 409,
    sheetOutdated: 409,
    keyReused: 409,
    keyInProgress: 409,
    outcomeUnknown: 409,
    bodyTooLarge: 413,
    invalidSheet: 422,
    quarantined: 422,
    tooManyRequests: 429,
    headersTooLarge: 431,
    internal: 500,
    upstreamFailed: 502,
    answerMismatch: 502,
    noUpstream: 503,
    overloaded: 503,
    stopping: 503,
    noMajority: 503,
    repetitionUnclear: 503,
    deadlineExceeded: 504,
} as const;

/** Stable code of an error, part of the public interface. */
export type ErrorCode = keyof typeof ErrorStatus;

/** Whether the request ran on an upstream. `not_run` is only used when that is certain. */
export type RunState = "not_run" | "unknown" | "ran";

/** Properties of an error besides its message. */
export interface ErrorDetails {
    readonly code: ErrorCode;
    readonly run?: RunState;
    /** The step of the request or task at which the error occurred. */
    readonly step: string;
    /** The upstream, instance or caller on the other side of that step. */
    readonly peer?: string;
    /** Time after which the caller may retry, in ms. */
    readonly retryAfterMs?: number;
    /** Whether the connection broke while the request was in flight, for example because the peer's process ended. */
    readonly isBroken?: boolean;
    readonly cause?: unknown;
}

const Base = ModernError.subclass("RouterError", {
    props: {
        code: "internal" as ErrorCode,
        run: "not_run" as RunState,
        step: "",
        peer: undefined as string | undefined,
        retryAfterMs: undefined as number | undefined,
        isBroken: false,
    },
});

/** An error with a stable code and the details above. */
export type RouterError = InstanceType<typeof Base>;

/** Creates a `RouterError`. `run` is `not_run` unless the details set it. */
export const routerError = (message: string, details: ErrorDetails): RouterError => {
    const { cause, run = "not_run", ...props } = details;
    return new Base(message, { props: { run, ...props }, ...(cause === undefined ? {} : { cause }) }) as RouterError;
};

/** True for errors created by `routerError`. */
export const isRouterError = (err: unknown): err is RouterError => err instanceof Base;

/** Returns `err` itself, or wraps an unexpected error with the step and peer at which it occurred. */
export const toRouterError = (err: unknown, details: ErrorDetails): RouterError => {
    if (isRouterError(err)) {
        return err;
    }
    const message = err instanceof Error ? err.message : String(err);
    return routerError(message, { ...details, cause: err });
};
