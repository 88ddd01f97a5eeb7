/**
 * The body of `POST /v1/chat/completions`, validated as far as routing depends on it. All other fields are forwarded
 * to the engine unchanged.
 */
import * as z from "zod";
import { routerError } from "../../common/errors/RouterError.ts";
import { estimateTokens, prefixHashes } from "../../common/routing/Prompt.ts";

/** Expected length of an answer when the request does not limit it, in tokens. */
const DEFAULT_ANSWER_TOKENS = 256;

const chatSchema = z.looseObject({
    model: z.string().min(1).max(130),
    messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
    stream: z.boolean().optional(),
    max_tokens: z.number().int().positive().optional(),
    stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
});

/** Validated chat request. */
export type ChatRequest = z.infer<typeof chatSchema>;

/** A chat request with the values that routing derives from it. */
export interface ParsedChat {
    readonly request: ChatRequest;
    readonly isStream: boolean;
    /** Estimated length of the prompt, in tokens. */
    readonly promptTokens: number;
    /** Expected length of the answer, in tokens: the limit in the request, or a default. */
    readonly answerTokens: number;
    /** Hashes of the prompt's prefixes, shortest first. */
    readonly prefixes: readonly string[];
}

/** Validates the body. Throws `malformedRequest` with the name of the first invalid field. */
export const parseChat = (body: unknown): ParsedChat => {
    const result = chatSchema.safeParse(body);
    if (!result.success) {
        const issue = result.error.issues[0];
        const field = issue?.path.join(".") ?? "";
        const message = `field "${field}": ${issue?.message ?? "is invalid"}`;
        throw routerError(message, { code: "malformedRequest", step: "read request" });
    }
    const request = result.data;
    const prompt = promptText(request);
    return {
        request,
        isStream: request.stream === true,
        promptTokens: estimateTokens(prompt.length),
        answerTokens: request.max_tokens ?? DEFAULT_ANSWER_TOKENS,
        prefixes: prefixHashes(prompt),
    };
};

/** Contents of all messages as one text; structured contents as JSON. */
const promptText = (request: ChatRequest): string => {
    let text = "";
    for (const message of request.messages) {
        text += typeof message.content === "string" ? message.content : JSON.stringify(message.content ?? "");
    }
    return text;
};

/** The request body for an engine: names the chosen version as the model, and requests usage in streams. */
export const toEngineBody = (chat: ParsedChat, versionKey: string): Buffer => {
    const body = { ...chat.request, model: versionKey };
    if (chat.isStream) {
        body.stream_options = { ...chat.request.stream_options, include_usage: true };
    }
    return Buffer.from(JSON.stringify(body));
};
