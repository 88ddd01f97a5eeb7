/**
 * Runs a request on one upstream after another until one has answered. Only work that may be repeated, or
 * that provably did not run, is sent a second time; retries stay within the deadline and a budget.
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

/** How long requests under way are waited for after a connection to their upstream did not open, in ms. */
const ABORT_DELAY_MS = 500;
/** Most attempts of one request. */
const MAX_ATTEMPTS = 3;

/** The request that the attempts are made for. */
export interface AttemptRequest {
    readonly id: string;
    readonly account: { readonly name: string; readonly weight: number; };
    readonly priority: number;
    /** Monotonic time by which the answer must be complete, in ms. */
    readonly deadline: number;
    /** Aborted when the caller goes away or the deadline passes. */
    readonly signal: AbortSignal;
    readonly isDeadlinePassed: boolean;
}

/** What is to be run, and under which rules. */
export interface Work {
    readonly target: Target;
    /** Expected cost in tokens. */
    readonly cost: number;
    readonly prefixes: readonly string[];
    readonly prefillMs: number;
    /** Whether it may run more than once. */
    readonly isIdempotent: boolean;
    /** Same for requests of the same account and content. */
    readonly fingerprint: string;
}

/** Aborts an attempt, by itself or together with its request. */
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

/** An attempt that has a place on an upstream. */
export interface Attempt {
    readonly id: string;
    readonly assignment: Assignment;
    /** Aborted with the request, and when the upstream is lost under work that may be repeated. */
    readonly signal: AbortSignal;
}

/** What an attempt needs of its surroundings. */
export interface AttemptObserver {
    /** The attempt is about to be sent. */
    readonly onDispatch: (ctx: AttemptRequest, attempt: Attempt) => void;
    /** An attempt on a target ended, in a way that says something of the target. */
    readonly onOutcome: (target: Target, outcome: VersionOutcome) => void;
    /** The attempt failed, and whether another follows. */
    readonly onFailure: (ctx: AttemptRequest, attempt: Attempt, err: RouterError, isRetried: boolean) => void;
}

/** What the attempts work with. */
export interface AttemptDependencies {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    readonly relay: UpstreamRelay;
    readonly dispatcher: Dispatcher;
    readonly suspects: SuspectRequests;
}

/** Runs attempts. */
export class Attempts extends DisposableOwner {
    private readonly clock: Clock;
    private readonly deps: AttemptDependencies;
    private readonly dispatcher: Dispatcher;
    private readonly suspects: SuspectRequests;
    private readonly events: AttemptObserver;
    private readonly budgets = new Map<Target, RetryBudget>();
    /** Attempts under way that can be given up when their upstream is lost. */
    private readonly repeatableAttempts = new Map<Upstream, Set<AbortController>>();

    public constructor(deps: AttemptDependencies, events: AttemptObserver) {
        super();
        this.deps = deps;
        this.clock = deps.clock;
        this.dispatcher = deps.dispatcher;
        this.suspects = deps.suspects;
        this.events = events;
        this.register(deps.registry.onLost(loss => this.onLost(loss)));
    }

    /**
     * Calls `send` for each attempt until it resolves. When it rejects after bytes were passed to the
     * caller, `hasBegun` returns true and nothing is retried.
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
        // Once an attempt may have run, a later refusal must not claim that the request did not.
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
                this.events.onFailure(ctx, attempt, failure, isRetried);
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

    /** An upstream that cannot be connected to may be behind a partition, with all others of its failure domain. */
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

    /** A leaving upstream finishes what it runs; on one that fell silent nothing is waited for any more. */
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

    /** A connection that broke under a request may mean that the request crashed the upstream. */
    private async reportBrokenConnection(work: Work, attempt: Attempt, failure: RouterError): Promise<void> {
        if (failure.isBroken) {
            await this.suspects.onConnectionBroken(work.fingerprint, attempt.assignment.upstream);
        }
    }

    /** Keeps new work away before the slot is free again; the process may be gone, or a cold one in its place. */
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

    /** Where no connection opens and no answer came since, requests under way are behind a partition too. */
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
            throw toReportedError(ctx, toRouterError(err, { code: "internal", step: "find a place" }), mayHaveRun);
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
            this.events.onDispatch(ctx, attempt);
            const result = await send(attempt);
            this.confirmAfterAnswer(attempt);
            this.events.onOutcome(work.target, { isError: false, durationMs: this.clock.monotonic() - startedAt });
            return result;
        }
        catch (err) {
            this.markUnconfirmedAfter(err, attempt.assignment.upstream);
            isUpstreamFault = !ctx.signal.aborted;
            if (isUpstreamFault && isVersionFault(err)) {
                this.events.onOutcome(work.target, { isError: true, durationMs: this.clock.monotonic() - startedAt });
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

/** A connection that did not open, or broke, says nothing of the version on the other side. */
const isVersionFault = (err: unknown): boolean => isRouterError(err) && err.run !== "not_run" && !err.isBroken;

/** Step at which a connection to an upstream could not be opened. */
export const CONNECT_STEP = "connect to upstream";

const failureOf = (attempt: Attempt): { code: "upstreamFailed"; run: "unknown"; step: string; peer: string; } => ({
    code: "upstreamFailed",
    run: "unknown",
    step: "relay answer",
    peer: attempt.assignment.upstream.announcement.id,
});

const isRetriable = (err: RouterError): boolean =>
    err.code === "upstreamFailed" || err.code === "answerMismatch" || err.code === "overloaded";

/** Says "deadline exceeded" for what the deadline ended, and never "not run" for what may have run. */
const toReportedError = (ctx: AttemptRequest, err: RouterError, mayHaveRun: boolean): RouterError => {
    const run = mayHaveRun && err.run === "not_run" ? "unknown" : err.run;
    if (!ctx.isDeadlinePassed) {
        return run === err.run ? err : routerError(err.message, { ...errorFields(err), run, cause: err });
    }
    const message = "the deadline passed before the answer was complete";
    return routerError(message, { ...errorFields(err), code: "deadlineExceeded", run, cause: err });
};

const errorFields = (
    err: RouterError,
): { code: RouterError["code"]; step: string; peer?: string; retryAfterMs?: number; } => ({
    code: err.code,
    step: err.step,
    ...(err.peer === undefined ? {} : { peer: err.peer }),
    ...(err.retryAfterMs === undefined ? {} : { retryAfterMs: err.retryAfterMs }),
});
