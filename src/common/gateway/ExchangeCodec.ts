/**
 * Requests of callers and responses of upstreams, independent of the headers that carry them. The adapter of a
 * deployment converts between its headers and these types; no other code depends on the header names.
 */

/** A segment of a prompt. Requests whose prompts begin with the same segments can share an engine's prefix cache. */
export interface PromptSegment {
    readonly id: string;
    readonly tokens: number;
}

/** Size and segments of a prompt, as declared by the caller. */
export interface Prompt {
    /** Length of the prompt, in tokens. */
    readonly tokens: number;
    /** Most tokens to generate. */
    readonly maxOutput: number;
    /** In order; the last segment is specific to the request or its session. */
    readonly segments: readonly PromptSegment[];
}

/** The last segment of a prompt that other requests may share, and the number of tokens up to its end. */
export const sharedPrefixOf = (prompt: Prompt | undefined): { key: string; tokens: number; } | undefined => {
    const shared = prompt?.segments.slice(0, -1) ?? [];
    const last = shared.at(-1);
    return last === undefined
        ? undefined
        : { key: last.id, tokens: shared.reduce((sum, segment) => sum + segment.tokens, 0) };
};

/** A request of a caller. */
export interface CallerRequest {
    /** Empty when the caller sent none. */
    readonly id: string;
    readonly method: string;
    readonly host: string;
    /** Includes the query. */
    readonly path: string;
    /** Key of the client account. */
    readonly key: string | undefined;
    /** Time until the caller's deadline, in ms. */
    readonly deadlineMs: number | undefined;
    readonly session: string | undefined;
    /** Id of the last event that the caller received of an interrupted stream. */
    readonly resumeAfter: string | undefined;
    readonly prompt: Prompt | undefined;
    /** Headers that are forwarded unchanged, as alternating names and values. */
    readonly headers: readonly string[];
}

/** Values that the gateway sets in the headers of one attempt. */
export interface AttemptParameters {
    readonly upstream: string;
    /** Time until the deadline, in ms. */
    readonly deadlineMs: number;
    readonly account: string | undefined;
    /** Model that the gateway chose; undefined keeps the one that the caller requested. */
    readonly model: string | undefined;
    /** Priority at the upstream, 0 to 9, where 0 is the most urgent; undefined leaves the upstream's default. */
    readonly priority: number | undefined;
    /** Id of the last complete event that the caller has received. */
    readonly resumeAfter: string | undefined;
}

/** Load that an upstream reports in the headers of a response. */
export interface UpstreamLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes at this moment, relative to usual; undefined if the upstream doesn't state it. */
    readonly slowdown: number | undefined;
}

/** Status and decoded headers of an upstream's response. */
export interface ResponseHead {
    readonly status: number;
    /** Headers that are forwarded unchanged, as alternating names and values. */
    readonly headers: readonly string[];
    /** Id of the request to which this is the response, according to the upstream. */
    readonly requestId: string | undefined;
    /** Whether the upstream guarantees that it has not run the request and never will. */
    readonly isNotRun: boolean;
    /** Whether the response carries the stamp that upstreams add to their responses. */
    readonly hasStamp: boolean;
    /** Whether the body has a content encoding. Callers request none, so such a response can't be used. */
    readonly isEncoded: boolean;
    readonly load: UpstreamLoad | undefined;
    /** Requests per second that the upstream takes from all instances together; undefined if it names no limit. */
    readonly requestLimit: number | undefined;
    /** Refusals for want of room in one second above which the upstream falls over; undefined if it names none. */
    readonly bearableRefusals: number | undefined;
    /** Whether the upstream states that it is leaving. */
    readonly isLeaving: boolean;
    /** Time for which the upstream, which refuses the request, wants no others from this instance, in ms. */
    readonly pauseMs: number | undefined;
    /** Whether the response names such a time that can't be read. */
    readonly hasInvalidPause: boolean;
    /** Confidence of the model in its answer, 0 to 100. */
    readonly confidence: number | undefined;
}

/** Converts between the headers of a deployment and the types of the gateway. */
export interface ExchangeCodec {
    /** @param headers alternating names and values, as received */
    readRequest(method: string, url: string, headers: readonly string[]): CallerRequest;
    /** Headers of an attempt, as alternating names and values. */
    attemptHeaders(req: CallerRequest, params: AttemptParameters): string[];
    readHead(status: number, headers: readonly string[]): ResponseHead;
    /** Headers of a response that the gateway itself sends. `req` is undefined when no request could be read. */
    refusalHeaders(req: CallerRequest | undefined, retryAfterMs: number | undefined): Record<string, string>;
}
