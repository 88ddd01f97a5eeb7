/**
 * Decides when a resumable stream has stalled and should be resumed at another upstream. An upstream that sends nothing
 * on any connection is probably gone. One that still sends on other connections may only be busy, but it may also have
 * lost this stream, so the stream has stalled after a longer time. Only a further event is progress: comments, and bytes
 * that complete no event, are not.
 *
 * A stream ends before its last event for these reasons only, all measured by the monotonic clock: it has stalled (here);
 * the deadline of its request has passed, the caller has left, or its upstream has restarted or is silent on all
 * connections and sends no heartbeats (`Attempt`); an instance that stops has used up its grace period
 * (`GatewayEntryRole.stop`).
 */
import { type Route } from "./GatewayConfig.ts";

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

/** State of a stream that waits for its next event. */
export interface StreamActivity {
    readonly route: Pick<Route, "gapMs" | "objectiveMs" | "isResumable">;
    /** Whether the upstream has sent the head of this stream. */
    readonly hasBegun: boolean;
    /** Time since the last progress of this stream, or since the request was sent, in ms. */
    readonly idleMs: number;
    /** Time since the upstream sent a byte on any connection, in ms. */
    readonly upstreamIdleMs: number;
    /** Whether another attempt is left. Without one, waiting is better than abandoning an upstream that works. */
    readonly hasAttemptsLeft: boolean;
}

/** Whether the stream should be resumed at another upstream. */
export const isStalled = (stream: StreamActivity): boolean => {
    const { route, hasBegun, idleMs, upstreamIdleMs, hasAttemptsLeft } = stream;
    const firstMs = Math.max(MIN_FIRST_MS, route.objectiveMs * FIRST_FACTOR);
    const stallMs = hasBegun ? Math.max(MIN_STALL_MS, route.gapMs * STALL_FACTOR) : firstMs;
    const lostMs = hasBegun ? Math.max(MIN_LOST_MS, route.gapMs * LOST_FACTOR) : firstMs;
    if (!route.isResumable || idleMs <= stallMs) {
        return false;
    }
    return upstreamIdleMs > stallMs || (hasAttemptsLeft && idleMs > lostMs);
};
