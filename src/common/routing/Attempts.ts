/**
 * Sends a request to one upstream after another until one has answered. A request is only sent again if it is
 * idempotent or certainly did not run; retries stay within the deadline and a retry budget.
 */
import { isRouterError, type RouterError, routerError, toRouterError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type VersionOutcome } from "../policy/RolloutMonitor.ts";
import { type Admission, type SuspectRequests } from "../policy/SuspectRequests.ts";
import { type Clock } from "../time/Clock.ts";
import { type Target } from "../upstreams/Upstream.ts";
import { type Upstream, type UpstreamLoss, type UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { type UpstreamRelay } from "../upstreams/UpstreamRelay.ts";
import { type Assignment, type Dispatcher, type Job } from "./Dispatcher.ts";
import { RetryBudget } from "./RetryBudget.ts";

/**
 * Time after a failed connection at which idempotent requests in flight on that upstream are aborted, in ms, unless it
 * has answered a request meanwhile.
 */
const ABORT_DELAY_MS = 500;
/** Maximum number of attempts of one request. */
const MAX_ATTEMPTS = 3;

/** The request for which attempts are made. */
export interface AttemptRequest {
    readonly id: string;
    readonly account: { readonly name: string; readonly weight: number; };
    readonly priority: number;
    /** Monotonic time by which the answer must be complete, in ms. */
    readonly deadline: number;
    /** Aborted when the caller disconnects or the deadline passes. */
    readonly signal: AbortSignal;
    readonly isDeadlinePassed: boolean;
}

/** What the request runs, at which cost, and whether it may be repeated. */
export interface Work {
    readonly target: Target;
    /** Expected cost in tokens. */
    readonly cost: number;
    /** Hashes of the prompt's prefix blocks, in order. */
    readonly prefixes: readonly string[];
    /** Time to process the whole prompt with an empty cache, in ms. */
    readonly prefillMs: number;
    /** Whether the request may run more than once. */
    readonly isIdempotent: boolean;
    /** Equal for requests of the same account with the same content. */
    readonly fingerprint: string;
}

/** Aborts one attempt, on its own or when its request is aborted. */
class AttemptController extends AbortController {
    private readonly onParentAbort = (): void => this.abort();

    public constructor(parent: AbortSignal) {
        super();
        if (parent.aborted) {
            this.abort();
        }
        parent.addEventListener("abort", this.onParentAbort);
    }

    public detach(parent: AbortSignal): void {
        parent.removeEventListener("abort", this.onParentAbort);
    }
}

/** An attempt that has been assigned to an upstream. */
export interface Attempt {
    readonly id: string;
    readonly assignment: Assignment;
    /** Aborted with the request and, if the request is idempotent, also when its upstream is lost. */
    readonly signal: AbortSignal;
}

/** Callbacks for the progress of attempts. */
export interface AttemptObserver {
    /** The attempt is about to be sent. */
    readonly onDispatch: (ctx: AttemptRequest, attempt: Attempt) => void;
    /** An attempt ended with a result that counts for or against the target. */
    readonly onOutcome: (target: Target, outcome: VersionOutcome) => void;
    /** The attempt failed; `isRetried` tells whether another one follows. */
    readonly onFailure: (ctx: AttemptRequest, attempt: Attempt, err: RouterError, isRetried: boolean) => void;
}

/** Dependencies of the attempts. */
export interface AttemptDependencies {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    readonly relay: UpstreamRelay;
    readonly dispatcher: Dispatcher;
    readonly suspects: SuspectRequests;
}

/** Runs the attempts of requests. */
export class Attempts extends DisposableOwner {
    private readonly clock: Clock;
    private readonly deps: AttemptDependencies;
    private readonly dispatcher: Dispatcher;
    private readonly suspects: SuspectRequests;
    private readonly observer: AttemptObserver;
    private readonly budgets = new Map<Target, RetryBudget>();
    /** Attempts of idempotent requests in flight, which are aborted when their upstream is lost. */
    private readonly repeatableAttempts = new Map<Upstream, Set<AbortController>>();

    public constructor(deps: AttemptDependencies, observer: AttemptObserver) {
        super();
        this.deps = deps;
        this.clock = deps.clock;
        this.dispatcher = deps.dispatcher;
        this.suspects = deps.suspects;
        this.observer = observer;
        this.register(deps.registry.onLost(loss => this.onLost(loss)));
    }

    /**
     * Calls `send` for each attempt until it resolves. Nothing is retried after `hasResponseStarted` returns true,
     * which means that bytes were passed to the caller.
     */
    public async run<T>(
        ctx: AttemptRequest,
        work: Work,
        send: (attempt: Attempt) => Promise<T>,
        hasResponseStarted: () => boolean,
    ): Promise<T> {
        const budget = this.budgetOf(work.target);
        budget.onRequest();
        const excluded = new Set<string>();
        // Once an attempt may have run, a later refusal must not be reported as "not run".
        let mayHaveRun = false;
        for (let number = 1;; number++) {
            const admission = await this.admit(ctx, work, mayHaveRun);
            const assignment = await this.acquire(ctx, work, excluded, mayHaveRun, admission);
            const controller = this.openController(ctx, work, assignment);
            const attempt: Attempt = { id: `${ctx.id}-${number}`, assignment, signal: controller.signal };
            try {
                const result = await this.attempt(ctx, work, attempt, send);
                admission.end(true);
                return result;
            }
            catch (err) {
                const failure = toRouterError(err, failureOf(attempt));
                await this.reportBrokenConnection(work, attempt, failure);
                admission.end(false);
                mayHaveRun ||= failure.run !== "not_run";
                const isRepeatable = (work.isIdempotent || !mayHaveRun) && !hasResponseStarted() && !ctx.signal.aborted;
                const isRetried = isRepeatable && isRetriable(failure) && number < MAX_ATTEMPTS && budget.tryWithdraw();
                this.observer.onFailure(ctx, attempt, failure, isRetried);
                if (!isRetried) {
                    throw toReportedError(ctx, failure, mayHaveRun);
                }
                this.exclude(excluded, assignment.upstream, failure);
            }
            finally {
                this.closeController(ctx, assignment, controller);
            }
        }
    }

    /** A connection that does not open may mean a partition, so the upstream's whole failure domain is excluded. */
    private exclude(excluded: Set<string>, upstream: Upstream, failure: RouterError): void {
        excluded.add(upstream.announcement.id);
        if (failure.step !== CONNECT_STEP) {
            return;
        }
        for (const other of this.deps.registry.all()) {
            if (other.announcement.domain === upstream.announcement.domain) {
                excluded.add(other.announcement.id);
            }
        }
    }

    private openController(ctx: AttemptRequest, work: Work, { upstream }: Assignment): AttemptController {
        const controller = new AttemptController(ctx.signal);
        if (work.isIdempotent) {
            const others = this.repeatableAttempts.get(upstream) ?? new Set();
            this.repeatableAttempts.set(upstream, others.add(controller));
        }
        return controller;
    }

    private closeController(ctx: AttemptRequest, { upstream }: Assignment, controller: AttemptController): void {
        controller.detach(ctx.signal);
        const others = this.repeatableAttempts.get(upstream);
        if (others?.delete(controller) === true && others.size === 0) {
            this.repeatableAttempts.delete(upstream);
        }
    }

    /** An upstream that leaves finishes its requests; one that expired or restarted will not answer them. */
    private onLost({ upstream, reason }: UpstreamLoss): void {
        if (reason !== "left") {
            this.abortRepeatable(upstream);
        }
    }

    private abortRepeatable(upstream: Upstream): void {
        this.repeatableAttempts.get(upstream)?.forEach(controller => controller.abort());
    }

    private async admit(ctx: AttemptRequest, work: Work, mayHaveRun: boolean): Promise<Admission> {
        try {
            return await this.suspects.admit(work.fingerprint, ctx.id, work.target, ctx.deadline);
        }
        catch (err) {
            throw toReportedError(ctx, toRouterError(err, { code: "internal", step: "admit request" }), mayHaveRun);
        }
    }

    /** A connection that broke while the request was in flight may mean that the request crashed the upstream. */
    private async reportBrokenConnection(work: Work, attempt: Attempt, failure: RouterError): Promise<void> {
        if (failure.isBroken) {
            await this.suspects.onConnectionBroken(work.fingerprint, attempt.assignment.upstream);
        }
    }

    /**
     * Blocks new requests to the upstream, before the slot is released: the process may have ended, or a cold one may
     * have replaced it.
     */
    private markUnconfirmedAfter(failure: unknown, upstream: Upstream): void {
        if (!isRouterError(failure) || upstream.unconfirmedUntil > 0) {
            return;
        }
        if (failure.isBroken) {
            this.deps.relay.markUnconfirmed(upstream);
        }
        else if (failure.step === CONNECT_STEP) {
            this.deps.registry.markUnconfirmed(upstream);
            this.clock.schedule(ABORT_DELAY_MS, () => this.abortUnconfirmed(upstream));
        }
    }

    /** Without an answer since the connection failed, a partition is assumed to cut off requests in flight as well. */
    private abortUnconfirmed(upstream: Upstream): void {
        if (upstream.unconfirmedUntil > 0) {
            this.abortRepeatable(upstream);
        }
    }

    private async acquire(
        ctx: AttemptRequest,
        work: Work,
        excluded: ReadonlySet<string>,
        mayHaveRun: boolean,
        admission: Admission,
    ): Promise<Assignment> {
        const job: Job = {
            id: ctx.id,
            target: work.target,
            account: ctx.account.name,
            weight: ctx.account.weight,
            priority: ctx.priority,
            cost: work.cost,
            deadline: ctx.deadline,
            prefixes: work.prefixes,
            prefillMs: work.prefillMs,
            excludedUpstreams: excluded,
            requiredUpstream: admission.onlyUpstream,
        };
        try {
            return await this.dispatcher.acquire(job, ctx.signal);
        }
        catch (err) {
            admission.end(false);
            throw toReportedError(ctx, toRouterError(err, { code: "internal", step: "assign upstream" }), mayHaveRun);
        }
    }

    private async attempt<T>(
        ctx: AttemptRequest,
        work: Work,
        attempt: Attempt,
        send: (attempt: Attempt) => Promise<T>,
    ): Promise<T> {
        const startedAt = this.clock.monotonic();
        let isUpstreamFault = false;
        try {
            this.observer.onDispatch(ctx, attempt);
            const result = await send(attempt);
            this.confirmAfterAnswer(attempt);
            this.observer.onOutcome(work.target, { isError: false, durationMs: this.clock.monotonic() - startedAt });
            return result;
        }
        catch (err) {
            this.markUnconfirmedAfter(err, attempt.assignment.upstream);
            isUpstreamFault = !ctx.signal.aborted;
            if (isUpstreamFault && isVersionFault(err)) {
                this.observer.onOutcome(work.target, { isError: true, durationMs: this.clock.monotonic() - startedAt });
            }
            throw err;
        }
        finally {
            attempt.assignment.release({ durationMs: this.clock.monotonic() - startedAt, isUpstreamFault });
        }
    }

    private confirmAfterAnswer({ assignment: { upstream } }: Attempt): void {
        if (upstream.unconfirmedUntil > 0) {
            this.deps.registry.confirmAlive(upstream);
        }
    }

    private budgetOf(target: Target): RetryBudget {
        let budget = this.budgets.get(target);
        if (budget === undefined) {
            budget = new RetryBudget();
            this.budgets.set(target, budget);
        }
        return budget;
    }
}

/** Whether an error counts against the version. A connection that did not open, or that broke, does not. */
const isVersionFault = (err: unknown): boolean => isRouterError(err) && err.run !== "not_run" && !err.isBroken;

/** The `step` of an error when the connection to an upstream could not be opened. */
export const CONNECT_STEP = "connect to upstream";

const failureOf = (attempt: Attempt): { code: "upstreamFailed"; run: "unknown"; step: string; peer: string; } => ({
    code: "upstreamFailed",
    run: "unknown",
    step: "relay answer",
    peer: attempt.assignment.upstream.announcement.id,
});

const isRetriable = (err: RouterError): boolean =>
    err.code === "upstreamFailed" || err.code === "answerMismatch" || err.code === "overloaded";

/** Reports `deadlineExceeded` once the deadline has passed, and never "not run" for a request that may have run. */
const toReportedError = (ctx: AttemptRequest, err: RouterError, mayHaveRun: boolean): RouterError => {
    const run = mayHaveRun && err.run === "not_run" ? "unknown" : err.run;
    if (!ctx.isDeadlinePassed) {
        return run === err.run ? err : routerError(err.message, { ...errorFields(err), run, cause: err });
    }
    const message = "the deadline passed before the answer was complete";
    return routerError(message, { ...errorFields(err), code: "deadlineExceeded", run, cause: err });
};

/** The fields of an error that the reported error keeps. */
const errorFields = (
    err: RouterError,
): { code: RouterError["code"]; step: string; peer?: string; retryAfterMs?: number; } => ({
    code: err.code,
    step: err.step,
    ...(err.peer === undefined ? {} : { peer: err.peer }),
    ...(err.retryAfterMs === undefined ? {} : { retryAfterMs: err.retryAfterMs }),
});
