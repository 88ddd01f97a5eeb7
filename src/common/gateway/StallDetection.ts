/**
 * When a resumable stream is given up at its upstream and goes on elsewhere. An upstream that is silent on all
 * connections is probably gone; one that answers others may be busy, but it may also have lost this one answer.
 */
import { type Route } from "./GatewayConfig.ts";

/** A stream has stalled after this many of its longest pauses that are still on time, and after this time, in ms. */
const STALL_FACTOR = 1.2;
const MIN_STALL_MS = 700;
/** The same while its upstream answers others: it may have taken the memory of this stream for a more urgent one. */
const LOST_FACTOR = 3;
const MIN_LOST_MS = 1500;
/** A stream whose first event is due has stalled after twice its objective, and after this time, in ms. */
const FIRST_FACTOR = 2;
const MIN_FIRST_MS = 2500;

/** What is known of a stream that waits for its next event. */
export interface StreamActivity {
    readonly route: Pick<Route, "gapMs" | "objectiveMs" | "isResumable">;
    /** Whether the upstream has sent something of this answer. */
    readonly hasBegun: boolean;
    /** Time since then, or since the request was sent, in ms. */
    readonly idleMs: number;
    /** Time since the upstream sent something on any connection, in ms. */
    readonly upstreamIdleMs: number;
    /** Whether another attempt is left; without one, waiting is better than giving up an upstream that works. */
    readonly hasAttemptsLeft: boolean;
}

/** Whether the stream should go on at another upstream. */
export const isStalled = (silence: StreamActivity): boolean => {
    const { route, hasBegun, idleMs: silentMs, upstreamIdleMs: upstreamSilentMs, hasAttemptsLeft: hasAttempts } =
        silence;
    const firstMs = Math.max(MIN_FIRST_MS, route.objectiveMs * FIRST_FACTOR);
    const stallMs = hasBegun ? Math.max(MIN_STALL_MS, route.gapMs * STALL_FACTOR) : firstMs;
    const lostMs = hasBegun ? Math.max(MIN_LOST_MS, route.gapMs * LOST_FACTOR) : firstMs;
    if (!route.isResumable || silentMs <= stallMs) {
        return false;
    }
    return upstreamSilentMs > stallMs || (hasAttempts && silentMs > lostMs);
};
