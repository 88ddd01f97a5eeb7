/**
 * Routes one admitted request until its caller has a response: picks an upstream, sends the attempt, and decides after
 * a failure whether to retry. A request that must not run twice is retried only if it certainly has not run. While an
 * attempt makes no progress, a backup attempt is sent beside it if there is a target for one.
 */
import { type CallKeys } from "../../common/gateway/CallKeys.ts";
import { type ExchangeCodec, type UpstreamLoad } from "../../common/gateway/ExchangeCodec.ts";
import { isRepeatable } from "../../common/gateway/GatewayConfig.ts";
import { type ServiceRetryBudget } from "../../common/gateway/ServiceRetryBudget.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type AttemptFailure } from "./AttemptEnd.ts";
import { type EndedAttempt } from "./AttemptGroup.ts";
import {
    type AttemptTarget,
    AttemptTargets,
    type AttemptTargetsDependencies,
    MIN_ATTEMPT_MS,
} from "./AttemptTargets.ts";
import {
    type Call,
    type CallResult,
    type CallState,
    type FailureCause,
    type FinalFailure,
    hasRunsLeft,
    QUARANTINED,
    remainingMs,
} from "./Call.ts";
import { type CallOutcomes } from "./CallOutcomes.ts";
import { type UpstreamAttempts } from "./UpstreamAttempts.ts";
import { RETRY_AFTER_MS } from "./UpstreamObstacles.ts";

/** Most attempts for one request; unlike the route's `maxAttempts`, it includes those that did not run it. */
const MAX_SENT_ATTEMPTS = 5;
/** Of these, how many are left to attempts that follow a failed one. */
const RESERVED_ATTEMPTS = 2;
/** Pause between two searches for the target of a backup attempt, in ms. */
const BACKUP_PAUSE_MS = 200;

/** How long an answer is held while a target for a larger model is looked for, as a fraction of the latency objective. */
const REPLACEMENT_FRACTION = 1 / 4;

/** Dependencies of the router. */
export interface RequestRouterDependencies extends AttemptTargetsDependencies {
    readonly codec: ExchangeCodec;
    readonly attempts: UpstreamAttempts;
    readonly budget: ServiceRetryBudget;
    readonly outcomes: CallOutcomes;
    readonly isQuarantined: (keys: CallKeys) => boolean;
}

/** Routes the requests of one instance. */
export class RequestRouter extends DisposableOwner {
    private readonly deps: RequestRouterDependencies;
    private readonly targets: AttemptTargets;

    public constructor(deps: RequestRouterDependencies) {
        super();
        this.deps = deps;
        this.targets = this.register(new AttemptTargets(deps));
    }

    /** To be called when an upstream of the service has arrived or may have become usable. */
    public wake(service: string): void {
        this.targets.wake(service);
    }

    /** Records the load that an upstream of the service reports in a response; undefined if it reports none. */
    public recordLoad(service: string, load: UpstreamLoad | undefined): void {
        if (load !== undefined) {
            this.targets.recordLoad(service, load);
        }
    }

    /** Resolves when the response is complete or broken off, or when the caller has disconnected. */
    public async route(call: Call, state: CallState): Promise<CallResult> {
        this.targets.recordArrival(call);
        const { attempts } = state;
        try {
            while (!call.reply.isCallerGone) {
                const ended = attempts.takeEnded();
                if (ended !== undefined) {
                    const result = this.handleEnd(call, state, ended);
                    if (result !== undefined) {
                        return result;
                    }
                }
                else if (attempts.size > 0) {
                    void this.startBackup(call, state);
                    void this.startReplacement(call, state);
                    await attempts.waitForChange();
                }
                else {
                    const failure = await this.startAttempt(call, state);
                    if (failure !== undefined && !this.returnToSmallestModel(call, state)) {
                        return this.sendFinalFailure(call, state, failure);
                    }
                }
            }
            return callerLeftResult;
        }
        finally {
            attempts.close();
        }
    }

    /** Sends an attempt when a target has been found; resolves with the reason if none can be sent. */
    private async startAttempt(call: Call, state: CallState): Promise<FinalFailure | undefined> {
        const target = await this.targets.select(call, state);
        if ("reason" in target) {
            return call.reply.isCallerGone ? undefined : target;
        }
        const isQuarantined = this.deps.isQuarantined(call.keys);
        if (isQuarantined || call.reply.isCallerGone) {
            target.reservation.end("complete");
            return isQuarantined
                ? { reason: QUARANTINED, cause: "quarantined", retryAfterMs: undefined }
                : undefined;
        }
        this.send(call, state, target);
        return undefined;
    }

    /** Sends a backup attempt if none of the attempts makes progress and there is a target for it. */
    private async startBackup(call: Call, state: CallState): Promise<void> {
        const { clock, budget, metrics } = this.deps;
        const { attempts } = state;
        const service = call.service.name;
        const isPossible = attempts.haveStalled && clock.monotonic() >= state.backupNotBefore
            && state.upstreamIds.length < MAX_SENT_ATTEMPTS - RESERVED_ATTEMPTS && this.mayRunAgain(call, state)
            && budget.tryWithdrawSpare(service);
        if (!isPossible) {
            return;
        }
        state.backupNotBefore = Infinity;
        const search = new AbortController();
        const progress = attempts.onChanged(() => {
            if (!attempts.haveStalled) {
                search.abort();
            }
        });
        const isSent = await this.sendBeside(call, state, search.signal, () => this.mayRunAgain(call, state));
        if (isSent) {
            metrics.countBackup(service);
        }
        else {
            budget.putBack(service);
        }
        progress.dispose();
        state.backupNotBefore = clock.monotonic() + BACKUP_PAUSE_MS;
    }

    /** Sends the request to the larger model that an attempt asks for. Without a target for it, the attempt's answer is kept. */
    private async startReplacement(call: Call, state: CallState): Promise<void> {
        const { clock, budget, metrics } = this.deps;
        const { route, service } = call;
        const { modelIndex } = state;
        const wanted = state.attempts.takeWantedReplacement();
        if (wanted === undefined) {
            return;
        }
        const search = new AbortController();
        const limit = clock.schedule(route.objectiveMs * REPLACEMENT_FRACTION, () => search.abort());
        // The larger model may run on the same upstream.
        state.tried.delete(wanted.upstream);
        state.modelIndex = wanted.modelIndex;
        const isSent = await this.sendBeside(call, state, search.signal, () => !this.deps.isQuarantined(call.keys));
        if (isSent) {
            metrics.countEscalation(route.name, route.models[modelIndex] ?? "", route.models[wanted.modelIndex] ?? "");
        }
        else {
            state.tried.add(wanted.upstream);
            state.modelIndex = modelIndex;
            state.keptFor = "no upstream for a larger model";
            budget.putBack(service.name);
        }
        limit.dispose();
        wanted.settle(isSent);
    }

    /** Whether the smallest model is to be tried again, because no upstream takes the request for a larger one. */
    private returnToSmallestModel(call: Call, state: CallState): boolean {
        const isPossible = state.modelIndex > 0 && state.modelIndexes.includes(0) && !call.reply.hasBegun
            && remainingMs(call, this.deps.clock) > MIN_ATTEMPT_MS && this.mayRunAgain(call, state)
            && this.deps.budget.tryWithdraw(call.service.name);
        if (isPossible) {
            state.modelIndex = 0;
        }
        return isPossible;
    }

    /** Sends an attempt beside others if a target is found and `mayUse` agrees; resolves with whether it was sent. */
    private async sendBeside(
        call: Call,
        state: CallState,
        signal: AbortSignal,
        mayUse: () => boolean,
    ): Promise<boolean> {
        try {
            const target = await this.targets.select(call, state, signal);
            if ("reason" in target) {
                return false;
            }
            if (signal.aborted || call.reply.isCallerGone || !mayUse()) {
                target.reservation.end("complete");
                return false;
            }
            this.send(call, state, target);
            return true;
        }
        catch (err) {
            this.deps.log.error("The search for another upstream failed.", { reason: (err as Error).message });
            return false;
        }
    }

    private send(call: Call, state: CallState, target: AttemptTarget): void {
        const { selection } = target;
        const { req, service, account, route } = call;
        this.deps.selector.recordSent(selection);
        state.tried.add(selection.name);
        state.upstreamIds.push(selection.record.id);
        state.modelIndexes.push(state.modelIndex);
        if (state.attempts.size === 0) {
            this.recordSessionVersion(call, selection);
        }
        const headers = this.deps.codec.attemptHeaders(req, {
            upstream: selection.record.id,
            deadlineMs: Math.max(1, Math.floor(remainingMs(call, this.deps.clock))),
            account: account?.name,
            model: route.models.at(state.modelIndex),
            priority: service.engineSlots === undefined ? undefined : account?.priority ?? route.priority,
            resumeAfter: state.lastEventId ?? req.resumeAfter,
        });
        const attempt = this.deps.attempts.start(call, state, target, headers);
        const onError = ({ message, stack }: Error): void =>
            this.deps.log.error("An attempt failed with an internal error.", { req: req.id, reason: message, stack });
        state.attempts.run(attempt, selection, this.targets.recordSend(call, selection), onError);
    }

    /** Returns the final result, or undefined if another attempt goes on or is to be sent. */
    private handleEnd(call: Call, state: CallState, { selection, failure }: EndedAttempt): CallResult | undefined {
        if (failure === undefined) {
            this.recordSessionVersion(call, selection);
            return { outcome: "served", status: 200, reason: "" };
        }
        if (call.reply.isCallerGone) {
            return callerLeftResult;
        }
        state.lastFailure = failure.isSuperseded === true ? state.lastFailure : failure.message;
        state.possibleRuns += failure.mayHaveRun ? 1 : 0;
        if (failure.isErrorResponse) {
            this.deps.outcomes.recordResponse(call, selection, undefined);
        }
        return state.attempts.size > 0 ? undefined : this.decideRetry(call, state, failure);
    }

    /** Returns the final result, or undefined if the request is to be retried. */
    private decideRetry(call: Call, state: CallState, failure: AttemptFailure): CallResult | undefined {
        const isLate = remainingMs(call, this.deps.clock) <= MIN_ATTEMPT_MS;
        if (
            isLate || state.upstreamIds.length >= MAX_SENT_ATTEMPTS
            || (failure.mayHaveRun && !this.mayRunAgain(call, state))
        ) {
            const cause = isLate ? "deadline" : "failedAttempt";
            return this.sendFinalFailure(call, state, failureOf(failure.message, cause));
        }
        const hasBudget = !failure.wasSent || this.deps.budget.tryWithdraw(call.service.name);
        return hasBudget
            ? undefined
            : this.sendFinalFailure(call, state, failureOf(`${failure.message}; no repeats are left`, "noRepeatsLeft"));
    }

    /** Whether the request may run once more although it has run, or is running. */
    private mayRunAgain(call: Call, state: CallState): boolean {
        const { route, keys } = call;
        const hasResumePoint = !call.reply.hasBegun || state.lastEventId !== undefined;
        return isRepeatable(route) && hasResumePoint && hasRunsLeft(call, state) && !this.deps.isQuarantined(keys);
    }

    /** Ends a request that failed: breaks off a begun response, relays the 5xx response, or sends an error. */
    private sendFinalFailure(call: Call, state: CallState, failure: FinalFailure): CallResult {
        const { reason, cause = "noUpstream", retryAfterMs } = failure;
        const { reply, req, route } = call;
        const { codec, metrics } = this.deps;
        if (reply.hasBegun) {
            reply.abort();
            metrics.countBrokenOff(route.name, cause);
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
        const status = remainingMs(call, this.deps.clock) <= MIN_ATTEMPT_MS ? 504 : 502;
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
}

const callerLeftResult: CallResult = { outcome: "callerLeft", status: 0, reason: "the caller has left" };

const failureOf = (reason: string, cause: FailureCause = "noUpstream"): FinalFailure => ({
    reason,
    cause,
    retryAfterMs: RETRY_AFTER_MS,
});
