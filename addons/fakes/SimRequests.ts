/**
 * Requests of simulated callers, with a deadline on the injected clock.
 */
import { type AttemptRequest, type Work } from "../../src/common/routing/Attempts.ts";
import { type Clock } from "../../src/common/time/Clock.ts";

/** A caller's request for the attempts. */
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

/** Work on `target` that may be repeated. */
export const simWork = (target: string, fingerprint = "", cost = 100): Work => ({
    target,
    cost,
    prefixes: [],
    prefillMs: 0,
    isIdempotent: true,
    fingerprint,
});
