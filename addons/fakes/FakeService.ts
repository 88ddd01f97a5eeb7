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
    public readonly ledger: string[] = [];
    /** Breaks the connection after running the call, so that its answer is lost. */
    public losesAnswers = false;
    /** Refuses calls and proves that they were not run. */
    public refuses = false;
    private readonly service: FakeServiceOptions;

    public constructor(options: FakeServiceOptions) {
        super(options);
        this.service = options;
    }

    protected offer(): Partial<Announcement> {
        return { service: this.service.service };
    }

    protected async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readText(req);
        if (this.refuses) {
            res.writeHead(503, { "x-run": "not_run" }).end();
            return;
        }
        await pause(this.service.delayMs ?? 0);
        if (req.method !== "GET") {
            this.ledger.push(body);
        }
        if (this.losesAnswers) {
            res.destroy();
            return;
        }
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify({ service: this.service.service, path: req.url, method: req.method, body }));
    }
}
