/**
 * How one entry instance asks another to relay a connection to an upstream: an HTTP CONNECT request whose authorization
 * only instances can compute, since they share the secret of the deployment.
 */
import { createHmac, timingSafeEqual } from "node:crypto";

/** The relay can't reach the upstream. Every other failure concerns the relay itself. */
export const UPSTREAM_UNREACHABLE_STATUS = 502;

/** Time in which a relay must connect to the upstream, in ms. */
export const RELAY_DIAL_TIMEOUT_MS = 250;
/** Time in which a relay must reply, in ms: longer, so that the reply tells that the upstream is at fault. */
export const RELAY_REPLY_TIMEOUT_MS = 400;

/** Value of the header `Proxy-Authorization` for a connection to `target`, IP:PORT. */
export const relayAuthorization = (secret: string, target: string): string =>
    `Relay ${createHmac("sha256", secret).update(`relay ${target}`).digest("base64url")}`;

export const isAuthorized = (secret: string, target: string, authorization: string | undefined): boolean => {
    const expected = Buffer.from(relayAuthorization(secret, target));
    const actual = Buffer.from(authorization ?? "");
    return actual.length === expected.length && timingSafeEqual(actual, expected);
};
