/**
 * The entry role of a gateway process: follows the fleet configuration, admits callers' requests and routes them to
 * upstreams.
 */
import { type CallKeys } from "../../common/gateway/CallKeys.ts";
import { type ColdUpstreams } from "../../common/gateway/ColdUpstreams.ts";
import { CrashObserver } from "../../common/gateway/CrashObserver.ts";
import { type ExchangeCodec, type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { FleetFollower } from "../../common/gateway/FleetFollower.ts";
import { type Fleet } from "../../common/gateway/FleetState.ts";
import { followerReport } from "../../common/gateway/FollowerReport.ts";
import { type GatewayConfig } from "../../common/gateway/GatewayConfig.ts";
import { OutcomeCounters } from "../../common/gateway/OutcomeCounters.ts";
import { RatePermitIssuer } from "../../common/gateway/RatePermitIssuer.ts";
import { RatePermits } from "../../common/gateway/RatePermits.ts";
import { createRolloutSchedule } from "../../common/gateway/RolloutPlan.ts";
import { readRouteTable, type RouteTable } from "../../common/gateway/RouteTable.ts";
import { ServiceRetryBudget } from "../../common/gateway/ServiceRetryBudget.ts";
import { SessionVersions } from "../../common/gateway/SessionVersions.ts";
import { UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { processName } from "../../common/gateway/UpstreamRecord.ts";
import { type Selection, UpstreamSelector } from "../../common/gateway/UpstreamSelector.ts";
import { UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Clock, repeat } from "../../common/time/Clock.ts";
import { HttpServer, listenerOf } from "../http/HttpServer.ts";
import { type Log } from "../log/Log.ts";
import { reportBrokenRun } from "./BrokenRuns.ts";
import { QUARANTINED } from "./Call.ts";
import { CallerHandler } from "./CallerHandler.ts";
import { CallOutcomes } from "./CallOutcomes.ts";
import { createColdUpstreams } from "./ColdUpstreamReports.ts";
import { EngineMemory } from "./EngineMemory.ts";
import { createConnections, createRelayServer } from "./EntryConnections.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";
import { type GatewaySettings } from "./GatewaySettings.ts";
import { ModelChoice } from "./ModelChoice.ts";
import { stopServing } from "./PlannedStop.ts";
import { logReachability } from "./ReachabilityLog.ts";
import { type RelayRefusal, type RelayServer } from "./RelayServer.ts";
import { createReplyBuffers } from "./ReplyBuffers.ts";
import { RequestLog } from "./RequestLog.ts";
import { RequestRouter } from "./RequestRouter.ts";
import { UpstreamAttempts } from "./UpstreamAttempts.ts";
import { type RawResponseHead, type UpstreamTransport } from "./UpstreamConnections.ts";
import { UpstreamNotices } from "./UpstreamNotices.ts";

/**
 * Duration of the lease as a fraction of the setting `revoke_ms`, the time within which a removed key must stop working
 * on every instance.
 */
const LEASE_FRACTION = 0.7;
/** How often upstreams without heartbeats are evicted from the directory, in ms. */
const EVICTION_PERIOD_MS = 5000;
/** Confirmation age up to which the upstream directory counts as up to date, in ms. */
const QUORUM_CONTACT_MS = 2500;
/** Added to the session time, because the caller's pause starts only when the last response reaches it, in ms. */
const SESSION_MARGIN_MS = 500;
const MS_PER_SECOND = 1000;

/** Dependencies of the role. */
export interface GatewayEntryRoleDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly settings: GatewaySettings;
    readonly seeds: readonly string[];
    readonly codec: ExchangeCodec;
    /** Decodes a configuration text that a control instance has already validated. */
    readonly readConfig: (text: string) => GatewayConfig;
    readonly metrics: GatewayMetrics;
    readonly log: Log;
    /** Replaces the connections to upstreams, for simulations. */
    readonly createTransport?: () => UpstreamTransport;
}

/** The entry role of one process. */
export class GatewayEntryRole extends DisposableOwner {
    public readonly handler: CallerHandler;
    private readonly deps: GatewayEntryRoleDependencies;
    private readonly directory: UpstreamDirectory;
    private readonly upstreamStats: UpstreamStatistics;
    private readonly follower: FleetFollower;
    private readonly connections: UpstreamTransport;
    private readonly cold: ColdUpstreams;
    private readonly selector: UpstreamSelector;
    private readonly outcomes = new OutcomeCounters();
    private readonly callOutcomes = new CallOutcomes(this.outcomes);
    private readonly sessions: SessionVersions;
    private readonly canaryShare: number;
    private readonly crashObserver: CrashObserver;
    private readonly notices: UpstreamNotices;
    private readonly permitIssuer: RatePermitIssuer;
    private readonly permits: RatePermits;
    private readonly engineMemory: EngineMemory;
    private readonly router: RequestRouter;
    /** Current process of each upstream, by upstream id. */
    private readonly processNames = new Map<string, string>();
    private readonly callerServer: HttpServer | undefined;
    private readonly relayServer: RelayServer | undefined;
    private routeTable: RouteTable | undefined;
    private hadLease = false;
    private isStopping = false;

    public constructor(deps: GatewayEntryRoleDependencies) {
        super();
        this.deps = deps;
        const { clock, network, codec, seeds, settings, log } = deps;
        this.directory = new UpstreamDirectory(clock);
        this.canaryShare = createRolloutSchedule(settings.bounds.rollout_exposure).canaryShare;
        this.sessions = new SessionVersions(clock, settings.bounds.session_s * MS_PER_SECOND + SESSION_MARGIN_MS);
        this.upstreamStats = new UpstreamStatistics(clock);
        this.crashObserver = new CrashObserver(clock);
        this.notices = this.register(
            new UpstreamNotices({ clock, self: network.self, log, onSpared: () => this.relayServer?.closeUnwanted() }),
        );
        const { statements } = this.notices;
        this.permitIssuer = new RatePermitIssuer(clock, statements);
        this.follower = this.register(
            new FleetFollower({
                clock,
                network,
                role: "entry",
                directory: this.directory,
                seeds,
                report: () => followerReport(this.follower.fleet, this.outcomes, this.sessions, this.canaryShare),
                crashes: this.crashObserver,
                statements,
            }),
        );
        this.connections = this.register(
            deps.createTransport?.()
                ?? createConnections({
                    clock,
                    self: network.self,
                    settings,
                    log,
                    entries: () => this.follower.entries,
                }),
        );
        this.permits = new RatePermits({
            clock,
            network,
            limits: statements,
            issuer: this.permitIssuer,
            entries: () => this.follower.entries,
            entryCount: () => this.follower.entryCount,
            onIssuerLost: (issuer, reason) => log.warn("An instance issues no rate permits.", { issuer, reason }),
        });
        this.engineMemory = this.register(
            new EngineMemory({
                clock,
                network,
                log,
                upstreamStats: this.upstreamStats,
                follower: this.follower,
                hasLease: () => this.hasLease,
                config: () => this.routeTable?.config,
            }),
        );
        deps.metrics.addGauges(this.engineMemory.gauges);
        this.cold = this.register(
            createColdUpstreams({
                ...deps,
                directory: this.directory,
                entries: () => this.follower.entries,
                findService: name => this.routeTable?.findService(name),
            }),
        );
        this.selector = this.createSelector();
        const requestLog = new RequestLog(
            clock,
            log.withPrefix("requests"),
            () => ({ revision: this.follower.fleet.revision, confirmationAgeMs: this.follower.confirmationAgeMs }),
            (call, result, ms) => deps.metrics.observe(call?.route.name ?? "none", result.outcome, ms),
        );
        const isQuarantined = (keys: CallKeys): boolean => this.follower.isQuarantined(keys);
        const { retry_ratio: ratio, retry_slack: slack, retry_window_s: windowS } = settings.bounds;
        const limits = { ratio, slack, windowMs: windowS * MS_PER_SECOND };
        const budget = new ServiceRetryBudget(clock, limits, () => this.follower.entryCount);
        const { upstreamStats } = this;
        const hasQuorumContact = (): boolean => this.hasQuorumContact;
        const models = new ModelChoice({ clock, upstreamStats, budget, metrics: deps.metrics, hasQuorumContact });
        this.router = this.register(
            new RequestRouter({
                clock,
                codec,
                log,
                metrics: deps.metrics,
                selector: this.selector,
                upstreamStats,
                attempts: this.createAttempts(models),
                budget,
                permits: this.permits,
                reservations: this.engineMemory.reservations,
                sessions: this.sessions,
                outcomes: this.callOutcomes,
                fleet: () => this.follower.fleet,
                hasLease: () => this.hasLease,
                isRemoved: name => this.routeTable?.hasService(name) === false && !this.directory.hasReady(name),
                isQuarantined,
                isSpared: this.notices.isSpared,
                isSessionPinned: session => this.follower.isSessionPinned(session),
            }),
        );
        // Heartbeats don't wake the queue: a hundred of them would sort it a hundred times.
        this.register(this.directory.onChanged(({ record: { service }, isUrgent }) => {
            if (isUrgent) {
                this.router.wake(service);
            }
        }));
        this.handler = new CallerHandler({
            clock,
            codec,
            router: this.router,
            log: requestLog,
            routeTable: () => this.routeTable,
            hasLease: () => this.hasLease,
            isQuarantined,
            chooseFirstModel: call => models.first(call),
            onAdmitted: ({ service, keys }) => {
                budget.deposit(service.name);
                if (keys.parts.size > 0) {
                    this.crashObserver.recordRequest(keys.parts);
                }
            },
        });
        this.callerServer = this.createCallerServer();
        this.relayServer = createRelayServer({
            clock,
            settings,
            log,
            refusal: address => this.relayRefusal(address),
            onResponse: (address, head) => this.recordRelayedResponse(address, head),
        });
        this.register({ dispose: () => this.relayServer?.dispose() });
        this.subscribe();
    }

    /** Whether a control quorum has confirmed the configuration recently enough to serve requests by it. */
    public get hasLease(): boolean {
        return this.follower.confirmationAgeMs < this.deps.settings.bounds.revoke_ms * LEASE_FRACTION;
    }

    /** Whether this instance has recent quorum contact, and therefore an up-to-date directory of upstreams. */
    private get hasQuorumContact(): boolean {
        return this.follower.confirmationAgeMs < QUORUM_CONTACT_MS;
    }

    /** Why the instance is not ready for new callers; undefined if it is. */
    public get notReadyReason(): string | undefined {
        if (this.isStopping) {
            return "the instance is stopping";
        }
        if (this.configVersion === undefined) {
            return "no configuration is in force";
        }
        return this.hasLease ? undefined : "the instance is cut off from the control majority";
    }

    /** Time since a control quorum confirmed the configuration, in ms. */
    public get confirmationAgeMs(): number {
        return this.follower.confirmationAgeMs;
    }

    /** Version of the configuration that requests are served by; undefined before the first. */
    public get configVersion(): number | undefined {
        return this.routeTable?.config.version;
    }

    /** Ids of the entry instances on the roster; empty while they may not know each other. */
    public get rosterIds(): readonly string[] {
        return this.follower.entries;
    }

    /** Follows these control instances in addition to those that it follows already. */
    public followControls(seeds: readonly string[]): void {
        this.follower.follow(seeds);
    }

    public async start(): Promise<void> {
        this.follower.start();
        await this.relayServer?.start();
        await this.callerServer?.start();
    }

    /** Planned stop, see `stopServing`. */
    public async stop(): Promise<void> {
        const { deps: { clock, settings, log }, handler, callerServer, relayServer } = this;
        this.isStopping = true;
        const graceMs = settings.bounds.stop_grace_s * MS_PER_SECOND;
        await stopServing({ clock, log, handler, callerServer, relayServer }, graceMs);
        this.dispose();
    }

    private createSelector(): UpstreamSelector {
        const { clock, settings, network } = this.deps;
        return new UpstreamSelector({
            clock,
            self: network.self,
            directory: this.directory,
            upstreamStats: this.upstreamStats,
            domain: settings.instance.domain,
            fleet: () => this.follower.fleet,
            entryCount: () => this.follower.entryCount,
            hasQuorumContact: () => this.hasQuorumContact,
            cold: this.cold,
            isLimitUsedUp: target => this.permits.areUsedUp(target),
            isLeaving: upstream => this.notices.statements.isLeaving(upstream),
            pauses: this.notices.pauses,
            hasIdleConnection: upstream => this.connections.hasIdleConnection(upstream),
        });
    }

    private createAttempts(models: ModelChoice): UpstreamAttempts {
        const { clock, codec, log, metrics } = this.deps;
        const { directory, connections, crashObserver: observer, cold } = this;
        return this.register(
            new UpstreamAttempts({
                clock,
                codec,
                connections,
                upstreamStats: this.upstreamStats,
                directory,
                entryCount: () => this.follower.entryCount,
                hasQuorumContact: () => this.hasQuorumContact,
                models,
                replyBuffers: createReplyBuffers(clock, log, metrics),
                startRun: ({ keys }, isResumed) => observer.startRun(keys, isResumed),
                onConnectionClosed: (...run) =>
                    void reportBrokenRun({ ...this.deps, directory, connections, observer, cold }, ...run),
                onUnreached: ({ record: { id } }) => cold.recordUnreached(id),
                onResponse: (...response) => this.callOutcomes.recordResponse(...response),
                sendObstacle: ({ keys }, upstream) => this.findSendObstacle(keys, upstream),
                onStatement: (selection, head) => this.recordStatement(selection, head),
                onLateStatement: ({ name }, head) => this.notices.recordNotice(name, head),
                onUnanswered: (...attempt) => this.callOutcomes.recordUnanswered(...attempt),
                onPace: (...stream) => this.callOutcomes.recordPace(...stream),
            }),
        );
    }

    /** Why a request with these keys must not be sent to an upstream process now; undefined if it may be. */
    private findSendObstacle(keys: CallKeys, upstream: string): string | undefined {
        if (this.notices.isSpared(upstream)) {
            return `upstream ${upstream} wants no requests`;
        }
        return this.follower.isQuarantined(keys) ? QUARANTINED : undefined;
    }

    private recordStatement({ name: upstream, record: { service } }: Selection, head: ResponseHead): void {
        const { bearableRefusals, isNotRun } = head;
        this.notices.record(upstream, head);
        this.router.recordLoad(service, head.load);
        this.permits.recordBearableRefusals(service, bearableRefusals);
        if (isNotRun) {
            void this.permits.recordRefusal({ name: upstream, service });
        }
    }

    /** Records the head of a response from the address that this instance relays to another one. */
    public recordRelayedResponse(address: string, { status, headers }: RawResponseHead): void {
        const record = this.directory.recordAt(address);
        if (record !== undefined && status !== 421) {
            this.notices.recordNotice(processName(record), this.deps.codec.readHead(status, headers));
        }
    }

    /** Why no connection to the address is relayed at the moment; undefined if it may be. */
    public relayRefusal(address: string): RelayRefusal | undefined {
        const record = this.directory.recordAt(address);
        const spareReason = record === undefined ? undefined : this.notices.reasonToSpare(processName(record));
        if (spareReason !== undefined) {
            return { reason: spareReason, isByUpstream: true };
        }
        const lossReason = this.connections.arePathsLost ? "the paths of this instance are lost" : undefined;
        const ownReason = this.isStopping ? "the instance is stopping" : lossReason;
        const reason = record === undefined ? "no upstream is known at the address" : ownReason;
        return reason === undefined ? undefined : { reason, isByUpstream: false };
    }

    private createCallerServer(): HttpServer | undefined {
        const { callers } = this.deps.settings.doors;
        const limits = { maxHeaderBytes: 65_536, maxHeaders: 200, maxConnections: 3000, requestTimeoutMs: 30_000 };
        return callers === undefined
            ? undefined
            : new HttpServer("callers", callers, limits, () => listenerOf(this.handler.handle));
    }

    private subscribe(): void {
        const { log, clock, network } = this.deps;
        this.register(this.follower.onFleetChanged(fleet => this.applyFleet(fleet)));
        this.register(logReachability(this.follower, log));
        this.register(this.directory.onChanged(({ record, isUrgent }) => {
            if (!isUrgent) {
                return;
            }
            const { id, start, service, version, state, domain, coldMs } = record;
            log.info("An upstream has changed.", { upstream: id, start, service, version, state, domain, coldMs });
            const name = processName(record);
            const previous = this.processNames.get(id);
            if (previous !== undefined && previous !== name) {
                this.forgetProcess(previous);
                this.upstreamStats.remove(previous);
            }
            this.processNames.set(id, name);
            if (state === "gone") {
                this.forgetProcess(name);
            }
        }));
        this.register(repeat(clock, EVICTION_PERIOD_MS, () => {
            this.directory.evictStale();
            this.permitIssuer.evictIdle();
        }));
        this.register(this.permitIssuer.serve(network));
        this.register(repeat(clock, EVICTION_PERIOD_MS / 20, () => this.logLeaseChange()));
    }

    private forgetProcess(name: string): void {
        this.connections.close(name);
        [this.selector, this.permits, this.engineMemory.reservations, this.notices.pauses].forEach(owner =>
            owner.forget(name)
        );
    }

    private applyFleet(fleet: Fleet): void {
        const { log, readConfig } = this.deps;
        const { revision, configText, configVersion: version, rollouts, drainedDomains } = fleet;
        if (configText !== "" && version !== this.routeTable?.config.version) {
            const onUnreadable = ({ message: reason }: Error): void =>
                log.error("The configuration can't be read; requests are refused.", { version, reason });
            this.routeTable = readRouteTable(() => readConfig(configText), onUnreadable);
            if (this.routeTable !== undefined) {
                this.callerServer?.setTimeouts(this.routeTable.config.limits);
            }
        }
        this.cold.updateDrainedDomains(drainedDomains);
        this.outcomes.startRollouts(rollouts, this.deps.clock.boottime());
        log.info("A revision of the fleet is in force here.", { revision, version, rollouts, drainedDomains });
    }

    private logLeaseChange(): void {
        const { hasLease } = this;
        if (hasLease !== this.hadLease) {
            this.hadLease = hasLease;
            const message = hasLease ? "The configuration is known to be in force." : "The lease has run out.";
            this.deps.log.info(message, { proofAgeMs: Math.round(this.follower.confirmationAgeMs) });
        }
    }
}
