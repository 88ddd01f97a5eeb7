/**
 * Selection of an upstream for services whose upstreams report a slowdown: requests wait in one ordered queue per
 * service, see `RequestQueue`. All other services poll the selector.
 */
import { type UpstreamLoad } from "../../common/gateway/ExchangeCodec.ts";
import { READ_TOKENS_PER_MS } from "../../common/gateway/Placement.ts";
import { hasRoom, isQueueLong } from "../../common/gateway/UpstreamRoom.ts";
import { type Selection, type SelectionRequest, type UpstreamSelector } from "../../common/gateway/UpstreamSelector.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import {
    type Start,
    WaitingRequests,
    type WaitRefusal,
    type WaitRequest,
} from "../../common/gateway/WaitingRequests.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Call, type CallState, type FinalFailure } from "./Call.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";
import { findObstacle, RETRY_AFTER_MS } from "./UpstreamObstacles.ts";

/** Share of an engine that an output token takes, in ms: about 25 ms for a token of each of its 16 to 24 requests. */
const OUTPUT_TOKEN_MS = 1;
/** Chosen upstreams that may deny a request before it pauses between two tries, and the pause, in ms. */
const IMMEDIATE_RETRIES = 4;
const RETRY_PAUSE_MS = 20;
/** How often it is checked whether all upstreams have asked for a pause, or limit their requests, or are gone, in ms. */
const CHECK_PERIOD_MS = 100;
/** Suggested retry delay after the service was removed, in ms: short, because a repeat goes by the new configuration. */
const REMOVED_RETRY_AFTER_MS = 50;

/** Texts for callers. */
const refusalTexts = {
    deadline: "the request can't be answered before its deadline",
    estimate: "too many requests are ahead of this one",
    full: "too many requests wait",
    waited: "no upstream had room for the request in time",
} as const;

/** Dependencies of the selection. */
export interface QueuedSelectionDependencies {
    readonly clock: Clock;
    readonly selector: UpstreamSelector;
    readonly upstreamStats: UpstreamStatistics;
    readonly hasLease: () => boolean;
    /** Whether the service is in the configuration no more and has no upstream that is ready. */
    readonly isRemoved: (service: string) => boolean;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
}

/** Selects an upstream; called again when the one that it returned may not get the request. */
export type QueuedSelect = () => Promise<Selection | FinalFailure | undefined>;

/** Selects upstreams for queued requests. */
export class QueuedSelection extends DisposableOwner {
    private readonly deps: QueuedSelectionDependencies;
    private readonly waiting: WaitingRequests<Selection | FinalFailure>;

    public constructor(deps: QueuedSelectionDependencies) {
        super();
        this.deps = deps;
        const { clock, log, metrics } = deps;
        this.waiting = this.register(
            new WaitingRequests({
                clock,
                onFull: (service, waiting) => log.warn("A queue of requests is full.", { service, waiting }),
            }),
        );
        metrics.addGauges({
            waiting_requests: {
                help: "Requests that wait for an upstream with room.",
                read: () => this.waiting.length,
            },
        });
    }

    /** To be called when upstreams of the service may have room. */
    public wake(service: string): void {
        this.waiting.wake(service);
    }

    /** Records a new request. */
    public recordArrival({ service, account }: Call): void {
        if (this.deps.upstreamStats.statesSlowdown(service.name)) {
            this.waiting.recordArrival(service.name, account?.name ?? "");
        }
    }

    /** Called when an attempt is sent; the result is to be called when it has ended, with whether it was served. */
    public recordSend({ service }: Call, { stats, record }: Selection): (isServed: boolean) => void {
        const { waiting, deps: { upstreamStats, clock } } = this;
        const sentAt = clock.monotonic();
        // A request that finds a full upstream spends `slots / present` of its time there in work, on average. The
        // number at its end would be another one, and the estimate would swing with the length of the queue.
        const present = upstreamStats.estimateRunning(stats) + 1;
        const workShare = Math.min(1, Math.max(1, record.slots) / present);
        const limit = waiting.limitOf(service.name);
        limit.begin();
        return isServed => {
            limit.end();
            if (!upstreamStats.statesSlowdown(service.name)) {
                return;
            }
            if (isServed && service.engineSlots === undefined) {
                waiting.recordWork(service.name, (clock.monotonic() - sentAt) * workShare);
            }
            waiting.wake(service.name);
        };
    }

    /** Records the load that an upstream of the service reports in a response. */
    public recordLoad(service: string, load: UpstreamLoad): void {
        this.waiting.limitOf(service).recordResponse(isQueueLong(load));
    }

    /**
     * The selection for a request whose service has a queue; undefined for one whose service has none.
     *
     * @param signal given for an attempt beside another one, which waits like a new request and whose refusal is not
     * recorded; aborted when no upstream is needed any more
     */
    public create(
        call: Call,
        state: CallState,
        wantedOf: () => SelectionRequest,
        signal?: AbortSignal,
    ): QueuedSelect | undefined {
        const { waiting, deps: { upstreamStats, clock } } = this;
        const { service } = call;
        if (!upstreamStats.statesSlowdown(service.name)) {
            return undefined;
        }
        let tries = 0;
        let notBefore = -Infinity;
        const isOptional = signal !== undefined;
        const req = this.createRequest(call, state, wantedOf, () => notBefore, isOptional);
        return async () => {
            notBefore = ++tries > IMMEDIATE_RETRIES ? clock.boottime() + RETRY_PAUSE_MS : -Infinity;
            const abandon = (): void => waiting.abandon(service.name, req);
            const subscription = call.reply.onCallerGone(abandon);
            signal?.addEventListener("abort", abandon);
            const result = await waiting.wait(service.name, req);
            subscription.dispose();
            signal?.removeEventListener("abort", abandon);
            if (result === "callerLeft") {
                return undefined;
            }
            const refusal = "refusal" in result ? result.refusal : undefined;
            if (!isOptional) {
                this.recordWait(state, req.waitsSince, refusal);
            }
            return "value" in result ? result.value : this.refuse(service.name, result.refusal, isOptional);
        };
    }

    private createRequest(
        call: Call,
        state: CallState,
        wantedOf: () => SelectionRequest,
        notBefore: () => number,
        isOptional: boolean,
    ): WaitRequest<Selection | FinalFailure> {
        const { waiting, deps: { clock, selector, isRemoved } } = this;
        const { req, route, service, account, body, keys, arrivedAt, deadlineAt } = call;
        const { objectiveMs } = route;
        const workMs = service.engineSlots === undefined
            ? waiting.workMs(service.name, objectiveMs)
            : 1 + (req.prompt?.tokens ?? 0) / READ_TOKENS_PER_MS;
        const waitsSince = clock.boottime();
        let checkedAt = -Infinity;
        return {
            id: req.id,
            account: account?.name ?? "",
            priority: account?.priority ?? route.priority,
            cost: workMs + (req.prompt?.maxOutput ?? 0) * OUTPUT_TOKEN_MS,
            bytes: body?.length ?? 0,
            objectiveMs,
            workMs,
            arrivedAt,
            waitsSince,
            deadlineAt,
            isOptional,
            isRepeat: !isOptional && state.upstreamIds.length > 0,
            mayHaveRun: !isOptional && (state.possibleRuns > 0 || call.reply.hasBegun),
            isStream: route.kind === "stream",
            key: keys.request,
            start: () => {
                const now = clock.boottime();
                if (now < notBefore()) {
                    return undefined;
                }
                const wanted = this.withRoom(call, wantedOf(), workMs, now - waitsSince);
                const selection = this.select(call, wanted);
                if (selection !== undefined || now - checkedAt < CHECK_PERIOD_MS) {
                    return selection;
                }
                checkedAt = now;
                if (isRemoved(service.name)) {
                    return this.leave(call, "removed", "the service has been removed", REMOVED_RETRY_AFTER_MS);
                }
                const obstacle = findObstacle(selector, wanted, state.tried, objectiveMs / 4);
                return obstacle === undefined
                    ? undefined
                    : this.leave(call, obstacle.name, obstacle.reason, obstacle.retryAfterMs);
            },
        };
    }

    private select(call: Call, wanted: SelectionRequest): Start<Selection | FinalFailure> {
        const { selector, hasLease } = this.deps;
        if (!hasLease()) {
            return this.leave(call, "cutOff", "cut off from control", RETRY_AFTER_MS);
        }
        const value = selector.select(wanted);
        return value === undefined ? undefined : { result: "sent", value };
    }

    /** Adds which upstreams have room for the request at the moment. */
    private withRoom(call: Call, wanted: SelectionRequest, workMs: number, waitedMs: number): SelectionRequest {
        const { waiting, deps: { clock } } = this;
        const { service, account, route: { objectiveMs }, deadlineAt } = call;
        const timeLeftMs = deadlineAt - clock.boottime();
        const isOverShare = waiting.isOverShare(service.name, account?.name ?? "");
        const isWithinLimit = waiting.limitOf(service.name).hasRoom;
        const room = { objectiveMs, timeLeftMs, waitedMs, workMs, isOverShare, isWithinLimit };
        return { ...wanted, hasRoom: upstream => hasRoom(room, upstream) };
    }

    private leave(
        { service }: Call,
        name: string,
        reason: string,
        retryAfterMs: number,
    ): Start<Selection | FinalFailure> {
        this.deps.metrics.countQueueRefusal(service.name, name);
        return { result: "left", value: { reason, retryAfterMs } };
    }

    private refuse(service: string, { reason, retryAfterMs }: WaitRefusal, isOptional: boolean): FinalFailure {
        if (!isOptional) {
            this.deps.metrics.countQueueRefusal(service, reason);
        }
        return { reason: refusalTexts[reason], retryAfterMs };
    }

    private recordWait(state: CallState, since: number, refusal: WaitRefusal | undefined): void {
        const waitedMs = this.deps.clock.boottime() - since;
        state.wait = {
            waitedMs: waitedMs + (state.wait?.waitedMs ?? 0),
            refusal: refusal?.reason,
            ahead: refusal?.ahead,
            estimateMs: refusal?.estimateMs,
        };
    }
}
