/**
 * Places requests on upstreams. A request gets a slot at once, waits in a queue that is fair across
 * accounts, or is refused early and truthfully when it could not start before its deadline.
 */
import { type RoutingTable } from "../configuration/RoutingTable.ts";
import { type RouterError, routerError } from "../errors/RouterError.ts";
import { type Disposable, DisposableOwner } from "../lifecycle/Disposable.ts";
import { type SlotBook, type SlotResult } from "../slots/SlotBook.ts";
import { type Clock } from "../time/Clock.ts";
import { type Target } from "../upstreams/Upstream.ts";
import { type Upstream, type UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { Breakers } from "./Breakers.ts";
import { FairQueue, type QueueEntry } from "./FairQueue.ts";
import { type PrefixIndex } from "./PrefixIndex.ts";
import { ServiceRate } from "./ServiceRate.ts";
import { type Candidate, chooseUpstream, type Demand } from "./UpstreamChooser.ts";

/** Most requests that wait for one target on this instance. */
const MAX_QUEUE_LENGTH = 2000;
/** Priority of a request whose first attempt failed, above all that callers can ask for. */
const RETRY_PRIORITY = 10;
/** Waits may turn out longer than reckoned by this factor; a late refusal is worse than an early one. */
const WAIT_MARGIN = 1.15;
/** When a caller may come back after it met a target without upstreams, in ms. */
const NO_UPSTREAM_RETRY_MS = 1000;

/** A request that wants a place. */
export interface Job extends QueueEntry {
    readonly id: string;
    readonly target: Target;
    /** Monotonic time by which the answer must be complete, in ms. */
    readonly deadline: number;
    /** Hashes of the prompt's prefix blocks, from the first. */
    readonly prefixes: readonly string[];
    /** Time to process the whole prompt without a cache, in ms. */
    readonly prefillMs: number;
    /** Upstreams that were tried already. */
    readonly excluded: ReadonlySet<string>;
    /** The only upstream on which a request may run that is suspected of crashing upstreams. */
    readonly only?: string | undefined;
}

/** A place on an upstream. It must be released exactly once. */
export interface Assignment {
    readonly upstream: Upstream;
    release(result: SlotResult): void;
}

interface Waiting extends Job {
    resolve(assignment: Assignment): void;
    reject(err: RouterError): void;
}

interface TargetState {
    readonly queue: FairQueue<Waiting>;
    readonly waiting: Set<Waiting>;
    readonly rate: ServiceRate;
}

/** What the dispatcher works with. */
export interface DispatcherParts {
    readonly clock: Clock;
    readonly domain: string;
    /** Extra time to another failure domain, in ms. */
    readonly otherDomainMs: number;
    readonly registry: UpstreamRegistry;
    readonly slots: SlotBook;
    readonly prefixes: PrefixIndex;
    readonly table: () => RoutingTable;
}

/** Queues requests and assigns them to upstreams. */
export class Dispatcher extends DisposableOwner {
    private readonly parts: DispatcherParts;
    private readonly targets = new Map<Target, TargetState>();
    private readonly breakers: Breakers;
    private rotation = 0;

    public constructor(parts: DispatcherParts) {
        super();
        this.parts = parts;
        this.breakers = new Breakers(parts.clock, upstream => this.pumpAll(upstream));
        this.register(parts.slots.onAvailable(upstream => this.pumpAll(upstream)));
        this.register(parts.registry.onChanged(upstream => this.pumpAll(upstream)));
        this.register(parts.registry.onLost(loss => this.onUpstreamLost(loss.upstream)));
    }

    /** Resolves with a place, or rejects with a refusal that is true: nothing was sent to any upstream. */
    public async acquire(job: Job, signal?: AbortSignal): Promise<Assignment> {
        const state = this.stateOf(job.target);
        this.refuseLate(job, state);
        if (state.queue.length === 0) {
            const assignment = this.tryAssign(job);
            if (assignment !== undefined) {
                state.queue.onServed(job.account, job.weight, job.cost);
                return assignment;
            }
        }
        return this.wait(job, state, signal);
    }

    /** True when some upstream may receive new work for `target`. */
    public hasUpstreams(target: Target): boolean {
        return this.parts.registry.serving(target).some(upstream => this.isInService(upstream));
    }

    /** Requests that wait on this instance. */
    public get queueLength(): number {
        let total = 0;
        for (const state of this.targets.values()) {
            total += state.queue.length;
        }
        return total;
    }

    /** Charges an account for the difference between expected and real cost, or for work elsewhere. */
    public charge(target: Target, account: string, weight: number, cost: number): void {
        this.stateOf(target).queue.charge(account, weight, cost);
    }

    /** Looks again at every queue, after the configuration has changed. */
    public reconsider(): void {
        for (const target of this.targets.keys()) {
            this.pump(target);
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
            const cleanUp: Disposable[] = [];
            const settle = <T>(finish: (value: T) => void) => (value: T): void => {
                cleanUp.forEach(item => item.dispose());
                state.waiting.delete(waiting);
                finish(value);
            };
            const priority = job.excluded.size > 0 ? RETRY_PRIORITY : job.priority;
            const waiting: Waiting = { ...job, priority, resolve: settle(resolve), reject: settle(reject) };
            const giveUp = (err: RouterError): void => {
                if (state.queue.remove(waiting)) {
                    this.signalDemand(job.target, state);
                    waiting.reject(err);
                }
            };
            // From then on it could not end in time any more, so it is told so at once and not at its deadline.
            const untilHopeless = job.deadline - this.parts.clock.monotonic() - state.rate.knownMeanMs;
            cleanUp.push(this.parts.clock.schedule(Math.max(0, untilHopeless), () => giveUp(deadlineError(job))));
            const onAbort = (): void => giveUp(abortError(job));
            signal?.addEventListener("abort", onAbort, { once: true });
            cleanUp.push({ dispose: () => signal?.removeEventListener("abort", onAbort) });
            state.waiting.add(waiting);
            state.queue.enqueue(waiting);
            this.pump(job.target);
        });
    }

    /** Refuses at once what could not start in time, so that the caller can go elsewhere. */
    private refuseLate(job: Job, state: TargetState): void {
        const eligible = this.eligible(job);
        if (eligible.length === 0) {
            throw noUpstreamError(job);
        }
        // One that was admitted before goes to the front of its account's queue and is not reckoned with again.
        if (state.queue.length === 0 || job.excluded.size > 0) {
            return;
        }
        const now = this.parts.clock.monotonic();
        const slots = eligible.reduce((total, upstream) => total + this.parts.slots.obtainable(upstream), 0);
        const ahead = state.queue.countAhead(job.account, job.weight, job.priority);
        const waitMs = state.rate.waitMs(ahead + 1, slots, now);
        const isLate = waitMs * WAIT_MARGIN + state.rate.meanMs > job.deadline - now;
        if (isLate || state.queue.length >= MAX_QUEUE_LENGTH) {
            throw overloadedError(job, waitMs);
        }
    }

    /** A request that cannot end in time any more would only take the place of one that can. */
    private isHopeless(job: Job, state: TargetState): boolean {
        return job.deadline - this.parts.clock.monotonic() < state.rate.knownMeanMs;
    }

    private pumpAll(upstream: Upstream): void {
        for (const target of upstream.targets) {
            this.pump(target);
        }
    }

    private pump(target: Target): void {
        const state = this.targets.get(target);
        if (state === undefined || state.queue.length === 0) {
            return;
        }
        let assignment: Assignment | undefined;
        const isReady = (waiting: Waiting): boolean => {
            assignment = undefined;
            if (this.isHopeless(waiting, state)) {
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

    private settle(waiting: Waiting, assignment: Assignment | undefined, state: TargetState): void {
        if (assignment !== undefined) {
            waiting.resolve(assignment);
            return;
        }
        state.queue.charge(waiting.account, waiting.weight, -waiting.cost);
        waiting.reject(overloadedError(waiting, state.rate.meanMs));
    }

    private hasFreeSlot(target: Target): boolean {
        return this.parts.registry.serving(target).some(upstream => this.parts.slots.freeSlots(upstream) > 0);
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
        const upstreams = this.parts.registry.serving(target).filter(upstream => this.isInService(upstream));
        const waiting = state.queue.waitingByAccount().map(item => ({
            ...item,
            count: Math.ceil(item.count / Math.max(1, upstreams.length)),
        }));
        for (const upstream of upstreams) {
            this.parts.slots.demand(upstream, waiting);
        }
    }

    private tryAssign(job: Job): Assignment | undefined {
        const now = this.parts.clock.monotonic();
        const free = this.eligible(job).filter(upstream => this.isFree(upstream));
        const candidates = free.map(upstream => this.toCandidate(upstream, job));
        const { domain, otherDomainMs } = this.parts;
        const demand: Demand = { domain, otherDomainMs, prefillMs: job.prefillMs, now };
        const chosen = chooseUpstream(candidates, demand, this.rotation++);
        if (chosen === undefined || !this.parts.slots.tryTake(chosen.upstream, job.deadline, job)) {
            return undefined;
        }
        this.breakers.onStart(chosen.upstream);
        return this.toAssignment(chosen.upstream, job);
    }

    private isFree(upstream: Upstream): boolean {
        if (!this.breakers.allows(upstream)) {
            return false;
        }
        return this.parts.slots.freeSlots(upstream) > 0;
    }

    private toCandidate(upstream: Upstream, job: Job): Candidate {
        const { slots, prefixes } = this.parts;
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
        this.parts.prefixes.expect(id, startId, job.prefixes);
        let isReleased = false;
        return {
            upstream,
            release: result => {
                if (isReleased) {
                    return;
                }
                isReleased = true;
                state.rate.onCompleted(result.durationMs, this.parts.clock.monotonic());
                this.breakers.onEnd(upstream, result.isUpstreamFault);
                this.parts.slots.release(upstream, result, job);
            },
        };
    }

    /** Upstreams that were tried already are used again only when there is no other. */
    private eligible(job: Job): Upstream[] {
        const inService = this.parts.registry.serving(job.target).filter(upstream => this.isInService(upstream));
        if (job.only !== undefined) {
            return inService.filter(upstream => upstream.announcement.id === job.only);
        }
        const untried = inService.filter(upstream => !job.excluded.has(upstream.announcement.id));
        return untried.length > 0 ? untried : inService;
    }

    private isInService(upstream: Upstream): boolean {
        const table = this.parts.table();
        const { id, domain } = upstream.announcement;
        return table.isDomainInService(domain) && !table.isUpstreamDrained(id) && upstream.doubtedUntil === 0;
    }

    private onUpstreamLost(upstream: Upstream): void {
        this.parts.prefixes.forget(upstream.announcement.id);
        this.breakers.forget(upstream);
        for (const target of upstream.targets) {
            this.pump(target);
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

const STEP = "find a place";

const noUpstreamError = (job: Job): RouterError =>
    routerError(`no upstream in service for ${job.target}`, {
        code: "noUpstream",
        step: STEP,
        retryAfterMs: NO_UPSTREAM_RETRY_MS,
    });

const overloadedError = (job: Job, waitMs: number): RouterError =>
    routerError(`${job.target} is overloaded; the request could not start before its deadline`, {
        code: "overloaded",
        step: STEP,
        retryAfterMs: Math.ceil(Math.max(waitMs, NO_UPSTREAM_RETRY_MS)),
    });

const deadlineError = (job: Job): RouterError =>
    routerError(`no upstream for ${job.target} had a place before the deadline`, {
        code: "deadlineExceeded",
        step: STEP,
        retryAfterMs: NO_UPSTREAM_RETRY_MS,
    });

const abortError = (job: Job): RouterError =>
    routerError("the caller went away before the request started", {
        code: "malformedRequest",
        step: STEP,
        peer: job.account,
    });

const stoppingError = (): RouterError =>
    routerError("this instance is stopping", { code: "stopping", step: STEP, retryAfterMs: NO_UPSTREAM_RETRY_MS });
