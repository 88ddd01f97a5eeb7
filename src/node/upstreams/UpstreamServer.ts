/**
 * The HTTP interface on which upstreams announce themselves, report load and cache contents, and leave. A malformed
 * message is answered with the names of the invalid fields and has no effect.
 */
import { timingSafeEqual } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import type * as z from "zod";
import { routerError, toRouterError } from "../../common/errors/RouterError.ts";
import {
    type Announcement,
    announcementSchema,
    type CacheEvent,
    cacheEventSchema,
    type LeaveNotice,
    leaveNoticeSchema,
    type LoadReport,
    loadReportSchema,
} from "../../common/upstreams/Upstream.ts";
import { bearerKey, hashKey } from "../entry/RequestContext.ts";
import { parseJson, readBody, sendJson, sendProblem } from "../http/HttpBody.ts";

/** Largest message from an upstream, in bytes. */
const MAX_MESSAGE_BYTES = 262_144;
/** Interval at which upstreams are told to repeat their announcement, in ms. */
const HEARTBEAT_MS = 1000;

/** Receives the validated messages of upstreams. */
export interface UpstreamSink {
    /** Returns false when this process of the upstream has already left or was replaced. */
    announce(announcement: Announcement): boolean;
    report(report: LoadReport): void;
    cache(event: CacheEvent): void;
    leave(notice: LeaveNotice): void;
}

/** Answers the HTTP requests of upstreams. */
export class UpstreamServer {
    private readonly sink: UpstreamSink;
    /** SHA-256 of the key that upstreams present, in hex; undefined disables authentication. */
    private readonly keyHash: string | undefined;

    public constructor(sink: UpstreamSink, keyHash: string | undefined) {
        this.sink = sink;
        this.keyHash = keyHash;
    }

    public readonly handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        try {
            this.authenticate(req);
            if (req.method !== "POST") {
                throw routerError("the resource takes POST", { code: "methodNotAllowed", step: "read message" });
            }
            const body = parseJson(await readBody(req, MAX_MESSAGE_BYTES));
            sendJson(res, 200, this.accept(req.url ?? "", body));
        }
        catch (err) {
            sendProblem(req, res, toRouterError(err, { code: "internal", step: "read message" }));
        }
    };

    private accept(path: string, body: unknown): object {
        switch (path) {
            case "/upstream/v1/announce": {
                const isAccepted = this.sink.announce(check(announcementSchema, body));
                return { state: isAccepted ? "announced" : "left", repeatAfterMs: HEARTBEAT_MS };
            }
            case "/upstream/v1/load":
                this.sink.report(check(loadReportSchema, body));
                return {};
            case "/upstream/v1/cache":
                this.sink.cache(check(cacheEventSchema, body));
                return {};
            case "/upstream/v1/leave":
                this.sink.leave(check(leaveNoticeSchema, body));
                return {};
            default:
                throw routerError(`no resource at "${path.slice(0, 100)}"`, { code: "notFound", step: "read message" });
        }
    }

    private authenticate(req: IncomingMessage): void {
        if (this.keyHash === undefined) {
            return;
        }
        const hash = Buffer.from(hashKey(bearerKey(req.headers) ?? ""));
        if (!timingSafeEqual(hash, Buffer.from(this.keyHash))) {
            throw routerError("the upstream's key is unknown", { code: "unknownKey", step: "authenticate" });
        }
    }
}

const check = <T>(schema: z.ZodType<T>, body: unknown): T => {
    const result = schema.safeParse(body);
    if (result.success) {
        return result.data;
    }
    const faults = result.error.issues.map(issue => `field "${issue.path.join(".")}": ${issue.message}`);
    throw routerError(faults.join("; "), { code: "malformedRequest", step: "read message" });
};
