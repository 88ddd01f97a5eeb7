/**
 * Requests of simulated callers, with a deadline on the injected clock.
 */
import { type AttemptRequest, type Work } from "../../src/common/routing/Attempts.ts";
import { type Clock } from "../../src/common/time/Clock.ts";

/** Creates a caller's request, to be passed to `Attempts`. */
export const simRequest = (
    clock: Clock,
    id: string,
    account: { readonly name: string; readonly weight: number; },
    deadlineMs: number,
    priority = 5,
): AttemptRequest => {
    const controller = new AbortController();
    const state = { isDeadlinePassed: false };
    clock.schedule(deadlineMs, () => {
        state.isDeadlinePassed = true;
        controller.abort();
    });
    return {
        id,
        account,
        priority,
        deadline: clock.monotonic() + deadlineMs,
        signal: controller.signal,
        get isDeadlinePassed() {
            return state.isDeadlinePassed;
        },
    };
};

/** Creates idempotent work on `target`. */
export const simWork = (target: string, fingerprint = "", cost = 100): Work => ({
    target,
    cost,
    prefixes: [],
    prefillMs: 0,
    isIdempotent: true,
    fingerprint,
});
