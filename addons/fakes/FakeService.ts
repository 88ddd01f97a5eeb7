/**
 * A fake of a plain service. It records the bodies of the calls that it executes, so that a test can detect a
 * call that was executed twice.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Announcement } from "../../src/common/upstreams/Upstream.ts";
import { FakeUpstream, type FakeUpstreamOptions, pause, readText } from "./FakeUpstream.ts";

/** Options of a fake service. */
export interface FakeServiceOptions extends FakeUpstreamOptions {
    readonly service: string;
    readonly delayMs?: number;
}

/** A plain service for tests and the demo. */
export class FakeService extends FakeUpstream {
    /** Bodies of the executed calls other than GET, in order of execution. */
    public readonly executedBodies: string[] = [];
    /** Whether the connection is closed after a call was executed, so that its response is lost. */
    public dropsResponses = false;
    /** Whether calls are refused with a header that states that they were not run. */
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
