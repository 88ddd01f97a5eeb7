/**
 * Connections to upstreams: one pool per upstream process, closed when that process is gone. An exchange sends one
 * request and hands out the response as it arrives.
 */
import { connect, type Socket } from "node:net";
import type { Dispatcher } from "undici";
import Pool from "undici/lib/dispatcher/pool.js";
import { UpstreamPaths } from "../../common/gateway/UpstreamPaths.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { ConnectionEnds } from "../http/ResponseIntegrity.ts";
import { SilenceWatch } from "./SilenceWatch.ts";

/** Time in which a connection must be established, in ms. */
const CONNECT_TIMEOUT_MS = 600;
/** How long an idle connection is kept if the upstream sends no keep-alive timeout, in ms. */
const KEEP_ALIVE_MS = 3000;
/**
 * How much earlier than the upstream this side closes an idle connection, in ms, so that no request is sent while the
 * upstream closes it.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;
const MAX_KEEP_ALIVE_MS = 60_000;
/** Idle time after which the operating system sends TCP keep-alive probes, in ms. */
const KEEP_ALIVE_PROBE_MS = 2000;
/** Unread bytes of a response above which reading from the connection is paused. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Why an exchange failed. */
export interface ExchangeFailure {
    readonly message: string;
    /** Whether a byte of the request can have been sent. */
    readonly wasSent: boolean;
    /** Whether the upstream closed or reset the connection. */
    readonly isClosedByUpstream: boolean;
    /** Whether this side aborted the exchange. */
    readonly isAborted: boolean;
}

/** A request as it is sent to an upstream. */
export interface ExchangeRequest {
    readonly method: string;
    readonly path: string;
    /** Names and values, alternating. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Why the request must not be sent any more, when a connection for it is there; undefined if it may be sent. */
    readonly obstacle?: () => string | undefined;
}

/** Status and headers of a response. */
export interface RawResponseHead {
    readonly status: number;
    /** Names and values, alternating. */
    readonly headers: readonly string[];
}

interface PoolEntry {
    readonly pool: Pool;
    readonly address: string;
    readonly ends: ConnectionEnds;
}

/** Errors of connections that the upstream closed or reset. */
const closedByUpstreamCodes = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

/** One request to an upstream and its response. */
export class Exchange {
    /** Monotonic time of the newest byte of the response, in ms; -Infinity before the first. */
    public lastByteAt = -Infinity;
    private controller: Dispatcher.DispatchController | undefined;
    private rawHead: RawResponseHead | undefined;
    private readonly chunks: Buffer[] = [];
    private bufferedBytes = 0;
    private isEnded = false;
    private isAborted = false;
    private isPaused = false;
    private wasSent = false;
    private failure: ExchangeFailure | undefined;
    /** Resolves the promise of `waitForProgress`. */
    private resolveWait: (() => void) | undefined;
    private readonly now: () => number;
    private readonly ends: ConnectionEnds;
    private readonly obstacle: ExchangeRequest["obstacle"];

    public constructor(now: () => number, ends: ConnectionEnds, obstacle: ExchangeRequest["obstacle"]) {
        this.now = now;
        this.ends = ends;
        this.obstacle = obstacle;
    }

    /** Whether the response is complete or the exchange has failed. */
    public get isOver(): boolean {
        return this.isEnded || this.failure !== undefined;
    }

    /** Whether a byte of the request can have been sent. */
    public get isSent(): boolean {
        return this.wasSent;
    }

    /** Resolves with status and headers, or with the failure. */
    public async readHead(): Promise<RawResponseHead | ExchangeFailure> {
        while (this.rawHead === undefined && this.failure === undefined) {
            await this.waitForProgress();
        }
        return this.rawHead ?? this.failure as ExchangeFailure;
    }

    /** Resolves with the next chunk of the body, with undefined at its end, or with the failure. */
    public async readChunk(): Promise<Buffer | undefined | ExchangeFailure> {
        while (this.chunks.length === 0 && !this.isEnded && this.failure === undefined) {
            await this.waitForProgress();
        }
        const chunk = this.chunks.shift();
        if (chunk === undefined) {
            return this.failure;
        }
        this.bufferedBytes -= chunk.length;
        if (this.isPaused && this.bufferedBytes < MAX_BUFFERED_BYTES / 2) {
            this.isPaused = false;
            this.controller?.resume();
        }
        return chunk;
    }

    /** Aborts the exchange and closes its connection. */
    public abort(reason: string): void {
        if (this.isAborted || this.isEnded || this.failure !== undefined) {
            return;
        }
        this.isAborted = true;
        this.fail(reason, false);
        this.controller?.abort(new Error(reason));
    }

    /** Callbacks for undici. */
    public get handler(): Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => {
                this.controller = controller;
                if (this.isAborted) {
                    controller.abort(new Error("aborted before it was sent"));
                    return;
                }
                const reason = this.obstacle?.();
                if (reason !== undefined) {
                    this.abort(reason);
                    return;
                }
                this.wasSent = true;
            },
            onResponseStart: (controller, status) => {
                this.lastByteAt = this.now();
                const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
                this.rawHead = { status, headers: raw.map(item => item.toString("latin1")) };
                this.notify();
            },
            onResponseData: (controller, chunk) => {
                this.lastByteAt = this.now();
                this.chunks.push(chunk);
                this.bufferedBytes += chunk.length;
                if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
                    this.isPaused = true;
                    controller.pause();
                }
                this.notify();
            },
            onResponseEnd: () => {
                if (this.isTruncated()) {
                    this.fail("the connection ended within the response", true);
                    return;
                }
                this.isEnded = true;
                this.notify();
            },
            onResponseError: (controller, err) => {
                this.controller = controller;
                const { code = "" } = err as { code?: string; };
                this.fail(err.message === "" ? code : err.message, closedByUpstreamCodes.has(code));
            },
        };
    }

    private isTruncated(): boolean {
        const { status = 0, headers = [] } = this.rawHead ?? {};
        const isChunked = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "transfer-encoding");
        return this.ends.isTruncated(status, isChunked);
    }

    private fail(message: string, isClosedByUpstream: boolean): void {
        this.failure ??= { message, wasSent: this.wasSent, isClosedByUpstream, isAborted: this.isAborted };
        this.notify();
    }

    private notify(): void {
        const { resolveWait } = this;
        this.resolveWait = undefined;
        resolveWait?.();
    }

    private waitForProgress(): Promise<void> {
        return new Promise(resolve => {
            this.resolveWait = resolve;
        });
    }
}

/** Whether the result of `readHead` or `readChunk` is a failure. */
export const isFailure = (
    outcome: RawResponseHead | Buffer | ExchangeFailure | undefined,
): outcome is ExchangeFailure => outcome !== undefined && "wasSent" in outcome;

/** Carries requests to upstreams. */
export type UpstreamTransport = Pick<
    UpstreamConnections,
    "send" | "probe" | "close" | "dispose" | "arePathsLost" | "hasIdleConnection"
>;

/** Result of a connection attempt: `refused` if nothing listens there, `unanswered` if that isn't known. */
export type ProbeResult = "accepted" | "refused" | "unanswered";

/** Dependencies of the connections. */
export interface UpstreamConnectionsDependencies {
    readonly clock: Clock;
    /** Id of this instance, and the ids of all entry instances; empty while they may not know each other. */
    readonly self: string;
    readonly entries: () => readonly string[];
    /** Opens a connection to the address of an upstream through another entry instance. */
    readonly dialThrough: (relay: string, address: string) => Promise<Socket>;
    /** Called when the path to an upstream, or to all upstreams, is lost. */
    readonly onPathLost: (address: string | undefined) => void;
    /** Called when another entry instance could not relay a connection. */
    readonly onRelayFailed: (relay: string, address: string, reason: string) => void;
}

/** Connection pools by upstream process. */
export class UpstreamConnections extends DisposableOwner {
    private readonly pools = new Map<string, PoolEntry>();
    private readonly probes = new Map<string, Promise<ProbeResult>>();
    private readonly now: () => number;
    private readonly paths: UpstreamPaths<Socket>;
    private readonly silence: SilenceWatch;

    public constructor(
        { clock, self, entries, dialThrough, onPathLost, onRelayFailed }: UpstreamConnectionsDependencies,
    ) {
        super();
        this.now = () => clock.monotonic();
        this.paths = new UpstreamPaths({
            clock,
            self,
            entries,
            dialDirect,
            dialThrough,
            discard: socket => socket.destroy(),
            onRelayFailed,
            onLost: address => {
                onPathLost(address);
                this.renewPools(address);
            },
        });
        this.silence = this.register(new SilenceWatch(clock, address => void this.paths.check(address)));
        this.register({ dispose: () => this.pools.forEach(({ pool }) => pool.destroy().catch(ignore)) });
    }

    /** Whether this instance has lately lost its own paths. */
    public get arePathsLost(): boolean {
        return this.paths.areLost;
    }

    /** Sends a request to the upstream process `name` at `address` over a pool of at most `maxConnections`. */
    public send(name: string, address: string, maxConnections: number, req: ExchangeRequest): Exchange {
        const entry = this.getPool(name, address, maxConnections);
        const exchange = new Exchange(this.now, entry.ends, req.obstacle);
        this.silence.watch(address, exchange);
        entry.pool.dispatch(
            {
                path: req.path,
                method: req.method as Dispatcher.HttpMethod,
                headers: req.headers,
                body: req.body,
                headersTimeout: 0,
                bodyTimeout: 0,
            },
            exchange.handler,
        );
        return exchange;
    }

    /** Whether a connection to an upstream process is open and carries no request. */
    public hasIdleConnection(name: string): boolean {
        return (this.pools.get(name)?.pool.stats.free ?? 0) > 0;
    }

    /** Opens a connection to the address and closes it. Concurrent probes of an address share one connection. */
    public probe(address: string): Promise<ProbeResult> {
        const pending = this.probes.get(address) ?? this.probeOnce(address).finally(() => this.probes.delete(address));
        this.probes.set(address, pending);
        return pending;
    }

    /** Closes the connections to an upstream process once its open responses are complete. */
    public close(name: string): void {
        const entry = this.pools.get(name);
        this.pools.delete(name);
        entry?.pool.close().catch(ignore);
    }

    private async probeOnce(address: string): Promise<ProbeResult> {
        try {
            (await this.paths.dial(address)).connection.destroy();
            return "accepted";
        }
        catch (err) {
            const isRefused = (err as NodeJS.ErrnoException).code === "ECONNREFUSED" && !this.arePathsLost;
            return isRefused ? "refused" : "unanswered";
        }
    }

    /** Replaces the pools, because their idle connections may be dead; open responses go on. */
    private renewPools(address: string | undefined): void {
        for (const [name, entry] of this.pools) {
            if (address === undefined || entry.address === address) {
                this.close(name);
            }
        }
    }

    private getPool(name: string, address: string, maxConnections: number): PoolEntry {
        const existing = this.pools.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const ends = new ConnectionEnds();
        const pool = new Pool(`http://${address}`, {
            pipelining: 1,
            connections: maxConnections,
            connect: (...[, callback]) =>
                void this.paths.dial(address).then(({ connection, relay }) => {
                    ends.track(connection, relay !== undefined);
                    // eslint-disable-next-line no-restricted-syntax -- undici's callback takes null
                    callback(null, connection);
                    // eslint-disable-next-line no-restricted-syntax -- the same
                }, (err: Error) => callback(err, null)),
            keepAliveTimeout: KEEP_ALIVE_MS,
            keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
        });
        const entry = { pool, address, ends };
        this.pools.set(name, entry);
        return entry;
    }
}

/** Errors while a discarded pool closes concern no request. */
const ignore = (): void => undefined;

/** Opens a direct connection to IP:PORT. */
export const dialDirect = (address: string, timeoutMs = CONNECT_TIMEOUT_MS): Promise<Socket> =>
    new Promise((resolve, reject) => {
        const colon = address.lastIndexOf(":");
        const socket = connect({
            host: address.slice(0, colon),
            port: Number(address.slice(colon + 1)),
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
        });
        const timer = setTimeout(() => socket.destroy(new Error("the connection timed out")), timeoutMs);
        const settle = (run: () => void): void => {
            clearTimeout(timer);
            socket.off("error", fail);
            run();
        };
        const fail = (err: Error): void => settle(() => reject(err));
        socket.once("error", fail);
        socket.once("connect", () => settle(() => resolve(socket)));
    });
