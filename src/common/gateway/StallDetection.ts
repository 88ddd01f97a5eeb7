/**
 * Decides when an attempt makes no progress, so that a backup attempt should be made at another upstream. An upstream that
 * sends nothing on any connection may be gone, or silent for a moment. One that still sends on other connections may only
 * be busy, but it may also have lost this stream, so the stream has stalled after a longer time. Only a further event is
 * progress: comments, and bytes that complete no event, are not.
 *
 * Silence never ends a stream, as its upstream may go on: it is aborted when another attempt has gone on instead
 * (`AttemptGroup`). Otherwise it ends before its last event for these reasons only, all measured by the monotonic clock: the
 * deadline of its request has passed, the caller has left, or its upstream has restarted (`Attempt`); an instance that stops
 * has used up its grace period (`PlannedStop`).
 */
import { isRepeatable, type Route } from "./GatewayConfig.ts";

/** A stream has stalled after this multiple of the route's longest gap, but not before the minimum. */
const STALL_FACTOR = 1.2;
const MIN_STALL_MS = 700;
/**
 * The same while its upstream sends on other connections: the upstream may have preempted this stream to free its
 * memory for a more urgent one.
 */
const LOST_FACTOR = 3;
const MIN_LOST_MS = 1500;
/** Until the first byte, a stream has stalled after this multiple of the latency objective, with its own minimum. */
const FIRST_FACTOR = 2;
const MIN_FIRST_MS = 2500;

/** An idempotent request is slow after this multiple of its latency objective, with a minimum. */
const SLOW_FACTOR = 2;
const MIN_SLOW_MS = 300;
/** An upstream is silent when both its heartbeats and its traffic have been missing for these times, in ms. */
const HEARTBEAT_TIMEOUT_MS = 3500;
const TRAFFIC_TIMEOUT_MS = 1500;

/** State of an attempt whose response is not complete. */
export interface AttemptActivity {
    readonly route: Pick<Route, "kind" | "gapMs" | "objectiveMs" | "isResumable">;
    /** Whether the upstream has sent the head of the response. */
    readonly hasBegun: boolean;
    /** Time since the last progress of this attempt, or since the request was sent, in ms. */
    readonly idleMs: number;
    /** Time since the upstream sent a byte on any connection, in ms. */
    readonly upstreamIdleMs: number;
    /** Time since the last heartbeat of the upstream, in ms; 0 if a missing one proves nothing. */
    readonly heartbeatAgeMs: number;
}

/** Why a backup attempt should be made. */
export type Stall = "silent" | "slow" | "stalled";

/** Why a backup attempt should be made; undefined if none should be, or if the request must not run again. */
export const findStall = (attempt: AttemptActivity): Stall | undefined => {
    const { route, idleMs, upstreamIdleMs, heartbeatAgeMs } = attempt;
    if (isStalled(attempt)) {
        return "stalled";
    }
    if (route.kind === "idempotent" && idleMs > Math.max(MIN_SLOW_MS, route.objectiveMs * SLOW_FACTOR)) {
        return "slow";
    }
    const isTrafficMissing = Math.min(idleMs, upstreamIdleMs) > TRAFFIC_TIMEOUT_MS;
    return isRepeatable(route) && isTrafficMissing && heartbeatAgeMs > HEARTBEAT_TIMEOUT_MS ? "silent" : undefined;
};

const isStalled = ({ route, hasBegun, idleMs, upstreamIdleMs }: AttemptActivity): boolean => {
    const firstMs = Math.max(MIN_FIRST_MS, route.objectiveMs * FIRST_FACTOR);
    const stallMs = hasBegun ? Math.max(MIN_STALL_MS, route.gapMs * STALL_FACTOR) : firstMs;
    const lostMs = hasBegun ? Math.max(MIN_LOST_MS, route.gapMs * LOST_FACTOR) : firstMs;
    return route.isResumable && idleMs > stallMs && (upstreamIdleMs > stallMs || idleMs > lostMs);
};
