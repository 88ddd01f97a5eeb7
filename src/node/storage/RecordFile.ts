/**
 * An append-only file of checksummed records. A batch that was being written when the machine stopped is cut
 * off; damage to anything that had been synced before is an error, never a silent loss.
 */
import { Decoder, Encoder } from "cbor-x";
import { type FileHandle, open } from "node:fs/promises";
import { dirname } from "node:path";
import { crc32 } from "node:zlib";
import { routerError } from "../../common/errors/RouterError.ts";
import { readIfPresent, replaceFile, syncFolder } from "./Files.ts";

const LENGTH_BYTES = 4;
const CRC_BYTES = 4;
const HEADER_BYTES = LENGTH_BYTES + CRC_BYTES;
/** Largest record, in bytes. */
const MAX_RECORD_BYTES = 64 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

interface Stored {
    /** Rises with each append, so that records synced together are known. */
    readonly batch: number;
    readonly value: unknown;
}

/** What was found in a file. */
export interface RecordFileContent {
    readonly values: readonly unknown[];
    /** Bytes of an unfinished batch that were cut off at the end. */
    readonly cutBytes: number;
}

/** A file of records. Calls must be made one at a time. */
export class RecordFile {
    private readonly file: string;
    private handle: FileHandle | undefined;
    /** Offset at which each record starts. */
    private offsets: number[] = [];
    private size = 0;
    private batch = 0;
    private syncs = 0;

    public constructor(file: string) {
        this.file = file;
    }

    /** Number of records. */
    public get length(): number {
        return this.offsets.length;
    }

    /** Forced writes since the file was opened. */
    public get syncCount(): number {
        return this.syncs;
    }

    /** Size of the file, in bytes. */
    public get bytes(): number {
        return this.size;
    }

    /** Reads all records and opens the file for appending. Rejects when synced records are damaged. */
    public async open(): Promise<RecordFileContent> {
        const data = await readIfPresent(this.file) ?? Buffer.alloc(0);
        this.offsets = [];
        this.batch = 0;
        const values = this.scan(data);
        this.handle = await open(this.file, "a");
        await syncFolder(dirname(this.file));
        const cutBytes = data.length - this.size;
        if (cutBytes > 0) {
            await this.handle.truncate(this.size);
            await this.handle.sync();
        }
        return { values, cutBytes };
    }

    /** Appends records; they are durable when it resolves. */
    public async append(values: readonly unknown[]): Promise<void> {
        this.batch++;
        const records = values.map(value => encodeRecord({ batch: this.batch, value }));
        const handle = this.opened();
        await handle.appendFile(Buffer.concat(records));
        await handle.datasync();
        this.syncs++;
        for (const record of records) {
            this.offsets.push(this.size);
            this.size += record.length;
        }
    }

    /** Keeps only the first `count` records. */
    public async truncate(count: number): Promise<void> {
        const offset = this.offsets[count];
        if (offset === undefined) {
            return;
        }
        const handle = this.opened();
        await handle.truncate(offset);
        await handle.sync();
        this.syncs++;
        this.offsets.length = count;
        this.size = offset;
    }

    /** Replaces the whole content. */
    public async replace(values: readonly unknown[]): Promise<void> {
        this.batch++;
        const records = values.map(value => encodeRecord({ batch: this.batch, value }));
        await this.handle?.close();
        await replaceFile(this.file, Buffer.concat(records));
        this.syncs++;
        this.handle = await open(this.file, "a");
        this.offsets = [];
        this.size = 0;
        for (const record of records) {
            this.offsets.push(this.size);
            this.size += record.length;
        }
    }

    public async close(): Promise<void> {
        await this.handle?.close();
        this.handle = undefined;
    }

    private opened(): FileHandle {
        if (this.handle === undefined) {
            throw routerError(`${this.file} is not open`, { code: "internal", step: "write file" });
        }
        return this.handle;
    }

    private scan(data: Buffer): unknown[] {
        const values: unknown[] = [];
        let offset = 0;
        for (let record = decodeRecord(data, offset); record !== undefined; record = decodeRecord(data, offset)) {
            values.push(record.stored.value);
            this.offsets.push(offset);
            this.batch = record.stored.batch;
            offset = record.end;
        }
        this.size = offset;
        this.refuseDamage(data, offset);
        return values;
    }

    /** A sound record of a later batch behind a broken one means that synced data was damaged. */
    private refuseDamage(data: Buffer, brokenAt: number): void {
        for (let offset = brokenAt + 1; offset < data.length - HEADER_BYTES; offset++) {
            const record = decodeRecord(data, offset);
            if (record !== undefined && record.stored.batch > this.batch + 1) {
                const message = `${this.file} is damaged at byte ${brokenAt}: records behind it are sound`;
                throw routerError(message, { code: "internal", step: "read records" });
            }
        }
    }
}

const encodeRecord = (stored: Stored): Buffer => {
    const body = encoder.encode(stored);
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(body.length, 0);
    header.writeUInt32BE(crc32(body), LENGTH_BYTES);
    return Buffer.concat([header, body]);
};

const decodeRecord = (data: Buffer, offset: number): { stored: Stored; end: number; } | undefined => {
    if (data.length - offset < HEADER_BYTES) {
        return undefined;
    }
    const length = data.readUInt32BE(offset);
    const end = offset + HEADER_BYTES + length;
    if (length === 0 || length > MAX_RECORD_BYTES || end > data.length) {
        return undefined;
    }
    const body = data.subarray(offset + HEADER_BYTES, end);
    if (crc32(body) !== data.readUInt32BE(offset + LENGTH_BYTES)) {
        return undefined;
    }
    return { stored: decoder.decode(body) as Stored, end };
};
