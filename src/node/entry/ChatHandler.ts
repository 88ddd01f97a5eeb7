/**
 * Answers `POST /v1/chat/completions`: chooses the version, sends the request to an engine, relays the answer buffered
 * or as a stream, and records one bill before it sends the end of the answer.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Readable } from "node:stream";
import { type Bill, type BillItem, type RecordBill, tokenCost } from "../../common/billing/Bill.ts";
import { type ActiveVersion } from "../../common/configuration/RoutingTable.ts";
import { toProblem } from "../../common/errors/Problem.ts";
import { routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { type Attempt, type Attempts } from "../../common/routing/Attempts.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type UpstreamAnswer, type UpstreamClient } from "../dispatch/UpstreamClient.ts";
import { RUN_HEADER } from "../dispatch/UpstreamClient.ts";
import { parseJson, readBody } from "../http/HttpBody.ts";
import { type CascadeRunner } from "./CascadeRunner.ts";
import { parseChat, type ParsedChat, toEngineBody } from "./ChatRequest.ts";
import { billId, fingerprintOf, refuseQuarantined, type RequestContext } from "./RequestContext.ts";
import { readUsage, SseRelay, type Usage } from "./SseRelay.ts";

export const MODEL_HEADER = "x-model";
export const VERSION_HEADER = "x-model-version";
export const SESSION_MOVED_HEADER = "x-session-moved-from";

const CHAT_PATH = "/v1/chat/completions";
/** Status codes from here on are failures of the upstream. */
const FIRST_SERVER_ERROR = 500;
/** Status codes from here on are errors; those of the request itself are relayed and not billed. */
const FIRST_CLIENT_ERROR = 400;
/** Status codes with which an engine refuses a request because it is overloaded. */
const OVERLOAD_STATUSES = new Set([429, 502, 503, 504]);
/** Maximum number of resumptions of one stream. */
const MAX_RESUMES = 2;

/** The version that answers, and the previous version of the session if it had to move. */
export interface ChosenVersion {
    readonly version: ActiveVersion;
    readonly movedFrom?: string | undefined;
}

/** Chooses the version for a request. Rejects with a `RouterError` when none may answer. */
export type ChooseVersion = (ctx: RequestContext, chat: ParsedChat) => Promise<ChosenVersion>;

/** Dependencies of the handler. */
export interface ChatDependencies {
    readonly clock: Clock;
    readonly attempts: Attempts;
    readonly client: UpstreamClient;
    readonly chooseVersion: ChooseVersion;
    /** Set when a rating service is configured. */
    readonly cascade: CascadeRunner | undefined;
    readonly recordBill: RecordBill;
    readonly maxBodyBytes: number;
    /** Time that an engine takes to prefill one uncached token of a prompt, in ms. */
    readonly prefillMsPerToken: number;
}

/** A chat request that is being answered by one version. */
interface Exchange {
    readonly ctx: RequestContext;
    readonly res: ServerResponse;
    readonly chat: ParsedChat;
    readonly chosen: ChosenVersion;
    readonly body: Buffer;
    readonly fingerprint: string;
    readonly items: BillItem[];
}

/** An answer that was read completely. */
interface BufferedAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
    readonly usage: Usage | undefined;
}

/** Answers chat requests, buffered or as a stream. */
export class ChatHandler {
    private readonly deps: ChatDependencies;

    public constructor(deps: ChatDependencies) {
        this.deps = deps;
    }

    /** Answers the request. Rejects with a `RouterError` when that fails, even after the answer has begun. */
    public async handle(ctx: RequestContext, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const chat = parseChat(parseJson(await readBody(req, this.deps.maxBodyBytes)));
        const plan = this.deps.cascade?.plan(ctx, chat);
        const chosen = plan === undefined ? await this.deps.chooseVersion(ctx, chat) : { version: plan.current };
        const exchange = this.createExchange(ctx, res, chat, chosen);
        if (chat.isStream) {
            await this.run(exchange, attempt => this.sendStream(exchange, attempt));
            return;
        }
        let answer = await this.run(exchange, attempt => this.sendBuffered(exchange, attempt));
        let last = exchange;
        while (
            plan !== undefined && answer.status < FIRST_CLIENT_ERROR
            && await this.deps.cascade?.tryEscalate(plan, ctx, chat, answer)
        ) {
            last = { ...this.createExchange(ctx, res, chat, { version: plan.current }), items: last.items };
            const current = last;
            answer = await this.run(current, attempt => this.sendBuffered(current, attempt));
        }
        await this.finishBuffered(last, answer);
    }

    private createExchange(
        ctx: RequestContext,
        res: ServerResponse,
        chat: ParsedChat,
        chosen: ChosenVersion,
    ): Exchange {
        const body = toEngineBody(chat, chosen.version.key);
        const fingerprint = fingerprintOf(ctx, body);
        refuseQuarantined(ctx, fingerprint, this.deps.clock.now());
        return { ctx, res, chat, chosen, body, fingerprint, items: [] };
    }

    private run<T>(exchange: Exchange, send: (attempt: Attempt) => Promise<T>): Promise<T> {
        const { ctx, chat, chosen, fingerprint, res } = exchange;
        const work = {
            target: chosen.version.key,
            cost: chat.promptTokens + chat.answerTokens,
            prefixes: chat.prefixes,
            prefillMs: chat.promptTokens * this.deps.prefillMsPerToken,
            isIdempotent: true,
            fingerprint,
        };
        return this.deps.attempts.run(ctx, work, send, () => res.headersSent);
    }

    private async sendStream(exchange: Exchange, attempt: Attempt): Promise<void> {
        const answer = await this.request(exchange, attempt);
        throwIfUpstreamFailed(answer, attempt);
        if (answer.status < FIRST_CLIENT_ERROR) {
            await this.relayStream(exchange, attempt, answer);
            return;
        }
        await this.finishBuffered(exchange, await this.readAnswer(exchange, attempt, answer));
    }

    private async sendBuffered(exchange: Exchange, attempt: Attempt): Promise<BufferedAnswer> {
        const answer = await this.request(exchange, attempt);
        throwIfUpstreamFailed(answer, attempt);
        return this.readAnswer(exchange, attempt, answer);
    }

    private request(exchange: Exchange, attempt: Attempt): Promise<UpstreamAnswer> {
        const { ctx } = exchange;
        return this.deps.client.send(attempt.assignment.upstream, {
            attemptId: attempt.id,
            method: "POST",
            path: CHAT_PATH,
            headers: engineHeaders(ctx),
            body: exchange.body,
            signal: attempt.signal,
            timeoutMs: Math.ceil(ctx.remainingMs),
            requiresEcho: true,
        });
    }

    /** Reads an answer completely before any of it is sent to the caller, so that an interrupted one can be retried. */
    private async readAnswer(exchange: Exchange, attempt: Attempt, answer: UpstreamAnswer): Promise<BufferedAnswer> {
        const body = await readToEnd(answer.body);
        const { status } = answer;
        const usage = status < FIRST_CLIENT_ERROR ? readUsage(parseAnswer(body, attempt)) : undefined;
        if (status < FIRST_CLIENT_ERROR) {
            this.addBillItem(exchange, attempt, usage ?? estimateUsage(exchange.chat, exchange.chat.answerTokens));
        }
        return { status, contentType: String(answer.headers["content-type"] ?? "application/json"), body, usage };
    }

    private async finishBuffered(exchange: Exchange, answer: BufferedAnswer): Promise<void> {
        const { res, chosen, ctx } = exchange;
        if (answer.status < FIRST_CLIENT_ERROR) {
            await this.deps.recordBill(this.toBill(exchange, answer.usage, true));
        }
        res.writeHead(answer.status, {
            ...answerHeaders(ctx, chosen),
            "content-type": answer.contentType,
            "content-length": answer.body.length,
        });
        res.end(answer.body);
    }

    private async relayStream(exchange: Exchange, attempt: Attempt, answer: UpstreamAnswer): Promise<void> {
        const { ctx, res, chosen, chat } = exchange;
        const relay = new SseRelay(res, chat.request.stream_options?.include_usage === true);
        const firstChunk = await waitForFirstChunk(answer.body);
        res.writeHead(answer.status, {
            ...answerHeaders(ctx, chosen),
            "content-type": "text/event-stream",
            "cache-control": "no-store",
        });
        try {
            await this.relayWithResume(exchange, attempt, relay, firstChunk);
            await this.billStream(exchange, attempt, relay, true);
            relay.finish();
        }
        catch (err) {
            await this.billStream(exchange, attempt, relay, false);
            const failure = toRouterError(err, relayFailure(attempt));
            relay.fail(toProblem(failure, ctx.id));
            throw failure;
        }
    }

    /** Relays the stream. After an interruption it is resumed if the engine supports that. */
    private async relayWithResume(
        exchange: Exchange,
        attempt: Attempt,
        relay: SseRelay,
        body: Readable,
    ): Promise<void> {
        let current = body;
        for (let resumes = 0;; resumes++) {
            let failure: unknown = routerError("the stream ended without a [DONE] event", relayFailure(attempt));
            try {
                await relay.run(current);
            }
            catch (err) {
                failure = err;
            }
            if (relay.isDone) {
                return;
            }
            if (exchange.ctx.signal.aborted || resumes >= MAX_RESUMES || !canResume(attempt, relay)) {
                throw failure;
            }
            current = await this.resume(exchange, attempt, relay);
        }
    }

    private async resume(exchange: Exchange, attempt: Attempt, relay: SseRelay): Promise<Readable> {
        const { ctx } = exchange;
        const answer = await this.deps.client.send(attempt.assignment.upstream, {
            attemptId: attempt.id,
            method: "GET",
            path: `/v1/streams/${attempt.id}`,
            headers: { "last-event-id": relay.lastEventId ?? "" },
            body: undefined,
            signal: attempt.signal,
            timeoutMs: Math.ceil(ctx.remainingMs),
            requiresEcho: true,
        });
        if (answer.status >= FIRST_CLIENT_ERROR) {
            answer.body.resume();
            throw routerError(
                `the engine could not resume the stream (status ${answer.status})`,
                relayFailure(attempt),
            );
        }
        return answer.body;
    }

    private async billStream(
        exchange: Exchange,
        attempt: Attempt,
        relay: SseRelay,
        isComplete: boolean,
    ): Promise<void> {
        const usage = relay.usage ?? estimateUsage(exchange.chat, relay.events);
        this.addBillItem(exchange, attempt, usage);
        await this.deps.recordBill(this.toBill(exchange, usage, isComplete));
    }

    private addBillItem(exchange: Exchange, attempt: Attempt, usage: Usage): void {
        const { version } = exchange.chosen;
        const tokens = usage.promptTokens + usage.completionTokens;
        const upstream = attempt.assignment.upstream.announcement.id;
        exchange.items.push({ target: version.key, upstream, tokens, cost: tokenCost(tokens, version.cost) });
    }

    private toBill(exchange: Exchange, usage: Usage | undefined, isComplete: boolean): Bill {
        const { ctx, chosen, items, chat } = exchange;
        const counted = usage ?? estimateUsage(chat, chat.answerTokens);
        return {
            id: billId(ctx),
            account: ctx.account.name,
            target: chosen.version.key,
            at: this.deps.clock.now(),
            promptTokens: counted.promptTokens,
            completionTokens: counted.completionTokens,
            cost: items.reduce((sum, item) => sum + item.cost, 0),
            items,
            isComplete,
        };
    }
}

const engineHeaders = (ctx: RequestContext): Record<string, string> => ({
    "content-type": "application/json",
    "x-request-deadline-ms": String(Math.ceil(ctx.remainingMs)),
    "x-priority": String(ctx.priority),
});

const answerHeaders = (ctx: RequestContext, chosen: ChosenVersion): Record<string, string> => {
    const headers: Record<string, string> = {
        "x-request-id": ctx.id,
        [MODEL_HEADER]: chosen.version.model,
        [VERSION_HEADER]: chosen.version.version,
    };
    if (chosen.movedFrom !== undefined) {
        headers[SESSION_MOVED_HEADER] = chosen.movedFrom;
    }
    return headers;
};

/** Throws when the status is a failure of the upstream and not of the request. */
export const throwIfUpstreamFailed = (answer: UpstreamAnswer, attempt: Attempt): void => {
    if (answer.status < FIRST_SERVER_ERROR && !OVERLOAD_STATUSES.has(answer.status)) {
        return;
    }
    answer.body.on("error", () => undefined);
    answer.body.resume();
    const peer = attempt.assignment.upstream.announcement.id;
    throw routerError(`upstream ${peer} answered with status ${answer.status}`, {
        code: "upstreamFailed",
        run: answer.headers[RUN_HEADER] === "not_run" ? "not_run" : "unknown",
        step: "read answer",
        peer,
    });
};

const relayFailure = (attempt: Attempt): { code: "upstreamFailed"; run: "ran"; step: string; peer: string; } => ({
    code: "upstreamFailed",
    run: "ran",
    step: "relay stream",
    peer: attempt.assignment.upstream.announcement.id,
});

const canResume = (attempt: Attempt, relay: SseRelay): boolean =>
    attempt.assignment.upstream.announcement.resumesStreams && relay.lastEventId !== undefined;

const estimateUsage = (chat: ParsedChat, completionTokens: number): Usage => ({
    promptTokens: chat.promptTokens,
    completionTokens,
});

const parseAnswer = (body: Buffer, attempt: Attempt): unknown => {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (err) {
        const peer = attempt.assignment.upstream.announcement.id;
        const details = { code: "upstreamFailed", run: "ran", step: "read answer", peer, cause: err } as const;
        throw routerError(`upstream ${peer} sent an answer that is not JSON`, details);
    }
};

/** Reads a body completely. Rejects when it ends early. */
export const readToEnd = (body: Readable): Promise<Buffer> =>
    // Uses events because this runs for every answer, and an async iterator would cost more than the reading itself.
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        body.on("data", (chunk: Buffer) => chunks.push(chunk));
        body.on(
            "end",
            () => resolve(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)),
        );
        body.on("error", reject);
    });

/** Waits for the first data of a stream, so that a stream that fails earlier can be retried. */
const waitForFirstChunk = async (body: Readable): Promise<Readable> => {
    if (body.readableLength > 0) {
        return body;
    }
    await new Promise<void>((resolve, reject) => {
        const settle = (finish: () => void) => (): void => {
            body.off("readable", onReadable);
            body.off("error", onError);
            finish();
        };
        const onReadable = settle(resolve);
        const onError = (err: Error): void => settle(() => reject(err))();
        body.once("readable", onReadable);
        body.once("error", onError);
    });
    return body;
};
