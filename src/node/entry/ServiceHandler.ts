/**
 * Passes calls of plain services through: `/services/NAME/PATH` becomes `/PATH` on one of the service's
 * upstreams. Calls that the sheet does not declare idempotent are sent at most once.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { type RecordBill } from "../../common/billing/Bill.ts";
import { type AtMostOnceExecutor } from "../../common/claims/AtMostOnceExecutor.ts";
import { type RecordedOutcome } from "../../common/claims/ReservationTable.ts";
import { routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { type Attempt, type Attempts } from "../../common/routing/Attempts.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { serviceTarget } from "../../common/upstreams/Upstream.ts";
import { RUN_HEADER, type UpstreamAnswer, type UpstreamClient } from "../dispatch/UpstreamClient.ts";
import { connectionHeaders } from "../http/ConnectionHeaders.ts";
import { readBody } from "../http/HttpBody.ts";
import { readToEnd, throwIfUpstreamFailed } from "./ChatHandler.ts";
import { billId, fingerprintOf, refuseQuarantined, type RequestContext } from "./RequestContext.ts";

/** Path under which services are reached. */
export const SERVICES_PATH = "/services/";
/** Answers up to this size are read whole before they are passed on, so a broken one can be retried. */
const MAX_BUFFERED_BYTES = 65_536;
/** Largest answer whose body is recorded for repeats. */
const MAX_RECORDED_BYTES = 262_144;
/** Header of an answer that is the record of an earlier run. */
export const REPEAT_HEADER = "x-idempotent-repeat";
/** Cost of a call in the unit of the fair queue, which is tokens. */
const CALL_COST = 100;

/** Headers that belong to one connection, or that the router sets itself. */
const hopByHopHeaders = new Set([...connectionHeaders, "host", "authorization", "x-request-id"]);

/** What the handler works with. */
export interface ServiceDependencies {
    readonly clock: Clock;
    readonly attempts: Attempts;
    readonly client: UpstreamClient;
    readonly keyed: AtMostOnceExecutor;
    readonly recordBill: RecordBill;
    readonly maxBodyBytes: number;
}

/** A call of a service, taken apart. */
export interface ServiceCall {
    readonly service: string;
    readonly method: string;
    /** Path and query on the service. */
    readonly path: string;
    readonly isIdempotent: boolean;
}

/** A call with everything that is sent to the service. */
interface OutgoingCall {
    readonly ctx: RequestContext;
    readonly call: ServiceCall;
    readonly body: Buffer;
    readonly headers: Record<string, string>;
    readonly fingerprint: string;
}

/** Handler of service calls. */
export class ServiceHandler {
    private readonly deps: ServiceDependencies;

    public constructor(deps: ServiceDependencies) {
        this.deps = deps;
    }

    /** Answers the call. Rejects with a `RouterError` while no answer has begun. */
    public async handle(ctx: RequestContext, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const call = parseCall(ctx, req);
        const body = await readBody(req, this.deps.maxBodyBytes);
        const fingerprint = fingerprintOf(ctx, call.method, call.path, body);
        refuseQuarantined(ctx, fingerprint, this.deps.clock.now());
        const sending: OutgoingCall = { ctx, call, body, headers: forwardedRequestHeaders(req), fingerprint };
        if (!call.isIdempotent && ctx.idempotencyKey !== undefined) {
            await this.runAtMostOnce(sending, ctx.idempotencyKey, res);
            return;
        }
        await this.attempt(
            sending,
            (attempt, answer) => this.relay(sending, attempt, answer, res),
            () => res.headersSent,
        );
    }

    /** Runs the call at most once under its key; a repeat is answered from the record. */
    private async runAtMostOnce(sending: OutgoingCall, key: string, res: ServerResponse): Promise<void> {
        const { ctx, call, fingerprint } = sending;
        const req = {
            account: ctx.account.name,
            key: `${call.service} ${key}`,
            bodyHash: fingerprint,
            claimId: ctx.id,
            remainingMs: ctx.leftMs,
        };
        const hold = (attempt: Attempt, answer: UpstreamAnswer): Promise<RecordedOutcome> =>
            this.bufferAnswer(sending, attempt, answer);
        const { outcome, isRepeat } = await this.deps.keyed.run(req, () => this.attempt(sending, hold, () => false));
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
        sending: OutgoingCall,
        take: (attempt: Attempt, answer: UpstreamAnswer) => Promise<T>,
        hasBegun: () => boolean,
    ): Promise<T> {
        const { ctx, call, body, headers, fingerprint } = sending;
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
                timeoutMs: Math.ceil(ctx.leftMs),
                requiresEcho: false,
            });
            // An answer to a call that may not be repeated is the service's own and passed on, whatever its status.
            if (call.isIdempotent || answer.headers[RUN_HEADER] === "not_run") {
                throwIfUpstreamFailed(answer, attempt);
            }
            return take(attempt, answer);
        };
        return this.deps.attempts.run(ctx, work, send, hasBegun);
    }

    private async bufferAnswer(
        sending: OutgoingCall,
        attempt: Attempt,
        answer: UpstreamAnswer,
    ): Promise<RecordedOutcome> {
        const body = await readToEnd(answer.body);
        await this.bill(sending, attempt, true);
        const isBodyOmitted = body.length > MAX_RECORDED_BYTES;
        return {
            status: answer.status,
            contentType: String(answer.headers["content-type"] ?? "application/octet-stream"),
            body: body.toString("base64"),
            ...(isBodyOmitted ? { isBodyOmitted } : {}),
        };
    }

    private async relay(
        sending: OutgoingCall,
        attempt: Attempt,
        answer: UpstreamAnswer,
        res: ServerResponse,
    ): Promise<void> {
        const headers = { ...forwardedAnswerHeaders(answer), "x-request-id": sending.ctx.id };
        const length = Number(answer.headers["content-length"] ?? NaN);
        if (length <= MAX_BUFFERED_BYTES) {
            const body = await readToEnd(answer.body);
            await this.bill(sending, attempt, true);
            res.writeHead(answer.status, { ...headers, "content-length": body.length });
            res.end(body);
            return;
        }
        res.writeHead(answer.status, headers);
        try {
            await pipeline(answer.body, res, { end: false });
        }
        catch (err) {
            await this.bill(sending, attempt, false);
            res.destroy();
            const peer = attempt.assignment.upstream.announcement.id;
            throw toRouterError(err, { code: "upstreamFailed", run: "ran", step: "relay answer", peer });
        }
        await this.bill(sending, attempt, true);
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

/** Takes a service call apart and checks that the account may make it. */
export const parseCall = (ctx: RequestContext, req: IncomingMessage): ServiceCall => {
    const rest = (req.url ?? "").slice(SERVICES_PATH.length);
    const end = rest.search(/[/?]|$/);
    const service = rest.slice(0, end);
    const path = rest.slice(end).startsWith("/") ? rest.slice(end) : `/${rest.slice(end)}`;
    if (ctx.table.service(service) === undefined) {
        throw routerError(`no service "${service}"`, { code: "unknownService", step: "choose service" });
    }
    if (!ctx.account.services.has(service)) {
        const message = `account "${ctx.account.name}" may not use service "${service}"`;
        throw routerError(message, { code: "notAllowed", step: "choose service" });
    }
    const method = req.method ?? "GET";
    const pathOnly = path.split("?")[0] ?? path;
    if (hasDotSegment(pathOnly)) {
        throw routerError("the path has a dot segment", { code: "malformedRequest", step: "choose service" });
    }
    return { service, method, path, isIdempotent: ctx.table.isIdempotentCall(service, method, pathOnly) };
};

/** A dot segment would make the service see another path than the one that the sheet's calls are matched with. */
const hasDotSegment = (path: string): boolean =>
    path.split("/").some(segment => /^(\.|%2e){1,2}$/i.test(segment)) || path.includes("//")
    || /%2f|%5c|\\/i.test(path);

const forwardedRequestHeaders = (req: IncomingMessage): Record<string, string> => {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(req.headers)) {
        if (value !== undefined && !hopByHopHeaders.has(name)) {
            headers[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return headers;
};

const forwardedAnswerHeaders = (answer: UpstreamAnswer): Record<string, string | string[]> => {
    const headers: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(answer.headers)) {
        if (value !== undefined && !hopByHopHeaders.has(name)) {
            headers[name] = value;
        }
    }
    return headers;
};
