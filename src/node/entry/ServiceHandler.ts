/**
 * Forwards calls to plain services: `/services/NAME/PATH` becomes `/PATH` on one of the service's upstreams. Calls
 * that the sheet does not declare idempotent run at most once.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { type RecordBill } from "../../common/billing/Bill.ts";
import { routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { type AtMostOnceExecutor } from "../../common/idempotency/AtMostOnceExecutor.ts";
import { type RecordedOutcome } from "../../common/idempotency/ReservationTable.ts";
import { type Attempt, type Attempts } from "../../common/routing/Attempts.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { serviceTarget } from "../../common/upstreams/Upstream.ts";
import { RUN_HEADER, type UpstreamAnswer, type UpstreamClient } from "../dispatch/UpstreamClient.ts";
import { connectionHeaders } from "../http/ConnectionHeaders.ts";
import { readBody } from "../http/HttpBody.ts";
import { readToEnd, throwIfUpstreamFailed } from "./ChatHandler.ts";
import { billId, fingerprintOf, refuseQuarantined, type RequestContext } from "./RequestContext.ts";

/** Path prefix of services. */
export const SERVICES_PATH = "/services/";
/** Answers up to this size are read completely before they are relayed, so that an interrupted one can be retried. */
const MAX_BUFFERED_BYTES = 65_536;
/** Largest body that is recorded for repeats of the call, in bytes. */
const MAX_RECORDED_BYTES = 262_144;
/** Header that marks an answer as the recorded outcome of an earlier run. */
export const REPEAT_HEADER = "x-idempotent-repeat";
/** Cost of a call in the fair queue, in tokens. */
const CALL_COST = 100;

/** Headers that are not forwarded: those of a single connection, and those that the router sets itself. */
const unforwardedHeaders = new Set([...connectionHeaders, "host", "authorization", "x-request-id"]);

/** Dependencies of the handler. */
export interface ServiceDependencies {
    readonly clock: Clock;
    readonly attempts: Attempts;
    readonly client: UpstreamClient;
    readonly atMostOnce: AtMostOnceExecutor;
    readonly recordBill: RecordBill;
    readonly maxBodyBytes: number;
}

/** A parsed call of a service. */
export interface ServiceCall {
    readonly service: string;
    readonly method: string;
    /** Path and query that the service receives. */
    readonly path: string;
    readonly isIdempotent: boolean;
}

/** A call with the content that is sent to the service. */
interface OutgoingCall {
    readonly ctx: RequestContext;
    readonly call: ServiceCall;
    readonly body: Buffer;
    readonly headers: Record<string, string>;
    readonly fingerprint: string;
}

/** Answers service calls. */
export class ServiceHandler {
    private readonly deps: ServiceDependencies;

    public constructor(deps: ServiceDependencies) {
        this.deps = deps;
    }

    /** Answers the call. Rejects with a `RouterError` when that fails, even after the answer has begun. */
    public async handle(ctx: RequestContext, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const call = parseCall(ctx, req);
        const body = await readBody(req, this.deps.maxBodyBytes);
        const fingerprint = fingerprintOf(ctx, call.method, call.path, body);
        refuseQuarantined(ctx, fingerprint, this.deps.clock.now());
        const outgoing: OutgoingCall = { ctx, call, body, headers: forwardedRequestHeaders(req), fingerprint };
        if (!call.isIdempotent && ctx.idempotencyKey !== undefined) {
            await this.runAtMostOnce(outgoing, ctx.idempotencyKey, res);
            return;
        }
        await this.attempt(
            outgoing,
            (attempt, answer) => this.relay(outgoing, attempt, answer, res),
            () => res.headersSent,
        );
    }

    /** Runs the call at most once per idempotency key. A repeat gets the recorded outcome. */
    private async runAtMostOnce(outgoing: OutgoingCall, key: string, res: ServerResponse): Promise<void> {
        const { ctx, call, fingerprint } = outgoing;
        const req = {
            account: ctx.account.name,
            key: `${call.service} ${key}`,
            bodyHash: fingerprint,
            claimId: ctx.id,
            remainingMs: ctx.remainingMs,
        };
        const handleAnswer = (attempt: Attempt, answer: UpstreamAnswer): Promise<RecordedOutcome> =>
            this.bufferAnswer(outgoing, attempt, answer);
        const { outcome, isRepeat } = await this.deps.atMostOnce.run(
            req,
            () => this.attempt(outgoing, handleAnswer, () => false),
        );
        const body = Buffer.from(outcome.body, "base64");
        res.writeHead(outcome.status, {
            "x-request-id": ctx.id,
            "content-type": outcome.contentType,
            "content-length": body.length,
            ...(isRepeat ? { [REPEAT_HEADER]: outcome.isBodyOmitted === true ? "body omitted" : "true" } : {}),
        });
        res.end(body);
    }

    private attempt<T>(
        outgoing: OutgoingCall,
        handleAnswer: (attempt: Attempt, answer: UpstreamAnswer) => Promise<T>,
        hasResponseStarted: () => boolean,
    ): Promise<T> {
        const { ctx, call, body, headers, fingerprint } = outgoing;
        const work = {
            target: serviceTarget(call.service),
            cost: CALL_COST,
            prefixes: [],
            prefillMs: 0,
            isIdempotent: call.isIdempotent,
            fingerprint,
        };
        const send = async (attempt: Attempt): Promise<T> => {
            const answer = await this.deps.client.send(attempt.assignment.upstream, {
                attemptId: attempt.id,
                method: call.method,
                path: call.path,
                headers,
                body: body.length === 0 ? undefined : body,
                signal: attempt.signal,
                timeoutMs: Math.ceil(ctx.remainingMs),
                requiresEcho: false,
            });
            // If the call ran and may not be repeated, its answer is relayed whatever the status.
            if (call.isIdempotent || answer.headers[RUN_HEADER] === "not_run") {
                throwIfUpstreamFailed(answer, attempt);
            }
            return handleAnswer(attempt, answer);
        };
        return this.deps.attempts.run(ctx, work, send, hasResponseStarted);
    }

    private async bufferAnswer(
        outgoing: OutgoingCall,
        attempt: Attempt,
        answer: UpstreamAnswer,
    ): Promise<RecordedOutcome> {
        const body = await readToEnd(answer.body);
        await this.bill(outgoing, attempt, true);
        const isBodyOmitted = body.length > MAX_RECORDED_BYTES;
        return {
            status: answer.status,
            contentType: String(answer.headers["content-type"] ?? "application/octet-stream"),
            body: body.toString("base64"),
            ...(isBodyOmitted ? { isBodyOmitted } : {}),
        };
    }

    private async relay(
        outgoing: OutgoingCall,
        attempt: Attempt,
        answer: UpstreamAnswer,
        res: ServerResponse,
    ): Promise<void> {
        const headers = { ...forwardedAnswerHeaders(answer), "x-request-id": outgoing.ctx.id };
        const length = Number(answer.headers["content-length"] ?? NaN);
        if (length <= MAX_BUFFERED_BYTES) {
            const body = await readToEnd(answer.body);
            await this.bill(outgoing, attempt, true);
            res.writeHead(answer.status, { ...headers, "content-length": body.length });
            res.end(body);
            return;
        }
        res.writeHead(answer.status, headers);
        try {
            await pipeline(answer.body, res, { end: false });
        }
        catch (err) {
            await this.bill(outgoing, attempt, false);
            res.destroy();
            const peer = attempt.assignment.upstream.announcement.id;
            throw toRouterError(err, { code: "upstreamFailed", run: "ran", step: "relay answer", peer });
        }
        await this.bill(outgoing, attempt, true);
        res.end();
    }

    private async bill({ ctx, call }: OutgoingCall, attempt: Attempt, isComplete: boolean): Promise<void> {
        const cost = ctx.table.service(call.service)?.cost ?? 0;
        const target = serviceTarget(call.service);
        const upstream = attempt.assignment.upstream.announcement.id;
        await this.deps.recordBill({
            id: billId(ctx),
            account: ctx.account.name,
            target,
            at: this.deps.clock.now(),
            promptTokens: 0,
            completionTokens: 0,
            cost,
            items: [{ target, upstream, tokens: 0, cost }],
            isComplete,
        });
    }
}

/** Parses a service call. Throws when the path is invalid or the account may not use the service. */
export const parseCall = (ctx: RequestContext, req: IncomingMessage): ServiceCall => {
    const nameAndPath = (req.url ?? "").slice(SERVICES_PATH.length);
    const nameEnd = nameAndPath.search(/[/?]|$/);
    const service = nameAndPath.slice(0, nameEnd);
    const path = nameAndPath.slice(nameEnd).startsWith("/")
        ? nameAndPath.slice(nameEnd)
        : `/${nameAndPath.slice(nameEnd)}`;
    if (ctx.table.service(service) === undefined) {
        throw routerError(`no service "${service}"`, { code: "unknownService", step: "choose service" });
    }
    if (!ctx.account.services.has(service)) {
        const message = `account "${ctx.account.name}" may not use service "${service}"`;
        throw routerError(message, { code: "notAllowed", step: "choose service" });
    }
    const method = req.method ?? "GET";
    const pathname = path.split("?")[0] ?? path;
    if (isAmbiguousPath(pathname)) {
        throw routerError("the path has a dot segment, an empty segment, a backslash or an encoded slash", {
            code: "malformedRequest",
            step: "choose service",
        });
    }
    return { service, method, path, isIdempotent: ctx.table.isIdempotentCall(service, method, pathname) };
};

/** Whether the service could resolve the path to another one than the path that is matched with the sheet's calls. */
const isAmbiguousPath = (path: string): boolean =>
    path.split("/").some(segment => /^(\.|%2e){1,2}$/i.test(segment)) || path.includes("//")
    || /%2f|%5c|\\/i.test(path);

const forwardedRequestHeaders = (req: IncomingMessage): Record<string, string> => {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(req.headers)) {
        if (value !== undefined && !unforwardedHeaders.has(name)) {
            headers[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return headers;
};

const forwardedAnswerHeaders = (answer: UpstreamAnswer): Record<string, string | string[]> => {
    const headers: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(answer.headers)) {
        if (value !== undefined && !unforwardedHeaders.has(name)) {
            headers[name] = value;
        }
    }
    return headers;
};
