/**
 * One line for each request that ended, with what decided its course. Under load the lines of requests that went well
 * are sampled; those of others are kept up to a higher rate, and what was left out is counted.
 */
import { type CallerRequest } from "../../common/gateway/ExchangeCodec.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Call, type CallResult, type CallState } from "./RequestRouter.ts";

/** Most lines in a second for requests that went well. */
const SERVED_PER_SECOND = 20;
/** Most lines in a second for other requests. */
const FAILED_PER_SECOND = 100;
const SECOND_MS = 1000;

/** What this instance knows at the moment of a line. */
export interface RequestLogContext {
    readonly revision: number;
    readonly confirmationAgeMs: number;
}

/** Logs requests. */
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

    public logFinished(
        req: CallerRequest,
        call: Call | undefined,
        state: CallState | undefined,
        result: CallResult,
        ms: number,
    ): void {
        this.onFinished(call, result, ms);
        if (!this.mayWrite(result.outcome === "served")) {
            return;
        }
        const { revision, confirmationAgeMs: proofAgeMs } = this.context();
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
            ...(call?.route.kind === "stream" ? streamFields(state) : {}),
            ...(state === undefined || state.lastFailure === "" ? {} : { lastFailure: state.lastFailure }),
            revision,
            proofAgeMs: Math.round(proofAgeMs),
        };
        this.log.info("A request has ended.", fields);
    }

    public logInternalError(req: CallerRequest, err: Error): void {
        this.log.error("A request met a fault of this program.", {
            req: req.id,
            reason: err.message,
            stack: err.stack,
        });
    }

    private mayWrite(isServed: boolean): boolean {
        const now = this.clock.monotonic();
        if (now - this.windowStartedAt >= SECOND_MS) {
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

const streamFields = (state: CallState | undefined): object =>
    state?.firstEventMs === undefined ? { models: state?.modelIndexes } : {
        models: state.modelIndexes,
        ...(state.confidence === undefined ? {} : { confidence: state.confidence }),
        ...(state.keptFor === undefined ? {} : { keptFor: state.keptFor }),
        firstEventMs: Math.round(state.firstEventMs),
        longestPauseMs: Math.round(state.longestPauseMs),
    };
