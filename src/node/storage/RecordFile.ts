/**
 * An append-only file of checksummed records. A batch whose write was interrupted is removed when the file is next
 * opened; damage to records that were synced before it is an error, never a silent loss.
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

interface StoredRecord {
    /** Number of the write; records with the same number were synced together. */
    readonly batch: number;
    readonly value: unknown;
}

/** Content of a file when it was opened. */
export interface RecordFileContent {
    readonly values: readonly unknown[];
    /** Bytes of an unfinished batch that were removed from the end of the file. */
    readonly truncatedBytes: number;
}

/** A file of records. Calls must be made one at a time. */
export class RecordFile {
    private readonly file: string;
    private handle: FileHandle | undefined;
    /** Offset at which each record starts. */
    private offsets: number[] = [];
    private size = 0;
    private batch = 0;
    private syncTotal = 0;

    public constructor(file: string) {
        this.file = file;
    }

    /** Number of records. */
    public get length(): number {
        return this.offsets.length;
    }

    /** Number of forced writes through this object. */
    public get syncCount(): number {
        return this.syncTotal;
    }

    /** Size of the file, in bytes. */
    public get bytes(): number {
        return this.size;
    }

    /** Reads all records and opens the file for appending. Rejects when synced records are found damaged. */
    public async open(): Promise<RecordFileContent> {
        const data = await readIfPresent(this.file) ?? Buffer.alloc(0);
        this.offsets = [];
        this.batch = 0;
        const values = this.decodeAll(data);
        this.handle = await open(this.file, "a");
        await syncFolder(dirname(this.file));
        const truncatedBytes = data.length - this.size;
        if (truncatedBytes > 0) {
            await this.handle.truncate(this.size);
            await this.handle.sync();
        }
        return { values, truncatedBytes };
    }

    /** Appends records as one batch. They are durable when it resolves. */
    public async append(values: readonly unknown[]): Promise<void> {
        this.batch++;
        const records = values.map(value => encodeRecord({ batch: this.batch, value }));
        const handle = this.requireHandle();
        await handle.appendFile(Buffer.concat(records));
        await handle.datasync();
        this.syncTotal++;
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
        const handle = this.requireHandle();
        await handle.truncate(offset);
        await handle.sync();
        this.syncTotal++;
        this.offsets.length = count;
        this.size = offset;
    }

    /** Replaces the content atomically. */
    public async replace(values: readonly unknown[]): Promise<void> {
        this.batch++;
        const records = values.map(value => encodeRecord({ batch: this.batch, value }));
        await this.handle?.close();
        await replaceFile(this.file, Buffer.concat(records));
        this.syncTotal++;
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

    private requireHandle(): FileHandle {
        if (this.handle === undefined) {
            throw routerError(`${this.file} is not open`, { code: "internal", step: "write file" });
        }
        return this.handle;
    }

    private decodeAll(data: Buffer): unknown[] {
        const values: unknown[] = [];
        let offset = 0;
        for (let record = decodeRecord(data, offset); record !== undefined; record = decodeRecord(data, offset)) {
            values.push(record.stored.value);
            this.offsets.push(offset);
            this.batch = record.stored.batch;
            offset = record.end;
        }
        this.size = offset;
        this.requireNoCorruption(data, offset);
        return values;
    }

    /** Throws if a valid record of a later batch follows the invalid one, which shows that synced data was damaged. */
    private requireNoCorruption(data: Buffer, invalidOffset: number): void {
        for (let offset = invalidOffset + 1; offset < data.length - HEADER_BYTES; offset++) {
            const record = decodeRecord(data, offset);
            if (record !== undefined && record.stored.batch > this.batch + 1) {
                const message =
                    `${this.file} is damaged at byte ${invalidOffset}: valid records of a later write follow`;
                throw routerError(message, { code: "internal", step: "read records" });
            }
        }
    }
}

const encodeRecord = (stored: StoredRecord): Buffer => {
    const body = encoder.encode(stored);
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(body.length, 0);
    header.writeUInt32BE(crc32(body), LENGTH_BYTES);
    return Buffer.concat([header, body]);
};

const decodeRecord = (data: Buffer, offset: number): { stored: StoredRecord; end: number; } | undefined => {
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
    return { stored: decoder.decode(body) as StoredRecord, end };
};
