/**
 * A request of a caller and the answer of an upstream as the gateway sees them. The adapter of a deployment decodes
 * its headers into these types; nothing else knows how they are spelled.
 */

/** A part of a prompt; requests that begin with the same parts can share what an engine has read of them. */
export interface PromptSegment {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller says of its prompt. */
export interface Prompt {
    /** Tokens to read. */
    readonly tokens: number;
    /** Most tokens to generate. */
    readonly maxOutput: number;
    /** Parts in order; the last one belongs to the request itself or to its session. */
    readonly segments: readonly PromptSegment[];
}

/** A caller's request. */
export interface CallerRequest {
    /** Empty when the caller named none. */
    readonly id: string;
    readonly method: string;
    readonly host: string;
    /** Path with the query. */
    readonly path: string;
    readonly key: string | undefined;
    /** How long the caller waits from now, in ms. */
    readonly deadlineMs: number | undefined;
    readonly session: string | undefined;
    /** Id of the last event that the caller has of an earlier stream. */
    readonly resumeAfter: string | undefined;
    readonly prompt: Prompt | undefined;
    /** Header names and values in turn that pass through unchanged. */
    readonly headers: readonly string[];
}

/** What the gateway sets for one attempt at an upstream. */
export interface AttemptParameters {
    readonly upstream: string;
    /** Time that is left, in ms. */
    readonly deadlineMs: number;
    readonly account: string | undefined;
    /** Model that the gateway chose; undefined leaves the caller's word. */
    readonly model: string | undefined;
    /** Urgency at the upstream, 0 to 9, 0 first; undefined leaves the default. */
    readonly priority: number | undefined;
    /** Id of the last whole event that the caller has. */
    readonly resumeAfter: string | undefined;
}

/** Load that an upstream reports with an answer. */
export interface UpstreamLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** The head of an upstream's answer. */
export interface ResponseHead {
    readonly status: number;
    /** Header names and values in turn that pass through unchanged. */
    readonly headers: readonly string[];
    /** Id of the request that the upstream says it answers. */
    readonly requestId: string | undefined;
    /** Whether the upstream proves that it has not run the request, and will not. */
    readonly isNotRun: boolean;
    /** Whether the answer bears the signature of an upstream. */
    readonly isSigned: boolean;
    /** Whether the body is encoded, which none is that callers ask for. */
    readonly isEncoded: boolean;
    readonly load: UpstreamLoad | undefined;
    /** The model's own opinion of its answer, 0 to 100. */
    readonly confidence: number | undefined;
}

/** How a deployment spells requests and answers. */
export interface ExchangeCodec {
    /** `headers` are names and values in turn, as they came. */
    readRequest(method: string, url: string, headers: readonly string[]): CallerRequest;
    /** Headers of an attempt, names and values in turn. */
    attemptHeaders(req: CallerRequest, terms: AttemptParameters): string[];
    readHead(status: number, headers: readonly string[]): ResponseHead;
    /** Headers of an answer of the gateway's own. */
    refusalHeaders(req: CallerRequest | undefined, retryAfterMs: number | undefined): Record<string, string>;
}
