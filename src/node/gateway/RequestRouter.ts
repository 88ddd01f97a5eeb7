/**
 * Routes one admitted request until its caller has a response: picks an upstream, sends the attempt, and decides after
 * a failure whether to retry. A request that must not run twice is retried only if it certainly has not run.
 */
import { type CallKeys } from "../../common/gateway/CallKeys.ts";
import { type EventSplitter } from "../../common/gateway/EventSplitter.ts";
import {
    type CallerRequest,
    type ExchangeCodec,
    type ResponseHead,
    type UpstreamLoad,
} from "../../common/gateway/ExchangeCodec.ts";
import { type Fleet } from "../../common/gateway/FleetState.ts";
import { type Account, type Route, type Service } from "../../common/gateway/GatewayConfig.ts";
import { type OutcomeCounters } from "../../common/gateway/OutcomeCounters.ts";
import {
    type PromptReservation,
    type PromptReservations,
    type ReservationRequest,
} from "../../common/gateway/PromptReservations.ts";
import { type RatePermits } from "../../common/gateway/RatePermits.ts";
import { type ServiceRetryBudget } from "../../common/gateway/ServiceRetryBudget.ts";
import { type SessionVersions } from "../../common/gateway/SessionVersions.ts";
import { type Selection, type SelectionRequest, type UpstreamSelector } from "../../common/gateway/UpstreamSelector.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { type SessionHistory, versionRule } from "../../common/gateway/VersionRule.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, sleep } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Attempt, type AttemptFailure } from "./Attempt.ts";
import { type CallerReply } from "./CallerReply.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";
import { QueuedSelection } from "./QueuedSelection.ts";
import { type UpstreamAttempts } from "./UpstreamAttempts.ts";
import { findObstacle, limitsObstacle, RETRY_AFTER_MS } from "./UpstreamObstacles.ts";

/** How long a request waits for a usable upstream before it is refused, as a fraction of its latency objective. */
const WAIT_FRACTION = 1 / 8;
/** How often a waiting request retries the selection, in ms. */
const WAIT_POLL_MS = 20;
/** Most attempts for one request; unlike the route's `maxAttempts`, it includes those that did not run it. */
const MAX_SENT_ATTEMPTS = 5;
/** No attempt is sent with less time than this until the deadline, in ms. */
const MIN_ATTEMPT_MS = 10;

/** Upstreams that may deny one request a permit before it is refused; each takes a round trip to another instance. */
const MAX_PERMIT_DENIALS = 8;

/** Engines whose memory is asked for in a row; each takes a round trip to another instance. */
const MAX_RESERVATION_DENIALS = 4;

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
    /** Monotonic time at which its headers had arrived, in ms. */
    readonly arrivedAt: number;
    /** Monotonic time by which its response must be complete, in ms. */
    readonly deadlineAt: number;
    readonly reply: CallerReply;
}

/** Why a request ends without success. */
export interface FinalFailure {
    readonly reason: string;
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

/** Dependencies of the router. */
export interface RequestRouterDependencies {
    readonly clock: Clock;
    readonly codec: ExchangeCodec;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    readonly selector: UpstreamSelector;
    readonly upstreamStats: UpstreamStatistics;
    readonly attempts: UpstreamAttempts;
    readonly budget: ServiceRetryBudget;
    readonly permits: RatePermits;
    readonly reservations: PromptReservations;
    readonly sessions: SessionVersions;
    readonly outcomes: OutcomeCounters;
    readonly fleet: () => Fleet;
    /** Whether a control quorum has confirmed the configuration recently enough to serve requests by it. */
    readonly hasLease: () => boolean;
    /** Whether the service is in the configuration no more and has no upstream that is ready. */
    readonly isRemoved: (service: string) => boolean;
    readonly isQuarantined: (keys: CallKeys) => boolean;
    /** Whether an upstream process must not get requests now, because of what it has stated in a response. */
    readonly isSpared: (upstream: string) => boolean;
    /** Whether another entry instance reports that the session must keep its version. */
    readonly isSessionPinned: (session: string) => boolean;
}

/** Progress of one request. */
export interface CallState {
    /** Names of the upstream processes that the request must not be sent to again. */
    readonly tried: Set<string>;
    /** Engine memory for the attempt that is about to be sent, or is running; undefined if there is none. */
    reservation: PromptReservation | undefined;
    /** Number of attempts that may have run the request. */
    possibleRuns: number;
    /** Index into the models of the route. */
    modelIndex: number;
    /** Confidence that the newest response reports, 0 to 100. */
    confidence: number | undefined;
    /** Why a response with low confidence was kept, if for another reason than the time a larger model would take. */
    keptFor: string | undefined;
    /** Splitter of the stream that is being relayed; undefined before a stream has begun. */
    splitter: EventSplitter | undefined;
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
    /** Monotonic time of the newest event, in ms. */
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

/** Routes the requests of one instance. */
export class RequestRouter extends DisposableOwner {
    private readonly deps: RequestRouterDependencies;
    private readonly queued: QueuedSelection;

    public constructor(deps: RequestRouterDependencies) {
        super();
        this.deps = deps;
        this.queued = this.register(new QueuedSelection(deps));
    }

    /** To be called when an upstream of the service has arrived or may have become usable. */
    public wake(service: string): void {
        this.queued.wake(service);
    }

    /** Records the load that an upstream of the service reports in a response; undefined if it reports none. */
    public recordLoad(service: string, load: UpstreamLoad | undefined): void {
        if (load !== undefined) {
            this.queued.recordLoad(service, load);
        }
    }

    /** Resolves when the response is complete or broken off, or when the caller has disconnected. */
    public async route(call: Call, state: CallState): Promise<CallResult> {
        this.queued.recordArrival(call);
        try {
            return await this.routeAttempts(call, state);
        }
        finally {
            // Attempts end their reservations themselves: this one has not been used.
            state.reservation?.end("complete");
        }
    }

    private async routeAttempts(call: Call, state: CallState): Promise<CallResult> {
        while (!call.reply.isCallerGone) {
            const selection = await this.select(call, state);
            if (call.reply.isCallerGone) {
                break;
            }
            if ("reason" in selection) {
                return this.sendFinalFailure(call, state, selection);
            }
            if (this.deps.isQuarantined(call.keys)) {
                return this.sendFinalFailure(call, state, { reason: QUARANTINED, retryAfterMs: undefined });
            }
            const attempt = this.send(call, state, selection);
            const recordEnd = this.queued.recordSend(call, selection);
            const result = await attempt.run();
            recordEnd(result === undefined);
            if (result === undefined) {
                this.recordSessionVersion(call, selection);
                return { outcome: "served", status: 200, reason: "" };
            }
            if (call.reply.isCallerGone) {
                break;
            }
            const finalResult = this.handleFailure(call, state, selection, result);
            if (finalResult !== undefined) {
                return finalResult;
            }
        }
        return { outcome: "callerLeft", status: 0, reason: "the caller has left" };
    }

    /** Picks an upstream. Waits for a while if none can take the request; resolves with the reason if none turns up. */
    private async select(call: Call, state: CallState): Promise<Selection | FinalFailure> {
        const { clock, selector, hasLease, permits, isSpared } = this.deps;
        const { service, route } = call;
        let denials = 0;
        let reservationDenials = 0;
        const selectQueued = this.queued.create(call, state, () => this.wantedOf(call, state));
        const waitUntil = clock.monotonic() + route.objectiveMs * WAIT_FRACTION;
        while (!call.reply.isCallerGone && this.remainingMs(call) > MIN_ATTEMPT_MS && hasLease()) {
            const wanted = selectQueued === undefined ? this.wantedOf(call, state) : undefined;
            const selection = wanted === undefined ? await selectQueued?.() : selector.select(wanted);
            if (selection !== undefined && "reason" in selection) {
                return selection;
            }
            if (selection !== undefined) {
                const target = { name: selection.name, service: service.name };
                // The upstream may have asked for a pause while the permit was under way.
                if (!permits.areNeeded(target) || (await permits.take(target) && !isSpared(selection.name))) {
                    if (await this.reserve(call, state, selection)) {
                        return selection;
                    }
                    if (selectQueued !== undefined) {
                        // The queue paces the tries, and refuses the request when its time is over.
                        continue;
                    }
                    reservationDenials++;
                    if (reservationDenials % MAX_RESERVATION_DENIALS === 0) {
                        await sleep(clock, WAIT_POLL_MS);
                    }
                    if (clock.monotonic() >= waitUntil) {
                        return failureOf("the engines have no memory left for the prompt");
                    }
                    continue;
                }
            }
            if (wanted === undefined || (selection !== undefined && ++denials < MAX_PERMIT_DENIALS)) {
                continue;
            }
            const obstacle = selection === undefined
                ? findObstacle(selector, wanted, state.tried, waitUntil - clock.monotonic())
                : limitsObstacle;
            if (obstacle !== undefined) {
                return obstacle;
            }
            if (clock.monotonic() >= waitUntil) {
                break;
            }
            await sleep(clock, WAIT_POLL_MS);
        }
        return failureOf(hasLease() ? "no upstream may take the request" : "cut off from control");
    }

    /** Reserves memory of the selected engine for the next attempt; false if there is none. */
    private async reserve(call: Call, state: CallState, { name, record }: Selection): Promise<boolean> {
        const { reservations, isSpared } = this.deps;
        const target = { name, slots: record.slots };
        const req = this.reservationRequestOf(call);
        state.reservation = reservations.takeShare(target, req);
        if (state.reservation === undefined) {
            state.reservation = await reservations.borrow(target, req);
            if (isSpared(name)) {
                state.reservation?.end("complete");
                state.reservation = undefined;
            }
        }
        return state.reservation !== undefined;
    }

    private reservationRequestOf(call: Call): ReservationRequest {
        const { service, req: { prompt }, route: { objectiveMs } } = call;
        return { service, prompt, objectiveMs, remainingMs: this.remainingMs(call) };
    }

    private wantedOf(call: Call, state: CallState): SelectionRequest {
        const { req, service, route } = call;
        const key = req.session ?? req.id;
        const rule = versionRule(this.deps.fleet(), service.name, key, this.getSessionHistory(req.session, service));
        const tried = this.deps.reservations.exclude(this.reservationRequestOf(call), state.tried);
        return { service, rule, prompt: req.prompt, key: req.id, tried, model: route.models.at(state.modelIndex) };
    }

    private getSessionHistory(session: string | undefined, service: Service): SessionHistory {
        const { sessions, isSessionPinned } = this.deps;
        return session === undefined
            ? { lastVersion: undefined, isPinned: false }
            : { lastVersion: sessions.get(session, service.name), isPinned: isSessionPinned(session) };
    }

    private send(call: Call, state: CallState, selection: Selection): Attempt {
        const { req, service, account, route } = call;
        this.deps.selector.recordSent(selection);
        state.tried.add(selection.name);
        state.upstreamIds.push(selection.record.id);
        state.modelIndexes.push(state.modelIndex);
        this.recordSessionVersion(call, selection);
        const headers = this.deps.codec.attemptHeaders(req, {
            upstream: selection.record.id,
            deadlineMs: Math.max(1, Math.floor(this.remainingMs(call))),
            account: account?.name,
            model: route.models.at(state.modelIndex),
            priority: service.engineSlots === undefined ? undefined : account?.priority ?? route.priority,
            resumeAfter: state.splitter?.lastEventId ?? req.resumeAfter,
        });
        return this.deps.attempts.start(call, state, selection, headers);
    }

    /** Returns the final result, or undefined if the request is to be retried. */
    private handleFailure(
        call: Call,
        state: CallState,
        selection: Selection,
        failure: AttemptFailure,
    ): CallResult | undefined {
        if (failure.nextModelIndex !== undefined) {
            state.modelIndex = failure.nextModelIndex;
            state.possibleRuns++;
            state.tried.delete(selection.name);
            return undefined;
        }
        state.lastFailure = failure.message;
        state.possibleRuns += failure.mayHaveRun ? 1 : 0;
        if (failure.isErrorResponse) {
            this.recordOutcome(call, selection, true, undefined);
        }
        const isExhausted = this.remainingMs(call) <= MIN_ATTEMPT_MS || state.upstreamIds.length >= MAX_SENT_ATTEMPTS;
        if (isExhausted || !this.mayRetry(call, state, failure)) {
            return this.sendFinalFailure(call, state, failureOf(failure.message));
        }
        const hasBudget = !failure.wasSent || this.deps.budget.tryWithdraw(call.service.name);
        return hasBudget
            ? undefined
            : this.sendFinalFailure(call, state, failureOf(`${failure.message}; no repeats are left`));
    }

    private mayRetry(call: Call, state: CallState, failure: AttemptFailure): boolean {
        const { route, keys } = call;
        if (!failure.mayHaveRun) {
            return true;
        }
        const isRetryable = route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
        const hasResumePoint = !call.reply.hasBegun || state.splitter?.lastEventId !== undefined;
        const isNotQuarantined = !this.deps.isQuarantined(keys);
        return isRetryable && hasResumePoint && isNotQuarantined && state.possibleRuns < route.maxAttempts;
    }

    /** Ends a request that failed: breaks off a begun response, relays the 5xx response, or sends an error. */
    private sendFinalFailure(call: Call, state: CallState, { reason, retryAfterMs }: FinalFailure): CallResult {
        const { reply, req } = call;
        const { codec } = this.deps;
        if (reply.hasBegun) {
            reply.abort();
            return { outcome: "brokenOff", status: 0, reason };
        }
        if (state.errorResponse !== undefined) {
            const { head, body } = state.errorResponse;
            reply.send(head.status, head.headers, body);
            return { outcome: "failed", status: head.status, reason };
        }
        if (state.possibleRuns === 0) {
            reply.sendError(503, codec.refusalHeaders(req, retryAfterMs), `${reason}; the request has not run`);
            return { outcome: "refused", status: 503, reason };
        }
        const status = this.remainingMs(call) <= MIN_ATTEMPT_MS ? 504 : 502;
        reply.sendError(
            status,
            codec.refusalHeaders(req, undefined),
            `${reason}; whether the request ran is not known`,
        );
        return { outcome: "failed", status, reason };
    }

    /** Records the version that the request's session uses, when an attempt is sent and when it has succeeded. */
    private recordSessionVersion({ req, service }: Call, selection: Selection): void {
        if (req.session !== undefined) {
            this.deps.sessions.record(req.session, service.name, selection.record.version);
        }
    }

    /** Counts a response for the evaluation of versions; `latencyMs` is undefined for a failure. */
    public recordOutcome(call: Call, selection: Selection, isFailure: boolean, latencyMs: number | undefined): void {
        const { service, route } = call;
        this.deps.outcomes.record(service.name, selection.record.version, route.name, isFailure, latencyMs);
    }

    private remainingMs(call: Call): number {
        return call.deadlineAt - this.deps.clock.monotonic();
    }
}

const failureOf = (reason: string, retryAfterMs = RETRY_AFTER_MS): FinalFailure => ({ reason, retryAfterMs });
