/**
 * The side of a control instance that followers watch: it holds a call until there is news that can't wait, or
 * until enough time has passed to batch the rest.
 */
import { Signal } from "../control/Signal.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { type Clock } from "../time/Clock.ts";
import { CrashHistory } from "./CrashHistory.ts";
import { type Fleet } from "./FleetState.ts";
import { type RouteOutcomeCounts, sumOutcomes } from "./OutcomeCounters.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Longest time for which a call is held, in ms; it also renews the follower's lease. */
const HOLD_MS = 1000;
/** Time in which ordinary statements of upstreams are batched, in ms. */
const BATCH_MS = 500;
/** An entry instance that has not asked for this long is not counted, in ms. */
const ENTRY_MEMORY_MS = 10_000;
/** Largest age that is sent, in ms. */
const MAX_AGE_MS = 1e9;

/** What a publisher shows. */
export interface FleetPublisherDependencies {
    readonly clock: Clock;
    /** Names this process, so that followers notice a restart. */
    readonly epoch: string;
    readonly directory: UpstreamDirectory;
    readonly fleet: () => Fleet;
    readonly confirmationAgeMs: () => number;
    /** Control instances that are known, this one included. */
    readonly controls: () => readonly string[];
}

interface Follower {
    readonly role: "entry" | "control";
    lastCallAt: number;
    outcomes: readonly RouteOutcomeCounts[];
    heldSessions: readonly string[];
}

/** Answers followers. */
export class FleetPublisher extends DisposableOwner {
    private readonly deps: FleetPublisherDependencies;
    private readonly changeSignal: Signal;
    private readonly followers = new Map<string, Follower>();
    private readonly crashes: CrashHistory;
    private urgentVersion = 0;
    private quarantineCount = 0;

    public constructor(deps: FleetPublisherDependencies) {
        super();
        this.deps = deps;
        this.changeSignal = new Signal(deps.clock);
        this.crashes = new CrashHistory(deps.clock);
        this.register(deps.directory.onChanged(({ isUrgent }) => {
            if (isUrgent) {
                this.urgentVersion = deps.directory.version;
                this.changeSignal.fire();
            }
        }));
    }

    /** Outcomes that all entry instances have reported. */
    public get outcomes(): RouteOutcomeCounts[] {
        return sumOutcomes([...this.followers.values()].map(follower => follower.outcomes));
    }

    /** Answers every call that waits, as after a change of the fleet. */
    public flush(): void {
        this.changeSignal.fire();
    }

    public async watch(req: PeerRequest<"watchFleet">, from: string): Promise<PeerReply<"watchFleet">> {
        const { clock, epoch } = this.deps;
        const askedAt = clock.monotonic();
        this.recordFollower(req, from, askedAt);
        const isFirst = req.epoch !== epoch;
        const since = isFirst ? 0 : req.since;
        const known = this.quarantineCount;
        while (req.mayWait && !isFirst && !this.isDisposed && !this.hasUrgentChange(req.revision, since, known)) {
            const waitedMs = clock.monotonic() - askedAt;
            const isBatchDue = waitedMs >= BATCH_MS && this.deps.directory.version > since;
            if (waitedMs >= HOLD_MS || isBatchDue) {
                break;
            }
            await this.changeSignal.wait(waitedMs < BATCH_MS ? BATCH_MS - waitedMs : HOLD_MS - waitedMs);
        }
        return this.reply(since);
    }

    private recordFollower(req: PeerRequest<"watchFleet">, from: string, now: number): void {
        const { role, outcomes, heldSessions } = req;
        this.followers.set(from, { role, lastCallAt: now, outcomes, heldSessions });
        this.crashes.mergeCounts(from, req.crashes);
        const { size } = this.crashes.quarantined();
        if (size > this.quarantineCount) {
            this.changeSignal.fire();
        }
        this.quarantineCount = size;
    }

    private hasUrgentChange(revision: number, since: number, quarantined: number): boolean {
        const isLater = this.deps.fleet().revision > revision;
        return isLater || this.urgentVersion > since || this.quarantineCount > quarantined;
    }

    private reply(since: number): PeerReply<"watchFleet"> {
        const { clock, epoch, directory, fleet, confirmationAgeMs: proofAgeMs, controls } = this.deps;
        const now = clock.monotonic();
        const { records, heartbeats: renewals } = directory.changedSince(since);
        const entries = [...this.followers.values()]
            .filter(follower => follower.role === "entry" && now - follower.lastCallAt < ENTRY_MEMORY_MS);
        return {
            epoch,
            version: directory.version,
            revision: fleet().revision,
            proofAgeMs: Math.min(MAX_AGE_MS, proofAgeMs()),
            records: records.map(({ record, receivedAt: heardAt }) => ({ record, ageMs: now - heardAt })),
            renewals: renewals.map((
                { id, start, seq, receivedAt: heardAt },
            ) => [id, start, seq, Math.round(now - heardAt)]),
            controls: [...controls()],
            entryCount: entries.length,
            quarantined: [...this.crashes.quarantined()],
            heldSessions: [...new Set(entries.flatMap(follower => follower.heldSessions))],
        };
    }
}
