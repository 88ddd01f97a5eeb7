/**
 * Time limits and shared types of the control log.
 */
import { type RouterError, routerError } from "../errors/RouterError.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock } from "../time/Clock.ts";
import { type LogStore, type StateMachine } from "./LogStore.ts";

/** Time between two heartbeats of an idle leader, in ms. */
export const HEARTBEAT_MS = 150;
/** Minimum time without a message from the leader after which a voter starts an election, in ms. */
export const MIN_ELECTION_TIMEOUT_MS = 900;
/** Largest random addition to that time, so that two voters seldom start an election at once, in ms. */
export const ELECTION_JITTER_MS = 900;
/** Time without replies from a majority after which a leader steps down, in ms. */
export const LEADER_LEASE_MS = MIN_ELECTION_TIMEOUT_MS;
/** Time limit for a peer's reply to a heartbeat, in ms; a lost message uses up a third of the leader's lease. */
export const CALL_TIMEOUT_MS = 300;
/** Time limit for the reply of a peer that writes entries or a snapshot first, in ms. */
export const REPLICATION_TIMEOUT_MS = 5000;

/** Age of a confirmation that is sent when there never was one, in ms: messages may not hold Infinity. */
export const NEVER_CONFIRMED_MS = 1e12;

/** Role of a voter. */
export type ControlRole = "follower" | "candidate" | "leader";

/** A committed proposal. */
export interface Committed {
    readonly index: number;
    /** Result of applying the command. */
    readonly outcome: Record<string, unknown>;
}

/** Why a leader's term ended. */
export interface LeadershipEnd {
    readonly reason: string;
    /** Time since the newest reply that counted, in ms, by voter; -1 for voters whose replies don't count. */
    readonly silentMs?: Readonly<Record<string, number>>;
}

/** Something that happened to a voter and that explains a later loss, or shows one. */
export type ControlEvent =
    /** The voter starts without the disk that it had, or as a new one. */
    | { readonly kind: "recovering"; readonly recoveryId: string; }
    | { readonly kind: "recovered"; readonly lastIndex: number; }
    /** The leader readmits a voter whose copy is complete. */
    | { readonly kind: "readmitting"; readonly voter: string; readonly recoveryId: string; }
    | {
        readonly kind: "voted";
        readonly term: number;
        readonly candidate: string;
        readonly candidateLastIndex: number;
    }
    /** This instance leads no longer. */
    | ({ readonly kind: "leadershipEnded"; readonly term: number; readonly voters: readonly string[]; } & LeadershipEnd)
    /** An attempt to be elected did not succeed in time. */
    | {
        readonly kind: "notElected";
        readonly term: number;
        readonly isPreVote: boolean;
        readonly voters: readonly string[];
        readonly granted: readonly string[];
        /** Reasons of those that refused, by id. */
        readonly refused: Readonly<Record<string, string>>;
        readonly unanswered: readonly string[];
    }
    /** Entries of another leader are dropped; dropping committed ones is a fault. */
    | { readonly kind: "truncated"; readonly index: number; readonly lastIndex: number; readonly commitIndex: number; };

/** State of a voter, for operators. */
export interface ControlStatus {
    readonly role: ControlRole;
    readonly term: number;
    readonly leader: string | undefined;
    readonly voters: readonly string[];
    /** The voters until the change under way is complete; undefined when there is none. */
    readonly outgoing: readonly string[] | undefined;
    readonly lastIndex: number;
    readonly commitIndex: number;
    readonly snapshotIndex: number;
    /** Id of the recovery from the loss of this voter's disk; undefined while it is whole. */
    readonly recoveryId: string | undefined;
    /** Error text of the storage when the voter stopped because its storage failed. */
    readonly failure: string | undefined;
}

/** Dependencies and options of a control log. */
export interface ControlLogDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly store: LogStore;
    readonly stateMachine: StateMachine;
    /** Voters at the first start; later changes are entries of the log. */
    readonly initialVoters: readonly string[];
    /**
     * Whether the system as a whole starts for the first time, so that an empty disk does not show a loss. Must be false
     * when a voter returns without its disk, or starts later than the others. Where that is unknown, an empty disk counts as
     * that of a first start, but such a voter votes only for candidates whose logs are empty, too.
     */
    readonly isFirstStart: boolean | "unknown";
    /** Number of entries after which a snapshot is taken; to be lowered for entries that are larger than usual. */
    readonly snapshotAfterEntries?: number;
    /** Whether the first election timeout is shorter, so that a leader is elected soon after all voters restart. */
    readonly hasShortFirstTimeout?: boolean;
    /** Whether a voter whose storage failed reloads its log and tries again, for example once a full disk has space. */
    readonly recoversStorage?: boolean;
    /**
     * Whether several voters may be exchanged at once, through a joint configuration. Builds without it would take the
     * incoming voters alone for the majority, so all voters must have it; false by default.
     */
    readonly allowsJointChanges?: () => boolean;
    /** Uniform in [0, 1). */
    readonly random: () => number;
}

/** Suggested delay before a retry, in ms. */
const RETRY_AFTER_MS = 1000;

/** Error of a command that could not be committed; `run` tells whether it can still take effect. */
export const noMajorityError = (message: string, run: "not_run" | "unknown", leader: string | undefined): RouterError =>
    routerError(message, {
        code: "noMajority",
        run,
        step: "propose",
        retryAfterMs: RETRY_AFTER_MS,
        ...(leader === undefined ? {} : { peer: leader }),
    });
