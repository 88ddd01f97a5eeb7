/**
 * Durable storage of a control instance. Every method resolves only when its effect would survive a power loss.
 */

/** A command in the control log, as plain data. */
export type Command = Record<string, unknown>;

/** An entry of the control log. */
export interface LogEntry {
    /** Position, from 1 without gaps. */
    readonly index: number;
    /** Term of the leader that wrote it. */
    readonly term: number;
    readonly command: Command;
}

/** The state after all entries up to `lastIndex`. */
export interface Snapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly voters: readonly string[];
    readonly state: Record<string, unknown>;
}

/** Whether the disk of a voter holds all that the voter has confirmed. */
export interface DiskIntegrity {
    /** Id of the recovery from the loss of the disk; undefined while the voter is whole. */
    readonly recoveryId?: string | undefined;
    /** Voters at the first start of the system, which no entry of the log names; undefined where this start was another one. */
    readonly initialVoters?: readonly string[] | undefined;
}

/** Stored state of a voter. */
export interface StoredLog {
    /** Undefined on an empty disk, and in logs of earlier builds. */
    readonly integrity: DiskIntegrity | undefined;
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly snapshot: Snapshot | undefined;
    /** Entries after the snapshot. */
    readonly entries: readonly LogEntry[];
}

/** Durable storage of one voter. Calls are made one at a time. */
export interface LogStore {
    load(): Promise<StoredLog>;
    saveIntegrity(integrity: DiskIntegrity): Promise<void>;
    saveVote(term: number, votedFor: string | undefined): Promise<void>;
    append(entries: readonly LogEntry[]): Promise<void>;
    /** Drops the entries from `index` on. */
    truncate(index: number): Promise<void>;
    /** Replaces everything up to the snapshot's last index; `laterEntries` are the entries after it. */
    saveSnapshot(snapshot: Snapshot, laterEntries: readonly LogEntry[]): Promise<void>;
    /** Releases resources that a failed write left open, so that `load` reads a consistent state. */
    repair?(): Promise<void>;
}

/** State machine that the log is applied to. It must be deterministic. */
export interface StateMachine {
    /** Applies a committed command and returns its result. */
    apply(command: Command, index: number): Record<string, unknown>;
    /** Whether the leader must not accept the command, because what it would change was changed after it was given. */
    isOutdated?(command: Command): boolean;
    /** Returns the whole state, in the form that `restore` accepts. */
    snapshot(): Record<string, unknown>;
    /** Replaces the whole state. */
    restore(state: Record<string, unknown>): void;
}
