/**
 * How an instance follows the fleet: one task for each control instance waits there for news. What an instance may
 * claim rests on a lease: the newest proof, by a control majority, that it holds the revision in force.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type PeerReply } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, sleep } from "../time/Clock.ts";
import { emptyFleet, type Fleet } from "./FleetState.ts";
import { type RouteOutcomeCounts } from "./OutcomeCounters.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Time in which a control instance must answer, in ms; it holds a call for less than half of that. */
const WATCH_TIMEOUT_MS = 2100;
/** Time in which a fleet must arrive, in ms. */
const FETCH_TIMEOUT_MS = 3000;
/** Age of the proof up to which a call waits for news, in ms: over two held calls in a row. */
const FRESH_PROOF_MS = 2300;
/** Pause after a call that failed, in ms. */
const PAUSE_MS = 150;
/** A control instance that has not answered for this long, and that no other one names, is given up, in ms. */
const FORGET_AFTER_MS = 60_000;

/** Time after which control instances have heard of all entry instances, in ms. */
const SETTLE_MS = 4000;
/** Entry instances that are assumed until then. */
const ASSUMED_ENTRIES = 16;

/** What a follower tells control instances. */
export interface FollowerReport {
    readonly outcomes: readonly RouteOutcomeCounts[];
    readonly crashes: readonly { readonly fingerprint: string; readonly count: number; }[];
    readonly heldSessions: readonly string[];
}

/** What a follower is built from. */
export interface FleetFollowerDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly role: "entry" | "control";
    readonly directory: UpstreamDirectory;
    /** Control instances that are known at the start. */
    readonly seeds: readonly string[];
    readonly report: () => FollowerReport;
}

/** A control instance was lost or regained. */
export interface ReachabilityChange {
    readonly peer: string;
    readonly isReachable: boolean;
    readonly reason: string;
}

interface WatchedControl {
    epoch: string;
    since: number;
    /** Monotonic time at which this instance first knew of it, in ms. */
    readonly discoveredAt: number;
    /** Monotonic time of its last answer, in ms; undefined before the first. */
    answeredAt: number | undefined;
    isReachable: boolean;
    readonly quarantined: Set<string>;
    heldSessions: ReadonlySet<string>;
}

/** Follows the fleet at every control instance that is known. */
export class FleetFollower extends DisposableOwner {
    private readonly deps: FleetFollowerDependencies;
    private readonly watched = new Map<string, WatchedControl>();
    private readonly fleetChanged = this.register(new Emitter<Fleet>());
    private readonly reachabilityChanged = this.register(new Emitter<ReachabilityChange>());
    private current: Fleet = emptyFleet;
    private readonly startedAt: number;
    private maxEntryCount = 0;
    private confirmedAt = -Infinity;
    private pendingFetch: Promise<void> | undefined;

    public readonly onFleetChanged = this.fleetChanged.event;
    public readonly onReachabilityChanged = this.reachabilityChanged.event;

    public constructor(deps: FleetFollowerDependencies) {
        super();
        this.deps = deps;
        this.startedAt = deps.clock.monotonic();
    }

    public get fleet(): Fleet {
        return this.current;
    }

    /** Age of the proof that no later revision was in force, in ms; Infinity before the first. */
    public get confirmationAgeMs(): number {
        return this.deps.clock.monotonic() - this.confirmedAt;
    }

    /** Control instances that are known, this one left out. */
    public get knownControls(): string[] {
        return [...this.watched.keys()];
    }

    /** Control instances that answered within `maxAgeMs`. */
    public reachableControls(maxAgeMs: number): string[] {
        const oldest = this.deps.clock.monotonic() - maxAgeMs;
        return [...this.watched].filter(([, peer]) => (peer.answeredAt ?? -Infinity) >= oldest).map(([id]) => id);
    }

    /** Control instances that have not answered for over `silenceMs`, nor become known since. */
    public silentControls(silenceMs: number): string[] {
        return [...this.watched].filter(([, peer]) => this.silenceOf(peer) > silenceMs).map(([id]) => id);
    }

    /**
     * Most entry instances that were in service at a time. Control instances that have just started know only some,
     * so a new process assumes many at first.
     */
    public get entryCount(): number {
        const isNew = this.deps.clock.monotonic() - this.startedAt < SETTLE_MS;
        return Math.max(1, isNew ? ASSUMED_ENTRIES : 0, this.maxEntryCount);
    }

    /** Whether a control instance has quarantined a request. */
    public isQuarantined(fingerprint: () => string): boolean {
        return [...this.watched.values()].some(peer =>
            peer.quarantined.size > 0 && peer.quarantined.has(fingerprint())
        );
    }

    /** Whether another entry instance keeps the session on its version. */
    public isSessionHeld(session: string): boolean {
        return [...this.watched.values()].some(peer => peer.heldSessions.has(session));
    }

    public start(): void {
        this.follow(this.deps.seeds);
    }

    /** Takes part in following the control instances of these ids, which are their addresses. */
    public follow(ids: readonly string[]): void {
        for (const id of ids) {
            if (id === this.deps.network.self || this.watched.has(id) || this.isDisposed) {
                continue;
            }
            this.deps.network.setAddress(id, id);
            const peer: WatchedControl = {
                epoch: "",
                since: 0,
                discoveredAt: this.deps.clock.monotonic(),
                answeredAt: undefined,
                isReachable: false,
                quarantined: new Set(),
                heldSessions: new Set(),
            };
            this.watched.set(id, peer);
            void this.watch(id, peer);
        }
    }

    /** The task of one control instance. */
    private async watch(id: string, peer: WatchedControl): Promise<void> {
        const { clock } = this.deps;
        while (!this.isDisposed) {
            try {
                await this.watchOnce(id, peer);
                this.updateReachability(id, peer, true, "answered");
            }
            catch (err) {
                this.updateReachability(id, peer, false, (err as Error).message);
                if (this.silenceOf(peer) > FORGET_AFTER_MS && !this.deps.seeds.includes(id)) {
                    this.watched.delete(id);
                    return;
                }
                await sleep(clock, PAUSE_MS);
            }
        }
    }

    private async watchOnce(id: string, peer: WatchedControl): Promise<void> {
        const { clock, network, role, report } = this.deps;
        const sentAt = clock.monotonic();
        const mayWait = this.confirmationAgeMs < FRESH_PROOF_MS;
        const { outcomes, crashes, heldSessions } = report();
        const req = {
            role,
            epoch: peer.epoch,
            since: peer.since,
            mayWait,
            revision: this.current.revision,
            outcomes: [...outcomes],
            crashes: [...crashes],
            heldSessions: [...heldSessions],
        };
        const reply = await network.call(id, "watchFleet", req, WATCH_TIMEOUT_MS);
        this.applyReply(peer, reply);
        if (reply.revision > this.current.revision) {
            await this.fetch(id, reply.revision);
        }
        if (reply.revision <= this.current.revision) {
            this.confirmedAt = Math.max(this.confirmedAt, sentAt - reply.proofAgeMs);
        }
        if (!mayWait && this.confirmationAgeMs >= FRESH_PROOF_MS) {
            await sleep(clock, PAUSE_MS);
        }
    }

    private applyReply(peer: WatchedControl, reply: PeerReply<"watchFleet">): void {
        peer.epoch = reply.epoch;
        peer.since = reply.version;
        peer.answeredAt = this.deps.clock.monotonic();
        this.maxEntryCount = Math.max(this.maxEntryCount, reply.entryCount);
        peer.quarantined.clear();
        reply.quarantined.forEach(fingerprint => peer.quarantined.add(fingerprint));
        peer.heldSessions = new Set(reply.heldSessions);
        reply.records.forEach(({ record, ageMs }) => this.deps.directory.merge(record, ageMs, true));
        reply.renewals.forEach(([id, start, seq, ageMs]) => this.deps.directory.mergeHeartbeat(id, start, seq, ageMs));
        this.follow(reply.controls);
    }

    /** Fetches a later revision; one fetch serves all tasks that wait for it. */
    private async fetch(id: string, revision: number): Promise<void> {
        if (this.pendingFetch !== undefined) {
            await this.pendingFetch;
            if (this.current.revision >= revision) {
                return;
            }
        }
        this.pendingFetch = this.fetchFrom(id).finally(() => {
            this.pendingFetch = undefined;
        });
        await this.pendingFetch;
    }

    private async fetchFrom(id: string): Promise<void> {
        const { fleet } = await this.deps.network.call(id, "fetchFleet", {}, FETCH_TIMEOUT_MS);
        if (fleet.revision > this.current.revision) {
            this.current = fleet;
            this.fleetChanged.fire(fleet);
        }
    }

    private silenceOf(peer: WatchedControl): number {
        return this.deps.clock.monotonic() - (peer.answeredAt ?? peer.discoveredAt);
    }

    private updateReachability(peerId: string, peer: WatchedControl, isReachable: boolean, reason: string): void {
        if (peer.isReachable !== isReachable) {
            peer.isReachable = isReachable;
            this.reachabilityChanged.fire({ peer: peerId, isReachable, reason });
        }
    }
}
