/**
 * Base of the stand-ins for upstreams: an HTTP server that announces itself to an instance, repeats that as
 * its heartbeat, reports its load, and can crash, stall and leave.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import { request } from "undici";
import { type Announcement } from "../../src/common/upstreams/Upstream.ts";

/** How often an announcement is repeated, in ms. */
const HEARTBEAT_INTERVAL_MS = 700;
const LOAD_REPORT_INTERVAL_MS = 500;
const HOST = "127.0.0.1";

/** What a fake upstream is made of. */
export interface FakeUpstreamOptions {
    readonly id: string;
    readonly domain: string;
    /** Base URLs of the upstream doors that it announces itself to, one at a time in turn. */
    readonly announceTo: readonly string[];
    readonly capacity: number;
    readonly coldCapacity?: number;
    readonly warmMs?: number;
    readonly key?: string;
}

/** A stand-in for an upstream. */
export abstract class FakeUpstream {
    public readonly options: FakeUpstreamOptions;
    /** Requests that it has begun to run. */
    public started = 0;
    public running = 0;
    public maxRunning = 0;
    private readonly sockets = new Set<Socket>();
    private timers: NodeJS.Timeout[] = [];
    private server: Server | undefined;
    private startId = "";
    private seq = 0;
    private nextUrlIndex = 0;

    protected constructor(options: FakeUpstreamOptions) {
        this.options = options;
    }

    public get port(): number {
        return (this.server?.address() as AddressInfo | undefined)?.port ?? 0;
    }

    /** Starts the server, on the same port as before when it was started already, and announces it. */
    public async start(startId: string, port = 0): Promise<void> {
        this.startId = startId;
        this.seq = 0;
        const server = createServer((req, res) => void this.serve(req, res));
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.server = server;
        await new Promise<void>(resolve => server.listen(port, HOST, resolve));
        await this.announce();
        this.timers = [
            setInterval(() => void this.announce(), HEARTBEAT_INTERVAL_MS),
            setInterval(() => void this.report(), LOAD_REPORT_INTERVAL_MS),
        ];
    }

    /** Ends at once, as a crashed process does: connections break and no word is said. */
    public crash(): void {
        this.timers.forEach(timer => clearInterval(timer));
        this.server?.close();
        this.sockets.forEach(socket => socket.destroy());
        this.running = 0;
    }

    /** Says that it leaves, and finishes what it runs. */
    public async leave(): Promise<void> {
        this.timers.forEach(timer => clearInterval(timer));
        await this.post("/upstream/v1/leave", { id: this.options.id, startId: this.startId });
    }

    public stop(): void {
        this.crash();
    }

    protected abstract respond(req: IncomingMessage, res: ServerResponse): Promise<void>;

    protected abstract announcementFields(): Partial<Announcement>;

    protected post(path: string, body: object): Promise<unknown> {
        const base = this.options.announceTo[this.nextUrlIndex++ % this.options.announceTo.length] ?? "";
        const headers: Record<string, string> = { "content-type": "application/json" };
        if (this.options.key !== undefined) {
            headers["authorization"] = `Bearer ${this.options.key}`;
        }
        return request(`${base}${path}`, { method: "POST", headers, body: JSON.stringify(body) })
            .then(answer => answer.body.json(), () => undefined);
    }

    private announce(): Promise<unknown> {
        const { id, domain, capacity, coldCapacity = capacity, warmMs = 0 } = this.options;
        const base = { id, startId: this.startId, domain, host: HOST, port: this.port, capacity, coldCapacity, warmMs };
        return this.post("/upstream/v1/announce", { ...base, ...this.announcementFields() });
    }

    private report(): Promise<unknown> {
        const { id } = this.options;
        return this.post("/upstream/v1/load", { id, startId: this.startId, seq: this.seq++, running: this.running });
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        this.started++;
        this.running++;
        this.maxRunning = Math.max(this.maxRunning, this.running);
        const id = req.headers["x-request-id"];
        if (typeof id === "string") {
            res.setHeader("x-request-id", id);
        }
        try {
            await this.respond(req, res);
        }
        catch {
            res.destroy();
        }
        finally {
            this.running = Math.max(0, this.running - 1);
        }
    }
}

/** Whole body of a request, as text. */
export const readText = async (req: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of req) {
        text += String(chunk);
    }
    return text;
};

/** Waits in real time. */
export const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
