/**
 * How an instance reaches the others. The TCP network of a process and the in-memory networks of tests and
 * benches implement the same interface.
 */
import { type Disposable } from "../lifecycle/Disposable.ts";
import { type PeerCallName, type PeerReply, type PeerRequest } from "./PeerCalls.ts";

/** Answers a call of another instance. `from` is the caller's proven id. */
export type PeerHandler<K extends PeerCallName> = (
    req: PeerRequest<K>,
    from: string,
) => PeerReply<K> | Promise<PeerReply<K>>;

/** Calls between instances. */
export interface PeerNetwork {
    /** Id of this instance. */
    readonly self: string;
    /** Instances whose address is known from the settings. */
    readonly configuredPeers: readonly string[];
    /** Rejects with a `RouterError` when no reply came within `timeoutMs`. */
    call<K extends PeerCallName>(peer: string, name: K, req: PeerRequest<K>, timeoutMs: number): Promise<PeerReply<K>>;
    /** Sets the handler of a call, of which there is one. */
    handle<K extends PeerCallName>(name: K, handler: PeerHandler<K>): Disposable;
    /** Tells the network where to find an instance that is not in the settings. */
    setAddress(peer: string, address: string): void;
}
