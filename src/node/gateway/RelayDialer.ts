/**
 * Opens connections to upstreams through another entry instance; see `RelayServer`.
 */
import { request } from "node:http";
import { type Socket } from "node:net";
import { UpstreamUnreachableError } from "../../common/gateway/UpstreamPaths.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { RELAY_REPLY_TIMEOUT_MS, relayAuthorization, UPSTREAM_UNREACHABLE_STATUS } from "./RelayProtocol.ts";

/** Resolves with a connection to the upstream at `target`, IP:PORT. */
export const dialThroughRelay = (relay: Address, secret: string, target: string): Promise<Socket> =>
    new Promise((resolve, reject) => {
        const req = request({
            host: relay.host,
            port: relay.port,
            method: "CONNECT",
            path: target,
            headers: { "Proxy-Authorization": relayAuthorization(secret, target) },
            agent: false,
        });
        const timer = setTimeout(() => req.destroy(new Error("the relay didn't reply")), RELAY_REPLY_TIMEOUT_MS);
        req.once("error", err => {
            clearTimeout(timer);
            reject(err);
        });
        req.once("response", res => req.destroy(new Error(`the relay replied with ${res.statusCode}`)));
        req.once("connect", (res, socket) => {
            clearTimeout(timer);
            if (res.statusCode === 200) {
                socket.setNoDelay(true);
                resolve(socket);
                return;
            }
            socket.destroy();
            const message = `the relay refused: ${res.statusMessage}`;
            reject(
                res.statusCode === UPSTREAM_UNREACHABLE_STATUS
                    ? new UpstreamUnreachableError(message)
                    : new Error(message),
            );
        });
        req.end();
    });

/** Host of an instance, whose id is its peer address, IP:PORT. */
export const hostOf = (id: string): string => id.slice(0, id.lastIndexOf(":"));
