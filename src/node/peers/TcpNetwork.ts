/**
 * The network between instances over TCP: a listener that answers the calls of peers, and a link to each peer for
 * outgoing calls.
 */
import { createServer, type Server, type Socket } from "node:net";
import * as z from "zod";
import { routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { type Disposable, DisposableOwner, toDisposable } from "../../common/lifecycle/Disposable.ts";
import { type PeerCallName, peerCalls, type PeerReply, type PeerRequest } from "../../common/peers/PeerCalls.ts";
import { type PeerHandler, type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { encodeFrame, FrameReader, readMessages } from "./FrameCodec.ts";
import { acceptHandshake, type Credentials, type SecureChannel } from "./Handshake.ts";
import { PeerLink } from "./PeerLink.ts";

/** Longest time for the handshake of an accepted connection, in ms. */
const HANDSHAKE_TIMEOUT_MS = 2000;
/** Limit of connections that are not yet authenticated, so that unknown clients cannot exhaust memory. */
const MAX_UNAUTHENTICATED_CONNECTIONS = 64;
/** An accepted connection that is idle for this long is closed: its peer may have failed without closing it, in ms. */
const IDLE_TIMEOUT_MS = 15_000;

const callSchema = z.object({
    id: z.number(),
    name: z.enum(Object.keys(peerCalls) as [PeerCallName]),
    req: z.unknown(),
});

/** Peer network of one process. */
export class TcpNetwork extends DisposableOwner implements PeerNetwork {
    public readonly self: string;
    private readonly clock: Clock;
    private readonly credentials: Credentials;
    private readonly listenAddress: Address | undefined;
    private readonly log: Log;
    private readonly addresses = new Map<string, Address>();
    private readonly fixedAddressPeers: ReadonlySet<string>;
    private readonly links = new Map<string, PeerLink>();
    private readonly handlers = new Map<PeerCallName, PeerHandler<PeerCallName>>();
    private readonly sockets = new Set<Socket>();
    private unauthenticatedCount = 0;
    private server: Server | undefined;

    public constructor(
        clock: Clock,
        credentials: Credentials,
        listenAddress: Address | undefined,
        peers: Readonly<Record<string, Address>>,
        log: Log,
    ) {
        super();
        this.clock = clock;
        this.credentials = credentials;
        this.self = credentials.id;
        this.listenAddress = listenAddress;
        this.log = log;
        this.fixedAddressPeers = new Set(Object.keys(peers));
        for (const [peer, address] of Object.entries(peers)) {
            this.addresses.set(peer, address);
        }
        this.register({ dispose: () => this.close() });
    }

    public get configuredPeers(): readonly string[] {
        return [...this.fixedAddressPeers].filter(peer => peer !== this.self);
    }

    /** Bytes sent in calls to all current peers. */
    public get sentBytes(): number {
        let total = 0;
        for (const link of this.links.values()) {
            total += link.sentBytes;
        }
        return total;
    }

    /** Starts to accept connections, if a listen address is configured. */
    public listen(): Promise<void> {
        const { listenAddress } = this;
        if (listenAddress === undefined) {
            return Promise.resolve();
        }
        const server = createServer({ noDelay: true }, socket => void this.serve(socket));
        this.server = server;
        return new Promise((resolve, reject) => {
            server.once("error", err => {
                const peer = `${listenAddress.host}:${listenAddress.port}`;
                reject(
                    routerError(`cannot listen on ${peer}: ${err.message}`, {
                        code: "internal",
                        step: "open listener peers",
                        peer,
                        cause: err,
                    }),
                );
            });
            server.listen(listenAddress.port, listenAddress.host, resolve);
        });
    }

    public call<K extends PeerCallName>(
        peer: string,
        name: K,
        req: PeerRequest<K>,
        timeoutMs: number,
    ): Promise<PeerReply<K>> {
        const link = this.linkTo(peer);
        if (link === undefined) {
            const details = { code: "internal", run: "not_run", step: name, peer } as const;
            return Promise.reject(routerError(`the address of instance ${peer} is not known`, details));
        }
        return link.call(name, req, timeoutMs);
    }

    public handle<K extends PeerCallName>(name: K, handler: PeerHandler<K>): Disposable {
        this.handlers.set(name, handler as unknown as PeerHandler<PeerCallName>);
        return toDisposable(() => this.handlers.delete(name));
    }

    public setAddress(peer: string, address: string): void {
        const colon = address.lastIndexOf(":");
        if (this.fixedAddressPeers.has(peer) || colon < 0) {
            return;
        }
        const newAddress = { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
        const current = this.addresses.get(peer);
        if (current?.host === newAddress.host && current.port === newAddress.port) {
            return;
        }
        this.addresses.set(peer, newAddress);
        this.links.get(peer)?.dispose();
        this.links.delete(peer);
    }

    private linkTo(peer: string): PeerLink | undefined {
        const existing = this.links.get(peer);
        const address = this.addresses.get(peer);
        if (existing !== undefined || address === undefined || this.isDisposed) {
            return existing;
        }
        const link = new PeerLink(this.clock, this.credentials, peer, address);
        this.links.set(peer, link);
        return link;
    }

    /** Answers the calls of one accepted connection until it ends. */
    private async serve(socket: Socket): Promise<void> {
        if (this.unauthenticatedCount >= MAX_UNAUTHENTICATED_CONNECTIONS) {
            socket.destroy();
            return;
        }
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
        const reader = new FrameReader();
        const messages = readMessages(socket, reader);
        try {
            const channel = await this.authenticate(socket, messages, reader);
            for await (const message of messages) {
                void this.answer(socket, channel, message);
            }
        }
        catch (err) {
            this.log.debug("A connection ended with an error.", { reason: (err as Error).message });
        }
        finally {
            this.sockets.delete(socket);
            socket.destroy();
        }
    }

    private async authenticate(
        socket: Socket,
        messages: AsyncGenerator<unknown, void, undefined>,
        reader: FrameReader,
    ): Promise<SecureChannel> {
        this.unauthenticatedCount++;
        const handshakeTimer = this.clock.schedule(HANDSHAKE_TIMEOUT_MS, () => socket.destroy());
        try {
            return await acceptHandshake(socket, messages, reader, this.credentials);
        }
        catch (err) {
            this.log.warn("An instance was refused.", { reason: (err as Error).message, peer: socket.remoteAddress });
            throw err;
        }
        finally {
            handshakeTimer.dispose();
            this.unauthenticatedCount--;
        }
    }

    private async answer(socket: Socket, channel: SecureChannel, message: unknown): Promise<void> {
        const call = callSchema.safeParse(message);
        if (!call.success) {
            socket.destroy();
            return;
        }
        const { id, name, req } = call.data;
        const result = await this.invoke(name, req, channel.peer);
        if (!socket.destroyed) {
            socket.write(encodeFrame({ id, ...result }, channel.sendAuthenticator));
        }
    }

    private async invoke(name: PeerCallName, req: unknown, from: string): Promise<object> {
        try {
            const handler = this.handlers.get(name);
            const checked = peerCalls[name].req.safeParse(req);
            if (handler === undefined || !checked.success) {
                const reason = checked.success ? "has no handler here" : `is malformed: ${checked.error.message}`;
                throw routerError(`call ${name} ${reason}`, { code: "malformedRequest", step: name, peer: from });
            }
            return { reply: await handler(checked.data, from) };
        }
        catch (err) {
            const failure = toRouterError(err, { code: "internal", run: "unknown", step: name, peer: from });
            return { error: { message: failure.message, code: failure.code, run: failure.run } };
        }
    }

    private close(): void {
        this.server?.close();
        this.sockets.forEach(socket => socket.destroy());
        this.links.forEach(link => link.dispose());
    }
}
