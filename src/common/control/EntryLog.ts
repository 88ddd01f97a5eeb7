/**
 * The in-memory part of the control log: the entries after the newest snapshot.
 */
import { type Command, type LogEntry, type Snapshot } from "./LogStore.ts";
import { type VoterConfiguration } from "./VoterConfiguration.ts";

/** Kind of the command that sets the voters, in force from its index on. */
export const VOTERS_COMMAND = "voters";

/** A voter that lost its disk, and the recovery that ends when the command is committed. */
export interface Readmission {
    readonly voter: string;
    readonly recoveryId: string;
}

/** A configuration with the index of the entry that sets it, or of the snapshot that holds it. */
export interface IndexedConfiguration extends VoterConfiguration {
    readonly index: number;
}

/** The command that sets the voters, and readmits one of them if it lost its disk. */
export const votersCommand = (voters: readonly string[], readmission?: Readmission): Command => ({
    kind: VOTERS_COMMAND,
    voters: [...voters],
    ...(readmission === undefined ? {} : { readmission }),
});

/** The command that begins to exchange the voters: until `votersCommand` ends it, majorities of both sets are needed. */
export const jointVotersCommand = (outgoing: readonly string[], voters: readonly string[]): Command => ({
    ...votersCommand(voters),
    outgoing: [...outgoing],
});

/** Entries of the log that follow a snapshot. */
export class EntryLog {
    private baseSnapshot: Snapshot;
    private entries: LogEntry[];
    private current: IndexedConfiguration;
    private currentBytes: number;

    public constructor(snapshot: Snapshot, entries: readonly LogEntry[]) {
        this.baseSnapshot = snapshot;
        this.entries = [...entries];
        this.currentBytes = totalBytes(entries);
        this.current = this.configurationAt(Infinity);
    }

    public get snapshot(): Snapshot {
        return this.baseSnapshot;
    }

    public get lastIndex(): number {
        return this.entries.at(-1)?.index ?? this.baseSnapshot.lastIndex;
    }

    public get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.baseSnapshot.lastTerm;
    }

    /** Number of entries after the snapshot. */
    public get length(): number {
        return this.entries.length;
    }

    /** Approximate size of the entries after the snapshot. */
    public get bytes(): number {
        return this.currentBytes;
    }

    /** The voters in force: those of the newest entry that sets them, committed or not. */
    public get configuration(): IndexedConfiguration {
        return this.current;
    }

    /** The voters in force; during a change those that are to be. */
    public get voters(): readonly string[] {
        return this.current.voters;
    }

    /** Term of the entry at `index`; undefined when the entry was compacted or does not exist yet. */
    public termAt(index: number): number | undefined {
        return index === this.baseSnapshot.lastIndex ? this.baseSnapshot.lastTerm : this.at(index)?.term;
    }

    /** The entry at `index`; undefined when it was compacted or does not exist yet. */
    public at(index: number): LogEntry | undefined {
        return this.entries[index - this.firstIndex];
    }

    /** As many of the entries from index `first` on as fit in `maxEntries` and `maxBytes`, but one at least. */
    public batch(first: number, maxEntries: number, maxBytes: number): LogEntry[] {
        const entries = this.between(first, first + maxEntries - 1);
        let bytes = 0;
        const end = entries.findIndex(entry => (bytes += bytesOf(entry)) > maxBytes);
        return end < 0 ? entries : entries.slice(0, Math.max(1, end));
    }

    /** The entries in memory from index `first` to index `last`, both included. */
    public between(first: number, last: number): LogEntry[] {
        const start = Math.max(0, first - this.firstIndex);
        return this.entries.slice(start, Math.max(start, last - this.firstIndex + 1));
    }

    public append(entries: readonly LogEntry[]): void {
        this.entries.push(...entries);
        this.currentBytes += totalBytes(entries);
        if (entries.some(isVotersEntry)) {
            this.current = this.configurationAt(Infinity);
        }
    }

    /** Drops the entries from `index` on. */
    public truncate(index: number): void {
        this.currentBytes -= totalBytes(this.between(index, this.lastIndex));
        this.entries.length = Math.min(this.entries.length, Math.max(0, index - this.firstIndex));
        this.current = this.configurationAt(Infinity);
    }

    /** Replaces everything up to the snapshot, and keeps the entries after it. */
    public compact(snapshot: Snapshot): void {
        const laterEntries = this.between(snapshot.lastIndex + 1, this.lastIndex);
        this.reset(snapshot, laterEntries);
    }

    /** Replaces the whole log. */
    public reset(snapshot: Snapshot, entries: readonly LogEntry[]): void {
        this.baseSnapshot = snapshot;
        this.entries = [...entries];
        this.currentBytes = totalBytes(entries);
        this.current = this.configurationAt(Infinity);
    }

    /** The voters that were in force at `index`. */
    public configurationAt(index: number): IndexedConfiguration {
        const newest = this.entries.findLast(entry => entry.index <= index && isVotersEntry(entry));
        const { lastIndex, voters } = this.baseSnapshot;
        return newest === undefined ? { index: lastIndex, voters } : configurationOf(newest);
    }

    /** Index of the newest entry after the snapshot that ends the recovery; undefined when there is none. */
    public indexOfReadmission({ voter, recoveryId }: Readmission): number | undefined {
        return this.entries.findLast(entry => {
            const readmission = isVotersEntry(entry) ? readmissionOf(entry) : undefined;
            return readmission?.voter === voter && readmission.recoveryId === recoveryId;
        })?.index;
    }

    private get firstIndex(): number {
        return this.baseSnapshot.lastIndex + 1;
    }
}

const isVotersEntry = (entry: LogEntry): boolean => entry.command["kind"] === VOTERS_COMMAND;

const configurationOf = ({ index, command }: LogEntry): IndexedConfiguration => ({
    index,
    voters: command["voters"] as readonly string[],
    outgoing: command["outgoing"] as readonly string[] | undefined,
});

const readmissionOf = (entry: LogEntry): Readmission | undefined =>
    entry.command["readmission"] as Readmission | undefined;

const totalBytes = (entries: readonly LogEntry[]): number => entries.reduce((sum, entry) => sum + bytesOf(entry), 0);

/** Size of an entry without its texts, and of each field of a command that is no text; both roughly. */
const FIXED_BYTES = 16;

const bytesOf = (entry: LogEntry): number => FIXED_BYTES + valueBytes(entry.command);

const valueBytes = (value: unknown): number => {
    if (typeof value === "string") {
        return value.length;
    }
    return value instanceof Object
        ? Object.values(value).reduce((sum: number, item) => sum + valueBytes(item), 0)
        : FIXED_BYTES;
};
