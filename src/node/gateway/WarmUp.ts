/**
 * Warm-up of an entry instance. A new process interprets its code at first, and with a part of a core the first
 * requests of callers wait for hundreds of milliseconds. Before callers come, the process therefore sends requests through
 * an entry role of its own, with a private configuration and an upstream on loopback, so that the code of the request path is
 * compiled. It ends as soon as callers send requests, and shares no state with the role that serves them.
 */
import { Agent, createServer, type IncomingMessage, request, type RequestListener, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { emptyFleet } from "../../common/gateway/FleetState.ts";
import { type UpstreamRecord } from "../../common/gateway/UpstreamRecord.ts";
import { DisposableOwner, toDisposable } from "../../common/lifecycle/Disposable.ts";
import { type PeerCallName, type PeerReply } from "../../common/peers/PeerCalls.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Clock, sleep } from "../../common/time/Clock.ts";
import { listenerOf } from "../http/HttpServer.ts";
import { createLog } from "../log/Log.ts";
import { GatewayEntryRole, type GatewayEntryRoleDependencies } from "./GatewayEntryRole.ts";
import { GatewayMetrics } from "./GatewayMetrics.ts";

/** The first 15 take 22 ms of processor time each, the next 6 ms, those after 45 save less than they take. */
const MAX_REQUESTS = 45;
/** How long the private control instance holds a long poll, in ms. */
const HOLD_MS = 500;
/** How long a failed request is not repeated, in ms. */
const RETRY_MS = 100;
const HOST = "127.0.0.1";
const CONTROL = "warm-up:1";

/** A request of the warm-up. */
export interface WarmUpRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/** Requests that resemble those of callers, and the upstream that answers them. */
export interface WarmUpTraffic {
    /** Text of a configuration with the routes of the requests and the service of the upstream. */
    readonly configText: string;
    readonly service: string;
    readonly requestOf: (index: number) => WarmUpRequest;
    readonly respond: RequestListener;
}

/** Dependencies of the warm-up. */
export interface WarmUpDependencies extends Pick<GatewayEntryRoleDependencies, "settings" | "codec" | "readConfig"> {
    readonly clock: Clock;
    readonly traffic: WarmUpTraffic;
    /** Whether callers send requests, so that the processor is needed for them. */
    readonly isBusy: () => boolean;
}

/** Result of a warm-up. */
export interface WarmUpResult {
    /** Requests that were answered. */
    readonly requests: number;
    readonly ms: number;
}

/** One warm-up. */
export class WarmUp extends DisposableOwner {
    private readonly deps: WarmUpDependencies;
    private readonly agent = new Agent({ keepAlive: true });

    public constructor(deps: WarmUpDependencies) {
        super();
        this.deps = deps;
        this.register(toDisposable(() => this.agent.destroy()));
    }

    /** Resolves after the last request, after `maxMs`, or when callers come. */
    public async run(maxMs: number): Promise<WarmUpResult> {
        const { clock, traffic, isBusy } = this.deps;
        const startedAt = clock.monotonic();
        const upstreamPort = await this.listen(traffic.respond);
        const role = this.register(this.createRole(upstreamPort));
        const port = await this.listen(listenerOf(role.handler.handle));
        await role.start();
        let requests = 0;
        const isOver = (): boolean =>
            this.isDisposed || isBusy() || requests >= MAX_REQUESTS || clock.monotonic() - startedAt >= maxMs;
        while (!isOver()) {
            if (await this.send(port, traffic.requestOf(requests))) {
                requests++;
            }
            else {
                await sleep(clock, RETRY_MS);
            }
        }
        return { requests, ms: Math.round(clock.monotonic() - startedAt) };
    }

    private createRole(upstreamPort: number): GatewayEntryRole {
        const { settings, codec, readConfig, clock, traffic } = this.deps;
        const record: UpstreamRecord = {
            id: "warm-up",
            start: 1,
            seq: 1,
            service: traffic.service,
            host: HOST,
            port: upstreamPort,
            domain: settings.instance.domain,
            version: "1",
            slots: 1,
            state: "ready",
            coldMs: 0,
        };
        return new GatewayEntryRole({
            clock,
            network: createNetwork(clock, record, traffic.configText),
            settings: { ...settings, doors: { peers: settings.doors.peers } },
            seeds: [CONTROL],
            codec,
            readConfig,
            metrics: new GatewayMetrics(),
            log: createLog("warm-up", "fatal", { write: () => true }),
        });
    }

    private async listen(listener: RequestListener): Promise<number> {
        const server: Server = createServer(listener);
        this.register(toDisposable(() => {
            server.close();
            server.closeAllConnections();
        }));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, HOST, resolve);
        });
        return (server.address() as AddressInfo).port;
    }

    /** Resolves with whether the whole response has come with a 2xx status. */
    private send(port: number, { method, path, headers, body }: WarmUpRequest): Promise<boolean> {
        return new Promise(resolve => {
            const req = request(
                { host: HOST, port, method, path, headers, agent: this.agent },
                (res: IncomingMessage) => {
                    res.resume();
                    res.once("end", () => resolve(res.statusCode !== undefined && res.statusCode < 300));
                    res.once("error", () => resolve(false));
                },
            );
            req.once("error", () => resolve(false));
            req.end(body);
        });
    }
}

/** The network of a role that knows one control instance, which knows one upstream. */
const createNetwork = (clock: Clock, record: UpstreamRecord, configText: string): PeerNetwork => {
    const epoch = "warm-up";
    const fleet = { ...emptyFleet, revision: 1, configVersion: 1, configText };
    const watch = async (since: number): Promise<PeerReply<"watchFleet">> => {
        if (since > 0) {
            await sleep(clock, HOLD_MS);
        }
        return {
            epoch,
            version: 1,
            revision: 1,
            proofAgeMs: 0,
            records: since > 0 ? [] : [{ record, ageMs: 0 }],
            renewals: [[record.id, record.start, record.seq + 1, 0]],
            controls: [CONTROL],
            entryCount: 1,
            entriesVersion: 0,
            crashVersion: 0,
            quarantined: [],
            requestLimits: [],
            requestLimitsVersion: 0,
            heldSessions: [],
            heldSessionsVersion: 0,
        };
    };
    return {
        self: "warm-up:2",
        configuredPeers: [],
        call: async <K extends PeerCallName>(...[, name, req]: [string, K, unknown, number]): Promise<PeerReply<K>> => {
            const reply = name === "watchFleet" ? await watch((req as { since: number; }).since) : { fleet };
            return reply as PeerReply<K>;
        },
        handle: () => toDisposable(() => undefined),
        setAddress: () => undefined,
    };
};
