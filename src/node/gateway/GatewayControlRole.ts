/**
 * The control role of a gateway process: a voter or a non-voting follower of the control log, the directory of the
 * upstreams that register here, and the publisher that entry instances watch.
 */
import { ControlClient } from "../../common/control/ControlClient.ts";
import { ControlLog } from "../../common/control/ControlLog.ts";
import { type LogStore } from "../../common/control/LogStore.ts";
import { routerError } from "../../common/errors/RouterError.ts";
import { FeatureLevelUpgrade } from "../../common/gateway/FeatureLevelUpgrade.ts";
import { FleetFollower, type FollowerReport } from "../../common/gateway/FleetFollower.ts";
import { FleetPublisher } from "../../common/gateway/FleetPublisher.ts";
import {
    type Fleet,
    type FleetCommand,
    FleetState,
    JOINT_CHANGES_LEVEL,
    latestRollout,
    type Rollout,
} from "../../common/gateway/FleetState.ts";
import { RolloutController } from "../../common/gateway/RolloutController.ts";
import { RolloutOrders } from "../../common/gateway/RolloutOrders.ts";
import { createRolloutSchedule } from "../../common/gateway/RolloutPlan.ts";
import { UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { addressOf, type UpstreamRecord } from "../../common/gateway/UpstreamRecord.ts";
import { UpstreamStatements } from "../../common/gateway/UpstreamStatements.ts";
import { VoterReconciler } from "../../common/gateway/VoterReconciler.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Clock, repeat, sleep } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { ControlLogMonitor } from "./ControlLogMonitor.ts";
import { logReachability } from "./ReachabilityLog.ts";

/** Time within which a change must be committed; after it the sender is told to retry, in ms. */
const SUBMIT_TIMEOUT_MS = 850;
/** Largest confirmation age with which `readFleet` succeeds, in ms. */
const READ_LEASE_MS = 900;
/** Longest time for which a read of a roll-out waits for a confirmation, in ms: voters get one every 150 ms. */
const MAX_CONFIRMATION_WAIT_MS = 600;
/** How often such a read looks for the confirmation, in ms. */
const CONFIRMATION_CHECK_MS = 20;
/** Longest time without a response at which another control instance counts as reachable, in ms: two confirmations. */
const REACHABLE_FOR_MS = 2 * READ_LEASE_MS;
/** Time without a response after which the replacement of a control instance is prepared, in ms. */
const SUSPECTED_AFTER_MS = READ_LEASE_MS;
/** Time without a response after which a control instance counts as lost, in ms: longer than a restart takes. */
const LOST_AFTER_MS = 2500;
/** Time without a response after which a control instance is no longer advertised to followers, in ms. */
const ADVERTISED_FOR_MS = 10_000;
/** Delay of the response to an upstream that drains or leaves, in which entry instances learn of it, in ms. */
const PROPAGATION_MS = 25;
/** How often upstreams without heartbeats are evicted from the directory, in ms. */
const EVICTION_PERIOD_MS = 5000;
/** Log entries after which a snapshot is taken; few, because each may hold a whole configuration. */
const SNAPSHOT_AFTER_ENTRIES = 200;

/** Dependencies and settings of the role. */
export interface GatewayControlRoleDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly store: LogStore;
    readonly log: Log;
    /** Ids of the control instances to contact first; the initial voters at bootstrap. */
    readonly seeds: readonly string[];
    /** Whether the system as a whole starts for the first time. */
    readonly isBootstrap: boolean;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Largest share of a service's requests that a bad version may get over a roll-out, 0 to 1. */
    readonly maxRolloutExposure: number;
    /** Longest time for which an operator sends an order again while its confirmation is missing, in ms. */
    readonly orderRepeatMs: number;
}

/** The control role of one process. */
export class GatewayControlRole extends DisposableOwner {
    private readonly deps: GatewayControlRoleDependencies;
    private readonly state = new FleetState();
    private readonly controlLog: ControlLog;
    private readonly client: ControlClient;
    private readonly directory: UpstreamDirectory;
    private readonly statements: UpstreamStatements;
    private readonly follower: FleetFollower;
    private readonly publisher: FleetPublisher;
    private readonly rollouts: RolloutController;
    private readonly rolloutOrders: RolloutOrders;
    private readonly featureLevelUpgrade: FeatureLevelUpgrade;
    private readonly monitor: ControlLogMonitor;

    public constructor(deps: GatewayControlRoleDependencies) {
        super();
        this.deps = deps;
        const { clock, network, store, seeds, isBootstrap, log, random } = deps;
        this.directory = new UpstreamDirectory(clock);
        this.statements = new UpstreamStatements(clock);
        this.controlLog = this.register(
            new ControlLog({
                clock,
                network,
                store,
                stateMachine: this.state,
                initialVoters: isBootstrap ? seeds : [],
                isFirstStart: isBootstrap,
                snapshotAfterEntries: SNAPSHOT_AFTER_ENTRIES,
                recoversStorage: true,
                hasShortFirstTimeout: true,
                allowsJointChanges: () => this.allowsJointChanges,
                random,
            }),
        );
        const report = (): FollowerReport => ({ outcomes: [], heldSessions: [] });
        const { directory, statements } = this;
        this.follower = this.register(
            new FleetFollower({ clock, network, role: "control", directory, seeds, report, statements }),
        );
        this.publisher = this.register(
            new FleetPublisher({
                clock,
                epoch: `${network.self} ${clock.now()}`,
                directory,
                statements,
                fleet: () => this.fleet,
                confirmationAgeMs: () => this.confirmationAgeMs,
                controls: () => [network.self, ...this.follower.reachableControls(ADVERTISED_FOR_MS)],
                onCrashFinding: finding => log.info("Connections to an upstream broke under requests.", { ...finding }),
                onQuarantineLifted: keys => log.warn("A quarantine is lifted: such requests are answered.", { keys }),
                onQuarantined: ({ keys, upstreams }) => log.warn("Requests are quarantined.", { keys, upstreams }),
            }),
        );
        this.client = new ControlClient(clock, network, this.controlLog, () => this.proposalTargets());
        this.rollouts = this.register(
            new RolloutController({
                clock,
                directory: this.directory,
                isLeader: () => this.isLeader,
                fleet: () => this.fleet,
                confirmationAgeMs: () => this.confirmationAgeMs,
                outcomes: () => this.publisher.outcomes,
                schedule: createRolloutSchedule(deps.maxRolloutExposure),
                submit: command => this.client.submit(command, SUBMIT_TIMEOUT_MS),
                onStep: ({ id, service, target, state, share }, move) =>
                    log.info("A roll-out moves on.", { id, service, target, from: { state, share }, to: move }),
            }),
        );
        this.rolloutOrders = this.register(
            new RolloutOrders({ clock, fleet: () => this.fleet, repeatMs: deps.orderRepeatMs }),
        );
        this.featureLevelUpgrade = this.register(
            new FeatureLevelUpgrade({
                clock,
                self: network.self,
                isLeader: () => this.isLeader,
                fleet: () => this.fleet,
                voters: () => this.controlLog.status.voters,
                supportedLevels: () => this.publisher.supportedLevels,
                submit: command => this.client.submit(command, SUBMIT_TIMEOUT_MS),
                onMissing: instances => log.info("The feature level can be raised by all but these.", { instances }),
            }),
        );
        this.register(this.createVoterReconciler());
        this.monitor = this.register(
            new ControlLogMonitor({
                clock,
                controlLog: this.controlLog,
                log,
                loggedRevision: () => this.state.fleet.revision,
                receivedRevision: () => this.follower.fleet.revision,
            }),
        );
        this.subscribe();
    }

    public get isLeader(): boolean {
        return this.controlLog.status.role === "leader";
    }

    /** Whether this instance has lost its disk and is not readmitted as a voter yet. */
    public get isRecovering(): boolean {
        return this.controlLog.status.recoveryId !== undefined;
    }

    /** Signs that something committed was lost: committed entries overwritten here, and revisions that the log lacks. */
    public get lossCounts(): { readonly overwrittenEntries: number; readonly lostRevisions: number; } {
        return this.monitor;
    }

    /** The newest revision that this instance knows to be committed. */
    public get fleet(): Fleet {
        const followedFleet = this.follower.fleet;
        const localFleet = this.state.fleet;
        return followedFleet.revision > localFleet.revision ? followedFleet : localFleet;
    }

    /** Time since a control quorum last confirmed that no later revision than `fleet` was in force, in ms. */
    public get confirmationAgeMs(): number {
        return Math.min(this.controlLog.confirmationAgeMs, this.follower.confirmationAgeMs);
    }

    public async start(): Promise<void> {
        await this.controlLog.start();
        this.follower.start();
        this.follower.follow(this.controlLog.status.voters);
        const { status } = this.controlLog;
        this.deps.log.info("The control role has started.", {
            voters: status.voters,
            lastIndex: status.lastIndex,
            term: status.term,
            revision: this.fleet.revision,
        });
    }

    /** Follows these control instances in addition to those that it follows already. */
    public followControls(seeds: readonly string[]): void {
        this.follower.follow(seeds);
    }

    /**
     * Records the registration of an upstream, or its renewal. An outdated one is ignored. When the upstream begins to drain, the promise resolves
     * after a delay, so that entry instances can stop sending requests to it first.
     */
    public async registerUpstream(record: UpstreamRecord): Promise<void> {
        const previous = this.directory.get(record.id)?.record;
        if (!this.directory.merge(record, 0)) {
            return;
        }
        const isSameProcess = previous?.start === record.start;
        if (!isSameProcess || previous.state !== record.state) {
            const { id, start, service, version, domain, state, coldMs } = record;
            this.deps.log.info("An upstream has registered or changed state.", {
                upstream: id,
                start,
                service,
                version,
                domain,
                state,
                coldMs,
                address: addressOf(record),
            });
        }
        if (record.state === "draining" && previous?.state !== "draining") {
            await sleep(this.deps.clock, PROPAGATION_MS);
        }
    }

    /** Marks an upstream as gone. Resolves after a delay, so that entry instances can learn of it first. */
    public async deregisterUpstream(id: string, start: number | undefined): Promise<void> {
        this.directory.markGone(id, start);
        this.deps.log.info("An upstream has deregistered.", { upstream: id, start });
        await sleep(this.deps.clock, PROPAGATION_MS);
    }

    /**
     * Resolves when the change is committed. Rejects with `noMajority` if that can't be determined, with `sheetOutdated` if a
     * later change has replaced it, and with `repetitionUnclear` as `RolloutOrders` says.
     */
    public async submitChange(command: FleetCommand): Promise<void> {
        const startedAt = this.deps.clock.monotonic();
        const details = { kind: command.kind, ...describeCommand(command) };
        const knownRevision = this.fleet.revision;
        try {
            const admitted = command.kind === "startRollout" ? this.rolloutOrders.admit(command) : command;
            const { index, outcome } = await this.client.submit({ ...admitted, knownRevision }, SUBMIT_TIMEOUT_MS);
            if (outcome["isOutdated"] === true) {
                throw routerError("another roll-out began first", { code: "sheetOutdated", step: "roll out" });
            }
            const ms = Math.round(this.deps.clock.monotonic() - startedAt);
            const isChange = outcome["revision"] === index;
            this.deps.log.info("A change is committed.", { ...details, index, isChange, ms });
        }
        catch (err) {
            this.deps.log.warn("A change was not committed in time.", { ...details, reason: (err as Error).message });
            throw err;
        }
    }

    /** The fleet as it is in force. Throws `noMajority` if this instance may lack the newest revision. */
    public readFleet(): Fleet {
        if (this.confirmationAgeMs > READ_LEASE_MS) {
            throw routerError("this instance is cut off from the control majority", {
                code: "noMajority",
                step: "read configuration",
                retryAfterMs: READ_LEASE_MS,
            });
        }
        const { revision, configVersion } = this.fleet;
        this.deps.log.info("The fleet is read.", {
            revision,
            version: configVersion,
            logProofAgeMs: Math.round(this.controlLog.confirmationAgeMs),
            watchProofAgeMs: Math.round(this.follower.confirmationAgeMs),
        });
        return this.fleet;
    }

    /**
     * The newest roll-out of a service. An outcome is returned only if it was current after the call began: operators act on
     * it for good, and it may belong to an earlier roll-out to the same version. Throws `noMajority` if that can't be shown.
     */
    public async readRollout(service: string): Promise<Rollout | undefined> {
        const { clock } = this.deps;
        const calledAt = clock.boottime();
        for (;;) {
            const rollout = latestRollout(this.readFleet(), service);
            const waitedMs = clock.boottime() - calledAt;
            if (rollout?.state === "running" || this.confirmationAgeMs <= waitedMs) {
                return rollout;
            }
            if (waitedMs > MAX_CONFIRMATION_WAIT_MS) {
                throw routerError("it can't be shown in time that the outcome is current", {
                    code: "noMajority",
                    step: "read roll-out",
                    retryAfterMs: CONFIRMATION_CHECK_MS,
                });
            }
            await sleep(clock, CONFIRMATION_CHECK_MS);
        }
    }

    /** Other control instances that responded lately. */
    private get reachableControls(): string[] {
        return this.follower.reachableControls(REACHABLE_FOR_MS);
    }

    private createVoterReconciler(): VoterReconciler {
        const { clock, network, log } = this.deps;
        return new VoterReconciler({
            clock,
            isLeader: () => this.isLeader,
            voters: () => this.controlLog.status.voters,
            reachability: () => ({
                self: network.self,
                reachable: this.votersAndSupporters([network.self, ...this.reachableControls]),
                lost: this.follower.silentControls(LOST_AFTER_MS),
                suspected: this.follower.silentControls(SUSPECTED_AFTER_MS),
            }),
            prepare: instances => this.controlLog.prepareVoters(instances),
            allowsJointChanges: () => this.allowsJointChanges,
            propose: command => this.controlLog.propose(command),
            onChange: (from, to) => log.info("The voters change.", { from, to }),
            onFailure: err => log.warn("The voters did not change.", { reason: err.message }),
        });
    }

    private get allowsJointChanges(): boolean {
        return this.state.fleet.featureLevel >= JOINT_CHANGES_LEVEL;
    }

    /** Of these control instances, the voters and those that may become one. */
    private votersAndSupporters(controls: readonly string[]): string[] {
        const { voters } = this.controlLog.status;
        return controls.filter(id => voters.includes(id) || this.featureLevelUpgrade.supports(id));
    }

    private subscribe(): void {
        const { network, log, clock } = this.deps;
        this.register(network.handle("watchFleet", (req, from) => {
            // Control instances that are not in the seeds are discovered through their own watch calls.
            if (req.role === "control") {
                this.follower.follow([from]);
            }
            return this.publisher.watch(req, from);
        }));
        this.register(network.handle("fetchFleet", () => ({ fleet: this.fleet })));
        for (const onChanged of [this.state.onChanged, this.follower.onFleetChanged]) {
            this.register(onChanged(() => {
                this.rollouts.observe();
                this.publisher.flush();
            }));
        }
        this.register(logReachability(this.follower, log));
        this.register(repeat(clock, EVICTION_PERIOD_MS, () => {
            this.directory.evictStale();
            this.statements.evictStale();
        }));
    }

    /** Control instances to which a change may be submitted; this instance first, then those that may be voters. */
    private proposalTargets(): string[] {
        const { voters } = this.controlLog.status;
        return [...new Set([this.deps.network.self, ...voters, ...this.reachableControls])];
    }
}

const describeCommand = (command: FleetCommand): object => {
    if (command.kind === "declare") {
        return { version: command.version, bytes: command.text.length };
    }
    return command;
};
