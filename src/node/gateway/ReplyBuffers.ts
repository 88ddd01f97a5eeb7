/**
 * Buffers for the responses of callers that read more slowly than the upstream sends. An engine cuts off a response
 * that stays unread, so it goes on being read into a buffer, within a limit for each caller and one for the process.
 */
import { totalmem } from "node:os";
import { type Writable } from "node:stream";
import { type Disposable } from "../../common/lifecycle/Disposable.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";

/** Most bytes that are buffered for one caller before reading pauses. */
const MAX_CALLER_BYTES = 256 * 1024;
/** Most bytes that are buffered for all callers: an absolute limit, and a fraction of the memory. */
const MAX_PROCESS_BYTES = 16 * 1024 * 1024;
const MEMORY_FRACTION = 0.08;
/** Longest time for which reading pauses for a caller that reads nothing, in ms; engines wait for some seconds. */
const MAX_PAUSE_MS = 2000;
/**
 * How long the rest of a response whose upstream has finished is kept for a caller that reads nothing, in ms. No
 * upstream waits for it, only its bytes are held.
 */
const MAX_REST_IDLE_MS = 10_000;
/** Bytes written at once: small, so that progress of a slow caller shows within `MAX_PAUSE_MS`. */
const BATCH_BYTES = 16 * 1024;
/** Added to the length of each chunk, because many small ones take more memory than their bytes. */
const CHUNK_OVERHEAD_BYTES = 256;

/** Why a slow caller is disconnected: it read nothing for too long, or it held most when the process limit was reached. */
export type SlowCallerReason = "unread" | "processLimit";

/** Dependencies of the buffers. */
export interface ReplyBuffersDependencies {
    readonly clock: Clock;
    readonly maxProcessBytes: number;
    readonly onDisconnected: (reason: SlowCallerReason) => void;
    /** Called when reading is paused for a first caller, and when it is paused for none any more. */
    readonly onPausedChanged: (isAnyPaused: boolean) => void;
}

/** Changes that a buffer reports. */
interface ReplyBufferListener {
    readonly onBytes: (change: number) => void;
    readonly onPaused: (isPaused: boolean) => void;
    readonly onDisconnected: (reason: SlowCallerReason) => void;
    /** Nothing is held any more, and nothing will be. */
    readonly onReleased: () => void;
}

/** Bytes that all instances of this class may hold with a memory of that size. */
export const processBytesFor = (memoryBytes: number): number =>
    Math.min(MAX_PROCESS_BYTES, Math.floor(memoryBytes * MEMORY_FRACTION));

/** The buffered part of one response: what the caller has not taken, until it has been handed to the system. */
export class ReplyBuffer {
    private readonly clock: Clock;
    private readonly sink: Writable;
    private readonly listener: ReplyBufferListener;
    private readonly queue: Buffer[] = [];
    private held = 0;
    private isBlocked = false;
    private isOver = false;
    /** Set once the response has no more chunks. */
    private finish: (() => void) | undefined;
    private isFinishedWhenTaken = false;
    private resume: (() => void) | undefined;
    private isRestLimited = false;
    private limit: Disposable | undefined;

    public constructor(clock: Clock, sink: Writable, listener: ReplyBufferListener) {
        this.clock = clock;
        this.sink = sink;
        this.listener = listener;
        sink.on("drain", () => {
            this.isBlocked = false;
            this.writeQueued();
        });
        sink.once("close", () => this.release());
    }

    /** Bytes that the caller has not taken, with the overhead of the chunks. */
    public get bytes(): number {
        return this.held;
    }

    /** Adds a chunk. Resolves at once below the limit, else when the caller has read some of it or is disconnected. */
    public async write(chunk: Buffer): Promise<void> {
        if (this.isOver) {
            return;
        }
        this.count(chunk.length + CHUNK_OVERHEAD_BYTES);
        this.queue.push(chunk);
        this.writeQueued();
        if (this.held >= MAX_CALLER_BYTES) {
            await this.pause();
        }
    }

    /**
     * Calls `finish` once everything has been written to the sink, or once the sink has handed it on; nothing may be
     * added afterwards.
     */
    public end(finish: () => void, isFinishedWhenTaken: boolean): void {
        this.finish = finish;
        this.isFinishedWhenTaken = isFinishedWhenTaken;
        this.limitRest();
        this.writeQueued();
    }

    public disconnect(reason: SlowCallerReason): void {
        if (!this.isOver) {
            this.listener.onDisconnected(reason);
            this.release();
            this.sink.destroy();
        }
    }

    private pause(): Promise<void> {
        // The caller may have been disconnected when the chunk was counted.
        if (this.isOver) {
            return Promise.resolve();
        }
        this.listener.onPaused(true);
        this.limitPause();
        return new Promise(resolve => {
            this.resume = resolve;
        });
    }

    /** Limits the time until a caller for which reading is paused takes more. */
    private limitPause(): void {
        this.limit?.dispose();
        this.limit = this.clock.schedule(MAX_PAUSE_MS, () => this.disconnect("unread"));
    }

    private endPause(): void {
        const { resume } = this;
        if (resume !== undefined) {
            this.resume = undefined;
            this.limit?.dispose();
            this.listener.onPaused(false);
            resume();
        }
    }

    private writeQueued(): void {
        while (!this.isBlocked && !this.isOver && this.queue.length > 0) {
            const batch = this.takeBatch();
            const size = batch.reduce((sum, chunk) => sum + chunk.length + CHUNK_OVERHEAD_BYTES, 0);
            const bytes = batch.length === 1 ? batch[0] : Buffer.concat(batch);
            this.isBlocked = !this.sink.write(bytes, () => this.handleTaken(size));
        }
        this.finishIfPossible();
    }

    private finishIfPossible(): void {
        const { finish } = this;
        const isReached = this.isFinishedWhenTaken ? this.held === 0 : this.queue.length === 0;
        if (finish !== undefined && !this.isOver && isReached) {
            this.finish = undefined;
            finish();
        }
    }

    private takeBatch(): Buffer[] {
        let size = 0;
        let count = 0;
        while (count < this.queue.length && (count === 0 || size + this.queue[count]!.length <= BATCH_BYTES)) {
            size += this.queue[count]!.length;
            count++;
        }
        return this.queue.splice(0, count);
    }

    private handleTaken(size: number): void {
        if (this.isOver) {
            return;
        }
        this.count(-size);
        if (this.held < MAX_CALLER_BYTES) {
            this.endPause();
        }
        else if (this.resume !== undefined) {
            this.limitPause();
        }
        if (this.isRestLimited) {
            this.limitRest();
        }
        this.finishIfPossible();
    }

    /** Limits the time until the caller takes more of a response whose upstream has finished. */
    private limitRest(): void {
        this.isRestLimited = true;
        this.limit?.dispose();
        if (this.held > 0) {
            this.limit = this.clock.schedule(MAX_REST_IDLE_MS, () => this.disconnect("unread"));
        }
    }

    private count(change: number): void {
        this.held += change;
        this.listener.onBytes(change);
    }

    private release(): void {
        if (!this.isOver) {
            this.isOver = true;
            this.queue.length = 0;
            this.limit?.dispose();
            this.endPause();
            this.count(-this.held);
            this.listener.onReleased();
        }
    }
}

/** The buffers of all slow callers of this process. */
export class ReplyBuffers {
    private readonly deps: ReplyBuffersDependencies;
    private readonly buffers = new Set<ReplyBuffer>();
    private total = 0;
    private paused = 0;

    public constructor(deps: ReplyBuffersDependencies) {
        this.deps = deps;
    }

    /** Bytes held for all callers. */
    public get bytes(): number {
        return this.total;
    }

    /** Callers for which reading is paused. */
    public get pausedCallers(): number {
        return this.paused;
    }

    /** Creates the buffer of a response that is written to `sink`. It ends with the sink. */
    public create(sink: Writable): ReplyBuffer {
        const { clock, onDisconnected, onPausedChanged } = this.deps;
        const buffer = new ReplyBuffer(clock, sink, {
            onBytes: change => {
                this.total += change;
                if (change > 0) {
                    this.enforceLimit();
                }
            },
            onPaused: isPaused => {
                this.paused += isPaused ? 1 : -1;
                if (this.paused === (isPaused ? 1 : 0)) {
                    onPausedChanged(isPaused);
                }
            },
            onDisconnected,
            onReleased: () => this.buffers.delete(buffer),
        });
        this.buffers.add(buffer);
        return buffer;
    }

    /** Disconnects the callers that hold most until the limit of the process is kept. */
    private enforceLimit(): void {
        while (this.total > this.deps.maxProcessBytes && this.buffers.size > 0) {
            let heaviest: ReplyBuffer | undefined;
            for (const buffer of this.buffers) {
                heaviest = heaviest === undefined || buffer.bytes > heaviest.bytes ? buffer : heaviest;
            }
            heaviest?.disconnect("processLimit");
        }
    }
}

/** Creates the buffers of a process, with their metrics and log lines. */
export const createReplyBuffers = (clock: Clock, log: Log, metrics: GatewayMetrics): ReplyBuffers => {
    const maxProcessBytes = processBytesFor(totalmem());
    const buffers = new ReplyBuffers({
        clock,
        maxProcessBytes,
        onDisconnected: reason => metrics.countSlowCaller(reason),
        onPausedChanged: isAnyPaused => {
            const message = isAnyPaused
                ? "Reading of responses is paused for slow callers."
                : "Reading of responses is paused for no caller any more.";
            log.info(message, { bufferedBytes: buffers.bytes, maxProcessBytes });
        },
    });
    metrics.addGauges({
        reply_buffered_bytes: { help: "Bytes of responses that callers have not taken.", read: () => buffers.bytes },
        reply_paused: { help: "Callers for which reading is paused.", read: () => buffers.pausedCallers },
    });
    return buffers;
};
