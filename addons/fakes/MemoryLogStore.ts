/**
 * A disk in memory for tests and benches: what was synced survives a crash of the instance, what was being
 * written may or may not.
 */
import { type LogEntry, type LogStore, type Snapshot, type StoredLog } from "../../src/common/control/LogStore.ts";
import { type Clock, sleep } from "../../src/common/time/Clock.ts";

/** Durable content of one voter. */
export class MemoryLogStore {
    public syncCount = 0;
    /** When set, every write fails with it, as on a full disk. */
    public writeError: Error | undefined;
    private readonly clock: Clock;
    private readonly syncMs: number;
    private term = 0;
    private votedFor: string | undefined;
    private snapshot: Snapshot | undefined;
    private entries: LogEntry[] = [];
    private openCount = 0;

    public constructor(clock: Clock, syncMs: number) {
        this.clock = clock;
        this.syncMs = syncMs;
    }

    /** Forgets everything, as a lost disk does. */
    public wipe(): void {
        this.term = 0;
        this.votedFor = undefined;
        this.snapshot = undefined;
        this.entries = [];
    }

    /** The disk as a newly started process sees it; writes of earlier processes do not arrive any more. */
    public open(): LogStore {
        const opening = ++this.openCount;
        const write = async (apply: () => void): Promise<void> => {
            await sleep(this.clock, this.syncMs);
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
                term: this.term,
                votedFor: this.votedFor,
                snapshot: structuredClone(this.snapshot),
                entries: structuredClone(this.entries),
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
            saveSnapshot: (snapshot, rest) =>
                write(() => {
                    this.snapshot = structuredClone(snapshot);
                    this.entries = structuredClone([...rest]);
                }),
        };
    }
}
