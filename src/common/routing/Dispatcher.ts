/**
 * Assigns requests to upstreams. A request gets a slot at once, waits in a queue that is fair across accounts, or is
 * refused early when it could not complete before its deadline.
 */
import { type RoutingTable } from "../configuration/RoutingTable.ts";
import { type RouterError, routerError } from "../errors/RouterError.ts";
import { type Disposable, DisposableOwner } from "../lifecycle/Disposable.ts";
import { type SlotPool, type SlotResult } from "../slots/SlotPool.ts";
import { type Clock } from "../time/Clock.ts";
import { type Target } from "../upstreams/Upstream.ts";
import { type Upstream, type UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { CircuitBreakers } from "./CircuitBreakers.ts";
import { FairQueue, type QueueEntry } from "./FairQueue.ts";
import { type PrefixIndex } from "./PrefixIndex.ts";
import { ServiceRate } from "./ServiceRate.ts";
import { type Candidate, chooseUpstream, type PlacementContext } from "./UpstreamChooser.ts";

/** Maximum number of requests that wait for one target on this instance. */
const MAX_QUEUE_LENGTH = 2000;
/** Priority of a retried request, above every priority that callers can set. */
const RETRY_PRIORITY = 10;
/** Factor on the estimated wait, which may turn out longer; a late refusal is worse than an early one. */
const WAIT_SAFETY_FACTOR = 1.15;
/** Time after which a caller may retry when no upstream is in service, in ms; the minimum for other refusals. */
const NO_UPSTREAM_RETRY_MS = 1000;

/** A request to be assigned to an upstream. */
export interface Job extends QueueEntry {
    readonly id: string;
    readonly target: Target;
    /** Monotonic time by which the answer must be complete, in ms. */
    readonly deadline: number;
    /** Hashes of the prompt's prefix blocks, in order. */
    readonly prefixes: readonly string[];
    /** Time to process the whole prompt with an empty cache, in ms. */
    readonly prefillMs: number;
    /** Ids of upstreams that were tried already, or are expected to fail like one that was. */
    readonly excludedUpstreams: ReadonlySet<string>;
    /** Id of the only upstream on which a request suspected of crashing upstreams may run. */
    readonly requiredUpstream?: string | undefined;
}

/** A slot on an upstream, assigned to a request. It must be released exactly once. */
export interface Assignment {
    readonly upstream: Upstream;
    release(result: SlotResult): void;
}

/** A job in the queue, with the callbacks that settle its promise. */
interface WaitingRequest extends Job {
    resolve(assignment: Assignment): void;
    reject(err: RouterError): void;
}

/** The queue of one target and the rate at which its requests complete. */
interface TargetState {
    readonly queue: FairQueue<WaitingRequest>;
    readonly waiting: Set<WaitingRequest>;
    readonly rate: ServiceRate;
}

/** Dependencies and settings of the dispatcher. */
export interface DispatcherDependencies {
    readonly clock: Clock;
    readonly domain: string;
    /** Extra latency of a request to another failure domain, in ms. */
    readonly otherDomainMs: number;
    readonly registry: UpstreamRegistry;
    readonly slots: SlotPool;
    readonly prefixes: PrefixIndex;
    readonly table: () => RoutingTable;
}

/** Queues requests and assigns them to upstreams. */
export class Dispatcher extends DisposableOwner {
    private readonly deps: DispatcherDependencies;
    private readonly targets = new Map<Target, TargetState>();
    private readonly breakers: CircuitBreakers;
    private rotation = 0;

    public constructor(deps: DispatcherDependencies) {
        super();
        this.deps = deps;
        this.breakers = new CircuitBreakers(deps.clock, upstream => this.dispatchForUpstream(upstream));
        this.register(deps.slots.onAvailable(upstream => this.dispatchForUpstream(upstream)));
        this.register(deps.registry.onChanged(upstream => this.dispatchForUpstream(upstream)));
        this.register(deps.registry.onLost(loss => this.onUpstreamLost(loss.upstream)));
    }

    /** Resolves with a slot on an upstream, or rejects before anything was sent to an upstream. */
    public async acquire(job: Job, signal?: AbortSignal): Promise<Assignment> {
        const state = this.stateOf(job.target);
        this.refuseIfLate(job, state);
        if (state.queue.length === 0) {
            const assignment = this.tryAssign(job);
            if (assignment !== undefined) {
                state.queue.onServed(job.account, job.weight, job.cost);
                return assignment;
            }
        }
        return this.wait(job, state, signal);
    }

    /** Whether at least one upstream may receive new requests for `target`. */
    public hasUpstreams(target: Target): boolean {
        return this.deps.registry.serving(target).some(upstream => this.isInService(upstream));
    }

    /** Number of requests that wait on this instance. */
    public get queueLength(): number {
        let total = 0;
        for (const state of this.targets.values()) {
            total += state.queue.length;
        }
        return total;
    }

    /** Charges an account for the difference between expected and actual cost, or for usage on other instances. */
    public charge(target: Target, account: string, weight: number, cost: number): void {
        this.stateOf(target).queue.charge(account, weight, cost);
    }

    /** Serves every queue again after a change of the configuration; refuses requests that no upstream may run now. */
    public reevaluateQueues(): void {
        for (const target of this.targets.keys()) {
            this.dispatchWaiting(target);
            this.refuseUnservable(target);
        }
    }

    public override dispose(): void {
        super.dispose();
        for (const state of this.targets.values()) {
            this.refuseAll(state, () => stoppingError());
        }
    }

    private wait(job: Job, state: TargetState, signal?: AbortSignal): Promise<Assignment> {
        return new Promise((resolve, reject) => {
            const disposables: Disposable[] = [];
            const settle = <T>(finish: (value: T) => void) => (value: T): void => {
                disposables.forEach(item => item.dispose());
                state.waiting.delete(waiting);
                finish(value);
            };
            const priority = job.excludedUpstreams.size > 0 ? RETRY_PRIORITY : job.priority;
            const waiting: WaitingRequest = { ...job, priority, resolve: settle(resolve), reject: settle(reject) };
            const rejectWaiting = (err: RouterError): void => {
                if (state.queue.remove(waiting)) {
                    this.signalDemand(job.target, state);
                    waiting.reject(err);
                }
            };
            // Past this point the request cannot complete in time, so it is refused then and not at its deadline.
            const latestStartInMs = job.deadline - this.deps.clock.monotonic() - state.rate.measuredMeanMs;
            disposables.push(
                this.deps.clock.schedule(Math.max(0, latestStartInMs), () => rejectWaiting(deadlineError(job))),
            );
            const onAbort = (): void => rejectWaiting(abortError(job));
            signal?.addEventListener("abort", onAbort, { once: true });
            disposables.push({ dispose: () => signal?.removeEventListener("abort", onAbort) });
            state.waiting.add(waiting);
            state.queue.enqueue(waiting);
            this.dispatchWaiting(job.target);
        });
    }

    /** Refuses at once a request that could not complete in time, so that the caller can retry elsewhere. */
    private refuseIfLate(job: Job, state: TargetState): void {
        const eligible = this.eligible(job);
        if (eligible.length === 0) {
            throw noUpstreamError(job);
        }
        // A retry was admitted before and goes to the front of its account's queue: its wait is not estimated again.
        if (state.queue.length === 0 || job.excludedUpstreams.size > 0) {
            return;
        }
        const now = this.deps.clock.monotonic();
        const slots = eligible.reduce((total, upstream) => total + this.deps.slots.obtainableSlots(upstream), 0);
        const ahead = state.queue.countAhead(job.account, job.weight, job.priority);
        const waitMs = state.rate.waitMs(ahead + 1, slots, now);
        const isLate = waitMs * WAIT_SAFETY_FACTOR + state.rate.meanMs > job.deadline - now;
        if (isLate || state.queue.length >= MAX_QUEUE_LENGTH) {
            throw overloadedError(job, waitMs);
        }
    }

    /**
     * True when the request would miss its deadline even if it started now. It is refused, since it would only take
     * the slot of one that can complete in time.
     */
    private willMissDeadline(job: Job, state: TargetState): boolean {
        return job.deadline - this.deps.clock.monotonic() < state.rate.measuredMeanMs;
    }

    private dispatchForUpstream(upstream: Upstream): void {
        for (const target of upstream.targets) {
            this.dispatchWaiting(target);
        }
    }

    private dispatchWaiting(target: Target): void {
        const state = this.targets.get(target);
        if (state === undefined || state.queue.length === 0) {
            return;
        }
        let assignment: Assignment | undefined;
        const isReady = (waiting: WaitingRequest): boolean => {
            assignment = undefined;
            if (this.willMissDeadline(waiting, state)) {
                return true;
            }
            assignment = this.tryAssign(waiting);
            return assignment !== undefined;
        };
        while (this.hasFreeSlot(target)) {
            const next = state.queue.dequeue(isReady);
            if (next === undefined) {
                break;
            }
            this.settle(next, assignment, state);
        }
        this.signalDemand(target, state);
    }

    private settle(waiting: WaitingRequest, assignment: Assignment | undefined, state: TargetState): void {
        if (assignment !== undefined) {
            waiting.resolve(assignment);
            return;
        }
        state.queue.charge(waiting.account, waiting.weight, -waiting.cost);
        waiting.reject(overloadedError(waiting, state.rate.meanMs));
    }

    private hasFreeSlot(target: Target): boolean {
        return this.deps.registry.serving(target).some(upstream => this.deps.slots.freeSlots(upstream) > 0);
    }

    private refuseUnservable(target: Target): void {
        const state = this.stateOf(target);
        for (const waiting of [...state.waiting]) {
            if (this.eligible(waiting).length === 0 && state.queue.remove(waiting)) {
                waiting.reject(noUpstreamError(waiting));
            }
        }
    }

    private signalDemand(target: Target, state: TargetState): void {
        const upstreams = this.deps.registry.serving(target).filter(upstream => this.isInService(upstream));
        const waiting = state.queue.waitingByAccount().map(item => ({
            ...item,
            count: Math.ceil(item.count / Math.max(1, upstreams.length)),
        }));
        for (const upstream of upstreams) {
            this.deps.slots.reportDemand(upstream, waiting);
        }
    }

    private tryAssign(job: Job): Assignment | undefined {
        const now = this.deps.clock.monotonic();
        const free = this.eligible(job).filter(upstream => this.isFree(upstream));
        const candidates = free.map(upstream => this.toCandidate(upstream, job));
        const { domain, otherDomainMs } = this.deps;
        const context: PlacementContext = { domain, otherDomainMs, prefillMs: job.prefillMs, now };
        const chosen = chooseUpstream(candidates, context, this.rotation++);
        if (chosen === undefined || !this.deps.slots.tryAcquire(chosen.upstream, job.deadline, job)) {
            return undefined;
        }
        this.breakers.onStart(chosen.upstream);
        return this.toAssignment(chosen.upstream, job);
    }

    private isFree(upstream: Upstream): boolean {
        if (!this.breakers.allows(upstream)) {
            return false;
        }
        return this.deps.slots.freeSlots(upstream) > 0;
    }

    private toCandidate(upstream: Upstream, job: Job): Candidate {
        const { slots, prefixes } = this.deps;
        return {
            upstream,
            inFlight: slots.inFlight(upstream),
            inFlightAtReport: slots.inFlightAtReport(upstream),
            limit: slots.limitOf(upstream),
            meanMs: slots.meanMs(upstream),
            cachedFraction: prefixes.cachedFraction(upstream.announcement.id, job.prefixes),
        };
    }

    private toAssignment(upstream: Upstream, job: Job): Assignment {
        const state = this.stateOf(job.target);
        const { id, startId } = upstream.announcement;
        this.deps.prefixes.assumeCached(id, startId, job.prefixes);
        let isReleased = false;
        return {
            upstream,
            release: result => {
                if (isReleased) {
                    return;
                }
                isReleased = true;
                state.rate.onCompleted(result.durationMs, this.deps.clock.monotonic());
                this.breakers.onEnd(upstream, result.isUpstreamFault);
                this.deps.slots.release(upstream, result, job);
            },
        };
    }

    /** Upstreams on which the job may run. Excluded ones are only used when there is no other. */
    private eligible(job: Job): Upstream[] {
        const inService = this.deps.registry.serving(job.target).filter(upstream => this.isInService(upstream));
        if (job.requiredUpstream !== undefined) {
            return inService.filter(upstream => upstream.announcement.id === job.requiredUpstream);
        }
        const untried = inService.filter(upstream => !job.excludedUpstreams.has(upstream.announcement.id));
        return untried.length > 0 ? untried : inService;
    }

    private isInService(upstream: Upstream): boolean {
        const table = this.deps.table();
        const { id, domain } = upstream.announcement;
        return table.isDomainInService(domain) && !table.isUpstreamDrained(id) && upstream.unconfirmedUntil === 0;
    }

    private onUpstreamLost(upstream: Upstream): void {
        this.deps.prefixes.remove(upstream.announcement.id);
        this.breakers.remove(upstream);
        for (const target of upstream.targets) {
            this.dispatchWaiting(target);
            this.refuseUnservable(target);
        }
    }

    private refuseAll(state: TargetState, toError: () => RouterError): void {
        for (const waiting of [...state.waiting]) {
            if (state.queue.remove(waiting)) {
                waiting.reject(toError());
            }
        }
    }

    private stateOf(target: Target): TargetState {
        let state = this.targets.get(target);
        if (state === undefined) {
            state = { queue: new FairQueue(), waiting: new Set(), rate: new ServiceRate() };
            this.targets.set(target, state);
        }
        return state;
    }
}

const DISPATCH_STEP = "assign upstream";

const noUpstreamError = (job: Job): RouterError =>
    routerError(`no upstream in service for ${job.target}`, {
        code: "noUpstream",
        step: DISPATCH_STEP,
        retryAfterMs: NO_UPSTREAM_RETRY_MS,
    });

const overloadedError = (job: Job, waitMs: number): RouterError =>
    routerError(`${job.target} is overloaded; the request could not start before its deadline`, {
        code: "overloaded",
        step: DISPATCH_STEP,
        retryAfterMs: Math.ceil(Math.max(waitMs, NO_UPSTREAM_RETRY_MS)),
    });

const deadlineError = (job: Job): RouterError =>
    routerError(`no upstream for ${job.target} had a free slot in time to meet the deadline`, {
        code: "deadlineExceeded",
        step: DISPATCH_STEP,
        retryAfterMs: NO_UPSTREAM_RETRY_MS,
    });

const abortError = (job: Job): RouterError =>
    routerError("the caller disconnected before the request started", {
        code: "malformedRequest",
        step: DISPATCH_STEP,
        peer: job.account,
    });

const stoppingError = (): RouterError =>
    routerError("this instance is stopping", {
        code: "stopping",
        step: DISPATCH_STEP,
        retryAfterMs: NO_UPSTREAM_RETRY_MS,
    });
