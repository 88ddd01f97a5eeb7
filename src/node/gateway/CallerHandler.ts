/**
 * Admits callers' requests: the lease, the route, the API key and the body are checked before a request is routed.
 */
import { createHash } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type CallKeys, partKeysOf } from "../../common/gateway/CallKeys.ts";
import { type CallerRequest, type ExchangeCodec } from "../../common/gateway/ExchangeCodec.ts";
import { type Account, type Route, type Service } from "../../common/gateway/GatewayConfig.ts";
import { type RouteTable } from "../../common/gateway/RouteTable.ts";
import { weightedChoice } from "../../common/routing/Hash.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Call, type CallResult, type CallState, createCallState, QUARANTINED } from "./Call.ts";
import { CallerReply } from "./CallerReply.ts";
import { readBody } from "./RequestBody.ts";
import { type RequestLog } from "./RequestLog.ts";
import { type RequestRouter } from "./RequestRouter.ts";

/** Suggested retry delay when the instance can't serve at the moment, in ms. */
const RETRY_AFTER_MS = 500;

/** Suggested retry delay while the instance stops, in ms: short, because the retry goes to another instance. */
const STOPPING_RETRY_AFTER_MS = 50;

const STOPPING = "the instance is stopping";

/** Length of a hash in base64, which is 132 bits. */
const HASH_CHARACTERS = 22;

/** Dependencies of the handler. */
export interface CallerHandlerDependencies {
    readonly clock: Clock;
    readonly codec: ExchangeCodec;
    readonly router: RequestRouter;
    readonly log: RequestLog;
    /** Undefined until a configuration has been received, and while it can't be read. */
    readonly routeTable: () => RouteTable | undefined;
    /** Whether a control quorum has confirmed the configuration recently enough to serve requests by it. */
    readonly hasLease: () => boolean;
    readonly isQuarantined: (keys: CallKeys) => boolean;
    /** Index of the model of the route with which an admitted request begins. */
    readonly chooseFirstModel: (call: Call) => number;
    /** Called when a request has been admitted. */
    readonly onAdmitted: (call: Call) => void;
}

interface Admission {
    readonly route: Route;
    readonly service: Service;
    readonly account: Account | undefined;
}

interface Refusal {
    readonly status: number;
    readonly reason: string;
    readonly retryAfterMs?: number;
}

/** A request whose response has not been taken by the system. */
interface OpenRequest {
    readonly request: CallerRequest;
    readonly reply: CallerReply;
    readonly state: CallState;
    /** Resolves when the system has taken the whole response, or the connection has closed. */
    readonly ended: Promise<void>;
    /** Whether it is being read, is being routed, or has a response that waits for its caller. */
    phase: "arriving" | "routing" | "answered";
    /** Set when the request was answered before its routing had ended. */
    preemptedBy: CallResult | undefined;
}

/** Admits or refuses each request of a caller, routes the admitted ones, and logs the result. */
export class CallerHandler {
    private readonly deps: CallerHandlerDependencies;
    private readonly open = new Set<OpenRequest>();
    private handledCount = 0;
    private isKeepAliveDisabled = false;
    private isRefusing = false;

    public constructor(deps: CallerHandlerDependencies) {
        this.deps = deps;
    }

    /** Requests whose response the system has not taken yet. */
    public get inFlight(): number {
        return this.open.size;
    }

    /** Those of them whose response has been produced, but waits for the caller to read. */
    public get untaken(): number {
        return [...this.open].filter(({ phase }) => phase === "answered").length;
    }

    /** Requests that have arrived since the start. */
    public get handled(): number {
        return this.handledCount;
    }

    /** Closes each connection after its next response. */
    public disableKeepAlive(): void {
        this.isKeepAliveDisabled = true;
    }

    /** Refuses all new requests, because they could not finish before the process ends. */
    public refuseRequests(): void {
        this.isRefusing = true;
    }

    /**
     * Answers all requests that are being routed and whose response has not begun; none of them is sent to an upstream
     * afterwards. Resolves when the system has taken these answers.
     */
    public async preemptRequests(): Promise<void> {
        const preempted = [...this.open].filter(({ phase, reply }) =>
            phase === "routing" && !reply.hasBegun && !reply.isCallerGone
        );
        preempted.forEach(request => this.preempt(request));
        await Promise.all(preempted.map(({ ended }) => ended));
    }

    public readonly handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const arrivedAt = this.deps.clock.boottime();
        const reply = new CallerReply(req, res);
        const request = this.deps.codec.readRequest(req.method ?? "GET", req.url ?? "/", req.rawHeaders);
        const open = this.addOpen(request, reply);
        this.handledCount++;
        try {
            await this.admit(req, open, arrivedAt);
        }
        catch (err) {
            this.deps.log.logInternalError(request, err as Error);
            if (reply.hasBegun) {
                reply.abort();
            }
            else {
                reply.sendError(502, this.deps.codec.refusalHeaders(request, undefined), "internal fault");
            }
        }
        finally {
            open.phase = "answered";
        }
    };

    private addOpen(request: CallerRequest, reply: CallerReply): OpenRequest {
        const ended = new Promise<void>(resolve => {
            reply.onEnded(resolve);
        });
        const open: OpenRequest = {
            request,
            reply,
            state: createCallState(),
            ended,
            phase: "arriving",
            preemptedBy: undefined,
        };
        this.open.add(open);
        void ended.then(() => this.open.delete(open));
        return open;
    }

    private preempt(open: OpenRequest): void {
        const { request, reply, state } = open;
        const { codec } = this.deps;
        // An attempt that is under way is counted in `upstreamIds`, but not yet in `possibleRuns`.
        const mayHaveRun = state.upstreamIds.length > 0 || state.possibleRuns > 0;
        const text = mayHaveRun ? "whether the request ran is not known" : "the request has not run";
        const retryAfterMs = mayHaveRun ? undefined : STOPPING_RETRY_AFTER_MS;
        const status = mayHaveRun ? 502 : 503;
        open.preemptedBy = { outcome: mayHaveRun ? "failed" : "refused", status, reason: STOPPING };
        reply.preempt(status, codec.refusalHeaders(request, retryAfterMs), `${STOPPING}; ${text}`);
    }

    private async admit(req: IncomingMessage, open: OpenRequest, arrivedAt: number): Promise<void> {
        const { clock, log } = this.deps;
        const { request, reply, state } = open;
        if (this.isKeepAliveDisabled) {
            reply.disableKeepAlive();
        }
        const admission = this.check(request);
        const table = this.deps.routeTable();
        const body = "status" in admission
            ? await readBody(req, 0)
            : await readBody(req, table?.config.limits.maxBodyBytes ?? 0);
        if (this.isKeepAliveDisabled) {
            reply.disableKeepAlive();
        }
        if ("status" in admission) {
            this.refuse(request, reply, admission, arrivedAt);
            return;
        }
        if (body === "broken") {
            log.logFinished(
                request,
                undefined,
                state,
                { outcome: "callerLeft", status: 0, reason: "the request body broke off" },
                0,
            );
            return;
        }
        if (body === "tooLarge") {
            this.refuse(request, reply, { status: 413, reason: "the body is too large" }, arrivedAt);
            return;
        }
        const call = this.createCall(request, admission, body, reply, arrivedAt);
        open.phase = "routing";
        const result = await this.run(call, state);
        log.logFinished(request, call, state, open.preemptedBy ?? result, clock.boottime() - arrivedAt);
    }

    private run(call: Call, state: CallState): Promise<CallResult> | CallResult {
        const { codec, router, isQuarantined, onAdmitted, chooseFirstModel } = this.deps;
        if (isQuarantined(call.keys)) {
            call.reply.sendError(503, codec.refusalHeaders(call.req, undefined), QUARANTINED);
            return { outcome: "refused", status: 503, reason: QUARANTINED };
        }
        onAdmitted(call);
        state.modelIndex = chooseFirstModel(call);
        return router.route(call, state);
    }

    /** Returns route, service and account, or the reason to refuse the request. */
    private check(request: CallerRequest): Admission | Refusal {
        if (this.isRefusing) {
            return { status: 503, reason: STOPPING, retryAfterMs: STOPPING_RETRY_AFTER_MS };
        }
        const table = this.deps.routeTable();
        if (table === undefined || !this.deps.hasLease()) {
            const reason = table === undefined ? "no configuration is in force" : "cut off from control";
            return { status: 503, reason, retryAfterMs: RETRY_AFTER_MS };
        }
        const path = request.path.split("?", 1)[0] ?? "/";
        const route = table.findRoute(request.host, path);
        if (route === undefined) {
            return { status: 404, reason: `no route for ${request.host}${path}` };
        }
        const account = request.key === undefined ? undefined : table.findAccount(request.key);
        if (table.requiresKeys && !route.isPublic && account === undefined) {
            return { status: 401, reason: "the key belongs to no client account" };
        }
        const target = weightedChoice(
            request.session ?? request.id,
            route.targets,
            item => item.service,
            item => item.weight,
        );
        const service = target === undefined ? undefined : table.findService(target.service);
        if (service === undefined) {
            return { status: 503, reason: `route ${route.name} has no service`, retryAfterMs: RETRY_AFTER_MS };
        }
        return { route, service, account };
    }

    private createCall(
        req: CallerRequest,
        { route, service, account }: Admission,
        body: Buffer | undefined,
        reply: CallerReply,
        arrivedAt: number,
    ): Call {
        const timeoutMs = Math.min(req.deadlineMs ?? route.timeoutMs, route.timeoutMs);
        let cached: string | undefined;
        const keys = {
            request: () => cached ??= fingerprintOf(req, body),
            parts: partKeysOf(req.prompt, service.name, shortHash),
        };
        return { req, route, service, account, body, keys, arrivedAt, deadlineAt: arrivedAt + timeoutMs, reply };
    }

    private refuse(request: CallerRequest, reply: CallerReply, refusal: Refusal, arrivedAt: number): void {
        const { codec, clock, log } = this.deps;
        const { status, reason, retryAfterMs } = refusal;
        reply.sendError(status, codec.refusalHeaders(request, retryAfterMs), reason);
        const result = { outcome: "refused", status, reason } as const;
        log.logFinished(request, undefined, undefined, result, clock.boottime() - arrivedAt);
    }
}

/** Hash of texts and bytes, short because keys travel between instances. */
const shortHash = (...contents: readonly (string | Buffer)[]): string => {
    const hash = createHash("sha256");
    contents.forEach(content => hash.update(content));
    return hash.digest("base64url").slice(0, HASH_CHARACTERS);
};

/** Hash of method, path, API key and body. */
const fingerprintOf = (req: CallerRequest, body: Buffer | undefined): string =>
    shortHash(`${req.method} ${req.path} ${req.key ?? ""} `, body ?? "");
