/**
 * The body of `POST /v1/chat/completions`, checked as far as routing depends on it. Everything else is
 * passed to the engine as it is.
 */
import { z } from "zod";
import { routerError } from "../../common/errors/RouterError.ts";
import { estimateTokens, prefixHashes } from "../../common/routing/Prompt.ts";

/** Tokens that an answer is expected to have when the request does not limit it. */
const DEFAULT_ANSWER_TOKENS = 256;

const chatSchema = z.looseObject({
    model: z.string().min(1).max(130),
    messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
    stream: z.boolean().optional(),
    max_tokens: z.number().int().positive().optional(),
    stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
});

/** Checked chat request. */
export type ChatRequest = z.infer<typeof chatSchema>;

/** A chat request with what routing derives from it. */
export interface ParsedChat {
    readonly request: ChatRequest;
    readonly isStream: boolean;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly prefixes: readonly string[];
}

/** Checks the body; a fault is answered with the field's name. */
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

/** Text of all messages, as far as they are text. */
const promptText = (request: ChatRequest): string => {
    let text = "";
    for (const message of request.messages) {
        text += typeof message.content === "string" ? message.content : JSON.stringify(message.content ?? "");
    }
    return text;
};

/** The body for an engine: the version in place of the asked model, and usage reported in streams. */
export const toEngineBody = (chat: ParsedChat, versionKey: string): Buffer => {
    const body = { ...chat.request, model: versionKey };
    if (chat.isStream) {
        body.stream_options = { ...chat.request.stream_options, include_usage: true };
    }
    return Buffer.from(JSON.stringify(body));
};
