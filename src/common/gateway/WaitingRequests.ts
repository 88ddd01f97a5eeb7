/**
 * Lets requests wait in one ordered queue per service, and resolves each with the upstream that it is sent to or with its
 * refusal. A queue advances when it is woken, and in short steps while requests wait, because room also appears as time
 * passes: reports of load age, and limits of rates recover.
 */
import { DisposableOwner, toDisposable } from "../lifecycle/Disposable.ts";
import { hashFraction } from "../routing/Hash.ts";
import { type Clock, repeatWhileBusy, type WakefulRepeat } from "../time/Clock.ts";
import { AccountShares } from "./AccountShares.ts";
import { InFlightLimit } from "./InFlightLimit.ts";
import {
    type QueueRefusal,
    type QueueRefusalReason,
    RequestQueue,
    type StartResult,
    type WaitingRequest,
} from "./RequestQueue.ts";

/** How often a queue advances while requests wait, in ms; a fifth of the time within which refusals are to be sent. */
const ADVANCE_PERIOD_MS = 10;
/** Range over which callers that are told to return are spread, in ms. */
const RETURN_SPREAD_MS = 500;
/** Largest part of the time until its deadline for which a caller is told to stay away. */
const MAX_RETURN_SHARE = 1 / 3;
/** Weight of a new sample in the moving average of the work on a request. */
const WORK_WEIGHT = 0.1;
/** Assumed work on a request until it has been measured, as a fraction of its objective. */
const INITIAL_WORK_SHARE = 1 / 4;
/** A full queue counts as full again only after it has been this much shorter. */
const FULL_FRACTION = 1 / 2;

/** Result of an attempt to send a request now; undefined if no upstream has room for it. */
export type Start<S> = { readonly result: Exclude<StartResult, "held">; readonly value: S; } | undefined;

/** Why a request is not sent, and what its caller and the operator are told. */
export interface WaitRefusal {
    readonly reason: QueueRefusalReason;
    readonly retryAfterMs: number;
    readonly ahead: number;
    readonly estimateMs: number;
}

/** A request for `WaitingRequests`. */
export interface WaitRequest<S> extends WaitingRequest {
    readonly id: string;
    /** Whether it waits for an attempt beside another one, so that a refusal concerns no caller. */
    readonly isOptional?: boolean;
    /** Sends the request if an upstream has room for it. */
    readonly start: () => Start<S>;
}

/** End of waiting. */
export type WaitResult<S> = { readonly value: S; } | { readonly refusal: WaitRefusal; } | "callerLeft";

/** Result of a request that waits when this instance stops. */
const stoppedResult = { refusal: { reason: "full", retryAfterMs: 50, ahead: 0, estimateMs: 0 } } as const;

interface Ticket<S> extends WaitRequest<S> {
    readonly resolve: (result: WaitResult<S>) => void;
    readonly reject: (err: Error) => void;
}

interface ServiceQueue<S> {
    readonly queue: RequestQueue<Ticket<S>>;
    readonly shares: AccountShares;
    readonly limit: InFlightLimit;
    readonly ticks: WakefulRepeat;
    workMs: number | undefined;
    isFull: boolean;
    /** Whether requests are being started, in which case a wake is deferred to the next step. */
    isAdvancing: boolean;
}

/** Dependencies of the waiting requests. */
export interface WaitingRequestsDependencies {
    readonly clock: Clock;
    /** Called when a queue has become full. */
    readonly onFull: (service: string, waiting: number) => void;
}

/** Waiting requests of one instance, for all services. */
export class WaitingRequests<S> extends DisposableOwner {
    private readonly deps: WaitingRequestsDependencies;
    private readonly services = new Map<string, ServiceQueue<S>>();
    private readonly tickets = new WeakMap<WaitRequest<S>, Ticket<S>>();
    /** Tickets that have not been resolved. */
    private readonly open = new Set<Ticket<S>>();

    public constructor(deps: WaitingRequestsDependencies) {
        super();
        this.deps = deps;
        this.register(toDisposable(() => {
            this.open.forEach(ticket => ticket.resolve(stoppedResult));
            this.open.clear();
        }));
    }

    /** Number of requests that wait. */
    public get length(): number {
        return [...this.services.values()].reduce((sum, { queue }) => sum + queue.length, 0);
    }

    /** Records a new request, before it waits for the first time. */
    public recordArrival(service: string, account: string): void {
        this.serviceOf(service).shares.recordArrival(account);
    }

    /** Whether the account sends more than its share. */
    public isOverShare(service: string, account: string): boolean {
        return this.serviceOf(service).shares.isOverShare(account);
    }

    /** The limit of the requests that this instance has at the engines of the service. */
    public limitOf(service: string): InFlightLimit {
        return this.serviceOf(service).limit;
    }

    /** Records how long an upstream worked on a request, in ms, without the time for which it waited there. */
    public recordWork(service: string, ms: number): void {
        const known = this.serviceOf(service);
        const mean = known.workMs ?? ms;
        known.workMs = mean + WORK_WEIGHT * (ms - mean);
    }

    /** Mean time that an upstream works on a request, in ms. */
    public workMs(service: string, objectiveMs: number): number {
        return this.serviceOf(service).workMs ?? objectiveMs * INITIAL_WORK_SHARE;
    }

    /**
     * Waits until `start` has sent the request, or the request is refused. Rejects if `start` throws. A request for which
     * this is called again has been taken out in vain, and keeps its place.
     */
    public wait(service: string, req: WaitRequest<S>): Promise<WaitResult<S>> {
        if (this.isDisposed) {
            return Promise.resolve(stoppedResult);
        }
        const known = this.serviceOf(service);
        return new Promise((resolve, reject) => {
            const ticket: Ticket<S> = {
                ...req,
                resolve: result => {
                    this.open.delete(ticket);
                    resolve(result);
                },
                reject: err => {
                    this.open.delete(ticket);
                    reject(err);
                },
            };
            this.open.add(ticket);
            const previous = this.tickets.get(req);
            this.tickets.set(req, ticket);
            if (previous === undefined) {
                known.queue.add(ticket);
            }
            else {
                known.queue.putBack(ticket);
            }
            this.advance(service, known);
        });
    }

    /** Ends the waiting of a request whose caller has left. */
    public abandon(service: string, req: WaitRequest<S>): void {
        const ticket = this.tickets.get(req);
        if (ticket !== undefined) {
            this.services.get(service)?.queue.remove(ticket);
            ticket.resolve("callerLeft");
        }
    }

    /** To be called when upstreams of the service may have room. */
    public wake(service: string): void {
        const known = this.services.get(service);
        if (known !== undefined && known.queue.length > 0) {
            this.advance(service, known);
        }
    }

    private serviceOf(service: string): ServiceQueue<S> {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const { clock } = this.deps;
        const shares = new AccountShares(clock);
        const created: ServiceQueue<S> = {
            queue: new RequestQueue(clock, account => shares.isOverShare(account)),
            shares,
            limit: new InFlightLimit(),
            ticks: this.register(repeatWhileBusy(clock, ADVANCE_PERIOD_MS, () => {
                this.advance(service, created);
                return created.queue.length > 0;
            })),
            workMs: undefined,
            isFull: false,
            isAdvancing: false,
        };
        this.services.set(service, created);
        return created;
    }

    private advance(service: string, known: ServiceQueue<S>): void {
        if (known.isAdvancing) {
            return;
        }
        known.isAdvancing = true;
        const { queue } = known;
        try {
            queue.advance(ticket => this.start(ticket)).forEach(refusal => this.refuse(service, known, refusal));
        }
        finally {
            known.isAdvancing = false;
        }
        if (queue.length > 0) {
            known.ticks.wake();
        }
        known.isFull &&= !queue.isShorterThan(FULL_FRACTION);
    }

    /** An error is passed to the request that caused it: thrown, it would keep all others of the queue waiting. */
    private start(ticket: Ticket<S>): StartResult {
        try {
            const started = ticket.start();
            if (started === undefined) {
                return "held";
            }
            ticket.resolve({ value: started.value });
            return started.result;
        }
        catch (err) {
            ticket.reject(err as Error);
            return "left";
        }
    }

    private refuse(service: string, known: ServiceQueue<S>, refusal: QueueRefusal<Ticket<S>>): void {
        const { req, reason, ahead, estimateMs, roomInMs } = refusal;
        const timeLeftMs = req.deadlineAt - this.deps.clock.boottime();
        const spreadMs = hashFraction(req.id) * RETURN_SPREAD_MS;
        const retryAfterMs = Math.max(1, Math.min(roomInMs + spreadMs, timeLeftMs * MAX_RETURN_SHARE));
        if (req.isOptional !== true) {
            known.queue.recordRefusal(req, retryAfterMs);
        }
        if (reason === "full" && !known.isFull) {
            known.isFull = true;
            this.deps.onFull(service, known.queue.length);
        }
        req.resolve({ refusal: { reason, retryAfterMs, ahead, estimateMs } });
    }
}
