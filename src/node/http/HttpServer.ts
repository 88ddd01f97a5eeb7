/**
 * An HTTP server with limits on headers, connections and the time for a request to arrive.
 */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { Server as NetServer, type Socket } from "node:net";
import { routerError } from "../../common/errors/RouterError.ts";
import { type Component } from "../../common/lifecycle/Lifecycle.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { type Certificates } from "./Certificates.ts";
import { manageKeptConnections } from "./KeptConnections.ts";

/** Answers a request. Must not reject: the handler answers failures too. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Limits of a server. */
export interface HttpServerLimits {
    readonly maxHeaderBytes: number;
    readonly maxHeaders: number;
    readonly maxConnections: number;
    /** Time limit for a complete request to arrive, in ms. */
    readonly requestTimeoutMs: number;
}

/** Options of a server. */
export interface HttpServerOptions {
    /** When set, the server accepts TLS connections only. */
    readonly certificates?: Certificates | undefined;
    /** Time after which an idle connection is closed, in ms. Default: `DEFAULT_KEEP_ALIVE_MS`. */
    readonly keepAliveMs?: number;
    /** Time after which a stop closes the connections that are left, in ms. Default: the stop waits for them. */
    readonly maxStopMs?: number;
}

/** Timeouts that can be changed while the server is running. */
export interface ConnectionTimeouts {
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** Interval at which Node.js checks connections for the request and header timeouts, in ms. */
const TIMEOUT_CHECK_PERIOD_MS = 500;
/** Interval at which a stopping server closes connections that have become idle, in ms. */
const IDLE_CHECK_PERIOD_MS = 50;
/** Time after which an idle connection is closed, in ms. */
const DEFAULT_KEEP_ALIVE_MS = 65_000;

/** Use of a connection on which at least one request has begun. */
interface ConnectionUse {
    /** Requests whose response has not been taken by the system. */
    open: number;
    /** Bytes that had arrived when the newest response was taken. */
    bytesRead: number;
}

/** Listener that passes each request to the handler. */
export const listenerOf = (handle: HttpHandler): RequestListener => (req, res) => void handle(req, res);

/** An HTTP or HTTPS server on one address. */
export class HttpServer implements Component {
    public readonly name: string;
    private readonly address: Address;
    private readonly limits: HttpServerLimits;
    private readonly createListener: () => RequestListener;
    private readonly options: HttpServerOptions;
    private server: Server | undefined;
    /** Undefined until they are set; the server then starts with its own. */
    private timeouts: ConnectionTimeouts | undefined;
    private readonly uses = new Map<Socket, ConnectionUse>();

    /** @param createListener called once, when the server starts */
    public constructor(
        name: string,
        address: Address,
        limits: HttpServerLimits,
        createListener: () => RequestListener,
        options: HttpServerOptions = {},
    ) {
        this.name = name;
        this.address = address;
        this.limits = limits;
        this.createListener = createListener;
        this.options = options;
    }

    /** Port that the server listens on. The system chooses it when the configured port is 0. */
    public get port(): number {
        const bound = this.server?.address();
        return typeof bound === "object" ? bound?.port ?? this.address.port : this.address.port;
    }

    public async start(): Promise<void> {
        const server = this.createServer(this.createListener());
        server.maxHeadersCount = this.limits.maxHeaders;
        server.maxConnections = this.limits.maxConnections;
        manageKeptConnections(server);
        this.server = server;
        if (this.timeouts !== undefined) {
            this.setTimeouts(this.timeouts);
        }
        await this.listen(server);
    }

    /** Sets the timeouts of requests that are being received, and of connections whose next response allows to be idle. */
    public setTimeouts(timeouts: ConnectionTimeouts): void {
        const { headerTimeoutMs, idleTimeoutMs } = timeouts;
        this.timeouts = timeouts;
        if (this.server !== undefined) {
            this.server.headersTimeout = headerTimeoutMs;
            this.server.keepAliveTimeout = idleTimeoutMs;
        }
    }

    /** Closes all connections, including those with a request in flight. */
    public closeConnections(): void {
        this.server?.closeAllConnections();
    }

    /**
     * Stops accepting connections and waits until the system has taken the responses to all requests. Connections on
     * which no request has been sent yet stay open, so that a first one can still be answered.
     */
    public stop(): Promise<void> {
        const { server } = this;
        if (server === undefined) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            // A connection that becomes idle later would delay the stop until its keep-alive timeout.
            const sweep = setInterval(() => this.closeIdle(), IDLE_CHECK_PERIOD_MS);
            const { maxStopMs } = this.options;
            const limit = maxStopMs === undefined ? undefined : setTimeout(() => this.closeConnections(), maxStopMs);
            // `Server.close` and `closeIdleConnections` of node:http destroy connections whose response has been
            // ended, even if most of it still waits for the caller.
            NetServer.prototype.close.call(server, () => {
                clearInterval(sweep);
                clearTimeout(limit);
                // Ends the timer with which Node checks the timeouts of requests.
                server.close();
                resolve();
            });
            this.closeIdle();
        });
    }

    private closeIdle(): void {
        for (const [socket, { open, bytesRead }] of this.uses) {
            // Bytes that have come since are the beginning of another request.
            if (open === 0 && socket.bytesRead === bytesRead) {
                socket.destroy();
            }
        }
    }

    private readonly trackUse: RequestListener = ({ socket }, res) => {
        const use = this.uses.get(socket) ?? { open: 0, bytesRead: 0 };
        if (!this.uses.has(socket)) {
            this.uses.set(socket, use);
            socket.once("close", () => this.uses.delete(socket));
        }
        use.open++;
        // Emitted when the last byte has been handed to the system, or the connection has closed.
        res.once("close", () => {
            use.open--;
            use.bytesRead = socket.bytesRead;
        });
    };

    private createServer(listener: RequestListener): Server {
        const options = {
            maxHeaderSize: this.limits.maxHeaderBytes,
            requestTimeout: this.limits.requestTimeoutMs,
            headersTimeout: this.limits.requestTimeoutMs,
            connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS,
            keepAliveTimeout: this.options.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS,
            noDelay: true,
        };
        const { certificates } = this.options;
        if (certificates === undefined) {
            return createServer(options, this.trackUse).on("request", listener);
        }
        const server = createTlsServer({ ...options, ...certificates.current }, this.trackUse);
        server.on("request", listener);
        certificates.onChanged(certificate => server.setSecureContext(certificate));
        return server;
    }

    private listen(server: Server): Promise<void> {
        const { host, port } = this.address;
        return new Promise((resolve, reject) => {
            server.once("error", err => {
                const peer = `${host}:${port}`;
                const message = `cannot listen on ${peer}: ${err.message}`;
                reject(
                    routerError(message, { code: "internal", step: `open listener ${this.name}`, peer, cause: err }),
                );
            });
            server.listen(port, host, () => resolve());
        });
    }
}
