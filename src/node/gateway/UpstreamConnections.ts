/**
 * Connections to upstreams: one pool for each process of an upstream, closed when that process has gone. An exchange
 * sends one request and hands out the answer as it arrives.
 */
import { Socket } from "node:net";
import { buildConnector, type Dispatcher, Pool } from "undici";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";

/** Time in which a connection must stand, in ms. */
const CONNECT_TIMEOUT_MS = 600;
/** How long an idle connection is kept when the upstream names no time, in ms. */
const KEEP_ALIVE_MS = 3000;
/** How much sooner than the upstream an idle connection is closed, in ms, so that no request crosses its close. */
const KEEP_ALIVE_MARGIN_MS = 1000;
const MAX_KEEP_ALIVE_MS = 60_000;
/** Silence after which the system probes a connection, in ms. */
const KEEP_ALIVE_PROBE_MS = 2000;
/** Answers that wait to be read by their exchange before the upstream is held up, in bytes. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Why an exchange failed. */
export interface ExchangeFailure {
    readonly message: string;
    /** Whether a byte of the request can have been sent. */
    readonly wasSent: boolean;
    /** Whether the upstream ended the connection. */
    readonly isClosedByUpstream: boolean;
    /** Whether the exchange was given up here. */
    readonly isAborted: boolean;
}

/** A request to an upstream. */
export interface ExchangeRequest {
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** Status and headers of an answer. */
export interface RawResponseHead {
    readonly status: number;
    /** Names and values in turn. */
    readonly headers: readonly string[];
}

/** How a connection of a pool is ending right now. */
type Ending = "reset" | "closed" | undefined;

interface PoolEntry {
    readonly pool: Pool;
    /** Set only while the events of a connection that ends are delivered. */
    ending: Ending;
}

const brokenCodes = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

/** One request to an upstream and its answer. */
export class Exchange {
    /** Monotonic time of the newest byte of the answer, in ms. */
    public lastByteAt = -Infinity;
    private controller: Dispatcher.DispatchController | undefined;
    private rawHead: RawResponseHead | undefined;
    private readonly chunks: Buffer[] = [];
    private buffered = 0;
    private isEnded = false;
    private isAborted = false;
    private isPaused = false;
    private wasSent = false;
    private failure: ExchangeFailure | undefined;
    private wake: (() => void) | undefined;
    private readonly now: () => number;
    private readonly ending: () => Ending;

    public constructor(now: () => number, ending: () => Ending) {
        this.now = now;
        this.ending = ending;
    }

    /** Resolves with the head of the answer, or with the reason why there is none. */
    public async readHead(): Promise<RawResponseHead | ExchangeFailure> {
        while (this.rawHead === undefined && this.failure === undefined) {
            await this.waitForSignal();
        }
        return this.rawHead ?? this.failure as ExchangeFailure;
    }

    /** Resolves with the next part of the body, with undefined at its end, or with the reason why it broke off. */
    public async readChunk(): Promise<Buffer | undefined | ExchangeFailure> {
        while (this.chunks.length === 0 && !this.isEnded && this.failure === undefined) {
            await this.waitForSignal();
        }
        const chunk = this.chunks.shift();
        if (chunk === undefined) {
            return this.failure;
        }
        this.buffered -= chunk.length;
        if (this.isPaused && this.buffered < MAX_BUFFERED_BYTES / 2) {
            this.isPaused = false;
            this.controller?.resume();
        }
        return chunk;
    }

    /** Gives the exchange up; the upstream sees its connection close. */
    public abort(reason: string): void {
        if (this.isAborted || this.isEnded || this.failure !== undefined) {
            return;
        }
        this.isAborted = true;
        this.fail(reason, false);
        this.controller?.abort(new Error(reason));
    }

    /** The side that the connection's library calls. */
    public get handler(): Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => {
                this.controller = controller;
                if (this.isAborted) {
                    controller.abort(new Error("given up before it was sent"));
                    return;
                }
                this.wasSent = true;
            },
            onResponseStart: (controller, status) => {
                this.lastByteAt = this.now();
                const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
                this.rawHead = { status, headers: raw.map(item => item.toString("latin1")) };
                this.signal();
            },
            onResponseData: (controller, chunk) => {
                this.lastByteAt = this.now();
                this.chunks.push(chunk);
                this.buffered += chunk.length;
                if (this.buffered > MAX_BUFFERED_BYTES) {
                    this.isPaused = true;
                    controller.pause();
                }
                this.signal();
            },
            onResponseEnd: () => {
                if (this.isTruncated()) {
                    this.fail("the connection ended within the answer", true);
                    return;
                }
                this.isEnded = true;
                this.signal();
            },
            onResponseError: (controller, err) => {
                this.controller = controller;
                const { code = "" } = err as { code?: string; };
                this.fail(err.message === "" ? code : err.message, brokenCodes.has(code));
            },
        };
    }

    /**
     * The library takes any end of a connection that is not kept for the end of its answer. Only an answer without
     * length or chunks may end so, and only by an orderly close.
     */
    private isTruncated(): boolean {
        const ending = this.ending();
        const isChunked =
            this.rawHead?.headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "transfer-encoding")
                ?? false;
        return ending === "reset" || (ending === "closed" && isChunked);
    }

    private fail(message: string, isBroken: boolean): void {
        this.failure ??= { message, wasSent: this.wasSent, isClosedByUpstream: isBroken, isAborted: this.isAborted };
        this.signal();
    }

    private signal(): void {
        const { wake } = this;
        this.wake = undefined;
        wake?.();
    }

    private waitForSignal(): Promise<void> {
        return new Promise(resolve => {
            this.wake = resolve;
        });
    }
}

/** Whether an outcome of an exchange is a failure. */
export const isFailure = (
    outcome: RawResponseHead | Buffer | ExchangeFailure | undefined,
): outcome is ExchangeFailure => outcome !== undefined && "wasSent" in outcome;

/** Pools of connections by upstream process. */
export class UpstreamConnections extends DisposableOwner {
    private readonly pools = new Map<string, PoolEntry>();
    private readonly now: () => number;

    public constructor(now: () => number) {
        super();
        this.now = now;
        this.register({ dispose: () => this.pools.forEach(({ pool }) => pool.destroy().catch(ignore)) });
    }

    /** Sends a request to the upstream process `name` at `address`, with at most `connections` at a time. */
    public send(name: string, address: string, connections: number, req: ExchangeRequest): Exchange {
        const entry = this.poolOf(name, address, connections);
        const exchange = new Exchange(this.now, () => entry.ending);
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

    /** Closes the connections to an upstream process when its answers are complete. */
    public close(name: string): void {
        const entry = this.pools.get(name);
        this.pools.delete(name);
        entry?.pool.close().catch(ignore);
    }

    private poolOf(name: string, address: string, connections: number): PoolEntry {
        const known = this.pools.get(name);
        if (known !== undefined) {
            return known;
        }
        const connector = buildConnector({
            timeout: CONNECT_TIMEOUT_MS,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
        });
        const pool = new Pool(`http://${address}`, {
            pipelining: 1,
            connections,
            connect: (options, callback) =>
                connector(options, (...result) => {
                    const [, socket] = result;
                    if (socket instanceof Socket) {
                        trackSocketEnd(socket, entry);
                    }
                    callback(...result);
                }),
            keepAliveTimeout: KEEP_ALIVE_MS,
            keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
        });
        const entry: PoolEntry = { pool, ending: undefined };
        this.pools.set(name, entry);
        return entry;
    }
}

/** Says how a connection ends, to the listeners of the same event that follow. */
const trackSocketEnd = (socket: Socket, entry: PoolEntry): void => {
    const mark = (ending: Ending): void => {
        entry.ending = ending;
        process.nextTick(() => {
            entry.ending = undefined;
        });
    };
    socket.on("error", () => mark("reset"));
    socket.on("end", () => mark("closed"));
};

/** A pool that is thrown away has no one left to tell of its errors. */
const ignore = (): void => undefined;
