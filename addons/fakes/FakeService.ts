/**
 * A stand-in for a plain service: it keeps a ledger of the bookings it was asked for, so that one that was
 * run twice is seen from outside.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Announcement } from "../../src/common/upstreams/Upstream.ts";
import { FakeUpstream, type FakeUpstreamOptions, pause, readText } from "./FakeUpstream.ts";

/** What a fake service is made of. */
export interface FakeServiceOptions extends FakeUpstreamOptions {
    readonly service: string;
    readonly delayMs?: number;
}

/** A stand-in for a plain service. */
export class FakeService extends FakeUpstream {
    /** Bodies of the calls that changed something, in order. */
    public readonly executedBodies: string[] = [];
    /** Breaks the connection after running the call, so that its answer is lost. */
    public dropsResponses = false;
    /** Refuses calls and proves that they were not run. */
    public rejectsCalls = false;
    private readonly serviceOptions: FakeServiceOptions;

    public constructor(options: FakeServiceOptions) {
        super(options);
        this.serviceOptions = options;
    }

    protected announcementFields(): Partial<Announcement> {
        return { service: this.serviceOptions.service };
    }

    protected async respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readText(req);
        if (this.rejectsCalls) {
            res.writeHead(503, { "x-run": "not_run" }).end();
            return;
        }
        await pause(this.serviceOptions.delayMs ?? 0);
        if (req.method !== "GET") {
            this.executedBodies.push(body);
        }
        if (this.dropsResponses) {
            res.destroy();
            return;
        }
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify({ service: this.serviceOptions.service, path: req.url, method: req.method, body }));
    }
}
