/**
 * Entry instances that reserve engine memory, on an injected clock: rosters as control instances in several failure
 * domains list them, and a network that loses messages, cuts off a domain, and freezes or restarts instances.
 */
import { EntryRoster } from "../../src/common/gateway/EntryRoster.ts";
import { PromptReservationIssuer } from "../../src/common/gateway/PromptReservationIssuer.ts";
import { PromptReservations, TTL_MARGIN_MS } from "../../src/common/gateway/PromptReservations.ts";
import { UpstreamStatistics } from "../../src/common/gateway/UpstreamStatistics.ts";
import { DisposableOwner } from "../../src/common/lifecycle/Disposable.ts";
import { repeat } from "../../src/common/time/Clock.ts";
import { ManualClock } from "../../src/common/time/ManualClock.ts";
import { HoldableClock } from "./HoldableClock.ts";
import { MemoryHub, type MemoryNetwork } from "./MemoryNetwork.ts";

export const SERVICE = "engines";
export const DOMAINS = 4;
/** Longest time until the deadline of a request, in ms. */
export const LONGEST_REQUEST_MS = 8000;
/** Time after the start until all instances know each other, in ms. */
export const SETTLED_MS = 6000;
/** Time after the start from which issuers lend without the limit of new ones, in ms. */
export const LENDING_MS = SETTLED_MS + LONGEST_REQUEST_MS + TTL_MARGIN_MS + 1000;

const LINK_MS = 1;
const LIST_PERIOD_MS = 400;
/** How long a control instance lists an entry instance that doesn't call it, in ms. */
const LISTED_MS = 3000;
/** Time without contact to control after which an entry instance routes no requests, in ms. */
const LEASE_MS = 3500;
/** Number of entry instances that a new process assumes until it knows them, as in `FleetFollower`. */
const INITIAL_ENTRY_COUNT = 16;

/** One process of an entry instance. */
export class ReservingInstance extends DisposableOwner {
    public readonly id: string;
    public readonly domain: number;
    public readonly clock: HoldableClock;
    public readonly network: MemoryNetwork;
    public readonly upstreamStats: UpstreamStatistics;
    public readonly issuer: PromptReservationIssuer;
    public readonly reservations: PromptReservations;
    public readonly roster: EntryRoster;
    /** Issuers that were reported as lost. */
    public readonly lostIssuers: string[] = [];
    private readonly startedAt: number;
    private maxEntryCount = 1;
    private contactAt = -Infinity;

    public constructor(clock: ManualClock, hub: MemoryHub, id: string, domain: number) {
        super();
        this.id = id;
        this.domain = domain;
        this.clock = new HoldableClock(clock);
        this.startedAt = clock.monotonic();
        this.network = hub.join(id, [], this.clock);
        this.roster = new EntryRoster(this.clock);
        this.upstreamStats = new UpstreamStatistics(this.clock);
        const entries = (): readonly string[] => this.hasLease ? this.roster.members : [];
        const longestTtlMs = (): number => LONGEST_REQUEST_MS + TTL_MARGIN_MS;
        this.issuer = this.register(
            new PromptReservationIssuer({
                clock: this.clock,
                self: id,
                entries,
                longestTtlMs,
            }),
        );
        this.register(this.issuer.serve(this.network));
        this.reservations = this.register(
            new PromptReservations({
                clock: this.clock,
                network: this.network,
                upstreamStats: this.upstreamStats,
                issuer: this.issuer,
                entries,
                entryCount: () => this.entryCount,
                longestTtlMs,
                onIssuerLost: issuer => this.lostIssuers.push(issuer),
            }),
        );
        this.register({ dispose: () => hub.remove(this.network) });
        this.reportLoad("any", 0);
    }

    /** Whether control has confirmed the configuration recently enough to route requests. */
    public get hasLease(): boolean {
        return this.clock.monotonic() - this.contactAt < LEASE_MS;
    }

    private get entryCount(): number {
        const isNew = this.clock.monotonic() - this.startedAt < 4000;
        return Math.max(isNew ? INITIAL_ENTRY_COUNT : 0, this.maxEntryCount);
    }

    public recordList(listed: readonly string[]): void {
        this.roster.recordList(listed);
        this.maxEntryCount = Math.max(this.maxEntryCount, listed.length);
    }

    public recordContact(): void {
        this.contactAt = this.clock.monotonic();
    }

    /** Records the load that an engine reports. */
    public reportLoad(engine: string, running: number, waiting = 0, slots = 24): void {
        const load = { running, waiting, slots, slowdown: 1 };
        this.upstreamStats.recordLoad(engine, this.upstreamStats.statsOf(engine), SERVICE, load);
    }
}

/** All entry instances of a deployment, and the control instances that list them. */
export class ReservationFleet extends DisposableOwner {
    public readonly clock = new ManualClock(1000);
    public readonly instances = new Map<string, ReservingInstance>();
    /** The failure domain that is cut off from all others; undefined if none is. */
    public cutDomain: number | undefined;
    /** Returns whether a message between instances is lost. */
    public isLost: (from: string, to: string) => boolean = () => false;
    public readonly hub: MemoryHub;
    private readonly domains = new Map<string, number>();
    /** The control instance of each domain, with the time at which each entry instance last called it. */
    private readonly controls = [...Array(DOMAINS).keys()].map(domain => ({
        domain,
        calledAt: new Map<string, number>(),
    }));

    public constructor(count: number) {
        super();
        this.hub = new MemoryHub(this.clock, (from, to) => {
            const isCut = !this.areConnected(this.domainOf(from), this.domainOf(to));
            return isCut || this.isLost(from, to) ? undefined : LINK_MS;
        });
        for (let index = 0; index < count; index++) {
            this.start(`e:${index}`, index % DOMAINS);
        }
        this.register(repeat(this.clock, LIST_PERIOD_MS, () => this.distributeLists()));
        this.register({ dispose: () => [...this.instances.keys()].forEach(id => this.stop(id)) });
    }

    public get(id: string): ReservingInstance {
        const instance = this.instances.get(id);
        if (instance === undefined) {
            throw new Error(`no instance ${id}`);
        }
        return instance;
    }

    public start(id: string, domain: number): ReservingInstance {
        this.domains.set(id, domain);
        const instance = new ReservingInstance(this.clock, this.hub, id, domain);
        this.instances.set(id, instance);
        return instance;
    }

    /** Ends a process as a crash does. */
    public stop(id: string): void {
        this.instances.get(id)?.dispose();
        this.instances.delete(id);
    }

    public areConnected(a: number, b: number): boolean {
        return a === b || (a !== this.cutDomain && b !== this.cutDomain);
    }

    public domainOf(id: string): number {
        return this.domains.get(id) ?? 0;
    }

    /** Lets `ms` pass; calls between instances continue meanwhile. */
    public run(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, settle);
    }

    private distributeLists(): void {
        const now = this.clock.monotonic();
        for (const instance of this.instances.values()) {
            const reachable = this.reachableControls(instance);
            reachable.forEach(called => called.set(instance.id, now));
            for (const called of reachable) {
                instance.recordList([...called].filter(([, at]) => now - at < LISTED_MS).map(([id]) => id));
            }
            if (reachable.length > DOMAINS / 2) {
                instance.recordContact();
            }
        }
    }

    private reachableControls(instance: ReservingInstance): Map<string, number>[] {
        return instance.clock.isHeld
            ? []
            : this.controls.filter(({ domain }) => this.areConnected(domain, instance.domain)).map(({ calledAt }) =>
                calledAt
            );
    }
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
