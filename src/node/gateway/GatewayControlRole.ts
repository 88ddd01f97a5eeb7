/**
 * The role control of a gateway process: a voter of the control log or a follower of it, the directory of upstreams
 * that check in here, and the publisher that entry instances watch.
 */
import { ControlClient } from "../../common/control/ControlClient.ts";
import { ControlLog } from "../../common/control/ControlLog.ts";
import { routerError } from "../../common/errors/RouterError.ts";
import { FleetFollower, type FollowerReport } from "../../common/gateway/FleetFollower.ts";
import { FleetPublisher } from "../../common/gateway/FleetPublisher.ts";
import { type Fleet, type FleetCommand, FleetState } from "../../common/gateway/FleetState.ts";
import { RolloutController } from "../../common/gateway/RolloutController.ts";
import { createRolloutSchedule } from "../../common/gateway/RolloutPlan.ts";
import { UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { addressOf, type UpstreamRecord } from "../../common/gateway/UpstreamRecord.ts";
import { VoterReconciler } from "../../common/gateway/VoterReconciler.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Clock, repeat, sleep } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";
import { type FileLogStore } from "../storage/FileLogStore.ts";
import { logReachability } from "./ReachabilityLog.ts";

/** Time in which a change must be committed before its sender is told to ask again, in ms. */
const SUBMIT_TIMEOUT_MS = 850;
/** Oldest proof with which the fleet is read here, in ms. */
const READ_PROOF_MS = 900;
/** Silence up to which another control instance is taken to answer, in ms: two proofs. */
const REACHABLE_FOR_MS = 2 * READ_PROOF_MS;
/** Silence after which a control instance is taken to be gone, in ms: longer than a restart takes. */
const GONE_AFTER_MS = 2500;
/** Silence after which the address of a control instance is not passed on any more, in ms. */
const NAMED_FOR_MS = 10_000;
/** How long the news that an upstream leaves is given to reach entry instances before it is acknowledged, in ms. */
const SPREAD_MS = 25;
/** How often upstreams that fell silent are dropped, in ms. */
const FORGET_PERIOD_MS = 5000;
/** Entries of the log after which a snapshot is taken; each may hold a whole configuration. */
const SNAPSHOT_AFTER = 200;

/** What the role is built from. */
export interface GatewayControlRoleDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly store: FileLogStore;
    readonly log: Log;
    /** Ids of some control instances. */
    readonly seeds: readonly string[];
    /** Whether the whole system starts for the first time. */
    readonly isBootstrap: boolean;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Largest share of a service's requests that a bad version may get over a roll-out, 0 to 1. */
    readonly maxRolloutExposure: number;
}

/** The control side of one process. */
export class GatewayControlRole extends DisposableOwner {
    private readonly deps: GatewayControlRoleDependencies;
    private readonly state = new FleetState();
    private readonly controlLog: ControlLog;
    private readonly client: ControlClient;
    private readonly directory: UpstreamDirectory;
    private readonly follower: FleetFollower;
    private readonly publisher: FleetPublisher;

    public constructor(parts: GatewayControlRoleDependencies) {
        super();
        this.deps = parts;
        const { clock, network, store, seeds, isBootstrap, log, random } = parts;
        this.directory = new UpstreamDirectory(clock);
        this.controlLog = this.register(
            new ControlLog({
                clock,
                network,
                store,
                machine: this.state,
                initialVoters: isBootstrap ? seeds : [],
                snapshotAfterEntries: SNAPSHOT_AFTER,
                recoversStorage: true,
                hasShortFirstTimeout: true,
                random,
            }),
        );
        const report = (): FollowerReport => ({ outcomes: [], crashes: [], heldSessions: [] });
        this.follower = this.register(
            new FleetFollower({ clock, network, role: "control", directory: this.directory, seeds, report }),
        );
        this.publisher = this.register(
            new FleetPublisher({
                clock,
                epoch: `${network.self} ${clock.now()}`,
                directory: this.directory,
                fleet: () => this.fleet,
                confirmationAgeMs: () => this.confirmationAgeMs,
                controls: () => [network.self, ...this.follower.reachableControls(NAMED_FOR_MS)],
            }),
        );
        this.client = new ControlClient(clock, network, this.controlLog, () => this.proposers());
        this.register(
            new RolloutController({
                clock,
                directory: this.directory,
                isLeader: () => this.isLeader,
                fleet: () => this.fleet,
                outcomes: () => this.publisher.outcomes,
                schedule: createRolloutSchedule(parts.maxRolloutExposure),
                submit: command => this.client.submit(command, SUBMIT_TIMEOUT_MS),
                onStep: ({ service, target, state, share }, move) =>
                    log.info("A roll-out moves on.", { service, target, from: { state, share }, to: move }),
            }),
        );
        this.register(this.createVoterReconciler());
        this.listen();
    }

    public get isLeader(): boolean {
        return this.controlLog.status.role === "leader";
    }

    /** The newest revision that is known here to be committed. */
    public get fleet(): Fleet {
        const followed = this.follower.fleet;
        const own = this.state.fleet;
        return followed.revision > own.revision ? followed : own;
    }

    /** Age of the newest proof that no later revision than `fleet` was in force, in ms. */
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

    /** Follows these control instances too. */
    public followControls(seeds: readonly string[]): void {
        this.follower.follow(seeds);
    }

    /** Takes the statement of an upstream. Resolves when those who must not use it any more had time to hear of it. */
    public async registerUpstream(record: UpstreamRecord): Promise<void> {
        const before = this.directory.get(record.id)?.record;
        if (!this.directory.merge(record, 0)) {
            return;
        }
        const isKnown = before?.start === record.start;
        if (!isKnown || before.state !== record.state) {
            const { id, start, service, version, domain, state, coldMs } = record;
            this.deps.log.info("An upstream has checked in.", {
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
        if (record.state === "draining" && before?.state !== "draining") {
            await sleep(this.deps.clock, SPREAD_MS);
        }
    }

    /** Takes an upstream's word that it leaves. */
    public async deregisterUpstream(id: string, start: number | undefined): Promise<void> {
        this.directory.markGone(id, start);
        this.deps.log.info("An upstream leaves.", { upstream: id, start });
        await sleep(this.deps.clock, SPREAD_MS);
    }

    /** Resolves when the change is committed. Rejects with `noMajority` when that is not certain. */
    public async submitChange(command: FleetCommand): Promise<void> {
        const startedAt = this.deps.clock.monotonic();
        const details = { kind: command.kind, ...describe(command) };
        try {
            const { index } = await this.client.submit(command, SUBMIT_TIMEOUT_MS);
            const ms = Math.round(this.deps.clock.monotonic() - startedAt);
            this.deps.log.info("A change is committed.", { ...details, index, ms });
        }
        catch (err) {
            this.deps.log.warn("A change was not committed in time.", { ...details, reason: (err as Error).message });
            throw err;
        }
    }

    /** The fleet as it is in force. Throws when this instance can't be sure that it has the newest revision. */
    public readFleet(): Fleet {
        if (this.confirmationAgeMs > READ_PROOF_MS) {
            throw routerError("this instance is cut off from the control majority", {
                code: "noMajority",
                step: "read configuration",
                retryAfterMs: READ_PROOF_MS,
            });
        }
        return this.fleet;
    }

    /** Other control instances that answer. */
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
                reachable: [network.self, ...this.reachableControls],
                lost: this.follower.silentControls(GONE_AFTER_MS),
            }),
            propose: command => this.controlLog.propose(command),
            onChange: (from, to) => log.info("The voters change.", { from, to }),
            onFailure: err => log.warn("The voters did not change.", { reason: err.message }),
        });
    }

    private listen(): void {
        const { network, log, clock } = this.deps;
        this.register(network.handle("watchFleet", (req, from) => {
            // Control instances that are no seeds make themselves known by asking.
            if (req.role === "control") {
                this.follower.follow([from]);
            }
            return this.publisher.watch(req, from);
        }));
        this.register(network.handle("fetchFleet", () => ({ fleet: this.fleet })));
        this.register(this.state.onChanged(() => this.publisher.flush()));
        this.register(this.follower.onFleetChanged(() => this.publisher.flush()));
        this.register(logReachability(this.follower, log));
        this.register(this.controlLog.onRoleChanged(({ role, term, leader, voters, failure }) => {
            log.info("The control log has another role.", { role, term, leader, voters, failure });
        }));
        this.register(repeat(clock, FORGET_PERIOD_MS, () => this.directory.evictStale()));
    }

    private proposers(): string[] {
        const { voters } = this.controlLog.status;
        return [...new Set([this.deps.network.self, ...voters, ...this.reachableControls])];
    }
}

const describe = (command: FleetCommand): object => {
    if (command.kind === "declare") {
        return { version: command.version, bytes: command.text.length };
    }
    return command;
};
