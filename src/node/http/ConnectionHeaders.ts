/**
 * Headers that say nothing of a request or an answer itself, and are not passed on.
 */

/** Headers of one connection (RFC 9110, section 7.6.1), and those that frame one message. */
export const connectionHeaders: readonly string[] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];
