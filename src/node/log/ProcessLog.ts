/**
 * The log of a process on standard output. It never blocks on a slow reader: lines that do not fit into a bounded
 * buffer are dropped and counted.
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import { createLog, type Log, type LogLevel } from "./Log.ts";

/** Limit of the lines that are buffered because the reader has not read them yet, in bytes. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const STDOUT = 1;

/** The members of a writable stream that the log uses. */
export interface LineSink {
    readonly writableLength: number;
    write(line: string): boolean;
}

/** Writes lines to the sink while its buffer has room. Drops and counts the others. */
export class BoundedLineWriter {
    private readonly sink: LineSink;
    private readonly maxBytes: number;
    private droppedCount = 0;

    public constructor(sink: LineSink, maxBytes: number = MAX_BUFFERED_BYTES) {
        this.sink = sink;
        this.maxBytes = maxBytes;
    }

    public write(line: string): void {
        if (this.sink.writableLength + line.length > this.maxBytes) {
            this.droppedCount++;
            return;
        }
        if (this.droppedCount > 0) {
            this.sink.write(`${JSON.stringify({ msg: "log: Lines were dropped.", count: this.droppedCount })}\n`);
            this.droppedCount = 0;
        }
        this.sink.write(line);
    }
}

/** Creates the log of this process. */
export const createProcessLog = (instance: string, level: LogLevel): Log => {
    const lines = new BoundedLineWriter(openNonBlockingStdout());
    return createLog(instance, level, { write: line => lines.write(line) });
};

/** Standard output without blocking writes: `process.stdout` writes to a pipe synchronously, a socket does not. */
const openNonBlockingStdout = (): LineSink => {
    const stats = fstatSync(STDOUT);
    if (stats.isFIFO() || stats.isSocket()) {
        const socket = new Socket({ fd: STDOUT, readable: false, writable: true });
        // When the reader closes its end, only log lines are lost.
        socket.on("error", () => undefined);
        return socket;
    }
    return createWriteStream("", { fd: STDOUT, autoClose: false });
};
