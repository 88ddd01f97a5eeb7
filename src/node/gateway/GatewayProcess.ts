/**
 * One gateway process: its roles, HTTP servers, files and peer network, started and stopped in order. The adapter of a
 * deployment defines the protocols of callers, upstreams and operators.
 */
import { watchFile } from "node:fs";
import { type ExchangeCodec } from "../../common/gateway/ExchangeCodec.ts";
import { type GatewayConfig } from "../../common/gateway/GatewayConfig.ts";
import { type Component, Lifecycle } from "../../common/lifecycle/Lifecycle.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type HttpHandler, HttpServer, listenerOf } from "../http/HttpServer.ts";
import { type Log } from "../log/Log.ts";
import { TcpNetwork } from "../peers/TcpNetwork.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { FileLogStore } from "../storage/FileLogStore.ts";
import { makeFolder } from "../storage/Files.ts";
import { SystemClock } from "../time/SystemClock.ts";
import { GatewayControlRole } from "./GatewayControlRole.ts";
import { GatewayEntryRole } from "./GatewayEntryRole.ts";
import { GatewayMetrics } from "./GatewayMetrics.ts";
import { type GatewaySettings, readGatewaySettings } from "./GatewaySettings.ts";
import { WarmUp, type WarmUpTraffic } from "./WarmUp.ts";

/** Name of the deployment in logs. Deployments are kept apart by their secrets, not by this name. */
const DEPLOYMENT = "gateway";
/** How often the settings file is checked for changes, in ms. */
const SETTINGS_POLL_MS = 1000;
/** Limits of the HTTP servers for operators, upstreams, readiness and metrics. */
const SERVER_LIMITS = { maxHeaderBytes: 16_384, maxHeaders: 100, maxConnections: 1000, requestTimeoutMs: 15_000 };

/** Time for open requests for readiness or metrics at the end of a stop, in ms. */
const MAX_STOP_MS = 100;
/** Time for open requests of operators and upstreams, as a fraction of the grace time. */
const CONTROL_STOP_FRACTION = 1 / 2;
const MS_PER_SECOND = 1000;

/** Protocols of a deployment. */
export interface GatewayAdapter {
    readonly codec: ExchangeCodec;
    /** Decodes a configuration text. Throws if it is invalid. */
    readonly readConfig: (text: string) => GatewayConfig;
    /** Creates the handler for operators and upstreams. */
    readonly createControlHandler: (control: GatewayControlRole, clock: Clock, log: Log) => HttpHandler;
    /** Creates the readiness handler; `notReadyReason` returns undefined while the instance is ready for callers. */
    readonly createReadinessHandler: (notReadyReason: () => string | undefined) => HttpHandler;
    readonly warmUpTraffic: WarmUpTraffic;
}

/** A gateway process, from start to stop. */
export class GatewayProcess {
    private readonly file: string;
    private readonly settings: GatewaySettings;
    private readonly adapter: GatewayAdapter;
    private readonly log: Log;
    private readonly clock: Clock = new SystemClock();
    private readonly lifecycle = new Lifecycle();
    private readonly metrics = new GatewayMetrics();
    private readonly network: TcpNetwork;
    private control: GatewayControlRole | undefined;
    private entry: GatewayEntryRole | undefined;
    private isStopping = false;

    public constructor(file: string, settings: GatewaySettings, adapter: GatewayAdapter, log: Log) {
        this.file = file;
        this.settings = settings;
        this.adapter = adapter;
        this.log = log;
        const { peers } = settings.doors;
        const id = `${peers.host}:${peers.port}`;
        const credentials = { deployment: DEPLOYMENT, id, secret: settings.control.secret };
        this.network = new TcpNetwork(this.clock, credentials, peers, {}, log.withPrefix("peers"));
    }

    public async start(): Promise<void> {
        const { network, settings } = this;
        this.lifecycle.add(createComponent("network", () => network.listen(), async () => network.dispose()));
        if (settings.instance.roles.includes("control")) {
            await this.addControl();
        }
        if (settings.instance.roles.includes("entry")) {
            this.addEntry();
        }
        this.addMetrics();
        const { entry } = this;
        if (entry !== undefined) {
            // Components stop in reverse order: readiness and metrics still answer while the entry role stops.
            this.lifecycle.add(createComponent("entry", () => entry.start(), () => entry.stop()));
        }
        await this.lifecycle.start();
        watchFile(this.file, { interval: SETTINGS_POLL_MS, persistent: false }, () => this.reload());
        const { name, roles, domain, bootstrap } = settings.instance;
        this.log.info("The process has started.", {
            name,
            roles,
            domain,
            bootstrap,
            seeds: settings.control.seeds,
            upMs: Math.round(performance.now()),
        });
        void this.warmUp();
    }

    /** Stops all components gracefully. */
    public async stop(): Promise<void> {
        if (this.isStopping) {
            return;
        }
        this.isStopping = true;
        this.log.info("The process stops.");
        await this.lifecycle.stop();
        this.log.info("The process has stopped.");
    }

    /** Reads the settings again. Only changes of the seeds and the log level take effect. */
    public reload(): void {
        const { settings, faults } = readGatewaySettings(this.file);
        if (settings === undefined) {
            this.log.error("The changed settings are invalid; the previous ones stay in force.", { faults });
            return;
        }
        const seeds = this.instanceIdsOf(settings.control.seeds);
        this.control?.followControls(seeds);
        this.entry?.followControls(seeds);
        this.log.setLevel(settings.log.level);
        this.log.info("The settings were read again.", { seeds: settings.control.seeds });
    }

    /** Has the code of the request path compiled before callers come, if the settings ask for it. */
    private async warmUp(): Promise<void> {
        const { settings, clock, adapter: { codec, readConfig, warmUpTraffic: traffic }, entry, log } = this;
        const maxMs = settings.instance.warm_up_ms;
        if (entry === undefined || maxMs <= 0) {
            return;
        }
        const isBusy = (): boolean => this.isStopping || entry.handler.handled > 0;
        const warmUp = new WarmUp({ clock, settings, codec, readConfig, traffic, isBusy });
        try {
            log.info("The request path is warmed up.", await warmUp.run(maxMs));
        }
        catch (err) {
            log.warn("The warm-up of the request path failed.", { reason: (err as Error).message });
        }
        finally {
            warmUp.dispose();
        }
    }

    private async addControl(): Promise<void> {
        const { settings, clock, network, log, adapter } = this;
        const { data = "", bootstrap } = settings.instance;
        await makeFolder(data);
        const store = new FileLogStore(data, log.withPrefix("control"));
        const control = new GatewayControlRole({
            clock,
            network,
            store,
            log: log.withPrefix("control"),
            seeds: this.instanceIdsOf(settings.control.seeds),
            isBootstrap: bootstrap,
            random: Math.random,
            maxRolloutExposure: settings.bounds.rollout_exposure,
            orderRepeatMs: settings.bounds.order_repeat_ms,
        });
        this.control = control;
        this.lifecycle.add(createComponent("control", () => control.start(), async () => {
            control.dispose();
            await store.close();
        }));
        const { control: address } = settings.doors;
        if (address !== undefined) {
            const handler = adapter.createControlHandler(control, clock, log.withPrefix("operators"));
            const maxStopMs = settings.bounds.stop_grace_s * MS_PER_SECOND * CONTROL_STOP_FRACTION;
            this.addServer("control", address, handler, maxStopMs);
        }
    }

    private addEntry(): void {
        const { settings, clock, network, log, adapter, metrics } = this;
        const entry = new GatewayEntryRole({
            clock,
            network,
            settings,
            seeds: this.instanceIdsOf(settings.control.seeds),
            codec: adapter.codec,
            readConfig: adapter.readConfig,
            metrics,
            log: log.withPrefix("entry"),
        });
        this.entry = entry;
        const { readiness } = settings.doors;
        if (readiness !== undefined) {
            const handler = adapter.createReadinessHandler(() => entry.notReadyReason);
            this.addServer("readiness", readiness, handler);
        }
    }

    private addMetrics(): void {
        const { settings: { doors }, metrics, entry, control } = this;
        metrics.addGauges({
            resident_bytes: { help: "Resident memory.", read: () => process.memoryUsage.rss() },
            cpu_seconds: { help: "Processor time.", read: () => process.cpuUsage().user / 1e6 },
            in_flight: {
                help: "Requests whose response has not been taken.",
                read: () => entry?.handler.inFlight ?? 0,
            },
            untaken_responses: {
                help: "Responses that have been produced, but not taken by their callers.",
                read: () => entry?.handler.untaken ?? 0,
            },
            entries: {
                help: "Entry instances on the roster; 0 while they may not know each other.",
                read: () => entry?.rosterIds.length ?? 0,
            },
            control_recovering: {
                help: "1 on a control instance that has lost its disk and is not readmitted yet.",
                read: () => control?.isRecovering === true ? 1 : 0,
            },
            overwritten_entries: {
                help: "Committed entries of the control log that were overwritten; any is a loss.",
                read: () => control?.lossCounts.overwrittenEntries ?? 0,
            },
            lost_revisions: {
                help: "Revisions that were in force and that the control log lacks; any is a loss.",
                read: () => control?.lossCounts.lostRevisions ?? 0,
            },
            feature_level: {
                help: "Feature level of the fleet; below the newest one, instances of earlier builds are in service.",
                read: () => control?.fleet.featureLevel ?? 0,
            },
            // Holds the confirmation age.
            proof_age_ms: {
                help: "Age of the proof that the configuration is in force.",
                read: () => entry?.confirmationAgeMs ?? control?.confirmationAgeMs ?? 0,
            },
        });
        if (doors.metrics === undefined) {
            return;
        }
        const handler: HttpHandler = async (req, res) => {
            const text = await metrics.text();
            req.resume();
            res.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(text);
        };
        this.addServer("metrics", doors.metrics, handler);
    }

    private addServer(name: string, address: Address, handler: HttpHandler, maxStopMs = MAX_STOP_MS): void {
        this.lifecycle.add(new HttpServer(name, address, SERVER_LIMITS, () => listenerOf(handler), { maxStopMs }));
    }

    /** Ids of the instances with these control addresses: an id is the peer address, whose port is the same on all. */
    private instanceIdsOf(seeds: readonly string[]): string[] {
        const { port } = this.settings.doors.peers;
        return seeds.map(seed => `${seed.slice(0, seed.lastIndexOf(":"))}:${port}`);
    }
}

const createComponent = (name: string, start: () => Promise<void>, stop: () => Promise<void>): Component => ({
    name,
    start,
    stop,
});
