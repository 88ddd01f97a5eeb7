/**
 * Sends the attempts of requests to upstreams. The error of a failed attempt states whether it may have run.
 */
import { Socket } from "node:net";
import { type Readable } from "node:stream";
import { buildConnector, type Dispatcher as UndiciDispatcher, Pool } from "undici";
import { type RouterError, routerError, type RunState } from "../../common/errors/RouterError.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { CONNECT_STEP } from "../../common/routing/Attempts.ts";
import { type Upstream, type UpstreamRegistry } from "../../common/upstreams/UpstreamRegistry.ts";
import { ConnectionEnds, failTruncated, isFinalStatus } from "../http/ResponseIntegrity.ts";

/** Header with the id of an attempt, which the upstream returns in its answer. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header with which an upstream states that it did not start a request that it refused. */
export const RUN_HEADER = "x-run";
/** Time limit for connecting to an upstream, in ms. */
const CONNECT_TIMEOUT_MS = 300;
/** Time after which an idle connection is closed, in ms. Shorter than the keep-alive timeout of common servers. */
const KEEP_ALIVE_MS = 4000;

/** An attempt as it is sent to an upstream. */
export interface UpstreamRequest {
    readonly attemptId: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer | undefined;
    readonly signal: AbortSignal;
    /** Time limit for the complete answer, in ms. */
    readonly timeoutMs: number;
    /** Whether the answer must carry the attempt's id. Plain services need not return it. */
    readonly requiresEcho: boolean;
}

/** Status and headers of an answer, and its body as a stream. */
export interface UpstreamAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Readable;
}

interface UpstreamPool {
    readonly pool: Pool;
    /** Sends requests over the pool, and fails the responses that lack their end. */
    readonly dispatcher: UndiciDispatcher;
}

/** HTTP client for upstreams, with one connection pool per process of an upstream. */
export class UpstreamClient extends DisposableOwner {
    private readonly pools = new WeakMap<Upstream, UpstreamPool>();
    private readonly openPools = new Set<Pool>();
    private discardedCount = 0;

    public constructor(registry: UpstreamRegistry) {
        super();
        this.register(registry.onLost(loss => this.close(loss.upstream)));
        this.register({ dispose: () => this.closeAll() });
    }

    /** Number of answers that were discarded because they did not carry the id of their attempt. */
    public get discardedAnswers(): number {
        return this.discardedCount;
    }

    /** Sends an attempt. Rejects with a `RouterError` whose `run` states whether the attempt may have run. */
    public async send(upstream: Upstream, req: UpstreamRequest): Promise<UpstreamAnswer> {
        const answer = await this.exchange(upstream, req);
        if (!isFinalStatus(answer.statusCode)) {
            discard(answer.body);
            throw routerError(`the upstream's answer has the status ${answer.statusCode}`, {
                code: "upstreamFailed",
                run: "unknown",
                step: "read answer",
                peer: upstream.announcement.id,
            });
        }
        const echo = answer.headers[REQUEST_ID_HEADER];
        const isMatching = echo === req.attemptId || (echo === undefined && !req.requiresEcho);
        if (isMatching) {
            return { status: answer.statusCode, headers: answer.headers, body: answer.body };
        }
        this.discardedCount++;
        discard(answer.body);
        throw routerError("the upstream's answer does not carry the id of this request", {
            code: "answerMismatch",
            run: "unknown",
            step: "match answer",
            peer: upstream.announcement.id,
        });
    }

    private async exchange(upstream: Upstream, req: UpstreamRequest): Promise<UndiciDispatcher.ResponseData> {
        const { dispatcher } = this.poolOf(upstream);
        try {
            return await dispatcher.request({
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

    private poolOf(upstream: Upstream): UpstreamPool {
        const existing = this.pools.get(upstream);
        if (existing !== undefined) {
            return existing;
        }
        const { host, port } = upstream.announcement;
        const origin = host.includes(":") ? `http://[${host}]:${port}` : `http://${host}:${port}`;
        const ends = new ConnectionEnds();
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        const pool = new Pool(origin, {
            pipelining: 1,
            connections: upstream.announcement.capacity,
            connect: (options, callback) =>
                connect(options, (...result) => {
                    const [, socket] = result;
                    if (socket instanceof Socket) {
                        ends.track(socket, false);
                    }
                    callback(...result);
                }),
            keepAliveTimeout: KEEP_ALIVE_MS,
        });
        const dispatcher = pool.compose(dispatch => (options, handler) =>
            dispatch(options, failTruncated(ends, handler))
        );
        const entry = { pool, dispatcher };
        this.pools.set(upstream, entry);
        this.openPools.add(pool);
        return entry;
    }

    /** Lets requests in flight finish when the upstream leaves; on an expired upstream they fail on their own. */
    private close(upstream: Upstream): void {
        const pool = this.pools.get(upstream)?.pool;
        if (pool !== undefined && this.openPools.delete(pool)) {
            pool.close().catch(noop);
        }
    }

    private closeAll(): void {
        for (const pool of this.openPools) {
            pool.destroy().catch(noop);
        }
        this.openPools.clear();
    }
}

const noop = (): void => undefined;

const discard = (body: Readable): void => {
    body.on("error", noop);
    body.destroy();
};

/** Codes of errors before a connection was established: no byte of the request can have been sent. */
const notConnectedCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
    "UND_ERR_CLOSED",
    "UND_ERR_DESTROYED",
]);

/** Codes of errors by which a connection ended while a request was in flight. */
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
