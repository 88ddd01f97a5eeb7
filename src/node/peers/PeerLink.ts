/**
 * The connection on which this instance sends its calls to one peer. It is opened on the first call and reopened on
 * the next call after a failure; a failure rejects all calls in flight.
 */
import { connect, type Socket } from "node:net";
import * as z from "zod";
import { ErrorStatus, type RouterError, routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { type Disposable, DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type PeerCallName, peerCalls, type PeerReply, type PeerRequest } from "../../common/peers/PeerCalls.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { encodeFrame, FrameReader, readMessages } from "./FrameCodec.ts";
import { type Credentials, dialHandshake, type SecureChannel } from "./Handshake.ts";

/** Calls fail at once for this long after the connection failed, in ms. */
const RECONNECT_PAUSE_MS = 100;
/** Longest time to connect and complete the handshake, in ms. */
const CONNECT_TIMEOUT_MS = 500;
/** When a call times out and nothing was received for this long, the connection is replaced, in ms. */
const SILENCE_TIMEOUT_MS = 900;

const replySchema = z.object({
    id: z.number(),
    reply: z.unknown().optional(),
    error: z.object({
        message: z.string(),
        code: z.enum(Object.keys(ErrorStatus) as [keyof typeof ErrorStatus]),
        run: z.enum(["not_run", "unknown", "ran"]),
    }).optional(),
});

interface Pending {
    readonly name: PeerCallName;
    readonly timer: Disposable;
    resolve(reply: unknown): void;
    reject(err: RouterError): void;
}

interface Connection {
    readonly socket: Socket;
    readonly channel: SecureChannel;
}

/** Calls to one peer. */
export class PeerLink extends DisposableOwner {
    private readonly clock: Clock;
    private readonly credentials: Credentials;
    private readonly peer: string;
    private readonly address: Address;
    private readonly pending = new Map<number, Pending>();
    private connection: Promise<Connection> | undefined;
    private socket: Socket | undefined;
    private failedAt = -Infinity;
    /** Monotonic time of the completed handshake or of the last message received, in ms. */
    private lastReceivedAt = -Infinity;
    private lastCallId = 0;
    private sentByteCount = 0;

    public constructor(clock: Clock, credentials: Credentials, peer: string, address: Address) {
        super();
        this.clock = clock;
        this.credentials = credentials;
        this.peer = peer;
        this.address = address;
        this.register({ dispose: () => this.socket?.destroy() });
    }

    /** Bytes of the calls that were sent to the peer, without handshakes. */
    public get sentBytes(): number {
        return this.sentByteCount;
    }

    /** Sends a call. Rejects with a `RouterError` when it fails or no reply arrives within `timeoutMs`. */
    public call<K extends PeerCallName>(name: K, req: PeerRequest<K>, timeoutMs: number): Promise<PeerReply<K>> {
        return new Promise((resolve, reject) => {
            const id = ++this.lastCallId;
            const onLate = (): void =>
                reject(this.callError(name, `no reply from ${this.peer} within ${Math.round(timeoutMs)} ms`));
            const timer = this.clock.schedule(timeoutMs, () => {
                if (this.pending.delete(id)) {
                    onLate();
                    this.closeIfSilent();
                }
            });
            const deadlineAt = this.clock.boottime() + timeoutMs;
            // After a freeze of this process, or of its machine, a reply may be read before the timer fires.
            const onReply = (reply: unknown): void =>
                this.clock.boottime() > deadlineAt ? onLate() : resolve(reply as PeerReply<K>);
            this.pending.set(id, { name, timer, resolve: onReply, reject });
            this.connect().then(connection => this.send(connection, { id, name, req }), (err: unknown) => {
                this.settle(id, pending => {
                    const details = { code: "internal", run: "not_run", step: name, peer: this.peer } as const;
                    pending.reject(toRouterError(err, details));
                });
            });
        });
    }

    /**
     * Closes a connection on which nothing was received for `SILENCE_TIMEOUT_MS`. The operating system may not report a
     * dead connection as closed; only a new one shows whether the peer is reachable.
     */
    private closeIfSilent(): void {
        const { socket } = this;
        if (socket !== undefined && this.clock.monotonic() - this.lastReceivedAt > SILENCE_TIMEOUT_MS) {
            this.onBroken(socket, new Error(`no message for ${SILENCE_TIMEOUT_MS} ms`));
        }
    }

    private send({ socket, channel }: Connection, message: unknown): void {
        const frame = encodeFrame(message, channel.sendAuthenticator);
        this.sentByteCount += frame.length;
        socket.write(frame);
    }

    private connect(): Promise<Connection> {
        if (this.connection === undefined) {
            if (this.isDisposed || this.clock.monotonic() - this.failedAt < RECONNECT_PAUSE_MS) {
                const details = { code: "internal", run: "not_run", step: "connect", peer: this.peer } as const;
                return Promise.reject(routerError(`instance ${this.peer} cannot be reached`, details));
            }
            this.connection = this.open();
        }
        return this.connection;
    }

    private async open(): Promise<Connection> {
        const socket = connect({ host: this.address.host, port: this.address.port, noDelay: true });
        this.socket = socket;
        const connectTimer = this.clock.schedule(
            CONNECT_TIMEOUT_MS,
            () => socket.destroy(new Error("the connection timed out")),
        );
        try {
            await waitUntilConnected(socket);
            const reader = new FrameReader();
            const messages = readMessages(socket, reader);
            const channel = await dialHandshake(socket, messages, reader, this.credentials, this.peer);
            this.lastReceivedAt = this.clock.monotonic();
            void this.readReplies(socket, messages);
            return { socket, channel };
        }
        catch (err) {
            this.onBroken(socket, err);
            throw err;
        }
        finally {
            connectTimer.dispose();
        }
    }

    /** Reads replies until the connection ends or fails. */
    private async readReplies(socket: Socket, messages: AsyncGenerator<unknown, void, undefined>): Promise<void> {
        try {
            for await (const message of messages) {
                this.onReply(message);
            }
            this.onBroken(socket, new Error("the peer closed the connection"));
        }
        catch (err) {
            this.onBroken(socket, err);
        }
    }

    private onReply(message: unknown): void {
        this.lastReceivedAt = this.clock.monotonic();
        const { id, reply, error } = replySchema.parse(message);
        this.settle(id, pending => {
            if (error !== undefined) {
                const { message: text, code, run } = error;
                pending.reject(routerError(text, { code, run, step: pending.name, peer: this.peer }));
                return;
            }
            const checked = peerCalls[pending.name].reply.safeParse(reply);
            if (checked.success) {
                pending.resolve(checked.data);
            }
            else {
                pending.reject(
                    this.callError(pending.name, `the reply of ${this.peer} is malformed: ${checked.error.message}`),
                );
            }
        });
    }

    private onBroken(socket: Socket, err: unknown): void {
        if (this.socket !== socket) {
            return;
        }
        this.socket = undefined;
        this.connection = undefined;
        this.failedAt = this.clock.monotonic();
        socket.destroy();
        const reason = err instanceof Error ? err.message : String(err);
        for (const id of [...this.pending.keys()]) {
            this.settle(
                id,
                pending =>
                    pending.reject(this.callError(pending.name, `the connection to ${this.peer} failed: ${reason}`)),
            );
        }
    }

    private settle(id: number, finish: (pending: Pending) => void): void {
        const pending = this.pending.get(id);
        if (pending === undefined) {
            return;
        }
        this.pending.delete(id);
        pending.timer.dispose();
        finish(pending);
    }

    private callError(name: PeerCallName, message: string): RouterError {
        return routerError(message, { code: "internal", run: "unknown", step: name, peer: this.peer });
    }
}

const waitUntilConnected = (socket: Socket): Promise<void> =>
    new Promise((resolve, reject) => {
        socket.once("connect", resolve);
        socket.once("error", reject);
        socket.once("close", () => reject(new Error("the connection was closed")));
    });
