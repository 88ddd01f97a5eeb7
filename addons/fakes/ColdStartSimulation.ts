/**
 * Entry and control instances that route requests to a few upstreams, which start cold, each by what it knows itself: its
 * clock, the records of the upstreams, and the entry instances in service.
 */
import { setImmediate } from "node:timers/promises";
import { type ColdUpstreams } from "../../src/common/gateway/ColdUpstreams.ts";
import { FleetFollower } from "../../src/common/gateway/FleetFollower.ts";
import { FleetPublisher } from "../../src/common/gateway/FleetPublisher.ts";
import { emptyFleet, type Fleet } from "../../src/common/gateway/FleetState.ts";
import { type Service } from "../../src/common/gateway/GatewayConfig.ts";
import { UpstreamDirectory } from "../../src/common/gateway/UpstreamDirectory.ts";
import { UpstreamPauses } from "../../src/common/gateway/UpstreamPauses.ts";
import { type UpstreamRecord } from "../../src/common/gateway/UpstreamRecord.ts";
import { UpstreamSelector } from "../../src/common/gateway/UpstreamSelector.ts";
import { UpstreamStatistics } from "../../src/common/gateway/UpstreamStatistics.ts";
import { DisposableOwner } from "../../src/common/lifecycle/Disposable.ts";
import { ManualClock } from "../../src/common/time/ManualClock.ts";
import { SuspendAwareClock } from "../../src/common/time/SuspendAwareClock.ts";
import { coldUpstreamsOf } from "./ColdUpstreamsOf.ts";
import { MachineClock } from "./MachineClock.ts";
import { MemoryHub, type MemoryNetwork } from "./MemoryNetwork.ts";

export const CONTROLS = ["c:1", "c:2", "c:3"];
export const COLD_MS = 3000;
export const STEP_MS = 20;
/** Time until all entry instances know each other, in ms. */
export const SETTLED_MS = 6000;
/** Requests per second that a cold upstream is declared to handle. */
export const COLD_PER_SECOND = 11;
const TOLERANCE = { excess: 1.5, slack: 5 };
export const HEARTBEAT_MS = 1200;
/** Age of the confirmation by control above which an entry instance routes no requests, in ms. */
const LEASE_MS = 3500;
/** Time for which a request occupies its upstream, in ms. */
const REQUEST_MS = 400;

const service: Service = {
    name: "s",
    maxConnections: 680,
    coldStartMs: COLD_MS,
    coldPerSecond: COLD_PER_SECOND,
    engineSlots: 48,
    models: [],
};
/** Most requests that a cold upstream may get in one second. */
export const BOUND = COLD_PER_SECOND * TOLERANCE.excess + TOLERANCE.slack;

interface Entry {
    readonly network: MemoryNetwork;
    readonly follower: FleetFollower;
    readonly selector: UpstreamSelector;
    readonly upstreamStats: UpstreamStatistics;
    readonly cold: ColdUpstreams;
}

interface Control {
    readonly network: MemoryNetwork;
    readonly publisher: FleetPublisher;
    readonly directory: UpstreamDirectory;
}

interface Upstream {
    record: UpstreamRecord;
    isDown: boolean;
    coldUntil: number;
    lastHeartbeatAt: number;
    /** Time before which no record of its reaches a control instance, in ms. */
    silentUntil: number;
    /** Times at which it got requests while it was cold, whatever their instance believed of it, in ms. */
    sentAt: number[];
}

/** Options of a simulation. */
export interface ColdStartOptions {
    readonly entries: number;
    /** Upstreams, in turn of four failure domains. */
    readonly upstreams?: number;
    /** Time between two requests of an entry instance, in ms. */
    readonly intervalMs?: number;
}

/** Entry and control instances whose callers send requests all the time. */
export class ColdStartSimulation extends DisposableOwner {
    public readonly clock = new ManualClock(1000);
    /** Entry instances that reach no control instance. */
    public readonly cut = new Set<string>();
    /** Pairs of instances, in either order, between which messages are lost, as `FROM TO`. */
    public readonly cutPairs = new Set<string>();
    /** Entry instances, of which some may be stopped at the moment. */
    public readonly entryIds: string[];
    private readonly options: Required<ColdStartOptions>;
    private readonly hub = new MemoryHub(
        this.clock,
        (from, to) => this.isCut(from, to) ? undefined : 2,
    );
    private readonly entries = new Map<string, Entry>();
    private readonly controls = new Map<string, Control>();
    private readonly machines = new Map<string, MachineClock>();
    private readonly upstreams: Upstream[] = [];
    private fleet: Fleet = emptyFleet;
    private requests = 0;

    public constructor(options: ColdStartOptions) {
        super();
        this.options = { upstreams: 1, intervalMs: STEP_MS, ...options };
        this.entryIds = [...Array(options.entries).keys()].map(index => `e:${index}`);
        CONTROLS.forEach(id => this.startControl(id));
        this.entryIds.forEach(id => this.startEntry(id));
        this.register({
            dispose: () => [...this.entries.keys(), ...this.controls.keys()].forEach(id => this.stop(id)),
        });
    }

    /** Most requests that one upstream got within a second while it was cold, since the upstreams were replaced. */
    public get mostInOneSecond(): number {
        const mostOf = ({ sentAt }: Upstream): number =>
            Math.max(0, ...sentAt.map(from => sentAt.filter(at => at >= from && at < from + 1000).length));
        return Math.max(0, ...this.upstreams.map(mostOf));
    }

    /** Number of requests that the upstreams got while they were cold, since they were replaced. */
    public get sent(): number {
        return this.upstreams.reduce((sum, { sentAt }) => sum + sentAt.length, 0);
    }

    /** Sets the time of day of an instance's machine ahead by `ms`, or back if negative, and to the true time after `forMs`. */
    public stepClock(id: string, ms: number, forMs: number): void {
        const machine = this.machineOf(id);
        machine.step(ms);
        this.clock.schedule(forMs, () => machine.step(-ms));
    }

    public startControl(id: string): void {
        const { clock, directory, network } = this.join(id);
        const publisher = new FleetPublisher({
            clock,
            epoch: `${id} ${this.clock.now()}`,
            directory,
            fleet: () => this.fleet,
            confirmationAgeMs: () => 0,
            controls: () => CONTROLS,
        });
        network.handle("watchFleet", (req, from) => publisher.watch(req, from));
        network.handle("fetchFleet", () => ({ fleet: this.fleet }));
        this.controls.set(id, { network, publisher, directory });
    }

    public startEntry(id: string): void {
        const { clock, directory, network } = this.join(id);
        const follower = new FleetFollower({
            clock,
            network,
            role: "entry",
            directory,
            seeds: CONTROLS,
            report: () => ({ outcomes: [], heldSessions: [] }),
        });
        follower.start();
        const upstreamStats = new UpstreamStatistics(clock);
        const cold = coldUpstreamsOf(clock, directory, id, {
            entries: () => follower.entries,
            tolerance: TOLERANCE,
            coldStartMs: () => COLD_MS,
        });
        const selector = new UpstreamSelector({
            clock,
            directory,
            upstreamStats,
            domain: `d${this.entryIds.indexOf(id) % 4}`,
            fleet: () => follower.fleet,
            self: id,
            entryCount: () => follower.entryCount,
            hasQuorumContact: () => true,
            cold,
            isLimitUsedUp: () => false,
            isLeaving: () => false,
            pauses: new UpstreamPauses(clock, id),
        });
        follower.onFleetChanged(({ drainedDomains }) => cold.updateDrainedDomains(drainedDomains));
        this.entries.set(id, { network, follower, selector, upstreamStats, cold });
    }

    public stop(id: string): void {
        const instance = this.entries.get(id) ?? this.controls.get(id);
        if (instance === undefined) {
            return;
        }
        this.hub.remove(instance.network);
        if ("follower" in instance) {
            instance.follower.dispose();
            instance.cold.dispose();
        }
        else {
            instance.publisher.dispose();
        }
        this.entries.delete(id);
        this.controls.delete(id);
    }

    /** Stops these instances, and starts them again after `delayMs` if they have not been replaced meanwhile. */
    public restart(ids: readonly string[], delayMs: number): void {
        ids.forEach(id => this.stop(id));
        this.clock.schedule(delayMs, () =>
            ids.forEach(id => {
                // A restart that overlaps may have started it meanwhile.
                this.stop(id);
                if (CONTROLS.includes(id)) {
                    this.startControl(id);
                }
                else if (this.entryIds.includes(id)) {
                    this.startEntry(id);
                }
            }));
    }

    /** Stops an entry instance for good; one with another id takes its place after `delayMs`. */
    public replace(id: string, delayMs: number): void {
        const index = this.entryIds.indexOf(id);
        const successor = `${id}+`;
        this.entryIds[index] = successor;
        this.stop(id);
        this.clock.schedule(delayMs, () => this.startEntry(successor));
    }

    /** Replaces all upstreams by new ones, which are cold and have ids of their own. */
    public startUpstreams(): void {
        this.upstreams.length = 0;
        for (let index = 0; index < this.options.upstreams; index++) {
            const record: UpstreamRecord = {
                id: `u${index}:${this.clock.now()}`,
                start: this.clock.now(),
                seq: 0,
                service: "s",
                host: "10.0.0.1",
                port: index + 1,
                domain: `d${index % 4}`,
                version: "v1",
                slots: 48,
                state: "ready",
                coldMs: COLD_MS,
            };
            this.upstreams.push({
                record,
                isDown: false,
                coldUntil: this.clock.now() + COLD_MS,
                lastHeartbeatAt: -Infinity,
                silentUntil: 0,
                sentAt: [],
            });
        }
    }

    /**
     * Stops the upstreams of a domain for `downMs`; they come back cold under their ids. The first news of each reaches the
     * control instances within `newsMs` after its start.
     */
    public restartUpstreams(domain: string, downMs: number, newsMs: () => number): void {
        for (const upstream of this.upstreamsIn(domain)) {
            upstream.isDown = true;
            this.clock.schedule(downMs, () => {
                upstream.isDown = false;
                upstream.record = { ...upstream.record, start: this.clock.now(), seq: 0 };
                this.turnCold(upstream, newsMs());
            });
        }
    }

    /** The domain gets no new requests for `forMs`; its upstreams turn cold before the end. */
    public evacuate(domain: string, forMs: number, newsMs: () => number): void {
        this.setDrained([domain]);
        this.clock.schedule(
            forMs - 100,
            () => this.upstreamsIn(domain).forEach(upstream => this.turnCold(upstream, newsMs())),
        );
        this.clock.schedule(forMs, () => this.setDrained([]));
    }

    /** Advances the time. Each entry instance with a lease routes a request in each of its intervals. */
    public async run(ms: number): Promise<void> {
        const { intervalMs } = this.options;
        for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
            this.sendHeartbeats();
            [...this.entries.values()].forEach((entry, index) => {
                const isDue = (this.clock.now() + index * STEP_MS) % intervalMs < STEP_MS;
                if (isDue && entry.follower.confirmationAgeMs < LEASE_MS) {
                    this.route(entry);
                }
            });
            await this.clock.advanceSettled(STEP_MS, () => setImmediate());
        }
    }

    private route(entry: Entry): void {
        const { selector, upstreamStats, cold } = entry;
        const selection = selector.select({
            service,
            rule: { isAllowed: () => true, isPreferred: () => true },
            prompt: undefined,
            key: `${this.requests++}`,
            tried: new Set(),
        });
        // An upstream refuses a request that names another one (421).
        const upstream = this.upstreams.find(({ record }) => record.id === selection?.record.id);
        if (selection === undefined || upstream === undefined) {
            return;
        }
        const { stats } = selection;
        if (upstream.isDown) {
            upstreamStats.recordFailure(stats);
            cold.recordUnreached(upstream.record.id);
            return;
        }
        if (this.clock.now() < upstream.coldUntil) {
            upstream.sentAt.push(this.clock.now());
        }
        upstreamStats.recordSuccess(stats);
        stats.inFlight++;
        this.clock.schedule(REQUEST_MS, () => stats.inFlight--);
    }

    private turnCold(upstream: Upstream, newsMs: number): void {
        upstream.record = { ...upstream.record, coldMs: COLD_MS };
        upstream.lastHeartbeatAt = -Infinity;
        upstream.coldUntil = this.clock.now() + COLD_MS;
        upstream.silentUntil = this.clock.now() + newsMs;
    }

    private setDrained(drainedDomains: readonly string[]): void {
        this.fleet = { ...this.fleet, revision: this.fleet.revision + 1, drainedDomains: [...drainedDomains] };
        this.controls.forEach(({ publisher }) => publisher.flush());
    }

    private upstreamsIn(domain: string): Upstream[] {
        return this.upstreams.filter(({ record }) => record.domain === domain);
    }

    private isCut(from: string, to: string): boolean {
        return this.cut.has(from) || this.cut.has(to)
            || this.cutPairs.has(`${from} ${to}`) || this.cutPairs.has(`${to} ${from}`);
    }

    private join(id: string) {
        const clock = new SuspendAwareClock(this.machineOf(id));
        return { clock, directory: new UpstreamDirectory(clock), network: this.hub.join(id, [], clock) };
    }

    private machineOf(id: string): MachineClock {
        const machine = this.machines.get(id) ?? new MachineClock(this.clock);
        this.machines.set(id, machine);
        return machine;
    }

    private sendHeartbeats(): void {
        const now = this.clock.now();
        for (const upstream of this.upstreams) {
            const { isDown, silentUntil, lastHeartbeatAt, record, coldUntil } = upstream;
            if (isDown || now < silentUntil || now - lastHeartbeatAt < HEARTBEAT_MS) {
                continue;
            }
            upstream.lastHeartbeatAt = now;
            upstream.record = { ...record, seq: record.seq + 1, coldMs: Math.max(0, coldUntil - now) };
            this.controls.forEach(({ directory }) => directory.merge(upstream.record, 0));
        }
    }
}
