/**
 * Keeps an instance up to date with the fleet state by long polling: one task for each known control instance calls it
 * and waits for changes. An instance may act on its state only under a lease: a sufficiently recent confirmation, by a
 * majority of the control instances, that no later revision was in force.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type PeerReply } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, sleep } from "../time/Clock.ts";
import { type CallKeys } from "./CallKeys.ts";
import { type Answer, type BrokenRunReport } from "./CrashObserver.ts";
import { DISCOVERY_MS, EntryRoster } from "./EntryRoster.ts";
import { emptyFleet, FEATURE_LEVEL, type Fleet } from "./FleetState.ts";
import { type RouteOutcomeCounts } from "./OutcomeCounters.ts";
import { QuarantineList } from "./QuarantineList.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type UpstreamStatements } from "./UpstreamStatements.ts";

/** Timeout of a long poll, in ms. A control instance holds a call for less than half of that time. */
const WATCH_TIMEOUT_MS = 2100;
/** Timeout of fetching the fleet state, in ms. */
const FETCH_TIMEOUT_MS = 3000;
/**
 * Age of the confirmation, in ms, from which a call asks for an immediate reply instead of waiting for changes. It is
 * a little longer than two long polls in a row.
 */
const RENEW_CONFIRMATION_AFTER_MS = 2300;
/** Delay before the next call after a failed one, or after a reply that confirmed nothing new, in ms. */
const RETRY_DELAY_MS = 150;
/**
 * A control instance that is no seed is forgotten after it has not replied for this long, in ms. It is followed again
 * as soon as another control instance names it.
 */
const FORGET_AFTER_MS = 60_000;

/** Number of entry instances assumed until control instances know of all. */
const INITIAL_ENTRY_COUNT = 16;

/** Data that a follower sends to the control instances with each call. */
export interface FollowerReport {
    readonly outcomes: readonly RouteOutcomeCounts[];
    readonly heldSessions: readonly string[];
}

/** What a follower has seen of crashing upstreams; see `CrashObserver`. */
export interface CrashObservations {
    runsSince(since: number): BrokenRunReport;
    answersTo(keys: readonly string[]): readonly Answer[];
}

/** Dependencies of a follower. */
export interface FleetFollowerDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly role: "entry" | "control";
    readonly directory: UpstreamDirectory;
    /** Ids of the control instances to start with. They are never forgotten. */
    readonly seeds: readonly string[];
    readonly report: () => FollowerReport;
    readonly crashes?: CrashObservations;
    /** Statements of upstreams, which control instances pass on. */
    readonly statements?: UpstreamStatements;
}

/** A control instance became reachable or unreachable. */
export interface ReachabilityChange {
    readonly peer: string;
    readonly isReachable: boolean;
    readonly reason: string;
}

interface WatchedControl {
    /** Process of the control instance to which `since` refers; empty before the first reply. */
    epoch: string;
    /** Number of the newest upstream change received from it. */
    since: number;
    /** Monotonic time at which this instance first learned of the control instance, in ms. */
    readonly discoveredAt: number;
    /** Monotonic time of its last reply, in ms; undefined before the first. */
    answeredAt: number | undefined;
    isReachable: boolean;
    /** Number of the newest broken run that it has received. */
    reportedRun: number;
    /** Version of the quarantines that it has received; 0 for none. */
    reportedQuarantines: number;
    crashVersion: number;
    /** Version of the statements of upstreams that it has received, and of those received from it; 0 for none. */
    reportedStatements: number;
    receivedStatements: number;
    /** Keys of the requests about which it asks. */
    suspects: readonly string[];
    /** Sessions that some entry instance keeps on their version. */
    readonly heldSessions: Set<string>;
    /** Version of these sessions; 0 before the first list. */
    heldSessionsVersion: number;
    /** Version of `entries`; 0 before the first list. */
    entriesVersion: number;
    /** Ids of the entry instances that it knows. */
    entries: readonly string[];
}

/** Follows the fleet state through every known control instance. */
export class FleetFollower extends DisposableOwner {
    private readonly deps: FleetFollowerDependencies;
    private readonly watched = new Map<string, WatchedControl>();
    private readonly fleetChanged = this.register(new Emitter<Fleet>());
    private readonly reachabilityChanged = this.register(new Emitter<ReachabilityChange>());
    private readonly roster: EntryRoster;
    private readonly quarantines: QuarantineList;
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
        this.roster = new EntryRoster(deps.clock);
        this.quarantines = new QuarantineList(deps.clock);
    }

    public get fleet(): Fleet {
        return this.current;
    }

    /** Age of the newest confirmation that no later revision was in force, in ms; Infinity before the first. */
    public get confirmationAgeMs(): number {
        return this.deps.clock.boottime() - this.confirmedAt;
    }

    /** Ids of the known control instances, without this one. */
    public get knownControls(): string[] {
        return [...this.watched.keys()];
    }

    /** Ids of the control instances that have replied within the last `maxAgeMs`. */
    public reachableControls(maxAgeMs: number): string[] {
        const oldest = this.deps.clock.monotonic() - maxAgeMs;
        return [...this.watched].filter(([, peer]) => (peer.answeredAt ?? -Infinity) >= oldest).map(([id]) => id);
    }

    /**
     * Ids of the control instances that have been silent for more than `silenceMs`, counted from their last reply, or
     * from their discovery when they have never replied.
     */
    public silentControls(silenceMs: number): string[] {
        return [...this.watched].filter(([, peer]) => this.silenceOf(peer) > silenceMs).map(([id]) => id);
    }

    /**
     * Highest number of entry instances that a control instance has reported. Control instances that have just started
     * know only some of them, so a new process assumes a high number at first.
     */
    public get entryCount(): number {
        const isNew = this.deps.clock.monotonic() - this.startedAt < DISCOVERY_MS;
        return Math.max(1, isNew ? INITIAL_ENTRY_COUNT : 0, this.maxEntryCount);
    }

    /** Ids of the entry instances; empty while they may not know each other. See `EntryRoster`. */
    public get entries(): readonly string[] {
        return this.roster.members;
    }

    /** Ids of the entry instances that are listed now, also while some may be missing. */
    public get listedEntries(): readonly string[] {
        return this.roster.listed;
    }

    /** Whether a control instance has quarantined the request. */
    public isQuarantined(call: CallKeys): boolean {
        return this.quarantines.covers(call);
    }

    /** Whether an entry instance has reported that the session must stay on its version. */
    public isSessionPinned(session: string): boolean {
        return [...this.watched.values()].some(peer => peer.heldSessions.has(session));
    }

    public start(): void {
        this.follow(this.deps.seeds);
    }

    /** Starts to follow these control instances. Their ids are also their addresses. */
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
                reportedRun: 0,
                reportedQuarantines: 0,
                crashVersion: 0,
                reportedStatements: 0,
                receivedStatements: 0,
                suspects: [],
                heldSessions: new Set(),
                heldSessionsVersion: 0,
                entriesVersion: 0,
                entries: [],
            };
            this.watched.set(id, peer);
            void this.watch(id, peer);
        }
    }

    /** Polls one control instance until it is forgotten or this follower is disposed. */
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
                await sleep(clock, RETRY_DELAY_MS);
            }
        }
    }

    private async watchOnce(id: string, peer: WatchedControl): Promise<void> {
        const { clock, network, role, report, crashes, statements } = this.deps;
        const sentAt = clock.boottime();
        const mayWait = this.confirmationAgeMs < RENEW_CONFIRMATION_AFTER_MS;
        const { outcomes, heldSessions } = report();
        const brokenRuns = crashes?.runsSince(peer.reportedRun);
        const quarantinesVersion = this.quarantines.version;
        const statementsVersion = statements?.version ?? 0;
        const req = {
            role,
            epoch: peer.epoch,
            since: peer.since,
            mayWait,
            revision: this.current.revision,
            outcomes: [...outcomes],
            heldSessions: [...heldSessions],
            entriesVersion: peer.entriesVersion,
            crashes: [],
            brokenRuns: [...brokenRuns?.runs ?? []],
            answers: [...crashes?.answersTo(peer.suspects) ?? []],
            crashVersion: peer.crashVersion,
            quarantines: peer.reportedQuarantines === quarantinesVersion ? [] : this.quarantines.all,
            requestLimits: statements?.changedSince(peer.reportedStatements) ?? [],
            requestLimitsVersion: peer.receivedStatements,
            heldSessionsVersion: peer.heldSessionsVersion,
            featureLevel: FEATURE_LEVEL,
        };
        const reply = await network.call(id, "watchFleet", req, WATCH_TIMEOUT_MS);
        // A control instance that has started again lacks what was reported to its last process.
        const isSameProcess = reply.epoch === peer.epoch;
        peer.reportedRun = isSameProcess ? brokenRuns?.last ?? 0 : 0;
        peer.reportedQuarantines = isSameProcess ? quarantinesVersion : 0;
        peer.reportedStatements = isSameProcess ? statementsVersion : 0;
        this.applyReply(peer, reply);
        if (reply.revision > this.current.revision) {
            await this.fetch(id, reply.revision);
        }
        if (reply.revision <= this.current.revision) {
            this.confirmedAt = Math.max(this.confirmedAt, sentAt - reply.proofAgeMs);
        }
        if (!mayWait && this.confirmationAgeMs >= RENEW_CONFIRMATION_AFTER_MS) {
            await sleep(clock, RETRY_DELAY_MS);
        }
    }

    private applyReply(peer: WatchedControl, reply: PeerReply<"watchFleet">): void {
        peer.epoch = reply.epoch;
        peer.since = reply.version;
        peer.answeredAt = this.deps.clock.monotonic();
        this.maxEntryCount = Math.max(this.maxEntryCount, reply.entryCount);
        peer.entriesVersion = reply.entriesVersion;
        peer.entries = reply.entries ?? peer.entries;
        if (reply.entriesVersion > 0) {
            this.roster.recordList(peer.entries);
        }
        peer.crashVersion = reply.crashVersion;
        peer.suspects = reply.suspects ?? peer.suspects;
        reply.quarantines?.forEach(item => this.quarantines.merge(item));
        peer.receivedStatements = reply.requestLimitsVersion;
        reply.requestLimits.forEach(statement => this.deps.statements?.merge(statement));
        if (reply.releasedSessions === undefined) {
            peer.heldSessions.clear();
        }
        reply.heldSessions.forEach(session => peer.heldSessions.add(session));
        reply.releasedSessions?.forEach(session => peer.heldSessions.delete(session));
        peer.heldSessionsVersion = reply.heldSessionsVersion;
        reply.records.forEach(({ record, ageMs }) => this.deps.directory.merge(record, ageMs, true));
        reply.renewals.forEach(([id, start, seq, ageMs]) => this.deps.directory.mergeHeartbeat(id, start, seq, ageMs));
        this.follow(reply.controls);
    }

    /** Fetches a later revision. Concurrent callers share one fetch. */
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
