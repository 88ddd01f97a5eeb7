/**
 * Headers that concern only a single connection or message, and are therefore not forwarded.
 */

/** Connection-specific headers (RFC 9110, section 7.6.1), and headers that frame a single message. */
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
