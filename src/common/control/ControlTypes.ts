/**
 * Timing and shared types of the control log.
 */
import { type RouterError, routerError } from "../errors/RouterError.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock } from "../time/Clock.ts";
import { type LogStore, type StateMachine } from "./LogStore.ts";

/** Time between two messages of an idle leader, in ms. */
export const HEARTBEAT_MS = 150;
/** Least silence of the leader after which a voter stands for election, in ms. */
export const MIN_ELECTION_TIMEOUT_MS = 900;
/** Spread of that time, so that two voters seldom stand at once, in ms. */
export const ELECTION_JITTER_MS = 900;
/** Without answers of a majority for this long a leader steps down, in ms. */
export const LEADER_LEASE_MS = MIN_ELECTION_TIMEOUT_MS;
/** Time in which a message to a peer must be answered, in ms; a lost one costs a third of the leader's lease. */
export const CALL_TIMEOUT_MS = 300;
/** Time in which a snapshot must be taken, in ms. */
export const SNAPSHOT_TIMEOUT_MS = 5000;

/** Part of a voter in the agreement. */
export type ControlRole = "follower" | "candidate" | "leader";

/** A committed proposal. */
export interface Committed {
    readonly index: number;
    /** What became of the command. */
    readonly outcome: Record<string, unknown>;
}

/** State of a voter, for operators. */
export interface ControlStatus {
    readonly role: ControlRole;
    readonly term: number;
    readonly leader: string | undefined;
    readonly voters: readonly string[];
    readonly lastIndex: number;
    readonly commitIndex: number;
    readonly snapshotIndex: number;
    /** Set when the voter stopped because its storage failed. */
    readonly failure: string | undefined;
}

/** What a control log works with. */
export interface ControlLogDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly store: LogStore;
    readonly machine: StateMachine;
    /** Voters of the first start; later ones stand in the log. */
    readonly initialVoters: readonly string[];
    /** Entries after which a snapshot is taken, when they are larger than usual. */
    readonly snapshotAfterEntries?: number;
    /** Whether the first election after the start waits less, so that a restart of all voters is over soon. */
    readonly hasShortFirstTimeout?: boolean;
    /** Whether a voter whose storage failed tries again, as when a full disk gets room. */
    readonly recoversStorage?: boolean;
    /** Uniform in [0, 1). */
    readonly random: () => number;
}

/** Votes or copies that make a majority of `count` voters. */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** When it is worth asking again, in ms. */
const RETRY_AFTER_MS = 1000;

/** The command cannot be committed here and now; `run` says whether it can still take effect. */
export const noMajorityError = (message: string, run: "not_run" | "unknown", leader: string | undefined): RouterError =>
    routerError(message, {
        code: "noMajority",
        run,
        step: "propose",
        retryAfterMs: RETRY_AFTER_MS,
        ...(leader === undefined ? {} : { peer: leader }),
    });
