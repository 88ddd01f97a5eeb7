/**
 * The control log on disk, in four files: the entries, the newest snapshot, the current term with the vote, and whether
 * the disk holds all that the voter has confirmed.
 */
import { join } from "node:path";
import * as z from "zod";
import {
    type DiskIntegrity,
    type LogEntry,
    type LogStore,
    type Snapshot,
    type StoredLog,
} from "../../common/control/LogStore.ts";
import { routerError } from "../../common/errors/RouterError.ts";
import { type Log } from "../log/Log.ts";
import { RecordFile } from "./RecordFile.ts";

const entrySchema = z.object({ index: z.number(), term: z.number(), command: z.record(z.string(), z.unknown()) });
const integritySchema = z.object({
    recoveryId: z.string().optional(),
    initialVoters: z.array(z.string()).optional(),
});
const voteSchema = z.object({ term: z.number(), votedFor: z.string().optional() });
const snapshotSchema = z.object({
    lastIndex: z.number(),
    lastTerm: z.number(),
    voters: z.array(z.string()),
    state: z.record(z.string(), z.unknown()),
});

/** Control log in a folder. */
export class FileLogStore implements LogStore {
    private readonly entryFile: RecordFile;
    private readonly snapshotFile: RecordFile;
    private readonly voteFile: RecordFile;
    private readonly integrityFile: RecordFile;
    private readonly log: Log;
    /** Index of the first entry in the file of entries. */
    private firstIndex = 1;

    public constructor(folder: string, log: Log) {
        this.entryFile = new RecordFile(join(folder, "entries"));
        this.snapshotFile = new RecordFile(join(folder, "snapshot"));
        this.voteFile = new RecordFile(join(folder, "vote"));
        this.integrityFile = new RecordFile(join(folder, "integrity"));
        this.log = log;
    }

    /** Number of forced writes since the start. */
    public get syncCount(): number {
        return this.files.reduce((sum, file) => sum + file.syncCount, 0);
    }

    /** Drops entries that the snapshot covers or contradicts. Rejects when entries are damaged or missing. */
    public async load(): Promise<StoredLog> {
        const integrity = integritySchema.optional().parse(await this.openLast(this.integrityFile, "integrity"));
        const vote = voteSchema.optional().parse(await this.openLast(this.voteFile, "vote"));
        const snapshot = snapshotSchema.optional().parse(await this.openLast(this.snapshotFile, "snapshot"));
        const { values, truncatedBytes } = await this.entryFile.open();
        this.warnIfTruncated("entries", truncatedBytes);
        const stored = values.map(value => entrySchema.parse(value));
        requireContiguous(stored);
        const base = snapshot?.lastIndex ?? 0;
        const entries = entriesAfter(stored, snapshot);
        this.firstIndex = base + 1;
        if (entries.length !== stored.length) {
            await this.entryFile.replace(entries);
        }
        return { integrity, term: vote?.term ?? 0, votedFor: vote?.votedFor, snapshot, entries };
    }

    public async saveIntegrity(integrity: DiskIntegrity): Promise<void> {
        await this.integrityFile.replace([integrity]);
    }

    public async saveVote(term: number, votedFor: string | undefined): Promise<void> {
        await this.voteFile.replace([{ term, votedFor }]);
    }

    public async append(entries: readonly LogEntry[]): Promise<void> {
        await this.entryFile.append(entries);
    }

    public async truncate(index: number): Promise<void> {
        await this.entryFile.truncate(Math.max(0, index - this.firstIndex));
    }

    public async saveSnapshot(snapshot: Snapshot, following: readonly LogEntry[]): Promise<void> {
        // load() skips entries that the snapshot covers, so a crash between the two writes loses nothing.
        await this.snapshotFile.replace([snapshot]);
        await this.entryFile.replace(following);
        this.firstIndex = snapshot.lastIndex + 1;
    }

    public async repair(): Promise<void> {
        await this.close();
    }

    public async close(): Promise<void> {
        await Promise.all(this.files.map(file => file.close()));
    }

    private get files(): RecordFile[] {
        return [this.entryFile, this.snapshotFile, this.voteFile, this.integrityFile];
    }

    private async openLast(file: RecordFile, name: string): Promise<unknown> {
        const { values, truncatedBytes } = await file.open();
        this.warnIfTruncated(name, truncatedBytes);
        return values.at(-1);
    }

    private warnIfTruncated(name: string, truncatedBytes: number): void {
        if (truncatedBytes > 0) {
            this.log.warn("An unfinished write at the end of a file was cut off.", {
                file: name,
                bytes: truncatedBytes,
            });
        }
    }
}

const requireContiguous = (entries: readonly LogEntry[]): void => {
    let expected = entries[0]?.index ?? 0;
    for (const entry of entries) {
        if (entry.index !== expected) {
            const message = `the control log has entry ${entry.index} where entry ${expected} is expected`;
            throw routerError(message, { code: "internal", step: "read control log" });
        }
        expected++;
    }
};

/**
 * Entries that follow the snapshot. After a crash during the installation of a snapshot, the file may still hold
 * entries that conflict with it; these are dropped.
 */
const entriesAfter = (entries: readonly LogEntry[], snapshot: Snapshot | undefined): LogEntry[] => {
    const base = snapshot?.lastIndex ?? 0;
    const following = entries.filter(entry => entry.index > base);
    const first = following[0];
    const boundary = entries.find(entry => entry.index === base);
    const isConflicting = boundary !== undefined && boundary.term !== snapshot?.lastTerm;
    const isEarlier = first !== undefined && first.term < (snapshot?.lastTerm ?? 0);
    if (isConflicting || isEarlier) {
        return [];
    }
    if (first !== undefined && first.index !== base + 1) {
        const message = `the control log begins at entry ${first.index}, but its snapshot ends at entry ${base}`;
        throw routerError(message, { code: "internal", step: "read control log" });
    }
    return following;
};
