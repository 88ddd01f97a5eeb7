/**
 * A fake model engine with the OpenAI chat API, with and without streaming. Its answers name the version and
 * echo the prompt, so that a caller can detect an answer to another request.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Announcement } from "../../src/common/upstreams/Upstream.ts";
import { FakeUpstream, type FakeUpstreamOptions, pause, readText } from "./FakeUpstream.ts";

/** Options of a fake engine. */
export interface FakeEngineOptions extends FakeUpstreamOptions {
    readonly versions: readonly { readonly model: string; readonly version: string; }[];
    /** Time until the first token, in ms. */
    readonly firstTokenMs?: number;
    /** Time between tokens, in ms. */
    readonly tokenMs?: number;
    /** Number of tokens of an answer. */
    readonly tokens?: number;
    /** Whether a broken stream can be continued; its events then carry ids. */
    readonly resumesStreams?: boolean;
}

interface ChatBody {
    readonly model: string;
    readonly messages: readonly { readonly content: string; }[];
    readonly stream?: boolean;
}

interface StreamState {
    readonly body: ChatBody;
    sent: number;
}

const DEFAULT_TOKENS = 8;

/** A model engine for tests and the demo. */
export class FakeEngine extends FakeUpstream {
    /** Number of tokens after which a stream's connection is closed, for the next `remainingBreaks` streams. */
    public breakAfterTokens = Infinity;
    public remainingBreaks = 0;
    /** HTTP status with which every request fails; 0 for normal answers. */
    public errorStatus = 0;
    /** Whether responses carry the id of another request. */
    public returnsWrongRequestId = false;
    private readonly engineOptions: FakeEngineOptions;
    private versions: FakeEngineOptions["versions"];
    private readonly streams = new Map<string, StreamState>();

    public constructor(options: FakeEngineOptions) {
        super(options);
        this.engineOptions = options;
        this.versions = options.versions;
    }

    /** Changes the announced versions, as after a version is loaded or unloaded. */
    public setVersions(versions: FakeEngineOptions["versions"]): void {
        this.versions = versions;
    }

    protected announcementFields(): Partial<Announcement> {
        return { versions: [...this.versions], resumesStreams: this.engineOptions.resumesStreams ?? false };
    }

    protected async respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (this.errorStatus > 0) {
            res.writeHead(this.errorStatus).end();
            return;
        }
        if (this.returnsWrongRequestId) {
            res.setHeader("x-request-id", "another-request");
        }
        const resumedId = /^\/v1\/streams\/(.+)$/.exec(req.url ?? "")?.[1];
        if (resumedId !== undefined) {
            await this.resume(req, res, resumedId);
            return;
        }
        const body = JSON.parse(await readText(req)) as ChatBody;
        await pause(this.engineOptions.firstTokenMs ?? 0);
        if (body.stream === true) {
            await this.sendStream(res, String(req.headers["x-request-id"]), { body, sent: 0 });
            return;
        }
        await pause((this.engineOptions.tokenMs ?? 0) * this.tokens);
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify({
            id: req.headers["x-request-id"],
            object: "chat.completion",
            model: body.model,
            choices: [{
                index: 0,
                message: { role: "assistant", content: this.completionText(body) },
                finish_reason: "stop",
            }],
            usage: this.usage(body),
        }));
    }

    private get tokens(): number {
        return this.engineOptions.tokens ?? DEFAULT_TOKENS;
    }

    private completionText(body: ChatBody): string {
        return `${body.model} answers: ${body.messages.at(-1)?.content ?? ""}`;
    }

    private usage(body: ChatBody): object {
        const prompt = body.messages.reduce((sum, message) => sum + message.content.length, 0);
        return {
            prompt_tokens: Math.ceil(prompt / 4),
            completion_tokens: this.tokens,
            total_tokens: Math.ceil(prompt / 4) + this.tokens,
        };
    }

    private async resume(req: IncomingMessage, res: ServerResponse, id: string): Promise<void> {
        const state = this.streams.get(id);
        if (state === undefined) {
            res.writeHead(404).end();
            return;
        }
        state.sent = Number(req.headers["last-event-id"] ?? 0);
        await this.sendStream(res, id, state);
    }

    private async sendStream(res: ServerResponse, id: string, state: StreamState): Promise<void> {
        this.streams.set(id, state);
        res.writeHead(200, { "content-type": "text/event-stream" });
        while (state.sent < this.tokens) {
            if (res.destroyed) {
                return;
            }
            if (this.remainingBreaks > 0 && state.sent >= this.breakAfterTokens) {
                this.remainingBreaks--;
                res.destroy();
                return;
            }
            state.sent++;
            const content = `${state.sent}:${this.completionText(state.body)} `;
            const chunk = {
                object: "chat.completion.chunk",
                model: state.body.model,
                choices: [{ index: 0, delta: { content } }],
            };
            res.write(
                `${this.engineOptions.resumesStreams === true ? `id: ${state.sent}\n` : ""}data: ${
                    JSON.stringify(chunk)
                }\n\n`,
            );
            await pause(this.engineOptions.tokenMs ?? 0);
        }
        res.write(`data: ${JSON.stringify({ choices: [], usage: this.usage(state.body) })}\n\n`);
        res.end("data: [DONE]\n\n");
        this.streams.delete(id);
    }
}
