/**
 * An HTTP door of an instance: a server with bounded headers, connections and arrival times whose requests
 * pass through a moleculer-web gateway of the local broker. Bodies and streams stay out of the gateway.
 */
import { type Service, type ServiceBroker } from "moleculer";
import ApiGateway from "moleculer-web";
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { routerError } from "../../common/errors/RouterError.ts";
import { type Component } from "../../common/lifecycle/Lifecycle.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { type Certificates } from "./Certificates.ts";

/** Answers one request. It must not reject: every failure is answered. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Bounds of a door. */
export interface HttpServerLimits {
    readonly maxHeaderBytes: number;
    readonly maxHeaders: number;
    readonly maxConnections: number;
    /** Time in which a whole request must have arrived, in ms. */
    readonly requestTimeoutMs: number;
}

/** What sets a door apart. */
export interface HttpServerOptions {
    /** With certificates the door speaks TLS only. */
    readonly certificates?: Certificates | undefined;
    /** Whether requests skip the gateway's action call, which costs a fifth of a caller's request. */
    readonly skipsActions?: boolean;
    /** How long an idle connection is kept, in ms; `KEEP_ALIVE_MS` when it is left out. */
    readonly keepAliveMs?: number;
}

/** Bounds of a door that may change while it is open. */
export interface ConnectionTimeouts {
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** How often node looks for connections that exceed the arrival time, in ms. */
const TIMEOUT_CHECK_PERIOD_MS = 500;
/** How often a closing door looks for connections that have turned idle, in ms. */
const IDLE_CHECK_PERIOD_MS = 50;
/** How long an idle connection is kept, in ms. */
const DEFAULT_KEEP_ALIVE_MS = 65_000;

interface Gateway extends Service {
    express(): RequestListener;
}

/** A server on one address. */
export class HttpServer implements Component {
    public readonly name: string;
    private readonly broker: ServiceBroker;
    private readonly address: Address;
    private readonly limits: HttpServerLimits;
    private readonly handle: HttpHandler;
    private readonly options: HttpServerOptions;
    private server: Server | undefined;

    public constructor(
        broker: ServiceBroker,
        name: string,
        address: Address,
        limits: HttpServerLimits,
        handle: HttpHandler,
        options: HttpServerOptions = {},
    ) {
        this.broker = broker;
        this.name = name;
        this.address = address;
        this.limits = limits;
        this.handle = handle;
        this.options = options;
    }

    /** Port that the door listens on, which differs from the setting when that is 0. */
    public get port(): number {
        const bound = this.server?.address();
        return typeof bound === "object" ? bound?.port ?? this.address.port : this.address.port;
    }

    public async start(): Promise<void> {
        const gateway = this.createGateway();
        const server = this.createServer(gateway.express());
        server.maxHeadersCount = this.limits.maxHeaders;
        server.maxConnections = this.limits.maxConnections;
        this.server = server;
        await this.listen(server);
    }

    /** Applies other bounds to connections that are idle or come from now on. */
    public setTimeouts({ headerTimeoutMs, idleTimeoutMs }: ConnectionTimeouts): void {
        if (this.server !== undefined) {
            this.server.headersTimeout = headerTimeoutMs;
            this.server.keepAliveTimeout = idleTimeoutMs;
        }
    }

    /** Closes every connection, whether or not a request is in flight on it. */
    public closeConnections(): void {
        this.server?.closeAllConnections();
    }

    /** Stops accepting connections and waits until the requests in flight have been answered. */
    public stop(): Promise<void> {
        const server = this.server;
        if (server === undefined) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            // A connection that turns idle later would keep the door open for the length of its keep-alive.
            const sweep = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_PERIOD_MS);
            server.close(() => {
                clearInterval(sweep);
                resolve();
            });
            server.closeIdleConnections();
        });
    }

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
            return createServer(options, listener);
        }
        const server = createTlsServer({ ...options, ...certificates.current }, listener);
        certificates.onChanged(certificate => server.setSecureContext(certificate));
        return server;
    }

    private createGateway(): Gateway {
        const answer = (req: IncomingMessage, res: ServerResponse): void => void this.handle(req, res);
        return this.broker.createService({
            name: `${this.name}-door`,
            mixins: [ApiGateway],
            settings: {
                server: false,
                logRequest: false,
                logResponse: false,
                logRouteRegistration: false,
                routes: [{ path: "/", use: [answer], bodyParsers: false, aliases: {} }],
            },
            ...(this.options.skipsActions === true ? { methods: { httpHandler: answer } } : {}),
        }) as Gateway;
    }

    private listen(server: Server): Promise<void> {
        const { host, port } = this.address;
        return new Promise((resolve, reject) => {
            server.once("error", err => {
                const peer = `${host}:${port}`;
                const message = `cannot listen on ${peer}: ${err.message}`;
                reject(routerError(message, { code: "internal", step: `open door ${this.name}`, peer, cause: err }));
            });
            server.listen(port, host, () => resolve());
        });
    }
}
