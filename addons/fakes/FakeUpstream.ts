/**
 * Base class of the fake upstreams: an HTTP server that announces itself to the instances, repeats the
 * announcement as its heartbeat, reports its load, and can crash and leave.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import { request } from "undici";
import { type Announcement } from "../../src/common/upstreams/Upstream.ts";

/** Interval between announcements, in ms. */
const HEARTBEAT_INTERVAL_MS = 700;
const LOAD_REPORT_INTERVAL_MS = 500;
const HOST = "127.0.0.1";

/** Options of a fake upstream. */
export interface FakeUpstreamOptions {
    readonly id: string;
    readonly domain: string;
    /** Base URLs of the instances' listeners for upstreams. Messages go to them in turn, one at a time. */
    readonly announceTo: readonly string[];
    readonly capacity: number;
    readonly coldCapacity?: number;
    readonly warmMs?: number;
    /** Key with which it authenticates to the instances. */
    readonly key?: string;
}

/** An upstream for tests and the demo. */
export abstract class FakeUpstream {
    public readonly options: FakeUpstreamOptions;
    /** Number of requests that were started. */
    public started = 0;
    /** Number of requests that are running now. */
    public running = 0;
    /** Largest number of requests that ran at once. */
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

    /** Starts the server and announces it. A restart can pass the port of the previous start to keep its address. */
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

    /** Stops as a crashed process does: connections break, and no leave message is sent. */
    public crash(): void {
        this.timers.forEach(timer => clearInterval(timer));
        this.server?.close();
        this.sockets.forEach(socket => socket.destroy());
        this.running = 0;
    }

    /** Sends a leave message and stops the heartbeat; requests in flight finish. */
    public async leave(): Promise<void> {
        this.timers.forEach(timer => clearInterval(timer));
        await this.post("/upstream/v1/leave", { id: this.options.id, startId: this.startId });
    }

    public stop(): void {
        this.crash();
    }

    /** Writes the response to a request. When it rejects, the connection is closed. */
    protected abstract respond(req: IncomingMessage, res: ServerResponse): Promise<void>;

    /** Fields that this kind of upstream adds to its announcement. */
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

/** Reads the whole body of a request as text. */
export const readText = async (req: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of req) {
        text += String(chunk);
    }
    return text;
};

/** Waits for `ms` milliseconds of real time. */
export const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
