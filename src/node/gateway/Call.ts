/**
 * An admitted request of a caller, its progress, and how it ends.
 */
import { type CallKeys } from "../../common/gateway/CallKeys.ts";
import { type CallerRequest, type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { type Account, type Route, type Service } from "../../common/gateway/GatewayConfig.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { AttemptGroup } from "./AttemptGroup.ts";
import { type CallerReply } from "./CallerReply.ts";

/** Why a request that crashes upstreams is refused. */
export const QUARANTINED = "upstreams crashed under this request, or under others with a part of its prompt";

/** An admitted request. */
export interface Call {
    readonly req: CallerRequest;
    readonly route: Route;
    readonly service: Service;
    readonly account: Account | undefined;
    readonly body: Buffer | undefined;
    /** The request's own key is a hash of its caller and content, which is the same when the caller repeats it. */
    readonly keys: CallKeys;
    /** Boot time at which its headers had arrived, in ms. */
    readonly arrivedAt: number;
    /** Boot time by which its response must be complete, in ms: it doesn't last longer because the machine is suspended. */
    readonly deadlineAt: number;
    readonly reply: CallerReply;
}

/** What kept a request from success, for metrics. */
export type FailureCause = "cutOff" | "deadline" | "failedAttempt" | "noRepeatsLeft" | "noUpstream" | "quarantined";

/** Why a request ends without success. */
export interface FinalFailure {
    readonly reason: string;
    /** Default: `noUpstream`. */
    readonly cause?: FailureCause;
    /** Suggested retry delay if the request has not run, in ms; undefined if returning is of no use. */
    readonly retryAfterMs: number | undefined;
}

/** Result of a request, for logs and metrics. */
export interface CallResult {
    /**
     * `served`: an upstream's response was relayed. `failed`: the caller got an error, and the request may have run.
     * `refused`: the caller got an error, and the request was not run. `brokenOff`: the response began but could not be
     * completed. `callerLeft`: the caller disconnected first.
     */
    readonly outcome: "served" | "failed" | "refused" | "brokenOff" | "callerLeft";
    /** Status of an error response; 200 for all served requests; 0 if the response broke off or the caller left. */
    readonly status: number;
    readonly reason: string;
}

/** Progress of one request. */
export interface CallState {
    /** Names of the upstream processes that the request must not be sent to again. */
    readonly tried: Set<string>;
    /** The attempts that run. */
    readonly attempts: AttemptGroup;
    /** Monotonic time before which no backup attempt is sent, in ms. */
    backupNotBefore: number;
    /** Number of ended attempts that may have run the request. */
    possibleRuns: number;
    /** Index into the models of the route. */
    modelIndex: number;
    /** Confidence that the newest response reports, 0 to 100. */
    confidence: number | undefined;
    /** Why a response with low confidence was kept, if for another reason than the time a larger model would take. */
    keptFor: string | undefined;
    /** Id of the newest event that was relayed; undefined before the first one with an id. */
    lastEventId: string | undefined;
    /** The newest response with a 5xx status, which the caller gets if no retry succeeds. */
    errorResponse: { readonly head: ResponseHead; readonly body: Buffer; } | undefined;
    /** Message of the newest failed attempt; empty if none has failed. */
    lastFailure: string;
    /** Ids of the upstreams, in the order of the attempts. */
    readonly upstreamIds: string[];
    /** Indexes of the models used, in the same order. */
    readonly modelIndexes: number[];
    /** Time from the arrival of the request to its first event, in ms. */
    firstEventMs: number | undefined;
    /** Boot time of the newest event, in ms. */
    lastEventAt: number;
    /** Longest pause between two consecutive events, in ms. */
    longestPauseMs: number;
    /** How the request waited for an upstream with room, if it did. */
    wait: CallWait | undefined;
}

/** How a request waited for an upstream with room. */
export interface CallWait {
    /** Time that it waited, over all attempts, in ms. */
    readonly waitedMs: number;
    /** Why it was refused; undefined if it was sent. */
    readonly refusal: string | undefined;
    /** Requests that would have been sent before it, and expected time until it would have been sent, in ms. */
    readonly ahead: number | undefined;
    readonly estimateMs: number | undefined;
}

export const createCallState = (): CallState => ({
    tried: new Set(),
    attempts: new AttemptGroup(),
    backupNotBefore: -Infinity,
    possibleRuns: 0,
    modelIndex: 0,
    confidence: undefined,
    keptFor: undefined,
    lastEventId: undefined,
    errorResponse: undefined,
    lastFailure: "",
    upstreamIds: [],
    modelIndexes: [],
    firstEventMs: undefined,
    lastEventAt: 0,
    longestPauseMs: 0,
    wait: undefined,
});

/** Time until the deadline of the request, in ms. */
export const remainingMs = (call: Call, clock: Clock): number => call.deadlineAt - clock.boottime();

/** Whether the route allows one more run beside those that may have happened or are under way. */
export const hasRunsLeft = ({ route }: Call, { possibleRuns, attempts }: CallState): boolean =>
    possibleRuns + attempts.size < route.maxAttempts;
