/**
 * Routes the requests of callers to chat completions, the list of models and plain services. Every request gets
 * exactly one answer, and every error answer states whether the request ran.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type RoutingTable } from "../../common/configuration/RoutingTable.ts";
import { type RouterError, routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { type UsageTracker } from "../../common/routing/UsageTracker.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Timeline } from "../../common/timeline/Timeline.ts";
import { sendJson, sendProblem } from "../http/HttpBody.ts";
import { type ChatHandler } from "./ChatHandler.ts";
import { RequestContext, type RequestLimits } from "./RequestContext.ts";
import { type ServiceHandler, SERVICES_PATH } from "./ServiceHandler.ts";

const CHAT_PATH = "/v1/chat/completions";
const MODELS_PATH = "/v1/models";
/** Delay after which a caller may retry a request that a stopping instance refused, in ms. */
const STOPPING_RETRY_MS = 1000;
const RADIX_36 = 36;

/** Dependencies of the caller server. */
export interface CallerServerDependencies {
    readonly instance: string;
    readonly clock: Clock;
    readonly limits: RequestLimits;
    readonly chat: ChatHandler;
    readonly services: ServiceHandler;
    readonly table: () => RoutingTable;
    readonly timeline: Timeline;
    readonly usage: UsageTracker;
    /** Called with the outcome of every request. */
    readonly onAnswered: (ctx: RequestContext | undefined, err: RouterError | undefined) => void;
}

/** Routes the requests of callers to their handlers. */
export class CallerServer {
    private readonly deps: CallerServerDependencies;
    /** Start time of the process in request ids, which makes them differ from those of earlier processes. */
    private readonly startId: string;
    private requestCount = 0;
    private active = 0;
    private stopping = false;
    private readonly idleWaiters: (() => void)[] = [];

    public constructor(deps: CallerServerDependencies) {
        this.deps = deps;
        this.startId = Math.floor(deps.clock.now()).toString(RADIX_36);
    }

    /** Number of requests whose answer is not complete yet. */
    public get inFlight(): number {
        return this.active;
    }

    public readonly handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const id = `${this.deps.instance}-${this.startId}-${(this.requestCount++).toString(RADIX_36)}`;
        let ctx: RequestContext | undefined;
        this.active++;
        try {
            this.refuseWhileStopping();
            ctx = new RequestContext(id, req, res, this.deps.clock, this.deps.table(), this.deps.limits);
            this.deps.usage.requireWithinLimits(ctx.account);
            this.recordArrival(ctx, req);
            await this.answerAndTrackUsage(ctx, req, res);
            this.onAnswered(ctx);
        }
        catch (err) {
            const failure = toRouterError(err, { code: "internal", run: "unknown", step: "answer request" });
            this.onRefused(ctx, id, failure);
            sendProblem(req, res, failure, id);
        }
        finally {
            ctx?.dispose();
            this.onEnded();
        }
    };

    /** Refuses new requests and resolves when those in flight have been answered. */
    public drain(): Promise<void> {
        this.stopping = true;
        if (this.active === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => this.idleWaiters.push(resolve));
    }

    private async answerAndTrackUsage(ctx: RequestContext, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const { usage } = this.deps;
        usage.onStarted(ctx.account.name);
        try {
            await this.answer(ctx, req, res);
        }
        finally {
            usage.onEnded(ctx.account.name);
        }
    }

    private answer(ctx: RequestContext, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const path = (req.url ?? "").split("?")[0] ?? "";
        if (path.startsWith(SERVICES_PATH)) {
            return this.deps.services.handle(ctx, req, res);
        }
        if (path === CHAT_PATH) {
            requireMethod(req, "POST");
            return this.deps.chat.handle(ctx, req, res);
        }
        if (path === MODELS_PATH) {
            requireMethod(req, "GET");
            sendJson(res, 200, listModels(ctx));
            return Promise.resolve();
        }
        throw routerError(`no resource at "${path.slice(0, 100)}"`, { code: "notFound", step: "read request" });
    }

    private refuseWhileStopping(): void {
        if (this.stopping) {
            const details = { code: "stopping", step: "accept request", retryAfterMs: STOPPING_RETRY_MS } as const;
            throw routerError("this instance is stopping", details);
        }
    }

    private recordArrival(ctx: RequestContext, req: IncomingMessage): void {
        this.deps.timeline.record(
            "requestArrived",
            `${req.method ?? ""} ${(req.url ?? "").slice(0, 100)}`,
            detailsOf(ctx),
        );
    }

    private onAnswered(ctx: RequestContext): void {
        this.deps.timeline.record("requestAnswered", "answered", detailsOf(ctx));
        this.deps.onAnswered(ctx, undefined);
    }

    private onRefused(ctx: RequestContext | undefined, id: string, err: RouterError): void {
        const details = ctx === undefined ? { request: id } : detailsOf(ctx);
        this.deps.timeline.record("requestRefused", `${err.code}, ${err.run}: ${err.message}`, details);
        this.deps.onAnswered(ctx, err);
    }

    private onEnded(): void {
        this.active--;
        if (this.active === 0) {
            this.idleWaiters.splice(0).forEach(resolve => resolve());
        }
    }
}

const requireMethod = (req: IncomingMessage, method: string): void => {
    if (req.method !== method) {
        throw routerError(`the resource supports only ${method}`, { code: "methodNotAllowed", step: "read request" });
    }
};

const detailsOf = (ctx: RequestContext): { request: string; account: string; session?: string; } => ({
    request: ctx.id,
    account: ctx.account.name,
    ...(ctx.session === undefined ? {} : { session: ctx.session }),
});

const listModels = (ctx: RequestContext): object => {
    const versions = ctx.table.allActiveVersions().filter(version => ctx.account.versions.has(version.key));
    const names = new Set(versions.flatMap(version => [version.model, version.key]));
    return { object: "list", data: [...names].map(id => ({ id, object: "model", owned_by: ctx.account.name })) };
};
