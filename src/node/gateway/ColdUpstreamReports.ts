/**
 * Reports what this instance believed of cold upstreams when it sent requests to them.
 */
import { ColdUpstreams, type ColdUpstreamsDependencies } from "../../common/gateway/ColdUpstreams.ts";
import { type Log } from "../log/Log.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";

/** Dependencies of the reports, and of what is reported. */
export interface ColdUpstreamReportsDependencies extends Omit<ColdUpstreamsDependencies, "onSend" | "onMisjudged"> {
    readonly log: Log;
    readonly metrics: GatewayMetrics;
}

/** Cold upstreams whose requests are logged and counted. */
export const createColdUpstreams = (deps: ColdUpstreamReportsDependencies): ColdUpstreams => {
    const { log, metrics, entries } = deps;
    return new ColdUpstreams({
        ...deps,
        onSend: ({ record: { id: upstream, start }, sinceLastMs, coldLeftMs, recordAgeMs }) =>
            log.info("A request goes to a cold upstream.", {
                upstream,
                start,
                ...sinceLastMs === undefined ? {} : { sinceLastMs: Math.round(sinceLastMs) },
                coldLeftMs: Math.round(coldLeftMs),
                recordAgeMs: Math.round(recordAgeMs),
                entries: entries().length,
            }),
        onMisjudged: ({ record: { id: upstream, start, service, coldMs }, requests, firstAgeMs }) => {
            metrics.countMisjudged(service, requests);
            const firstAge = Math.round(firstAgeMs);
            log.warn("Requests went to a cold upstream that counted as warm.", {
                upstream,
                start,
                coldMs,
                requests,
                firstAgeMs: firstAge,
            });
        },
    });
};
