/**
 * Runs a request on one upstream after another until one has answered. Only work that may be repeated, or
 * that provably did not run, is sent a second time; retries stay within the deadline and a budget.
 */
import { type RouterError, routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { type Assignment, type Dispatcher, type Job } from "../../common/routing/Dispatcher.ts";
import { RetryBudget } from "../../common/routing/RetryBudget.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Target } from "../../common/upstreams/Upstream.ts";
import { type Admission, type Suspects } from "../policy/Suspects.ts";

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

/** An attempt that has a place on an upstream. */
export interface Attempt {
    readonly id: string;
    readonly assignment: Assignment;
}

/** What an attempt needs of its surroundings. */
export interface AttemptEvents {
    /** The attempt is about to be sent. */
    readonly onDispatch: (ctx: AttemptRequest, attempt: Attempt) => void;
    /** The attempt failed, and whether another follows. */
    readonly onFailure: (ctx: AttemptRequest, attempt: Attempt, err: RouterError, isRetried: boolean) => void;
}

/** Runs attempts. */
export class Attempts {
    private readonly clock: Clock;
    private readonly dispatcher: Dispatcher;
    private readonly suspects: Suspects;
    private readonly events: AttemptEvents;
    private readonly budgets = new Map<Target, RetryBudget>();

    public constructor(clock: Clock, dispatcher: Dispatcher, suspects: Suspects, events: AttemptEvents) {
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.suspects = suspects;
        this.events = events;
    }

    /**
     * Calls `send` for each attempt until it resolves. When it rejects after bytes were passed to the
     * caller, `hasBegun` returns true and nothing is retried.
     */
    public async run<T>(
        ctx: AttemptRequest,
        work: Work,
        send: (attempt: Attempt) => Promise<T>,
        hasBegun: () => boolean,
    ): Promise<T> {
        const budget = this.budgetOf(work.target);
        budget.onRequest();
        const excluded = new Set<string>();
        // Once an attempt may have run, a later refusal must not claim that the request did not.
        let mayHaveRun = false;
        for (let number = 1;; number++) {
            const admission = await this.admit(ctx, work, mayHaveRun);
            const assignment = await this.acquire(ctx, work, excluded, mayHaveRun, admission);
            const attempt: Attempt = { id: `${ctx.id}-${number}`, assignment };
            try {
                const result = await this.attempt(ctx, attempt, send);
                admission.end(true);
                return result;
            }
            catch (err) {
                const failure = toRouterError(err, failureOf(attempt));
                await this.noteBreak(work, attempt, failure);
                admission.end(false);
                mayHaveRun ||= failure.run !== "not_run";
                const isRepeatable = (work.isIdempotent || !mayHaveRun) && !hasBegun() && !ctx.signal.aborted;
                const isRetried = isRepeatable && isRetriable(failure) && number < MAX_ATTEMPTS && budget.tryTake();
                this.events.onFailure(ctx, attempt, failure, isRetried);
                if (!isRetried) {
                    throw withTruth(ctx, failure, mayHaveRun);
                }
                excluded.add(assignment.upstream.announcement.id);
            }
        }
    }

    private async admit(ctx: AttemptRequest, work: Work, mayHaveRun: boolean): Promise<Admission> {
        try {
            return await this.suspects.admit(work.fingerprint, ctx.id, work.target, ctx.deadline);
        }
        catch (err) {
            throw withTruth(ctx, toRouterError(err, { code: "internal", step: "admit request" }), mayHaveRun);
        }
    }

    /** A connection that broke under a request may mean that the request crashed the upstream. */
    private async noteBreak(work: Work, attempt: Attempt, failure: RouterError): Promise<void> {
        if (failure.code === "upstreamFailed" && failure.isBroken) {
            await this.suspects.onBroken(work.fingerprint, attempt.assignment.upstream);
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
            excluded,
            only: admission.only,
        };
        try {
            return await this.dispatcher.acquire(job, ctx.signal);
        }
        catch (err) {
            admission.end(false);
            throw withTruth(ctx, toRouterError(err, { code: "internal", step: "find a place" }), mayHaveRun);
        }
    }

    private async attempt<T>(
        ctx: AttemptRequest,
        attempt: Attempt,
        send: (attempt: Attempt) => Promise<T>,
    ): Promise<T> {
        const startedAt = this.clock.monotonic();
        let isUpstreamFault = false;
        try {
            this.events.onDispatch(ctx, attempt);
            return await send(attempt);
        }
        catch (err) {
            isUpstreamFault = !ctx.signal.aborted;
            throw err;
        }
        finally {
            attempt.assignment.release({ durationMs: this.clock.monotonic() - startedAt, isUpstreamFault });
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

const failureOf = (attempt: Attempt): { code: "upstreamFailed"; run: "unknown"; step: string; peer: string; } => ({
    code: "upstreamFailed",
    run: "unknown",
    step: "relay answer",
    peer: attempt.assignment.upstream.announcement.id,
});

const isRetriable = (err: RouterError): boolean =>
    err.code === "upstreamFailed" || err.code === "answerMismatch" || err.code === "overloaded";

/** Says "deadline exceeded" for what the deadline ended, and never "not run" for what may have run. */
const withTruth = (ctx: AttemptRequest, err: RouterError, mayHaveRun: boolean): RouterError => {
    const run = mayHaveRun && err.run === "not_run" ? "unknown" : err.run;
    if (!ctx.isDeadlinePassed) {
        return run === err.run ? err : routerError(err.message, { ...pick(err), run, cause: err });
    }
    const message = "the deadline passed before the answer was complete";
    return routerError(message, { ...pick(err), code: "deadlineExceeded", run, cause: err });
};

const pick = (
    err: RouterError,
): { code: RouterError["code"]; step: string; peer?: string; retryAfterMs?: number; } => ({
    code: err.code,
    step: err.step,
    ...(err.peer === undefined ? {} : { peer: err.peer }),
    ...(err.retryAfterMs === undefined ? {} : { retryAfterMs: err.retryAfterMs }),
});
