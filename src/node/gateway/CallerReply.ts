/**
 * The answer to one caller: whole, as a stream, or a refusal, and what becomes of it when the caller leaves.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";

/** Writes one answer. */
export class CallerReply {
    private readonly res: ServerResponse;
    private isClosedByCaller = false;
    private closeListener: (() => void) | undefined;

    public constructor(req: IncomingMessage, res: ServerResponse) {
        this.res = res;
        const leave = (): void => {
            if (!res.writableFinished && !this.isClosedByCaller) {
                this.isClosedByCaller = true;
                this.closeListener?.();
            }
        };
        res.once("close", leave);
        req.once("error", leave);
        res.on("error", leave);
    }

    /** Whether the caller has left before its answer was complete. */
    public get isCallerGone(): boolean {
        return this.isClosedByCaller;
    }

    public get hasBegun(): boolean {
        return this.res.headersSent;
    }

    /** Calls `run` when the caller leaves. */
    public onCallerGone(run: () => void): void {
        this.closeListener = run;
    }

    /** Makes the connection end with this answer. */
    public disableKeepAlive(): void {
        if (!this.res.headersSent) {
            this.res.setHeader("connection", "close");
        }
    }

    /** Sends a whole answer. */
    public send(status: number, headers: readonly string[], body: Buffer): void {
        if (this.isClosedByCaller) {
            return;
        }
        this.writeHead(status, [...headers, "content-length", String(body.length)]);
        this.res.end(body);
    }

    /** Begins a stream. */
    public beginStream(status: number, headers: readonly string[]): void {
        if (!this.isClosedByCaller) {
            this.writeHead(status, headers);
            this.res.flushHeaders();
        }
    }

    /** Writes a part of a stream; resolves when there is room for more. */
    public async write(chunk: Buffer): Promise<void> {
        if (this.isClosedByCaller || this.res.write(chunk)) {
            return;
        }
        await new Promise<void>(resolve => {
            const done = (): void => {
                this.res.off("drain", done);
                this.res.off("close", done);
                resolve();
            };
            this.res.once("drain", done);
            this.res.once("close", done);
        });
    }

    public end(): void {
        this.res.end();
    }

    /** Breaks an answer off, so that it can't look complete. */
    public abort(): void {
        this.res.destroy();
    }

    /** Sends an answer of the gateway's own. */
    public sendError(status: number, headers: Readonly<Record<string, string>>, message: string): void {
        if (this.isClosedByCaller || this.res.headersSent) {
            return;
        }
        const body = Buffer.from(JSON.stringify({ status, message }));
        const fixed = ["content-type", "application/problem+json"];
        this.send(status, [...fixed, ...Object.entries(headers).flat()], body);
    }

    private writeHead(status: number, headers: readonly string[]): void {
        this.res.sendDate = false;
        // Headers that were set before would be lost beside a flat list.
        const closing = this.res.getHeader("connection") === "close" ? ["connection", "close"] : [];
        this.res.removeHeader("connection");
        this.res.writeHead(status, [...headers, ...closing]);
    }
}
