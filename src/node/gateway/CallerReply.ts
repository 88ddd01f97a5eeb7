/**
 * The response to one caller: buffered, streamed, or an error. Also detects that the caller has disconnected.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { Emitter } from "../../common/lifecycle/Emitter.ts";
import { type ReplyBuffer, type ReplyBuffers } from "./ReplyBuffers.ts";

/** Writes one response. After the caller has disconnected, all writes are ignored. */
export class CallerReply {
    private readonly res: ServerResponse;
    private isClosedByCaller = false;
    private readonly callerGone = new Emitter<void>();
    /** Fires once when the caller has disconnected before its response was complete. */
    public readonly onCallerGone = this.callerGone.event;
    private endListener: (() => void) | undefined;
    /** Holds what a slow caller has not read; undefined for responses that are read as fast as the caller reads. */
    private buffer: ReplyBuffer | undefined;

    public constructor(req: IncomingMessage, res: ServerResponse) {
        this.res = res;
        const handleClose = (): void => {
            if (!res.writableFinished && !this.isClosedByCaller) {
                this.isClosedByCaller = true;
                this.callerGone.fire();
            }
            this.endListener?.();
        };
        res.once("close", handleClose);
        req.once("error", handleClose);
        res.on("error", handleClose);
    }

    /** Whether the caller disconnected before its response was complete, or has got an error by `preempt`. */
    public get isCallerGone(): boolean {
        return this.isClosedByCaller;
    }

    /** Whether the headers have been sent. */
    public get hasBegun(): boolean {
        return this.res.headersSent;
    }

    /** Sets the listener for the end: the system has taken the whole response, or the connection has closed. */
    public onEnded(listener: () => void): void {
        this.endListener = listener;
    }

    /** Closes the connection after this response. */
    public disableKeepAlive(): void {
        if (!this.res.headersSent) {
            this.res.setHeader("connection", "close");
        }
    }

    /** Sends a complete response. */
    public send(status: number, headers: readonly string[], body: Buffer): void {
        if (this.isClosedByCaller) {
            return;
        }
        this.writeHead(status, [...headers, "content-length", String(body.length)]);
        this.res.end(body);
    }

    /** Sends the headers of a streamed response, which is buffered for a slow caller if `buffers` is given. */
    public beginStream(status: number, headers: readonly string[], buffers?: ReplyBuffers): void {
        if (!this.isClosedByCaller) {
            this.buffer = buffers?.create(this.res);
            this.writeHead(status, headers);
            this.res.flushHeaders();
        }
    }

    /** Writes a chunk of a stream. Resolves when more may be written, or the connection has closed. */
    public async write(chunk: Buffer): Promise<void> {
        if (this.buffer !== undefined) {
            return this.buffer.write(chunk);
        }
        if (this.isClosedByCaller || this.res.write(chunk)) {
            return;
        }
        await new Promise<void>(resolve => {
            const proceed = (): void => {
                this.res.off("drain", proceed);
                this.res.off("close", proceed);
                resolve();
            };
            this.res.once("drain", proceed);
            this.res.once("close", proceed);
        });
    }

    public end(): void {
        this.finish(() => this.res.end(), false);
    }

    /** Destroys the connection, so that a partial response can't look complete. What is buffered is sent first. */
    public abort(): void {
        this.finish(() => this.res.destroy(), true);
    }

    private finish(run: () => void, isAfterTaken: boolean): void {
        if (this.buffer === undefined) {
            run();
        }
        else {
            this.buffer.end(run, isAfterTaken);
        }
    }

    /** Sends an error of the gateway itself, unless a response has begun. */
    public sendError(status: number, headers: Readonly<Record<string, string>>, message: string): void {
        if (this.isClosedByCaller || this.res.headersSent) {
            return;
        }
        const body = Buffer.from(JSON.stringify({ status, message }));
        const contentType = ["content-type", "application/problem+json"];
        this.send(status, [...contentType, ...Object.entries(headers).flat()], body);
    }

    /**
     * Sends an error to a request that is still being routed, unless a response has begun, and closes the connection
     * after it. The caller counts as gone from then on, so that the request is not sent to an upstream any more.
     */
    public preempt(status: number, headers: Readonly<Record<string, string>>, message: string): void {
        if (this.isClosedByCaller || this.res.headersSent) {
            return;
        }
        this.disableKeepAlive();
        this.sendError(status, headers, message);
        this.isClosedByCaller = true;
        this.callerGone.fire();
    }

    private writeHead(status: number, headers: readonly string[]): void {
        this.res.sendDate = false;
        // writeHead drops headers set with setHeader when it is given a flat list.
        const connectionHeader = this.res.getHeader("connection") === "close" ? ["connection", "close"] : [];
        this.res.removeHeader("connection");
        this.res.writeHead(status, [...headers, ...connectionHeader]);
    }
}
