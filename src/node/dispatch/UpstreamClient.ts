/**
 * Sends one attempt of a request to an upstream and says, when it fails, whether it can have run.
 */
import { type Readable } from "node:stream";
import { type Dispatcher as UndiciDispatcher, Pool } from "undici";
import { type RouterError, routerError, type RunState } from "../../common/errors/RouterError.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { CONNECT_STEP } from "../../common/routing/Attempts.ts";
import { type Upstream, type UpstreamRegistry } from "../../common/upstreams/UpstreamRegistry.ts";

/** Header that carries the id of an attempt to the upstream and back. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header by which an upstream proves that it did not start a request it refused. */
export const RUN_HEADER = "x-run";
/** Time to connect to an upstream, in ms. */
const CONNECT_TIMEOUT_MS = 300;
/** How long an idle connection to an upstream is kept, in ms. Shorter than common servers keep theirs. */
const KEEP_ALIVE_MS = 4000;

/** One attempt. */
export interface UpstreamRequest {
    readonly attemptId: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer | undefined;
    readonly signal: AbortSignal;
    /** Time until the answer must be complete, in ms. */
    readonly timeoutMs: number;
    /** Whether an answer without the attempt's id is taken, as from plain services that do not return it. */
    readonly requiresEcho: boolean;
}

/** The head of an answer, and its body as a stream. */
export interface UpstreamAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Readable;
}

/** Connections to upstreams, one pool for each start of an upstream. */
export class UpstreamClient extends DisposableOwner {
    private readonly pools = new WeakMap<Upstream, Pool>();
    private readonly openPools = new Set<Pool>();
    private discardedCount = 0;

    public constructor(registry: UpstreamRegistry) {
        super();
        this.register(registry.onLost(loss => this.close(loss.upstream)));
        this.register({ dispose: () => this.closeAll() });
    }

    /** Answers that did not carry the id of their attempt and were discarded. */
    public get discardedAnswers(): number {
        return this.discardedCount;
    }

    /** Sends an attempt. Rejects with a `RouterError` whose `run` says whether it can have run. */
    public async send(upstream: Upstream, req: UpstreamRequest): Promise<UpstreamAnswer> {
        const answer = await this.exchange(upstream, req);
        const echo = answer.headers[REQUEST_ID_HEADER];
        const isOwn = echo === req.attemptId || (echo === undefined && !req.requiresEcho);
        if (isOwn) {
            return { status: answer.statusCode, headers: answer.headers, body: answer.body };
        }
        this.discardedCount++;
        answer.body.on("error", ignore);
        answer.body.destroy();
        throw routerError("an upstream answered another request", {
            code: "answerMismatch",
            run: "unknown",
            step: "match answer",
            peer: upstream.announcement.id,
        });
    }

    private async exchange(upstream: Upstream, req: UpstreamRequest): Promise<UndiciDispatcher.ResponseData> {
        const pool = this.poolOf(upstream);
        try {
            return await pool.request({
                path: req.path,
                method: req.method as UndiciDispatcher.HttpMethod,
                headers: { ...req.headers, [REQUEST_ID_HEADER]: req.attemptId },
                body: req.body,
                signal: req.signal,
                headersTimeout: req.timeoutMs,
                bodyTimeout: req.timeoutMs,
            });
        }
        catch (err) {
            throw toError(err, upstream);
        }
    }

    private poolOf(upstream: Upstream): Pool {
        const known = this.pools.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const { host, port } = upstream.announcement;
        const origin = host.includes(":") ? `http://[${host}]:${port}` : `http://${host}:${port}`;
        const pool = new Pool(origin, {
            pipelining: 1,
            connections: upstream.announcement.capacity,
            connect: { timeout: CONNECT_TIMEOUT_MS },
            keepAliveTimeout: KEEP_ALIVE_MS,
        });
        this.pools.set(upstream, pool);
        this.openPools.add(pool);
        return pool;
    }

    /** Requests in flight on a leaving upstream are finished; an expired one is given up by its own errors. */
    private close(upstream: Upstream): void {
        const pool = this.pools.get(upstream);
        if (pool !== undefined && this.openPools.delete(pool)) {
            pool.close().catch(ignore);
        }
    }

    private closeAll(): void {
        for (const pool of this.openPools) {
            pool.destroy().catch(ignore);
        }
        this.openPools.clear();
    }
}

const ignore = (): void => undefined;

/** Errors before a connection stood: no byte of the request can have been written. */
const notConnectedCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
    "UND_ERR_CLOSED",
    "UND_ERR_DESTROYED",
]);

/** Errors of a connection that ended while a request was in flight. */
export const connectionLostCodes: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

const toError = (err: unknown, upstream: Upstream): RouterError => {
    const { code = "", name = "", message = "" } = err as { code?: string; name?: string; message?: string; };
    const run: RunState = notConnectedCodes.has(code) ? "not_run" : "unknown";
    const { id } = upstream.announcement;
    return routerError(`upstream ${id}: ${message || name}`, {
        code: "upstreamFailed",
        run,
        step: run === "not_run" ? CONNECT_STEP : "send request",
        peer: id,
        isBroken: connectionLostCodes.has(code),
        cause: err,
    });
};
