/**
 * Reservations of engine memory in a gateway process: connects the holder and the issuer of this instance to the fleet,
 * the peers, the log and the metrics.
 */
import { type FleetFollower } from "../../common/gateway/FleetFollower.ts";
import { type GatewayConfig } from "../../common/gateway/GatewayConfig.ts";
import { PromptReservationIssuer } from "../../common/gateway/PromptReservationIssuer.ts";
import { PromptReservations, TTL_MARGIN_MS } from "../../common/gateway/PromptReservations.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type GatewayGauges } from "./GatewayMetrics.ts";

/** Dependencies of the reservations of a process. */
export interface EngineMemoryDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly log: Log;
    readonly upstreamStats: UpstreamStatistics;
    readonly follower: FleetFollower;
    /** Whether a control quorum has confirmed the configuration recently enough to serve requests by it. */
    readonly hasLease: () => boolean;
    /** The configuration in force; undefined before the first. */
    readonly config: () => GatewayConfig | undefined;
}

/** The holder and the issuer of reservations of one instance. */
export class EngineMemory extends DisposableOwner {
    public readonly reservations: PromptReservations;

    public constructor({ clock, network, log, upstreamStats, follower, hasLease, config }: EngineMemoryDependencies) {
        super();
        // An instance that is cut off with its own control instance still has a roster, but others replace it as issuer.
        const entries = (): readonly string[] => hasLease() ? follower.entries : [];
        const longestTtlMs = (): number => longestTimeoutMs(config()) + TTL_MARGIN_MS;
        const issuer = this.register(
            new PromptReservationIssuer({
                clock,
                self: network.self,
                entries,
                longestTtlMs,
            }),
        );
        this.register(issuer.serve(network));
        this.reservations = this.register(
            new PromptReservations({
                clock,
                network,
                upstreamStats,
                issuer,
                entries,
                listedEntries: () => hasLease() ? follower.listedEntries : [],
                entryCount: () => follower.entryCount,
                longestTtlMs,
                onIssuerLost: (lost, reason) =>
                    log.warn("An instance issues no prompt reservations.", { issuer: lost, reason }),
            }),
        );
    }

    public get gauges(): GatewayGauges {
        const { counts } = this.reservations;
        return {
            prompt_reservations_held: {
                help: "Reservations of engine memory that this instance holds.",
                read: () => this.reservations.held,
            },
            prompt_reservations_granted: {
                help: "Reservations that issuers have granted to this instance.",
                read: () => counts.granted,
            },
            prompt_reservations_denied: { help: "Reservations that were denied.", read: () => counts.denied },
            prompt_reservations_without_issuer: {
                help: "Reservations that were taken while the issuer was lost.",
                read: () => counts.withoutIssuer,
            },
            prompt_reservation_issuers_lost: {
                help: "How often an issuer of reservations stopped replying.",
                read: () => counts.issuersLost,
            },
        };
    }
}

/** Longest timeout of the routes to services that declare the memory of their engines, in ms. */
const longestTimeoutMs = (config: GatewayConfig | undefined): number => {
    const limited = new Set(config?.services.filter(item => item.memoryTokens !== undefined).map(({ name }) => name));
    const routes = config?.routes.filter(({ targets }) => targets.some(({ service }) => limited.has(service))) ?? [];
    return Math.max(0, ...routes.map(({ timeoutMs }) => timeoutMs));
};
