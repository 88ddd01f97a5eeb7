/**
 * The decision logic of an instance, wired together: everything except servers, files and sockets. Processes,
 * tests and benchmarks supply their own clock and network.
 */
import { BillRecorder, type BillStore } from "../billing/BillRecorder.ts";
import { type Configuration } from "../configuration/Configuration.ts";
import { ConfigurationFollower } from "../configuration/ConfigurationFollower.ts";
import { ControlClient } from "../control/ControlClient.ts";
import { ControlLog } from "../control/ControlLog.ts";
import { ControlState } from "../control/ControlState.ts";
import { type LogStore } from "../control/LogStore.ts";
import { AtMostOnceExecutor } from "../idempotency/AtMostOnceExecutor.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Member, processKeyOf } from "../membership/Member.ts";
import { Membership } from "../membership/Membership.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { RolloutMonitor } from "../policy/RolloutMonitor.ts";
import { type QuarantineNotice, SuspectRequests } from "../policy/SuspectRequests.ts";
import { Dispatcher } from "../routing/Dispatcher.ts";
import { rendezvous } from "../routing/Hash.ts";
import { PrefixIndex } from "../routing/PrefixIndex.ts";
import { UsageTracker } from "../routing/UsageTracker.ts";
import { PinReplicator } from "../sessions/PinReplicator.ts";
import { SessionDirectory } from "../sessions/SessionDirectory.ts";
import { type Pin, SessionPins } from "../sessions/SessionPins.ts";
import { OwnerTable } from "../slots/OwnerTable.ts";
import { SlotAllocator } from "../slots/SlotAllocator.ts";
import { SlotPool } from "../slots/SlotPool.ts";
import { type SlotGrant, type SlotRequest } from "../slots/SlotTypes.ts";
import { type Clock } from "../time/Clock.ts";
import { HybridClock } from "../timeline/HybridClock.ts";
import { Timeline } from "../timeline/Timeline.ts";
import { type Upstream, UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { UpstreamRelay } from "../upstreams/UpstreamRelay.ts";

/** Number of home instances of a session: other instances that keep its pin. */
const SESSION_HOMES = 2;
/** Time in which the home instances of a session must answer, in ms. */
const PIN_TIMEOUT_MS = 150;
/** Time in which the owner of an upstream must answer, in ms. */
const SLOT_REQUEST_TIMEOUT_MS = 400;

/** Time limit for submitting a quarantine to the control log, in ms. */
const QUARANTINE_TIMEOUT_MS = 30_000;

/** Stores the newest configuration that was in force, for the next start. */
export interface ConfigurationStore {
    load(): Promise<Configuration | undefined>;
    /** Saves in the background. If the process ends before that, the next start only has to fetch the configuration. */
    save(configuration: Configuration): void;
}

/** Components and settings from which an instance core is built. */
export interface CoreDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    /** Membership record of this instance. */
    readonly member: Member;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Additional latency to another failure domain, in ms. */
    readonly otherDomainMs: number;
    /** Voters of the control log at its first start. */
    readonly initialVoters: readonly string[];
    /** Durable storage of the control log; set on control instances. */
    readonly logStore: LogStore | undefined;
    /** Storage of the newest configuration that was in force here; set on instances with a disk. */
    readonly configurationStore: ConfigurationStore | undefined;
    /** Durable storage of bills; set on control instances. */
    readonly billStore: BillStore | undefined;
}

/** The decision logic of one instance. */
export class InstanceCore extends DisposableOwner {
    public readonly timeline: Timeline;
    public readonly hybridClock: HybridClock;
    public readonly membership: Membership;
    public readonly follower: ConfigurationFollower;
    public readonly control: ControlLog | undefined;
    public readonly controlState: ControlState | undefined;
    public readonly client: ControlClient;
    public readonly registry: UpstreamRegistry;
    public readonly relay: UpstreamRelay;
    public readonly owners: OwnerTable;
    public readonly slotAllocator: SlotAllocator;
    public readonly slots: SlotPool;
    public readonly prefixes: PrefixIndex;
    public readonly dispatcher: Dispatcher;
    public readonly usage: UsageTracker;
    public readonly pins: SessionPins;
    public readonly sessions: SessionDirectory;
    public readonly bills: BillRecorder;
    public readonly suspects: SuspectRequests;
    public readonly atMostOnce: AtMostOnceExecutor;
    public readonly rollouts: RolloutMonitor;
    private readonly pinReplicator: PinReplicator;
    private readonly deps: CoreDependencies;
    /** Start time of the newest known process of each instance. */
    private readonly lastStarts = new Map<string, number>();

    public constructor(deps: CoreDependencies) {
        super();
        this.deps = deps;
        const { clock, network, member } = deps;
        this.hybridClock = new HybridClock(clock);
        this.timeline = new Timeline(member.id, this.hybridClock);
        this.membership = this.register(new Membership(clock, network, member, deps.random));
        this.controlState = deps.logStore === undefined ? undefined : new ControlState();
        this.control = this.createControl();
        this.client = new ControlClient(clock, network, this.control, () => this.controllers());
        this.follower = this.register(this.createFollower());
        this.registry = this.register(new UpstreamRegistry(clock));
        this.prefixes = new PrefixIndex(clock);
        const onCache = this.prefixes.apply.bind(this.prefixes);
        const isInUse = (upstream: Upstream): boolean => this.slots.inFlight(upstream) > 0;
        this.relay = this.register(new UpstreamRelay(clock, network, this.membership, this.registry, onCache, isInUse));
        this.owners = this.register(new OwnerTable(clock, this.membership, this.registry));
        this.slotAllocator = this.createSlotAllocator();
        this.slots = this.register(this.createSlotPool());
        this.dispatcher = this.register(this.createDispatcher());
        const charge = this.dispatcher.charge.bind(this.dispatcher);
        this.usage = this.register(new UsageTracker(clock, network, this.membership, charge));
        this.pins = new SessionPins(() => clock.monotonic());
        this.sessions = this.register(new SessionDirectory(clock, this.pins, pin => this.exchangePin(pin)));
        this.pinReplicator = this.register(
            new PinReplicator(clock, network, this.membership, this.pins, this.sessions),
        );
        this.bills = this.register(new BillRecorder(clock, network, this.membership, deps.billStore));
        this.suspects = this.register(new SuspectRequests(clock, network, this.membership, this.registry));
        this.register(this.suspects.onQuarantined(notice => this.onQuarantined(notice)));
        this.atMostOnce = new AtMostOnceExecutor(clock, this.client, this.membership);
        this.rollouts = this.register(
            new RolloutMonitor({ ...this, clock, network, isLeader: () => this.control?.status.role === "leader" }),
        );
        this.handleCalls();
        this.recordEvents();
    }

    /** Starts the control log on a control instance, joins the other instances and fetches their state. */
    public async start(): Promise<void> {
        await this.restoreConfiguration();
        await this.control?.start();
        await this.membership.join();
        await this.pinReplicator.catchUp();
        await this.relay.catchUp();
        await this.follower.refresh();
    }

    /** Applies the configuration that was in force before the restart, so that no older one is used. */
    private async restoreConfiguration(): Promise<void> {
        const store = this.deps.configurationStore;
        const stored = await store?.load();
        if (stored !== undefined) {
            this.follower.applyIfNewer(stored);
        }
        this.register(this.follower.onChanged(() => store?.save(this.follower.configuration)));
    }

    private createControl(): ControlLog | undefined {
        const { clock, network, logStore, random, initialVoters } = this.deps;
        if (logStore === undefined || this.controlState === undefined) {
            return undefined;
        }
        const stateMachine = this.controlState;
        return this.register(
            new ControlLog({
                clock,
                network,
                store: logStore,
                stateMachine,
                initialVoters,
                isFirstStart: "unknown",
                random,
            }),
        );
    }

    private createFollower(): ConfigurationFollower {
        const { control, controlState } = this;
        const local = control === undefined || controlState === undefined ? undefined : {
            get configuration(): ControlState["configuration"] {
                return controlState.configuration;
            },
            get confirmationAgeMs(): number {
                return control.confirmationAgeMs;
            },
        };
        const follower = new ConfigurationFollower(this.deps.clock, this.deps.network, this.membership, local);
        if (controlState !== undefined) {
            this.register(controlState.onChanged(() => follower.applyLocal()));
        }
        return follower;
    }

    private createSlotAllocator(): SlotAllocator {
        const { clock, member } = this.deps;
        return new SlotAllocator(clock, this.registry, upstream => {
            const ownership = this.owners.ownershipOf(upstream);
            return ownership?.owner === member.id ? ownership : undefined;
        }, (holder, upstream, isContended) => this.sendRenewalHint(holder, upstream, isContended));
    }

    private sendRenewalHint(holder: string, upstream: string, isContended: boolean): void {
        const instance = holder.slice(0, holder.lastIndexOf("#"));
        if (instance === this.deps.member.id) {
            this.slots.onRenewalHint(upstream, isContended);
            return;
        }
        const req = { upstream, isContended };
        this.deps.network.call(instance, "nudgeBorrower", req, SLOT_REQUEST_TIMEOUT_MS).catch(() => undefined);
    }

    private createSlotPool(): SlotPool {
        const { clock } = this.deps;
        const ownerOf = (upstream: Parameters<OwnerTable["ownershipOf"]>[0]): string | undefined =>
            this.owners.ownershipOf(upstream)?.owner;
        return new SlotPool(
            clock,
            this.registry,
            ownerOf,
            (owner, requests) => this.requestSlots(owner, requests),
            this.deps.member.domain,
        );
    }

    private createDispatcher(): Dispatcher {
        const { clock, member, otherDomainMs } = this.deps;
        const { registry, slots, prefixes, follower } = this;
        const table = (): ConfigurationFollower["table"] => follower.table;
        const dispatcher = new Dispatcher({
            clock,
            domain: member.domain,
            otherDomainMs,
            registry,
            slots,
            prefixes,
            table,
        });
        this.register(follower.onChanged(() => dispatcher.reevaluateQueues()));
        return dispatcher;
    }

    private async requestSlots(owner: string, requests: readonly SlotRequest[]): Promise<readonly SlotGrant[]> {
        const holder = processKeyOf(this.deps.member);
        if (owner === this.deps.member.id) {
            return this.slotAllocator.grantSlots(holder, requests);
        }
        const req = { borrower: holder, requests: [...requests] };
        const reply = await this.deps.network.call(owner, "borrowSlots", req, SLOT_REQUEST_TIMEOUT_MS);
        return reply.grants;
    }

    /** Sends the pin to the home instances of its session and returns the pins that they have stored. */
    private async exchangePin(pin: Pin): Promise<readonly Pin[]> {
        const { network, member } = this.deps;
        const entries = this.membership.alive().filter(other => other.roles.includes("entry"));
        const others = entries.filter(other => other.id !== member.id);
        const homes = rendezvous(pin.key, others, other => other.id, others.length);
        const sendPin = (home: Member): Promise<Pin | undefined> => {
            const reply = network.call(home.id, "pinSession", { pin }, PIN_TIMEOUT_MS);
            return reply.then(({ pin: storedPin }) => storedPin, () => undefined);
        };
        // Homes that do not answer are replaced once, by the next ones in order.
        const first = await Promise.all(homes.slice(0, SESSION_HOMES).map(sendPin));
        const missing = first.filter(storedPin => storedPin === undefined).length;
        const second = await Promise.all(homes.slice(SESSION_HOMES, SESSION_HOMES + missing).map(sendPin));
        return [...first, ...second].filter(storedPin => storedPin !== undefined);
    }

    /** Instances that may be voters: live ones with the control role, then those in the settings. */
    private controllers(): string[] {
        const { member, initialVoters } = this.deps;
        const live = this.membership.alive().filter(other => other.roles.includes("control")).map(other => other.id);
        const self = member.roles.includes("control") ? [member.id] : [];
        return [...new Set([...self, ...live, ...initialVoters])];
    }

    /**
     * Submits a quarantine to the control log, which makes it durable and lets operators release it. Every instance
     * already knows of it.
     */
    private onQuarantined({ fingerprint, until }: QuarantineNotice): void {
        const reason = "it was in flight on two upstreams that crashed";
        const change = { kind: "quarantine", fingerprint, until, by: "policy", reason, at: this.deps.clock.now() };
        this.timeline.record("suspectSeen", `request ${fingerprint} is quarantined: ${reason}`);
        this.client.submit(change, QUARANTINE_TIMEOUT_MS).catch(() => undefined);
    }

    private handleCalls(): void {
        const { network } = this.deps;
        this.register(
            network.handle(
                "borrowSlots",
                req => ({ grants: this.slotAllocator.grantSlots(req.borrower, req.requests) }),
            ),
        );
        this.register(network.handle("nudgeBorrower", req => {
            this.slots.onRenewalHint(req.upstream, req.isContended);
            return {};
        }));
        this.register(network.handle("pinSession", req => ({ pin: this.sessions.receive(req.pin) })));
        this.register(network.handle("selectEvents", req => ({ events: this.timeline.select(req.filter, req.limit) })));
        this.register(this.membership.onChanged(change => this.onMemberChanged(change.member)));
    }

    /** A process that has ended has closed its connections and so ended its requests in flight: frees their slots. */
    private onMemberChanged(member: Member): void {
        const previous = this.lastStarts.get(member.id);
        if (previous !== undefined && previous !== member.start) {
            this.slotAllocator.removeHolder(processKeyOf({ id: member.id, start: previous }));
        }
        this.lastStarts.set(member.id, member.start);
    }

    private recordEvents(): void {
        const { timeline } = this;
        this.register(this.membership.onChanged(({ member, previous }) => {
            if (previous !== member.state) {
                timeline.record("memberChanged", `instance ${member.id} is ${member.state}`, { domain: member.domain });
            }
        }));
        let previousQuarantines: readonly string[] = [];
        this.register(this.follower.onChanged(table => {
            const quarantined = this.follower.configuration.quarantines.map(item => item.fingerprint);
            previousQuarantines.filter(item => !quarantined.includes(item)).forEach(item =>
                this.suspects.release(item)
            );
            previousQuarantines = quarantined;
            timeline.record("configurationApplied", `revision ${table.revision} is in force here`);
        }));
        this.register(this.follower.onQuorumContactChanged(hasQuorum => {
            const message = hasQuorum
                ? "in contact with the control majority"
                : "cut off from the control majority";
            timeline.record("contactChanged", message);
        }));
        this.register(this.registry.onAdded(({ announcement: { id, domain } }) => {
            timeline.record("upstreamAdded", `upstream ${id} was announced`, { upstream: id, domain });
        }));
        this.register(this.registry.onLost(({ upstream: { announcement: { id, domain } }, reason }) => {
            timeline.record("upstreamLost", `upstream ${id} is gone: ${reason}`, { upstream: id, domain });
        }));
        if (this.control !== undefined) {
            this.register(this.control.onRoleChanged(status => {
                const message = `${status.role} in term ${status.term}, leader ${status.leader ?? "unknown"}`;
                timeline.record("leaderChanged", message);
            }));
        }
    }
}
