/**
 * Creates the connections of an entry instance to upstreams, directly or through the relays of other instances, and the
 * server that relays connections for others.
 */
import { type Clock } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type GatewaySettings } from "./GatewaySettings.ts";
import { dialThroughRelay, hostOf } from "./RelayDialer.ts";
import { RELAY_DIAL_TIMEOUT_MS } from "./RelayProtocol.ts";
import { RelayServer, type RelayServerDependencies } from "./RelayServer.ts";
import { dialDirect, UpstreamConnections } from "./UpstreamConnections.ts";

/** Dependencies of the connections of an entry instance. */
export interface EntryConnectionsDependencies {
    readonly clock: Clock;
    /** Id of this instance. */
    readonly self: string;
    readonly settings: GatewaySettings;
    readonly log: Log;
    /** Ids of the entry instances, which relay connections; empty while they may not know each other. */
    readonly entries: () => readonly string[];
}

export const createConnections = (deps: EntryConnectionsDependencies): UpstreamConnections => {
    const { clock, self, settings: { doors, control }, log, entries } = deps;
    return new UpstreamConnections({
        clock,
        self,
        entries,
        dialThrough: (relay, address) =>
            doors.relay === undefined
                ? Promise.reject(new Error("no relay port is configured"))
                : dialThroughRelay({ host: hostOf(relay), port: doors.relay.port }, control.secret, address),
        onRelayFailed: (relay, address, reason) =>
            log.info("An instance relayed no connection.", { relay, address, reason }),
        onPathLost: address => log.warn("A path is lost: other instances relay.", { address: address ?? "all" }),
    });
};

/** Dependencies of the relay server of an entry instance. */
export interface EntryRelayDependencies
    extends Pick<RelayServerDependencies, "clock" | "log" | "refusal" | "onResponse"> {
    readonly settings: GatewaySettings;
}

/** Undefined if the settings name no address for relayed connections. */
export const createRelayServer = (deps: EntryRelayDependencies): RelayServer | undefined => {
    const { clock, log, refusal, onResponse, settings: { doors, control } } = deps;
    return doors.relay === undefined ? undefined : new RelayServer({
        address: doors.relay,
        secret: control.secret,
        log,
        clock,
        refusal,
        onResponse,
        dial: address => dialDirect(address, RELAY_DIAL_TIMEOUT_MS),
    });
};
