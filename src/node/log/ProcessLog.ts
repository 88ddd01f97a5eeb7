/**
 * The log of a process on standard output that never waits for its reader: lines that do not fit into a bounded
 * buffer are dropped and counted.
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import { createLog, type Log, type LogLevel } from "./Log.ts";

/** Lines that wait for the reader, in bytes. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const STDOUT = 1;

/** The part of a stream that is written to. */
export interface LineSink {
    readonly writableLength: number;
    write(line: string): boolean;
}

/** Passes lines on while the sink has room, and counts the others. */
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

/** Node writes to a pipe synchronously through `process.stdout`; a socket of our own does not. */
const openNonBlockingStdout = (): LineSink => {
    const stats = fstatSync(STDOUT);
    if (stats.isFIFO() || stats.isSocket()) {
        const socket = new Socket({ fd: STDOUT, readable: false, writable: true });
        // A reader that closed its end costs only the lines.
        socket.on("error", () => undefined);
        return socket;
    }
    return createWriteStream("", { fd: STDOUT, autoClose: false });
};
