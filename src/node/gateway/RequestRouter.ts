/**
 * Takes one admitted request to its answer: picks an upstream, sends the attempt, and decides after a failure whether
 * the request may be sent again. A request that may run only once is repeated only with a proof that it has not run.
 */
import { type EventSplitter } from "../../common/gateway/EventSplitter.ts";
import { type CallerRequest, type ExchangeCodec, type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { type Fleet } from "../../common/gateway/FleetState.ts";
import { type Account, type Route, type Service } from "../../common/gateway/GatewayConfig.ts";
import { type OutcomeCounters } from "../../common/gateway/OutcomeCounters.ts";
import { type ServiceRetryBudget } from "../../common/gateway/ServiceRetryBudget.ts";
import { type SessionVersions } from "../../common/gateway/SessionVersions.ts";
import { type Selection, type UpstreamSelector } from "../../common/gateway/UpstreamSelector.ts";
import { type SessionHistory, versionRule } from "../../common/gateway/VersionRule.ts";
import { type Clock, sleep } from "../../common/time/Clock.ts";
import { type CallerReply } from "./CallerReply.ts";
import { type Attempt, type AttemptFailure, type UpstreamAttempts } from "./UpstreamAttempts.ts";

/** Part of its objective for which a request waits for an upstream before it is refused. */
const WAIT_PART = 1 / 8;
/** How often a waiting request looks again, in ms. */
const WAIT_STEP_MS = 20;
/** When a refused caller may come back, in ms: upstreams that come back check in about once a second. */
const RETRY_AFTER_MS = 600;
/** Most upstreams that are asked for one request, those that did not run it included. */
const MAX_SENDS = 5;
/** Least time that an attempt is sent with, in ms. */
const MIN_ATTEMPT_MS = 10;

/** An admitted request. */
export interface Call {
    readonly req: CallerRequest;
    readonly route: Route;
    readonly service: Service;
    readonly account: Account | undefined;
    readonly body: Buffer | undefined;
    /** Names the request by its content, over repeats by its caller. */
    readonly fingerprint: () => string;
    /** Monotonic time at which its head had arrived, in ms. */
    readonly arrivedAt: number;
    /** Monotonic time by which it must have its final answer, in ms. */
    readonly deadlineAt: number;
    readonly reply: CallerReply;
}

/** How a request ended, for the log. */
export interface CallResult {
    readonly outcome: "served" | "failed" | "refused" | "brokenOff" | "callerLeft";
    readonly status: number;
    readonly reason: string;
}

/** What a router works with. */
export interface RequestRouterDependencies {
    readonly clock: Clock;
    readonly codec: ExchangeCodec;
    readonly selector: UpstreamSelector;
    readonly attempts: UpstreamAttempts;
    readonly budget: ServiceRetryBudget;
    readonly sessions: SessionVersions;
    readonly outcomes: OutcomeCounters;
    readonly fleet: () => Fleet;
    /** Whether this instance may still claim that its configuration is in force. */
    readonly hasLease: () => boolean;
    readonly isQuarantined: (fingerprint: () => string) => boolean;
    /** Whether another entry instance keeps the session on its version. */
    readonly isSessionHeld: (session: string) => boolean;
}

/** Progress of one request. */
export interface CallState {
    readonly tried: Set<string>;
    /** Upstreams that may have run the request. */
    possibleRuns: number;
    /** Index among the route's models. */
    modelIndex: number;
    /** Confidence of the newest answer in itself, 0 to 100. */
    confidence: number | undefined;
    /** Why a doubtful answer was kept, if not for the time that another one would take. */
    keptFor: string | undefined;
    /** Whether a stream has begun. */
    splitter: EventSplitter | undefined;
    /** The newest answer with which an upstream reported a failure. */
    errorResponse: { readonly head: ResponseHead; readonly body: Buffer; } | undefined;
    lastFailure: string;
    /** Upstreams in the order in which they were asked. */
    readonly upstreamIds: string[];
    /** Models in the same order, by their index among the route's. */
    readonly modelIndexes: number[];
    /** Time from the arrival of the request to its first event, in ms. */
    firstEventMs: number | undefined;
    /** Monotonic time of the newest event, in ms. */
    lastEventAt: number;
    /** Longest pause between two events, in ms. */
    longestPauseMs: number;
}

/** Routes requests. */
export class RequestRouter {
    private readonly deps: RequestRouterDependencies;

    public constructor(parts: RequestRouterDependencies) {
        this.deps = parts;
    }

    /** Resolves when the caller has its final answer, or has left. */
    public async route(call: Call, state: CallState): Promise<CallResult> {
        while (!call.reply.isCallerGone) {
            const selection = await this.select(call, state);
            if (call.reply.isCallerGone) {
                break;
            }
            if (selection === undefined) {
                const reason = this.deps.hasLease() ? "no upstream may take the request" : "cut off from control";
                return this.sendFinalFailure(call, state, reason);
            }
            const attempt = this.send(call, state, selection);
            const result = await attempt.run();
            if (result === undefined) {
                this.recordSessionVersion(call, selection);
                return { outcome: "served", status: 200, reason: "" };
            }
            if (call.reply.isCallerGone) {
                break;
            }
            const ended = this.afterFailure(call, state, selection, result);
            if (ended !== undefined) {
                return ended;
            }
        }
        return { outcome: "callerLeft", status: 0, reason: "the caller has left" };
    }

    /** Picks an upstream, and waits a little for one when none may take the request now. */
    private async select(call: Call, state: CallState): Promise<Selection | undefined> {
        const { clock, selector, fleet, hasLease: isLeased } = this.deps;
        const { service, req, route } = call;
        const waitUntil = clock.monotonic() + route.objectiveMs * WAIT_PART;
        while (!call.reply.isCallerGone && this.remainingMs(call) > MIN_ATTEMPT_MS && isLeased()) {
            const key = req.session ?? req.id;
            const rule = versionRule(fleet(), service.name, key, this.sessionHistoryOf(req.session, service));
            const selection = selector.select({
                service,
                rule,
                prompt: req.prompt,
                key: req.id,
                tried: state.tried,
            });
            if (selection !== undefined) {
                return selection;
            }
            if (clock.monotonic() >= waitUntil) {
                return undefined;
            }
            await sleep(clock, WAIT_STEP_MS);
        }
        return undefined;
    }

    private sessionHistoryOf(session: string | undefined, service: Service): SessionHistory {
        const { sessions, isSessionHeld } = this.deps;
        return session === undefined
            ? { lastVersion: undefined, isHeld: false }
            : { lastVersion: sessions.get(session, service.name), isHeld: isSessionHeld(session) };
    }

    private send(call: Call, state: CallState, selection: Selection): Attempt {
        const { req, service, account, route } = call;
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

    private afterFailure(
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
        const isOver = this.remainingMs(call) <= MIN_ATTEMPT_MS || state.upstreamIds.length >= MAX_SENDS;
        if (isOver || !this.mayRepeat(call, state, failure)) {
            return this.sendFinalFailure(call, state, failure.message);
        }
        const isBudgetLeft = !failure.wasSent || this.deps.budget.tryWithdraw(call.service.name);
        return isBudgetLeft ? undefined : this.sendFinalFailure(call, state, `${failure.message}; no repeats are left`);
    }

    private mayRepeat(call: Call, state: CallState, failure: AttemptFailure): boolean {
        const { route, fingerprint } = call;
        if (!failure.mayHaveRun) {
            return true;
        }
        const isRepeatable = route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
        const hasResumePoint = !call.reply.hasBegun || state.splitter?.lastEventId !== undefined;
        const isFree = !this.deps.isQuarantined(fingerprint);
        return isRepeatable && hasResumePoint && isFree && state.possibleRuns < route.maxAttempts;
    }

    /** The final answer of a request that no upstream answered well. */
    private sendFinalFailure(call: Call, state: CallState, reason: string): CallResult {
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
            reply.sendError(503, codec.refusalHeaders(req, RETRY_AFTER_MS), `${reason}; the request has not run`);
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

    /** Notes the version on which the request's session begins, or has just ended, a run. */
    private recordSessionVersion({ req, service }: Call, selection: Selection): void {
        if (req.session !== undefined) {
            this.deps.sessions.record(req.session, service.name, selection.record.version);
        }
    }

    /** Counts an answer for the verdict on versions. */
    public recordOutcome(call: Call, selection: Selection, isFailure: boolean, latencyMs: number | undefined): void {
        const { service, route } = call;
        this.deps.outcomes.record(service.name, selection.record.version, route.name, isFailure, latencyMs);
    }

    private remainingMs(call: Call): number {
        return call.deadlineAt - this.deps.clock.monotonic();
    }
}
