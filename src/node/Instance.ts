/**
 * One instance of the router: starts and stops its core, servers, storage and peer network in order.
 */
import { ServiceBroker } from "moleculer";
import { readFile } from "node:fs/promises";
import { routerError } from "../common/errors/RouterError.ts";
import { InstanceCore } from "../common/instance/InstanceCore.ts";
import { type Component, Lifecycle } from "../common/lifecycle/Lifecycle.ts";
import { type Member } from "../common/membership/Member.ts";
import { readSheet } from "../common/sheet/SheetReader.ts";
import { type Clock, withTimeout } from "../common/time/Clock.ts";
import { createAdminActions } from "./admin/AdminActions.ts";
import { AdminServer, sheetHash } from "./admin/AdminServer.ts";
import { EntryRole, serverLimits } from "./EntryRole.ts";
import { createBrokerListener } from "./http/BrokerListener.ts";
import { Certificates } from "./http/Certificates.ts";
import { HttpServer } from "./http/HttpServer.ts";
import { type Log } from "./log/Log.ts";
import { Metrics } from "./metrics/Metrics.ts";
import { TcpNetwork } from "./peers/TcpNetwork.ts";
import { type Settings } from "./settings/SettingsSchema.ts";
import { DataFolder } from "./storage/DataFolder.ts";
import { FileBillStore } from "./storage/FileBillStore.ts";
import { FileConfigurationStore } from "./storage/FileConfigurationStore.ts";
import { FileLogStore } from "./storage/FileLogStore.ts";
import { SystemClock } from "./time/SystemClock.ts";
import { VERSION } from "./Version.ts";

/** Interval at which the bootstrap sheet is submitted until a sheet is in force, in ms. */
const BOOTSTRAP_PERIOD_MS = 300;
const BOOTSTRAP_TIMEOUT_MS = 2000;

/** Ports that the servers listen on. */
export interface ServerPorts {
    readonly callers: number | undefined;
    readonly upstreams: number | undefined;
    readonly admin: number;
}

interface Storage {
    readonly folder: DataFolder;
    readonly log: FileLogStore;
    readonly bills: FileBillStore;
    readonly configuration: FileConfigurationStore;
}

/** Runs one instance from `start` to `stop`. */
export class Instance {
    private readonly settings: Settings;
    private readonly log: Log;
    private readonly clock: Clock = new SystemClock();
    private readonly lifecycle = new Lifecycle();
    private readonly broker: ServiceBroker;
    private readonly network: TcpNetwork;
    private storage: Storage | undefined;
    private core: InstanceCore | undefined;
    private entry: EntryRole | undefined;
    private adminServer: HttpServer | undefined;
    private certificates: Certificates | undefined;
    private isStopping = false;
    private isStarted = false;

    public constructor(settings: Settings, log: Log) {
        this.settings = settings;
        this.log = log;
        this.broker = new ServiceBroker({
            nodeID: settings.instance.id,
            logger: false,
            metrics: false,
            tracing: false,
            // The router has its own retries, circuit breakers, timeouts and caches; the broker's middlewares would
            // only add time to every request.
            internalMiddlewares: false,
            // The broker's signal handler would end the process before requests in flight are answered.
            skipProcessEventRegistration: true,
        });
        const { id, deployment } = settings.instance;
        const secret = settings.control.secret ?? "";
        const credentials = { deployment, id, secret };
        this.network = new TcpNetwork(
            this.clock,
            credentials,
            settings.doors.peers,
            settings.peers,
            log.withPrefix("peers"),
        );
    }

    /** Ports that the servers listen on. */
    public get ports(): ServerPorts {
        const [upstreams, callers] = this.entry?.servers ?? [];
        return { callers: callers?.port, upstreams: upstreams?.port, admin: this.adminServer?.port ?? 0 };
    }

    /** Starts all components. Resolves when the servers are listening. */
    public async start(): Promise<void> {
        this.certificates = await this.loadCertificates();
        this.storage = await this.openStorage();
        const core = this.createCore();
        this.core = core;
        const metrics: Metrics = new Metrics(
            core,
            () => this.entry?.callerServer.inFlight ?? 0,
            () => this.entry?.upstreamClient.discardedAnswers ?? 0,
        );
        this.entry = this.createEntry(core, metrics);
        this.adminServer = this.createAdmin(core, metrics);
        this.addComponents(core);
        await this.lifecycle.start();
        this.isStarted = true;
        core.timeline.record("instanceStarted", `version ${VERSION}`, { domain: this.settings.instance.domain });
        this.log.info("The instance has started.", { ports: this.ports });
    }

    /** Shuts down gracefully: answers the requests in flight, then stops all components. */
    public async stop(): Promise<void> {
        if (this.isStopping) {
            return;
        }
        this.isStopping = true;
        this.core?.timeline.record("instanceStopping", "planned stop");
        this.log.info("The instance is stopping.", { inFlight: this.entry?.callerServer.inFlight });
        await this.lifecycle.stop();
        this.log.info("The instance has stopped.");
    }

    private async loadCertificates(): Promise<Certificates | undefined> {
        const { cert, key } = this.settings.tls;
        if (cert === undefined || key === undefined) {
            return undefined;
        }
        const certificates = new Certificates(this.clock, { cert, key }, this.log.withPrefix("tls"));
        await certificates.load();
        return certificates;
    }

    private async openStorage(): Promise<Storage | undefined> {
        const { data, deployment, id, roles } = this.settings.instance;
        if (data === undefined || !roles.includes("control")) {
            return undefined;
        }
        const folder = await DataFolder.acquire(data, deployment, id);
        const log = new FileLogStore(await folder.subfolder("control"), this.log.withPrefix("control"));
        const bills = new FileBillStore(await folder.subfolder("billing"));
        const configuration = new FileConfigurationStore(folder.path, this.log.withPrefix("control"));
        return { folder, log, bills, configuration };
    }

    private createCore(): InstanceCore {
        const { settings } = this;
        const voters = settings.control.voters;
        const isAlone = Object.keys(settings.peers).length === 0 && settings.instance.roles.includes("control");
        return new InstanceCore({
            clock: this.clock,
            network: this.network,
            member: this.localMember(),
            random: Math.random,
            otherDomainMs: settings.routing.other_domain_ms,
            initialVoters: voters.length === 0 && isAlone ? [settings.instance.id] : voters,
            logStore: this.storage?.log,
            configurationStore: this.storage?.configuration,
            billStore: this.storage?.bills,
        });
    }

    private localMember(): Member {
        const { id, domain, region, roles } = this.settings.instance;
        const listen = this.settings.doors.peers;
        const address = listen === undefined ? "" : `${listen.host}:${listen.port}`;
        return { id, start: this.clock.now(), seq: 0, state: "alive", domain, region, roles, address, revision: 0 };
    }

    private createEntry(core: InstanceCore, metrics: Metrics): EntryRole | undefined {
        const { callers, upstreams } = this.settings.doors;
        if (!this.settings.instance.roles.includes("entry") || callers === undefined || upstreams === undefined) {
            return undefined;
        }
        return new EntryRole(
            this.settings,
            core,
            this.clock,
            this.broker,
            callers,
            upstreams,
            () => metrics,
            this.certificates,
        );
    }

    private createAdmin(core: InstanceCore, metrics: Metrics): HttpServer {
        const actions = createAdminActions({
            core,
            network: this.network,
            clock: this.clock,
            log: this.log,
            selectBills: (from, to) => this.storage?.bills.select(from, to) ?? Promise.resolve([]),
            inFlight: () => this.entry?.callerServer.inFlight ?? 0,
        });
        type Call = (params: unknown, operator: string) => Promise<object>;
        const handlers = Object.entries(actions as Record<string, Call>).map(([name, run]) => [
            name,
            (ctx: { params: unknown; meta: { operator?: string; }; }) => run(ctx.params, ctx.meta.operator ?? ""),
        ]);
        this.broker.createService({ name: "admin", actions: Object.fromEntries(handlers) });
        const adminServer = new AdminServer({
            broker: this.broker,
            version: VERSION,
            configuration: () => core.follower.configuration,
            keyHash: this.settings.admin.key_sha256,
            notReadyReason: () => this.notReadyReason(core),
            metrics: () => metrics.text(),
        });
        return new HttpServer(
            "admin",
            this.settings.doors.admin,
            serverLimits(this.settings),
            () => createBrokerListener(this.broker, "admin", adminServer.handle),
            { certificates: this.certificates, maxStopMs: this.settings.limits.stop_grace_ms },
        );
    }

    private notReadyReason(core: InstanceCore): string | undefined {
        if (this.isStopping || !this.isStarted) {
            return this.isStopping ? "the instance is stopping" : "the instance is starting";
        }
        if (core.follower.configuration.sheet === undefined) {
            return "no sheet is in force yet";
        }
        return core.follower.table.isInstanceDrained(this.settings.instance.id) ? "the instance is drained" : undefined;
    }

    private addComponents(core: InstanceCore): void {
        const { storage, entry, network, broker, adminServer } = this;
        this.lifecycle.add(component("storage", noop, async () => {
            await storage?.configuration.flush();
            await storage?.log.close();
            await storage?.bills.close();
            await storage?.folder.release();
            this.certificates?.dispose();
        }));
        this.lifecycle.add(component("network", () => network.listen(), async () => network.dispose()));
        this.lifecycle.add(component("core", () => this.startCore(core), () => this.stopCore(core)));
        this.lifecycle.add(component("broker", () => broker.start(), () => broker.stop()));
        if (adminServer !== undefined) {
            this.lifecycle.add(adminServer);
        }
        if (entry !== undefined) {
            this.lifecycle.add(component("entry", noop, async () => entry.dispose()));
            entry.servers.forEach(server => this.lifecycle.add(server));
            this.lifecycle.add(component("requests", noop, () => this.drainRequests(entry)));
        }
    }

    private async startCore(core: InstanceCore): Promise<void> {
        const { network } = this;
        network.handle(
            "selectBills",
            async req => ({ bills: [...await this.storage?.bills.select(req.from, req.to) ?? []] }),
        );
        network.handle("readState", () => {
            if (core.control === undefined || core.controlState === undefined) {
                throw routerError("this instance does not hold the control state", {
                    code: "notFound",
                    step: "read state",
                });
            }
            return { history: [...core.controlState.configuration.history], voters: [...core.control.status.voters] };
        });
        await core.start();
        void this.bootstrapSheet(core);
    }

    private async stopCore(core: InstanceCore): Promise<void> {
        await core.bills.retryHeld();
        await core.membership.leave();
        core.dispose();
    }

    /** Refuses new requests and waits up to the grace time (`stop_grace_ms`) until those in flight are answered. */
    private async drainRequests(entry: EntryRole): Promise<void> {
        await withTimeout(this.clock, this.settings.limits.stop_grace_ms, entry.callerServer.drain());
    }

    /** Submits the bootstrap sheet named in the settings until a sheet is in force. */
    private async bootstrapSheet(core: InstanceCore): Promise<void> {
        const file = this.settings.sheet.bootstrap;
        if (file === undefined) {
            return;
        }
        const text = await readFile(file, "utf8");
        const { sheet, faults } = readSheet(text);
        if (sheet === undefined) {
            this.log.error("The bootstrap sheet is invalid.", { file, faults });
            return;
        }
        const command = { kind: "submitSheet", number: sheet.number, text, sha256: sheetHash(text), sheet };
        while (!this.isStopping && core.follower.configuration.sheet === undefined) {
            const change = { ...command, by: "settings", reason: "first sheet", at: this.clock.now() };
            await core.client.submit(change, BOOTSTRAP_TIMEOUT_MS).catch(() => undefined);
            await new Promise<void>(resolve => this.clock.schedule(BOOTSTRAP_PERIOD_MS, resolve));
        }
    }
}

const noop = (): Promise<void> => Promise.resolve();

/** Wraps two functions as a component of the life cycle. */
const component = (name: string, start: () => Promise<void>, stop: () => Promise<void>): Component => ({
    name,
    start,
    stop,
});
