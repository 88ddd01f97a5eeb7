/**
 * An in-memory disk for the control log of one instance, for tests and benches. Synced data survives a crash of
 * the instance; a write in progress is lost unless it completes before the log is opened again.
 */
import {
    type DiskIntegrity,
    type LogEntry,
    type LogStore,
    type Snapshot,
    type StoredLog,
} from "../../src/common/control/LogStore.ts";
import { type Clock, sleep } from "../../src/common/time/Clock.ts";

/** Durable control log of one voter. */
export class MemoryLogStore {
    public syncCount = 0;
    /** Error with which every write fails while it is set, as on a full disk. */
    public writeError: Error | undefined;
    private readonly clock: Clock;
    private readonly syncMs: number;
    private integrity: DiskIntegrity | undefined;
    private term = 0;
    private votedFor: string | undefined;
    private snapshot: Snapshot | undefined;
    private entries: LogEntry[] = [];
    private openCount = 0;

    public constructor(clock: Clock, syncMs: number) {
        this.clock = clock;
        this.syncMs = syncMs;
    }

    /** Size of what is stored, without the framing of a file. */
    public get storedBytes(): number {
        const entryBytes = this.entries.reduce((sum, entry) => sum + JSON.stringify(entry).length, 0);
        return entryBytes + (this.snapshot === undefined ? 0 : JSON.stringify(this.snapshot).length);
    }

    /** Deletes all content, as the loss of the disk does. */
    public wipe(): void {
        this.openCount++;
        this.integrity = undefined;
        this.term = 0;
        this.votedFor = undefined;
        this.snapshot = undefined;
        this.entries = [];
    }

    /**
     * Opens the log for a newly started process, whose writes complete by `clock`. Writes of earlier processes that are
     * still pending are discarded.
     */
    public open(clock = this.clock): LogStore {
        const opening = ++this.openCount;
        const write = async (apply: () => void): Promise<void> => {
            await sleep(clock, this.syncMs);
            if (this.writeError !== undefined) {
                throw this.writeError;
            }
            if (opening === this.openCount) {
                this.syncCount++;
                apply();
            }
        };
        return {
            load: async (): Promise<StoredLog> => ({
                integrity: this.integrity,
                term: this.term,
                votedFor: this.votedFor,
                snapshot: structuredClone(this.snapshot),
                entries: structuredClone(this.entries),
            }),
            saveIntegrity: integrity =>
                write(() => {
                    this.integrity = integrity;
                }),
            saveVote: (term, votedFor) =>
                write(() => {
                    this.term = term;
                    this.votedFor = votedFor;
                }),
            append: entries => write(() => this.entries.push(...structuredClone(entries))),
            truncate: index =>
                write(() => {
                    this.entries = this.entries.filter(entry => entry.index < index);
                }),
            saveSnapshot: (snapshot, following) =>
                write(() => {
                    this.snapshot = structuredClone(snapshot);
                    this.entries = structuredClone([...following]);
                }),
        };
    }
}
