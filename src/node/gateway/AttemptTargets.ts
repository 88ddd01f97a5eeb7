/**
 * Finds the target of an attempt: an upstream that may take the request, with a permit where its requests are limited, and
 * with engine memory for the prompt.
 */
import { type UpstreamLoad } from "../../common/gateway/ExchangeCodec.ts";
import { type Fleet } from "../../common/gateway/FleetState.ts";
import { type Service } from "../../common/gateway/GatewayConfig.ts";
import {
    type PromptReservation,
    type PromptReservations,
    type ReservationRequest,
} from "../../common/gateway/PromptReservations.ts";
import { type RatePermits } from "../../common/gateway/RatePermits.ts";
import { type SessionVersions } from "../../common/gateway/SessionVersions.ts";
import { type Selection, type SelectionRequest, type UpstreamSelector } from "../../common/gateway/UpstreamSelector.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { type SessionHistory, versionRule } from "../../common/gateway/VersionRule.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, sleep } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Call, type CallState, type FinalFailure, remainingMs } from "./Call.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";
import { QueuedSelection } from "./QueuedSelection.ts";
import { findObstacle, limitsObstacle, RETRY_AFTER_MS } from "./UpstreamObstacles.ts";

/** How long a request waits for a usable upstream before it is refused, as a fraction of its latency objective. */
const WAIT_FRACTION = 1 / 8;
/** How often a waiting request retries the selection, in ms. */
const WAIT_POLL_MS = 20;
/** No attempt is sent with less time than this until the deadline, in ms. */
export const MIN_ATTEMPT_MS = 10;

/** Upstreams that may deny one request a permit before it is refused; each takes a round trip to another instance. */
const MAX_PERMIT_DENIALS = 8;

/** Engines whose memory is asked for in a row; each takes a round trip to another instance. */
const MAX_RESERVATION_DENIALS = 4;

/** Where an attempt is sent. */
export interface AttemptTarget {
    readonly selection: Selection;
    /** Engine memory for the attempt. It must be ended, also if the attempt isn't sent. */
    readonly reservation: PromptReservation;
}

/** Dependencies of the targets. */
export interface AttemptTargetsDependencies {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    readonly selector: UpstreamSelector;
    readonly upstreamStats: UpstreamStatistics;
    readonly permits: RatePermits;
    readonly reservations: PromptReservations;
    readonly sessions: SessionVersions;
    readonly fleet: () => Fleet;
    /** Whether a control quorum has confirmed the configuration recently enough to serve requests by it. */
    readonly hasLease: () => boolean;
    /** Whether the service is in the configuration no more and has no upstream that is ready. */
    readonly isRemoved: (service: string) => boolean;
    /** Whether an upstream process must not get requests now, because of what it has stated in a response. */
    readonly isSpared: (upstream: string) => boolean;
    /** Whether another entry instance reports that the session must keep its version. */
    readonly isSessionPinned: (session: string) => boolean;
}

/** Targets for the requests of one instance. */
export class AttemptTargets extends DisposableOwner {
    private readonly deps: AttemptTargetsDependencies;
    private readonly queued: QueuedSelection;

    public constructor(deps: AttemptTargetsDependencies) {
        super();
        this.deps = deps;
        this.queued = this.register(new QueuedSelection(deps));
    }

    /** To be called when an upstream of the service has arrived or may have become usable. */
    public wake(service: string): void {
        this.queued.wake(service);
    }

    /** Records the load that an upstream of the service reports in a response. */
    public recordLoad(service: string, load: UpstreamLoad): void {
        this.queued.recordLoad(service, load);
    }

    /** Records a new request. */
    public recordArrival(call: Call): void {
        this.queued.recordArrival(call);
    }

    /** Called when an attempt is sent; the result is to be called when it has ended, with whether it was served. */
    public recordSend(call: Call, selection: Selection): (isServed: boolean) => void {
        return this.queued.recordSend(call, selection);
    }

    /**
     * Picks a target. Waits for a while if no upstream can take the request; resolves with the reason if none turns up.
     *
     * @param signal aborted when no target is needed any more
     */
    public async select(call: Call, state: CallState, signal?: AbortSignal): Promise<AttemptTarget | FinalFailure> {
        const { clock, selector, hasLease, permits, isSpared } = this.deps;
        const { service, route } = call;
        let denials = 0;
        let reservationDenials = 0;
        const selectQueued = this.queued.create(call, state, () => this.wantedOf(call, state), signal);
        const waitUntil = clock.monotonic() + route.objectiveMs * WAIT_FRACTION;
        const isNeeded = (): boolean => !call.reply.isCallerGone && signal?.aborted !== true;
        while (isNeeded() && remainingMs(call, clock) > MIN_ATTEMPT_MS && hasLease()) {
            const wanted = selectQueued === undefined ? this.wantedOf(call, state) : undefined;
            const selection = wanted === undefined ? await selectQueued?.() : selector.select(wanted);
            if (selection !== undefined && "reason" in selection) {
                return selection;
            }
            if (selection !== undefined) {
                const target = { name: selection.name, service: service.name };
                // The upstream may have asked for a pause while the permit was under way.
                if (!permits.areNeeded(target) || (await permits.take(target) && !isSpared(selection.name))) {
                    const reservation = await this.reserve(call, selection);
                    if (reservation !== undefined) {
                        return { selection, reservation };
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
        return hasLease()
            ? failureOf("no upstream may take the request")
            : failureOf("cut off from control", "cutOff");
    }

    /** Reserves memory of the selected engine; undefined if there is none. */
    private async reserve(call: Call, { name, record }: Selection): Promise<PromptReservation | undefined> {
        const { reservations, isSpared } = this.deps;
        const target = { name, slots: record.slots };
        const req = this.reservationRequestOf(call);
        const share = reservations.takeShare(target, req);
        if (share !== undefined) {
            return share;
        }
        const borrowed = await reservations.borrow(target, req);
        if (!isSpared(name)) {
            return borrowed;
        }
        borrowed?.end("complete");
        return undefined;
    }

    private reservationRequestOf(call: Call): ReservationRequest {
        const { service, req: { prompt }, route: { objectiveMs } } = call;
        return { service, prompt, objectiveMs, remainingMs: remainingMs(call, this.deps.clock) };
    }

    private wantedOf(call: Call, state: CallState): SelectionRequest {
        const { req, service, route } = call;
        const key = req.session ?? req.id;
        const history = this.getSessionHistory(req.session, service);
        const rule = versionRule(
            this.deps.fleet(),
            service.name,
            key,
            history,
            isWanted => this.deps.selector.hasVersion(service.name, isWanted),
        );
        const tried = this.deps.reservations.exclude(this.reservationRequestOf(call), state.tried);
        return { service, rule, prompt: req.prompt, key: req.id, tried, model: route.models.at(state.modelIndex) };
    }

    private getSessionHistory(session: string | undefined, service: Service): SessionHistory {
        const { sessions, isSessionPinned } = this.deps;
        return session === undefined
            ? { lastVersion: undefined, isPinned: false }
            : { lastVersion: sessions.get(session, service.name), isPinned: isSessionPinned(session) };
    }
}

const failureOf = (reason: string, cause: FinalFailure["cause"] = "noUpstream"): FinalFailure => ({
    reason,
    cause,
    retryAfterMs: RETRY_AFTER_MS,
});
