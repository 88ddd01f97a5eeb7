/**
 * Why no upstream may take a request although some are ready for it, and when its caller should return.
 */
import { type SelectionRequest, type UpstreamSelector } from "../../common/gateway/UpstreamSelector.ts";
import { hashFraction } from "../../common/routing/Hash.ts";

/** Suggested retry delay of a refused request, in ms: a recovered upstream registers within about a second. */
export const RETRY_AFTER_MS = 600;
/** Range over which the callers that are to return after a pause of the upstreams are spread, in ms. */
const RETURN_SPREAD_MS = 500;

/** An obstacle, with the text for the caller. */
export interface UpstreamObstacle {
    readonly name: "limits" | "pauses";
    readonly reason: string;
    readonly retryAfterMs: number;
}

export const limitsObstacle: UpstreamObstacle = {
    name: "limits",
    reason: "the upstreams take no more requests per second",
    retryAfterMs: RETRY_AFTER_MS,
};

/**
 * Undefined if waiting for `waitMs` may be of use.
 *
 * @param wanted as it was selected by
 * @param tried upstreams that the request must not be sent to again, without those that only lack memory for it now
 */
export const findObstacle = (
    selector: Pick<UpstreamSelector, "isHeldByLimits" | "pauseRemainingMs">,
    wanted: SelectionRequest,
    tried: ReadonlySet<string>,
    waitMs: number,
): UpstreamObstacle | undefined => {
    if (selector.isHeldByLimits(wanted)) {
        return limitsObstacle;
    }
    const pauseMs = selector.pauseRemainingMs({ ...wanted, tried });
    if (pauseMs === undefined || pauseMs <= waitMs) {
        return undefined;
    }
    const retryAfterMs = pauseMs + hashFraction(wanted.key) * RETURN_SPREAD_MS;
    return { name: "pauses", reason: "the upstreams want no requests for a while", retryAfterMs };
};
