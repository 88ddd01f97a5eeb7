/**
 * Reports what this instance believed of cold upstreams when it sent requests to them.
 */
import { ColdUpstreams, type ColdUpstreamsDependencies } from "../../common/gateway/ColdUpstreams.ts";
import { type Service } from "../../common/gateway/GatewayConfig.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Log } from "../log/Log.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";
import { type GatewaySettings } from "./GatewaySettings.ts";

/** Dependencies of the reports, and of what is reported. */
export interface ColdUpstreamReportsDependencies
    extends Pick<ColdUpstreamsDependencies, "clock" | "directory" | "entries"> {
    readonly network: PeerNetwork;
    readonly settings: GatewaySettings;
    readonly findService: (name: string) => Service | undefined;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
}

/** Cold upstreams whose requests are logged and counted. */
export const createColdUpstreams = (deps: ColdUpstreamReportsDependencies): ColdUpstreams => {
    const { clock, directory, entries, network, settings: { bounds }, findService, log, metrics } = deps;
    return new ColdUpstreams({
        clock,
        directory,
        self: network.self,
        entries,
        tolerance: { excess: bounds.cold_excess, slack: bounds.cold_slack },
        coldStartMs: service => findService(service)?.coldStartMs ?? 0,
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
            const sends = { requests, firstAgeMs: Math.round(firstAgeMs) };
            log.warn("Requests went to a cold upstream that counted as warm.", { upstream, start, coldMs, ...sends });
        },
    });
};
