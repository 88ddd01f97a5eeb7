/**
 * Relays connections of other entry instances to upstreams. An instance that has lost its paths to the upstreams sends
 * its requests this way; all decisions about them stay with it.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type Socket } from "node:net";
import { type Duplex } from "node:stream";
import { routerError } from "../../common/errors/RouterError.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, repeatWhileBusy, type WakefulRepeat } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { RelayedHeads } from "./RelayedHeads.ts";
import { isAuthorized, UPSTREAM_UNREACHABLE_STATUS } from "./RelayProtocol.ts";
import { type RawResponseHead } from "./UpstreamConnections.ts";

/** Most connections that are relayed at the same time. */
const MAX_CONNECTIONS = 1000;
/** Idle time after which the operating system sends TCP keep-alive probes, in ms. */
const KEEP_ALIVE_PROBE_MS = 2000;
/** How often connections that are not to be relayed any more are looked for, in ms. */
const IDLE_CHECK_PERIOD_MS = 100;
/** Time without bytes after an answer from which a connection counts as idle, in ms. */
const IDLE_AFTER_MS = 200;

/** Why connections to an upstream are not relayed. */
export interface RelayRefusal {
    readonly reason: string;
    /** Whether the upstream wants no requests, so that none may follow on open connections either. */
    readonly isByUpstream: boolean;
}

/** Dependencies of the server. */
export interface RelayServerDependencies {
    readonly address: Address;
    readonly secret: string;
    readonly log: Log;
    readonly clock: Clock;
    /** Why no connection to the address can be relayed at the moment; undefined if it can. */
    readonly refusal: (address: string) => RelayRefusal | undefined;
    /** Called with the head of each response that is relayed: for the upstream, it goes to this instance. */
    readonly onResponse: (address: string, head: RawResponseHead) => void;
    /** Opens a direct connection to an upstream. */
    readonly dial: (address: string) => Promise<Socket>;
}

const relayIsStopping: RelayRefusal = { reason: "the relay is stopping", isByUpstream: false };

interface RelayedConnection {
    readonly socket: Socket;
    readonly address: string;
    readonly heads: RelayedHeads;
    /** Whether a response has passed. Before the first one a request is about to come. */
    hasResponse: boolean;
    /** Monotonic time of the newest bytes, in ms. */
    usedAt: number;
}

/** Listens for other instances. */
export class RelayServer extends DisposableOwner {
    private readonly deps: RelayServerDependencies;
    private readonly connections = new Set<RelayedConnection>();
    private readonly checks: WakefulRepeat;
    private server: Server | undefined;
    private isStopping = false;

    public constructor(deps: RelayServerDependencies) {
        super();
        this.deps = deps;
        this.checks = this.register(repeatWhileBusy(deps.clock, IDLE_CHECK_PERIOD_MS, () => this.closeUnwanted()));
        this.register({ dispose: () => this.close() });
    }

    public start(): Promise<void> {
        const { address: { host, port } } = this.deps;
        const server = createServer({ noDelay: true, keepAlive: true }, (...[, res]) => res.writeHead(405).end());
        server.maxConnections = MAX_CONNECTIONS;
        server.on("connect", (req, socket, head) => void this.relay(req, socket, head));
        this.server = server;
        return new Promise((resolve, reject) => {
            server.once("error", err => {
                const peer = `${host}:${port}`;
                const details = { code: "internal", step: "open listener relay", peer, cause: err } as const;
                reject(routerError(`cannot listen on ${peer}: ${err.message}`, details));
            });
            server.listen(port, host, resolve);
        });
    }

    /**
     * Planned stop: relays no new connections, and closes each open one after its current response. Resolves when none
     * is left.
     */
    public stop(): Promise<void> {
        this.isStopping = true;
        const { server } = this;
        const closed = new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
        this.checks.wake();
        return closed;
    }

    /** Closes the listener and all relayed connections. */
    private close(): void {
        if (this.isStopping && this.connections.size > 0) {
            this.deps.log.warn("Relayed connections are closed before the end.", { count: this.connections.size });
        }
        this.server?.close();
        this.server?.closeAllConnections();
        this.connections.forEach(({ socket }) => socket.destroy());
    }

    /**
     * Closes idle connections that would not be relayed now, so that no later request goes over them. Returns whether
     * connections are left. To be called when an upstream has said that it wants no requests.
     */
    public closeUnwanted(): boolean {
        const { clock } = this.deps;
        const idleSince = clock.monotonic() - IDLE_AFTER_MS;
        for (const { socket, address, heads, hasResponse, usedAt } of this.connections) {
            // A response that doesn't tell where it ends is never complete: it ends with its connection.
            const found = heads.areComplete ? this.refusalOf(address) : undefined;
            const isDue = found?.isByUpstream === true || (this.isStopping && hasResponse);
            if (found !== undefined && (isDue || usedAt < idleSince)) {
                // Sends what is left of the response first.
                socket.end();
            }
        }
        return this.connections.size > 0;
    }

    private refusalOf(address: string): RelayRefusal | undefined {
        return this.deps.refusal(address) ?? (this.isStopping ? relayIsStopping : undefined);
    }

    private async relay(req: IncomingMessage, socket: Duplex, head: Buffer): Promise<void> {
        const { secret, dial, log } = this.deps;
        const target = req.url ?? "";
        // A socket without a listener for errors would end the process.
        socket.on("error", () => socket.destroy());
        const refuse = (status: number, reason: string): void => {
            log.debug("A connection is not relayed.", { target, reason });
            socket.end(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\n\r\n`);
        };
        if (!isAuthorized(secret, target, req.headers["proxy-authorization"])) {
            log.warn("A relayed connection was refused: it lacks the authorization.", { target });
            refuse(403, "not authorized");
            return;
        }
        const refuseUnwanted = (): boolean => {
            const found = this.refusalOf(target);
            if (found !== undefined) {
                refuse(503, found.reason);
            }
            return found !== undefined;
        };
        if (refuseUnwanted()) {
            return;
        }
        try {
            const upstream = await dial(target);
            if (refuseUnwanted()) {
                upstream.destroy();
                return;
            }
            socket.write("HTTP/1.1 200 Connected\r\n\r\n");
            upstream.write(head);
            this.connect(socket as Socket, upstream, target);
        }
        catch (err) {
            refuse(UPSTREAM_UNREACHABLE_STATUS, (err as Error).message);
        }
    }

    /** Passes bytes on in both directions. A reset within a response is passed on as a reset. */
    private connect(socket: Socket, upstream: Socket, address: string): void {
        const { clock, onResponse, refusal } = this.deps;
        const heads = new RelayedHeads(head => onResponse(address, head));
        const connection = { socket, address, heads, hasResponse: false, usedAt: clock.monotonic() };
        this.connections.add(connection);
        this.checks.wake();
        socket.on("data", () => {
            if (heads.areComplete && refusal(address)?.isByUpstream === true) {
                // A further request, sent before the other instance has noticed the end of the connection.
                upstream.destroy();
                socket.resetAndDestroy();
                return;
            }
            connection.usedAt = clock.monotonic();
            heads.expectHead();
        });
        // The bytes of a response are passed on before what they say has an effect, which may end the connection.
        upstream.pipe(socket);
        upstream.on("data", (chunk: Buffer) => {
            connection.hasResponse = true;
            connection.usedAt = clock.monotonic();
            heads.push(chunk);
            if (heads.areComplete) {
                this.closeUnwanted();
            }
        });
        socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
        // The other instance never half-closes: with the end of its connection it has given up the request.
        socket.once("end", () => upstream.destroy());
        socket.once("close", () => {
            this.connections.delete(connection);
            upstream.destroy();
        });
        upstream.once("error", () => {
            // What is left of a complete response is sent before the end of the connection.
            if (!heads.areComplete) {
                socket.resetAndDestroy();
            }
        });
        upstream.once("close", () => socket.end());
        if (socket.destroyed) {
            upstream.destroy();
            return;
        }
        socket.pipe(upstream);
    }
}
