/**
 * Decides from the head of a response whether it is one of the request that was sent. An upstream may answer another
 * request late, on a connection in use again, or send bytes behind a response that look like the next one.
 */
import { type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { isRepeatable } from "../../common/gateway/GatewayConfig.ts";
import { type Call } from "./Call.ts";

/** Whether the head refuses this request. A refusal that names no request is believed only where a mistake does no harm. */
export const isOwnRefusal = ({ isNotRun, requestId }: ResponseHead, { req, route }: Call): boolean =>
    isNotRun && (requestId === req.id || (requestId === undefined && isRepeatable(route)));

/** Why the response can't be relayed to the caller; undefined if it can. */
export const findHeadFault = ({ requestId, hasStamp, isEncoded }: ResponseHead, { req }: Call): string | undefined =>
    requestId === req.id && hasStamp && !isEncoded
        ? undefined
        : "the response has another request id, no stamp or an unexpected encoding";
