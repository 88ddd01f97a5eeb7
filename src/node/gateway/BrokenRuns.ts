/**
 * Reports connections that broke under a request, which may show that the request has crashed its upstream.
 */
import { type ColdUpstreams } from "../../common/gateway/ColdUpstreams.ts";
import { type CrashObserver } from "../../common/gateway/CrashObserver.ts";
import { type ObservedRun } from "../../common/gateway/RunSamples.ts";
import { type UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { addressOf, hasLeft } from "../../common/gateway/UpstreamRecord.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type Call } from "./Call.ts";
import { type UpstreamTransport } from "./UpstreamConnections.ts";

/** Dependencies of `reportBrokenRun`. */
export interface BrokenRunDependencies {
    readonly clock: Clock;
    readonly log: Log;
    readonly directory: UpstreamDirectory;
    readonly connections: UpstreamTransport;
    readonly observer: CrashObserver;
    readonly cold: Pick<ColdUpstreams, "recordUnreached">;
}

/**
 * Reports that a connection broke under a request, unless the upstream has announced its end. What listens at the address
 * afterwards may be the process that has taken its place, so control instances decide whether it has crashed.
 */
export const reportBrokenRun = async (
    { clock, log, directory, connections, observer, cold }: BrokenRunDependencies,
    { req, keys }: Call,
    { record, name }: Selection,
    { startedAt, lastedMs }: ObservedRun,
): Promise<void> => {
    const { id, start } = record;
    const brokenAt = clock.monotonic();
    const known = directory.get(id)?.record;
    if (known?.start === start && (known.state === "draining" || hasLeft(known))) {
        return;
    }
    const probe = await connections.probe(addressOf(record));
    const request = keys.request();
    if (probe === "refused") {
        cold.recordUnreached(id);
    }
    log.info("A connection broke under a request.", { req: req.id, upstream: name, request, probe });
    const now = clock.monotonic();
    observer.recordBrokenRun({
        upstream: id,
        start,
        request,
        parts: [...keys.parts],
        ageMs: now - brokenAt,
        startedAgeMs: now - startedAt,
        lastedMs,
        isRefused: probe === "refused",
        isAccepted: probe === "accepted",
    });
};
