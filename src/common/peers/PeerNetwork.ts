/**
 * Interface for calls to other instances. The TCP network of a process and the in-memory networks of tests and
 * benchmarks implement it.
 */
import { type Disposable } from "../lifecycle/Disposable.ts";
import { type PeerCallName, type PeerReply, type PeerRequest } from "./PeerCalls.ts";

/** Handles a call from another instance. `from` is the caller's authenticated id. */
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
    /** Rejects with a `RouterError` when no reply arrives within `timeoutMs`. */
    call<K extends PeerCallName>(peer: string, name: K, req: PeerRequest<K>, timeoutMs: number): Promise<PeerReply<K>>;
    /** Sets the only handler of a call. */
    handle<K extends PeerCallName>(name: K, handler: PeerHandler<K>): Disposable;
    /** Sets the address of an instance that is not in the settings. */
    setAddress(peer: string, address: string): void;
}
