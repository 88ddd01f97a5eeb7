/**
 * The side of a control instance that followers watch: it holds a call until there is news that can't wait, or
 * until enough time has passed to batch the rest.
 */
import { Signal } from "../control/Signal.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { type Clock } from "../time/Clock.ts";
import { CrashLedger } from "./CrashLedger.ts";
import { type Fleet } from "./FleetState.ts";
import { type OutcomeCount, sumOutcomes } from "./Outcomes.ts";
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
export interface PublisherParts {
    readonly clock: Clock;
    /** Names this process, so that followers notice a restart. */
    readonly epoch: string;
    readonly directory: UpstreamDirectory;
    readonly fleet: () => Fleet;
    readonly proofAgeMs: () => number;
    /** Control instances that are known, this one included. */
    readonly controls: () => readonly string[];
}

interface Follower {
    readonly role: "entry" | "control";
    seenAt: number;
    outcomes: readonly OutcomeCount[];
    heldSessions: readonly string[];
}

/** Answers followers. */
export class FleetPublisher extends DisposableOwner {
    private readonly parts: PublisherParts;
    private readonly news: Signal;
    private readonly followers = new Map<string, Follower>();
    private readonly crashes: CrashLedger;
    private urgentVersion = 0;
    private quarantineCount = 0;

    public constructor(parts: PublisherParts) {
        super();
        this.parts = parts;
        this.news = new Signal(parts.clock);
        this.crashes = new CrashLedger(parts.clock);
        this.register(parts.directory.onChanged(({ isUrgent }) => {
            if (isUrgent) {
                this.urgentVersion = parts.directory.version;
                this.news.fire();
            }
        }));
    }

    /** Outcomes that all entry instances have reported. */
    public get outcomes(): OutcomeCount[] {
        return sumOutcomes([...this.followers.values()].map(follower => follower.outcomes));
    }

    /** Answers every call that waits, as after a change of the fleet. */
    public flush(): void {
        this.news.fire();
    }

    public async watch(req: PeerRequest<"watchFleet">, from: string): Promise<PeerReply<"watchFleet">> {
        const { clock, epoch } = this.parts;
        const askedAt = clock.monotonic();
        this.note(req, from, askedAt);
        const isFirst = req.epoch !== epoch;
        const since = isFirst ? 0 : req.since;
        const known = this.quarantineCount;
        while (req.mayWait && !isFirst && !this.isDisposed && !this.hasUrgentNews(req.revision, since, known)) {
            const waitedMs = clock.monotonic() - askedAt;
            const isBatchDue = waitedMs >= BATCH_MS && this.parts.directory.version > since;
            if (waitedMs >= HOLD_MS || isBatchDue) {
                break;
            }
            await this.news.wait(waitedMs < BATCH_MS ? BATCH_MS - waitedMs : HOLD_MS - waitedMs);
        }
        return this.reply(since);
    }

    private note(req: PeerRequest<"watchFleet">, from: string, now: number): void {
        const { role, outcomes, heldSessions } = req;
        this.followers.set(from, { role, seenAt: now, outcomes, heldSessions });
        this.crashes.take(from, req.crashes);
        const { size } = this.crashes.quarantined();
        if (size > this.quarantineCount) {
            this.news.fire();
        }
        this.quarantineCount = size;
    }

    private hasUrgentNews(revision: number, since: number, quarantined: number): boolean {
        const isLater = this.parts.fleet().revision > revision;
        return isLater || this.urgentVersion > since || this.quarantineCount > quarantined;
    }

    private reply(since: number): PeerReply<"watchFleet"> {
        const { clock, epoch, directory, fleet, proofAgeMs, controls } = this.parts;
        const now = clock.monotonic();
        const { records, renewals } = directory.changedSince(since);
        const entries = [...this.followers.values()]
            .filter(follower => follower.role === "entry" && now - follower.seenAt < ENTRY_MEMORY_MS);
        return {
            epoch,
            version: directory.version,
            revision: fleet().revision,
            proofAgeMs: Math.min(MAX_AGE_MS, proofAgeMs()),
            records: records.map(({ record, heardAt }) => ({ record, ageMs: now - heardAt })),
            renewals: renewals.map(({ id, start, seq, heardAt }) => [id, start, seq, Math.round(now - heardAt)]),
            controls: [...controls()],
            entryCount: entries.length,
            quarantined: [...this.crashes.quarantined()],
            heldSessions: [...new Set(entries.flatMap(follower => follower.heldSessions))],
        };
    }
}
