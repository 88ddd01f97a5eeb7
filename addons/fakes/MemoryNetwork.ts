/**
 * An in-memory network between instances, for tests and benches. Messages take time on the injected clock; a
 * function gives their delay or drops them.
 */
import { routerError, toRouterError } from "../../src/common/errors/RouterError.ts";
import { type Disposable, toDisposable } from "../../src/common/lifecycle/Disposable.ts";
import { type PeerCallName, peerCalls, type PeerReply, type PeerRequest } from "../../src/common/peers/PeerCalls.ts";
import { type PeerHandler, type PeerNetwork } from "../../src/common/peers/PeerNetwork.ts";
import { type Clock } from "../../src/common/time/Clock.ts";
import { encodeFrame } from "../../src/node/peers/FrameCodec.ts";

/** Returns the delay of one message in ms, or undefined if the message is lost. */
export type LinkDelay = (from: string, to: string) => number | undefined;

/** Delivers messages between all instances of one deployment. */
export class MemoryHub {
    /** Bytes of the requests that were delivered and of their replies, as on the wire; counted while `countsBytes`. */
    public bytes = 0;
    /** Size of the largest of these messages. */
    public largestMessageBytes = 0;
    /** Number of messages that were sent and not dropped by `linkDelay`. */
    public messages = 0;
    /** Whether messages are encoded as on the wire, to count their bytes. */
    public countsBytes = false;
    private readonly nodes = new Map<string, MemoryNetwork>();
    public readonly clock: Clock;
    public linkDelay: LinkDelay;

    public constructor(clock: Clock, link: LinkDelay) {
        this.clock = clock;
        this.linkDelay = link;
    }

    /** Connects the instance `self`, which receives messages and notices time limits by its own clock. */
    public join(self: string, configuredPeers: readonly string[], clock = this.clock): MemoryNetwork {
        const network = new MemoryNetwork(this, self, configuredPeers, clock);
        this.nodes.set(self, network);
        return network;
    }

    /** Disconnects an instance as a crash does: from now on it neither receives nor sends messages. */
    public remove(network: MemoryNetwork): void {
        if (this.nodes.get(network.self) === network) {
            this.nodes.delete(network.self);
        }
        network.isDown = true;
    }

    public countBytes(message: unknown): void {
        if (this.countsBytes) {
            const { length } = encodeFrame({ id: 1, name: "", message }, undefined);
            this.bytes += length;
            this.largestMessageBytes = Math.max(this.largestMessageBytes, length);
        }
    }

    public node(id: string): MemoryNetwork | undefined {
        return this.nodes.get(id);
    }
}

/** The peer network of one instance. */
export class MemoryNetwork implements PeerNetwork {
    public readonly self: string;
    public readonly configuredPeers: readonly string[];
    public readonly clock: Clock;
    public isDown = false;
    private readonly hub: MemoryHub;
    private readonly handlers = new Map<string, PeerHandler<PeerCallName>>();

    public constructor(hub: MemoryHub, self: string, configuredPeers: readonly string[], clock: Clock) {
        this.hub = hub;
        this.clock = clock;
        this.self = self;
        this.configuredPeers = configuredPeers.filter(peer => peer !== self);
    }

    public call<K extends PeerCallName>(
        peer: string,
        name: K,
        req: PeerRequest<K>,
        timeoutMs: number,
    ): Promise<PeerReply<K>> {
        return new Promise((resolve, reject) => {
            const timer = this.clock.schedule(timeoutMs, () => reject(unreachableError(name, peer)));
            const deliver = (reply: PeerReply<K>): void =>
                this.send(peer, this.self, () => {
                    timer.dispose();
                    resolve(reply);
                });
            const refuse = (err: unknown): void =>
                this.send(peer, this.self, () => {
                    timer.dispose();
                    reject(toRouterError(err, { code: "internal", run: "unknown", step: name, peer }));
                });
            this.send(this.self, peer, () => {
                const target = this.hub.node(peer);
                const copy = structuredClone(req);
                this.hub.countBytes(req);
                target?.serve(name, copy, this.self).then(reply => deliver(reply as PeerReply<K>), refuse);
            });
        });
    }

    public handle<K extends PeerCallName>(name: K, handler: PeerHandler<K>): Disposable {
        this.handlers.set(name, handler as unknown as PeerHandler<PeerCallName>);
        return toDisposable(() => this.handlers.delete(name));
    }

    public setAddress(): void {
        // Addresses aren't used: the hub finds instances by id.
    }

    private async serve(name: PeerCallName, req: PeerRequest<PeerCallName>, from: string): Promise<unknown> {
        const handler = this.handlers.get(name);
        if (handler === undefined) {
            throw unreachableError(name, this.self);
        }
        // Both sides of a real network validate what they receive.
        const reply = await handler(peerCalls[name].req.parse(req), from);
        this.hub.countBytes(reply);
        return peerCalls[name].reply.parse(structuredClone(reply));
    }

    private send(from: string, to: string, deliver: () => void): void {
        const delay = this.hub.linkDelay(from, to);
        if (delay === undefined || this.isDown) {
            return;
        }
        this.hub.messages++;
        const receiver = this.hub.node(to)?.clock ?? this.hub.clock;
        receiver.schedule(delay, () => {
            if (this.hub.node(to) !== undefined && !this.isDown) {
                deliver();
            }
        });
    }
}

const unreachableError = (name: string, peer: string): Error =>
    routerError(`no reply to ${name} from ${peer}`, { code: "internal", run: "unknown", step: name, peer });
