/**
 * Serves the followers of a control instance by long polling: a call is held until there is an urgent change, or until
 * enough time has passed to send the other changes as one batch.
 */
import { NEVER_CONFIRMED_MS } from "../control/ControlTypes.ts";
import { Signal } from "../control/Signal.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { CrashHistory, type Verdict } from "./CrashHistory.ts";
import { type CrashFinding } from "./CrashRecords.ts";
import { type Fleet } from "./FleetState.ts";
import { HeldSessions } from "./HeldSessions.ts";
import { type RouteOutcomeCounts, sumOutcomes } from "./OutcomeCounters.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type UpstreamStatements } from "./UpstreamStatements.ts";

/** Longest time for which a call is held, in ms. The reply also renews the follower's lease. */
const MAX_HOLD_MS = 1000;
/** Least time for which changes that are not urgent are collected, in ms. */
const MIN_BATCH_MS = 500;
/**
 * The same for each follower, in ms, so that the replies to many followers stay few. With 60, heartbeats that are sent
 * every 1.2 s are then 2 s old at most, and count as missing after 3 s.
 */
const BATCH_MS_PER_FOLLOWER = 14;
/** Time since its last call after which an entry instance is no longer counted as in service, in ms. */
const ENTRY_TIMEOUT_MS = 10_000;
/** How often crashes are evaluated, in ms. */
const EVALUATION_PERIOD_MS = 200;
/** Confirmation age above which this instance may lack reports of entry instances, and blames no request, in ms. */
const MAX_VERDICT_AGE_MS = 2500;

/** Dependencies of a publisher. */
export interface FleetPublisherDependencies {
    readonly clock: Clock;
    /** Identifies this process, so that followers notice a restart. */
    readonly epoch: string;
    readonly directory: UpstreamDirectory;
    readonly fleet: () => Fleet;
    readonly confirmationAgeMs: () => number;
    /** Ids of the known control instances, including this one. */
    readonly controls: () => readonly string[];
    /** Statements of upstreams, which followers report and receive. */
    readonly statements?: UpstreamStatements;
    /** Called for each verdict of this instance. */
    readonly onQuarantined?: (verdict: Verdict) => void;
    /** Called when more has become known of a process under which connections broke. */
    readonly onCrashFinding?: (finding: CrashFinding) => void;
    /** Called for each quarantine that this instance lifts. */
    readonly onQuarantineLifted?: (keys: readonly string[]) => void;
}

interface Follower {
    readonly role: "entry" | "control";
    lastCallAt: number;
    outcomes: readonly RouteOutcomeCounts[];
    /** Feature level that its build supports. */
    featureLevel: number;
}

/** What a follower has received from this process. */
interface KnownVersions {
    /** Number of the newest change of upstreams. */
    readonly since: number;
    readonly entriesVersion: number;
    readonly crashVersion: number | undefined;
    readonly requestLimitsVersion: number;
    /** Undefined from a build that needs the whole list. */
    readonly heldSessionsVersion?: number | undefined;
}

/** Replies to the calls of followers. */
export class FleetPublisher extends DisposableOwner {
    private readonly deps: FleetPublisherDependencies;
    private readonly changeSignal: Signal;
    private readonly followers = new Map<string, Follower>();
    private readonly crashes: CrashHistory;
    private readonly heldSessions = new HeldSessions();
    private urgentVersion = 0;
    /** Increases when there are other suspects or quarantines. */
    private crashVersion = 0;
    private announcedSuspects: readonly string[] = [];
    private announcedQuarantines = 0;
    /** Ids of the entry instances in service, in the order of their first calls. */
    private entryIds: readonly string[] = [];
    private entriesVersion = 0;

    public constructor(deps: FleetPublisherDependencies) {
        super();
        this.deps = deps;
        this.changeSignal = new Signal(deps.clock);
        this.crashes = new CrashHistory(deps.clock, deps.directory);
        this.register(repeat(deps.clock, EVALUATION_PERIOD_MS, () => {
            this.evaluateCrashes();
            this.releaseSessionsOfLostEntries();
        }));
        this.register(deps.directory.onChanged(({ isUrgent }) => {
            if (isUrgent) {
                this.urgentVersion = deps.directory.version;
                this.changeSignal.fire();
            }
        }));
    }

    /** Outcome counts of all followers, added up. */
    public get outcomes(): RouteOutcomeCounts[] {
        return sumOutcomes([...this.followers.values()].map(follower => follower.outcomes));
    }

    /** Feature level that each instance supports which has called lately, by id. */
    public get supportedLevels(): ReadonlyMap<string, number> {
        return new Map(this.recentFollowers.map(([id, { featureLevel }]) => [id, featureLevel]));
    }

    /** Re-evaluates all held calls. To be called after the fleet state has changed. */
    public flush(): void {
        this.changeSignal.fire();
    }

    /** Replies to a long poll when it is due; to a follower's first call at once, with all upstreams. */
    public async watch(req: PeerRequest<"watchFleet">, from: string): Promise<PeerReply<"watchFleet">> {
        const { clock, epoch } = this.deps;
        const calledAt = clock.monotonic();
        this.recordFollower(req, from, calledAt);
        const isFirst = req.epoch !== epoch;
        const since = isFirst ? 0 : req.since;
        while (req.mayWait && !isFirst && !this.isDisposed && !this.hasUrgentChange(req)) {
            const waitedMs = clock.monotonic() - calledAt;
            const { batchMs } = this;
            const isBatchDue = waitedMs >= batchMs && this.deps.directory.version > since;
            if (waitedMs >= MAX_HOLD_MS || isBatchDue) {
                break;
            }
            await this.changeSignal.wait(waitedMs < batchMs ? batchMs - waitedMs : MAX_HOLD_MS - waitedMs);
        }
        return isFirst
            ? this.reply({ since: 0, entriesVersion: 0, crashVersion: undefined, requestLimitsVersion: 0 })
            : this.reply(req);
    }

    /** Time for which changes that are not urgent are collected now, in ms. */
    private get batchMs(): number {
        return Math.min(MAX_HOLD_MS, Math.max(MIN_BATCH_MS, this.followers.size * BATCH_MS_PER_FOLLOWER));
    }

    private recordFollower(req: PeerRequest<"watchFleet">, from: string, now: number): void {
        const { role, outcomes, heldSessions, brokenRuns, answers, quarantines, requestLimits, featureLevel } = req;
        this.followers.set(from, { role, lastCallAt: now, outcomes, featureLevel });
        this.heldSessions.replace(from, role === "entry" ? heldSessions : []);
        this.crashes.recordRuns(brokenRuns);
        this.crashes.recordAnswers(from, answers);
        this.crashes.mergeQuarantines(quarantines);
        requestLimits.forEach(statement => this.deps.statements?.merge(statement));
        this.announceCrashChange();
    }

    private releaseSessionsOfLostEntries(): void {
        const oldest = this.deps.clock.monotonic() - ENTRY_TIMEOUT_MS;
        for (const [id, { lastCallAt }] of this.followers) {
            if (lastCallAt <= oldest) {
                this.heldSessions.replace(id, []);
            }
        }
    }

    private evaluateCrashes(): void {
        const mayBlame = this.deps.confirmationAgeMs() < MAX_VERDICT_AGE_MS;
        const oldestCall = (): number =>
            Math.min(...[...this.followersInService.values()].map(({ lastCallAt }) => lastCallAt));
        const { verdicts, lifted, findings } = this.crashes.evaluate(mayBlame, oldestCall);
        findings.forEach(finding => this.deps.onCrashFinding?.(finding));
        verdicts.forEach(verdict => this.deps.onQuarantined?.(verdict));
        lifted.forEach(({ keys }) => this.deps.onQuarantineLifted?.(keys));
        this.announceCrashChange();
    }

    /** Wakes the held calls if there are other suspects or quarantines than before. */
    private announceCrashChange(): void {
        const { suspects, quarantines: { version } } = this.crashes;
        if (suspects !== this.announcedSuspects || version !== this.announcedQuarantines) {
            this.announcedSuspects = suspects;
            this.announcedQuarantines = version;
            this.crashVersion++;
            this.changeSignal.fire();
        }
    }

    private hasUrgentChange({ revision, since, crashVersion }: PeerRequest<"watchFleet">): boolean {
        const isLater = this.deps.fleet().revision > revision;
        return isLater || this.urgentVersion > since || this.crashVersion !== crashVersion;
    }

    private reply(known: KnownVersions): PeerReply<"watchFleet"> {
        const { since, entriesVersion, crashVersion, requestLimitsVersion, heldSessionsVersion } = known;
        const { clock, epoch, directory, fleet, confirmationAgeMs, controls, statements } = this.deps;
        const now = clock.monotonic();
        const { records, heartbeats } = directory.changedSince(since);
        const entries = [...this.followersInService];
        this.updateEntryIds(entries.map(([id]) => id));
        const heldSessions = this.heldSessions.changedSince(heldSessionsVersion);
        return {
            epoch,
            version: directory.version,
            revision: fleet().revision,
            proofAgeMs: Math.min(NEVER_CONFIRMED_MS, confirmationAgeMs()),
            records: records.map(({ record, receivedAt }) => ({ record, ageMs: now - receivedAt })),
            renewals: heartbeats.map((
                { id, start, seq, receivedAt },
            ) => [id, start, seq, Math.round(now - receivedAt)]),
            controls: [...controls()],
            entryCount: entries.length,
            entriesVersion: this.entriesVersion,
            entries: entriesVersion === this.entriesVersion ? undefined : [...this.entryIds],
            quarantined: [],
            crashVersion: this.crashVersion,
            ...(crashVersion === this.crashVersion ? {} : {
                suspects: [...this.crashes.suspects],
                quarantines: this.crashes.quarantines.all,
            }),
            requestLimits: statements?.changedSince(requestLimitsVersion) ?? [],
            requestLimitsVersion: statements?.version ?? 0,
            heldSessions: [...heldSessions.held],
            heldSessionsVersion: heldSessions.version,
            ...(heldSessions.released === undefined ? {} : { releasedSessions: [...heldSessions.released] }),
        };
    }

    /** The entry instances that have called lately, by id. */
    private get followersInService(): Map<string, Follower> {
        return new Map(this.recentFollowers.filter(([, { role }]) => role === "entry"));
    }

    private get recentFollowers(): [string, Follower][] {
        const oldest = this.deps.clock.monotonic() - ENTRY_TIMEOUT_MS;
        return [...this.followers].filter(([, { lastCallAt }]) => lastCallAt > oldest);
    }

    private updateEntryIds(ids: readonly string[]): void {
        const isSame = ids.length === this.entryIds.length && ids.every((id, index) => id === this.entryIds[index]);
        if (!isSame) {
            this.entryIds = ids;
            this.entriesVersion++;
        }
    }
}
