/**
 * Logs one line for each finished request, with the decisions that led to its result. Under load the lines are limited
 * per second, with a higher limit for requests that were not served, and the omitted lines are counted.
 */
import { type CallerRequest } from "../../common/gateway/ExchangeCodec.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Call, type CallResult, type CallState } from "./Call.ts";

/** Most lines per second for requests that were served. */
const SERVED_PER_SECOND = 20;
/** Most lines per second for all other requests. */
const FAILED_PER_SECOND = 100;
const WINDOW_MS = 1000;

/** State of the instance when a line is written. */
export interface RequestLogContext {
    readonly revision: number;
    /** Time since a control quorum confirmed the configuration, in ms; logged as `proofAgeMs`. */
    readonly confirmationAgeMs: number;
}

/** Request log of one instance. */
export class RequestLog {
    private readonly clock: Clock;
    private readonly log: Log;
    private readonly context: () => RequestLogContext;
    private readonly onFinished: (call: Call | undefined, result: CallResult, ms: number) => void;
    private windowStartedAt = 0;
    private served = 0;
    private failed = 0;
    private omitted = 0;

    public constructor(
        clock: Clock,
        log: Log,
        context: () => RequestLogContext,
        onFinished: (call: Call | undefined, result: CallResult, ms: number) => void,
    ) {
        this.clock = clock;
        this.log = log;
        this.context = context;
        this.onFinished = onFinished;
    }

    /** Passes a finished request to `onFinished` and logs it within the limits; `ms` is the time since its arrival. */
    public logFinished(
        req: CallerRequest,
        call: Call | undefined,
        state: CallState | undefined,
        result: CallResult,
        ms: number,
    ): void {
        this.onFinished(call, result, ms);
        if (!this.takeLogQuota(result.outcome === "served")) {
            return;
        }
        const { revision, confirmationAgeMs } = this.context();
        const fields = {
            req: req.id,
            outcome: result.outcome,
            status: result.status,
            ms: Math.round(ms),
            ...(result.reason === "" ? {} : { reason: result.reason }),
            ...(call === undefined ? { path: req.path } : { route: call.route.name, service: call.service.name }),
            ...(call?.account === undefined ? {} : { account: call.account.name }),
            ...(req.session === undefined ? {} : { session: req.session }),
            ...(state === undefined ? {} : { upstreams: state.upstreamIds }),
            ...(call?.route.kind === "stream" ? streamFieldsOf(state) : {}),
            ...waitFieldsOf(state),
            ...(state === undefined || state.lastFailure === "" ? {} : { lastFailure: state.lastFailure }),
            revision,
            proofAgeMs: Math.round(confirmationAgeMs),
        };
        this.log.info("A request has ended.", fields);
    }

    public logInternalError(req: CallerRequest, err: Error): void {
        this.log.error("A request failed with an internal error.", {
            req: req.id,
            reason: err.message,
            stack: err.stack,
        });
    }

    /** Counts a line against the limit of the current second; false if it must be omitted. */
    private takeLogQuota(isServed: boolean): boolean {
        const now = this.clock.monotonic();
        if (now - this.windowStartedAt >= WINDOW_MS) {
            if (this.omitted > 0) {
                this.log.info("Lines of requests were left out.", { count: this.omitted });
            }
            this.windowStartedAt = now;
            this.served = 0;
            this.failed = 0;
            this.omitted = 0;
        }
        const isAllowed = isServed ? this.served++ < SERVED_PER_SECOND : this.failed++ < FAILED_PER_SECOND;
        this.omitted += isAllowed ? 0 : 1;
        return isAllowed;
    }
}

/** Waits shorter than this are not logged, in ms. */
const MIN_LOGGED_WAIT_MS = 1;

const waitFieldsOf = (state: CallState | undefined): object => {
    const wait = state?.wait;
    if (wait === undefined || (wait.refusal === undefined && wait.waitedMs < MIN_LOGGED_WAIT_MS)) {
        return {};
    }
    const { waitedMs, refusal, ahead, estimateMs } = wait;
    return {
        waitedMs: Math.round(waitedMs),
        ...(refusal === undefined ? {} : { refusal }),
        ...(ahead === undefined ? {} : { ahead }),
        ...(estimateMs === undefined ? {} : { estimateMs: Math.round(estimateMs) }),
    };
};

const streamFieldsOf = (state: CallState | undefined): object =>
    state?.firstEventMs === undefined ? { models: state?.modelIndexes } : {
        models: state.modelIndexes,
        ...(state.confidence === undefined ? {} : { confidence: state.confidence }),
        ...(state.keptFor === undefined ? {} : { keptFor: state.keptFor }),
        firstEventMs: Math.round(state.firstEventMs),
        longestPauseMs: Math.round(state.longestPauseMs),
    };
