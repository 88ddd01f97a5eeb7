/**
 * Finds what crashes upstreams, from the observations of all entry instances: requests that come again, and parts that
 * requests share. A crash counts against a request or part only if hardly any other run with it that began as late has lasted
 * as long. Control instances ask all entry instances for such runs before they decide, and afterwards.
 */
import { type Clock } from "../time/Clock.ts";
import { isPartKey } from "./CallKeys.ts";
import { blame, type CrashEvidence, type Hearing } from "./CrashBlame.ts";
import { type Answer, type BrokenRun } from "./CrashObserver.ts";
import { type CrashFinding, CrashRecords, hasRunWith, isCausedBy, type Moment, type Run } from "./CrashRecords.ts";
import { type Quarantine, QuarantineList } from "./QuarantineList.ts";
import { type CrashedRun, RunComparison } from "./RunComparison.ts";
import { runOutcomes } from "./RunSamples.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Time in which entry instances can report answers before a suspect is blamed, in ms. */
const HEARING_MS = 1500;
/** A part that at most this share of all requests have is rare. */
const RARE_SHARE = 0.25;
/** Crashes from which entry instances are asked about a request or a part. */
const SUSPECT_CRASHES = 2;
/** How long crashes are evaluated after the last broken run, in ms. */
const ACTIVE_MS = 30_000;
/** Most suspects that entry instances are asked about. */
const MAX_SUSPECTS = 100;
/** Most verdicts of one evaluation; the others follow in the next ones. */
const MAX_VERDICTS = 10;

/** Result of an evaluation. */
export interface CrashEvaluation {
    readonly verdicts: readonly Verdict[];
    readonly lifted: readonly Quarantine[];
    readonly findings: readonly CrashFinding[];
}

/** What has been blamed. */
export interface Verdict {
    /** Requests with all of these keys are quarantined. */
    readonly keys: readonly string[];
    /** Ids of the upstreams that crashed. */
    readonly upstreams: readonly string[];
}

/** What may be the cause of the crashes at one moment. */
interface MomentEvidence extends CrashEvidence {
    readonly moment: Moment;
}

/** The crashes during requests with one key, and since when they count against it. */
interface Suspicion {
    readonly key: string;
    readonly crashed: CrashedRun[];
    readonly requests: Set<string>;
    /** Numbers of the crashes, and of those that count. */
    readonly crashes: Set<number>;
    readonly counted: Set<number>;
    /** Monotonic time from which requests must have been sent for their crashes to count, in ms; Infinity if none counts. */
    since: number;
}

/** Crashes seen by all entry instances, and the verdicts. */
export class CrashHistory {
    public readonly quarantines: QuarantineList;
    private readonly clock: Clock;
    private readonly records: CrashRecords;
    /** Runs of requests with each suspect. */
    private readonly comparison = new RunComparison();
    /** What requests in recent crashes have in common, by key. */
    private suspicions: ReadonlyMap<string, Suspicion> = new Map();
    /** Monotonic time of the newest answer to a request without each suspect, in ms. */
    private readonly othersAnsweredAt = new Map<string, number>();
    /** Monotonic time since which entry instances have been asked about each suspect, in ms. */
    private readonly askedSince = new Map<string, number>();
    /** Requests with each suspect, and all requests, by entry instance. */
    private readonly requestCounts = new Map<string, Map<string, Pick<Answer, "requests" | "allRequests">>>();
    private suspectKeys: readonly string[] = [];
    private lastRunAt = -Infinity;
    /** Monotonic time at which this instance began to listen, in ms. */
    private readonly startedAt: number;

    public constructor(clock: Clock, directory: UpstreamDirectory) {
        this.clock = clock;
        this.records = new CrashRecords(clock, directory);
        this.quarantines = new QuarantineList(clock);
        this.startedAt = clock.monotonic();
    }

    /** Keys about which entry instances are asked; the same array until they change. */
    public get suspects(): readonly string[] {
        return this.suspectKeys;
    }

    public recordRuns(runs: readonly BrokenRun[]): void {
        runs.forEach(run => this.records.recordRun(run));
        this.lastRunAt = runs.length > 0 ? this.clock.monotonic() : this.lastRunAt;
    }

    /** Records what an entry instance knows of requests with the suspects. */
    public recordAnswers(from: string, answers: readonly Answer[]): void {
        const now = this.clock.monotonic();
        for (const { key, ageMs, othersAgeMs, runs, requests, allRequests } of answers) {
            const counts = this.requestCounts.get(key);
            if (counts === undefined) {
                continue;
            }
            counts.set(from, { requests, allRequests });
            const known = runs
                ?? (ageMs === undefined ? [] : [[ageMs, Infinity, runOutcomes.indexOf("complete")] as const]);
            this.comparison.record(
                from,
                key,
                known.map(([startedAgeMs, lastedMs, outcome]) => ({
                    startedAt: now - startedAgeMs,
                    lastedMs,
                    outcome: runOutcomes[outcome] ?? "open",
                })),
            );
            if (othersAgeMs !== undefined) {
                const othersAt = Math.max(now - othersAgeMs, this.othersAnsweredAt.get(key) ?? -Infinity);
                this.othersAnsweredAt.set(key, othersAt);
            }
        }
    }

    /** Adds quarantines that another instance knows. */
    public mergeQuarantines(quarantines: readonly Quarantine[]): void {
        quarantines.forEach(item => this.quarantines.merge(item));
    }

    /**
     * Updates the suspects, lifts the quarantines of what is answered after all, and quarantines what is to blame unless
     * `mayBlame` is false. To be called periodically. `oldestReport`: monotonic time at which the entry instance that has been
     * silent for longest last reported, in ms.
     */
    public evaluate(mayBlame: boolean, oldestReport: () => number): CrashEvaluation {
        const verdicts: Verdict[] = [];
        this.records.update();
        if (this.clock.monotonic() - this.lastRunAt > ACTIVE_MS) {
            this.suspicions = new Map();
            this.updateSuspects();
            return { verdicts, lifted: [], findings: [] };
        }
        const moments = this.records.collectMoments();
        this.suspicions = this.collectSuspicions(moments);
        const lifted = this.quarantines.liftSound((key, crashedAt) => this.isRefuted(key, crashedAt));
        this.updateSuspects();
        const evidence = this.collectEvidence(moments);
        const reportedUntil = oldestReport();
        while (mayBlame && verdicts.length < MAX_VERDICTS) {
            const culprits = this.blame(evidence, reportedUntil);
            if (culprits.length === 0) {
                break;
            }
            for (const keys of culprits) {
                const upstreams = moments.flatMap(({ processes }) => processes)
                    .filter(process => hasRunWith(process, keys))
                    .map(({ upstream }) => upstream);
                verdicts.push({ keys, upstreams });
                this.quarantines.merge({ keys: [...keys], ageMs: 0 });
            }
        }
        const findings = this.records.takeFindings((request, run) => this.countsAgainst(request, run) === false);
        return { verdicts, lifted, findings };
    }

    /** What is to blame for crashes that no quarantine explains: the keys of one quarantine each. */
    private blame(evidence: readonly MomentEvidence[], reportedUntil: number): readonly (readonly string[])[] {
        const { known } = this.quarantines;
        const isKnown = (keys: readonly string[]): boolean =>
            known.some(other => other.length === keys.length && other.every(key => keys.includes(key)));
        // Quarantined requests may have a part that explains more crashes, and several parts may be narrowed down to one.
        const knownParts = known.filter(([key = "", ...others]) => others.length === 0 && isPartKey(key));
        const unexplained = evidence.filter(({ moment }) =>
            !knownParts.some(keys => isCausedBy(moment, keys)) && !this.mayBeExplained(moment, reportedUntil)
        );
        const wasAnswered = (key: string): boolean => this.comparison.hasAnswer(key, -Infinity, 0);
        return blame(unexplained, this.hearingOf, wasAnswered, isKnown);
    }

    /**
     * Whether a quarantine may be for the crashes although no reported run shows it. Entry instances out of touch don't know of
     * it, and report later what they sent; and who decided on it may have had reports that were lost since.
     */
    private mayBeExplained({ at }: Moment, reportedUntil: number): boolean {
        const { lastCrashAt } = this.quarantines;
        return (lastCrashAt > -Infinity && at > reportedUntil) || at <= Math.min(lastCrashAt, this.startedAt);
    }

    private readonly hearingOf = (key: string): Hearing => {
        if (this.clock.monotonic() - (this.askedSince.get(key) ?? Infinity) < HEARING_MS) {
            return "pending";
        }
        // Requests without the part are answered since those with it crash upstreams.
        const since = this.suspicions.get(key)?.since ?? Infinity;
        const isBlamable = !isPartKey(key) || this.isRare(key)
            || (this.othersAnsweredAt.get(key) ?? -Infinity) >= since;
        return isBlamable ? "heard" : "shared";
    };

    /** Whether few requests have the part. What most requests have is in most crashes, whatever their cause. */
    private isRare(part: string): boolean {
        let requests = 0;
        let allRequests = 0;
        for (const counts of this.requestCounts.get(part)?.values() ?? []) {
            requests += counts.requests;
            allRequests += counts.allRequests;
        }
        return allRequests > 0 && requests <= allRequests * RARE_SHARE;
    }

    /** Whether a request or part was quarantined wrongly: no crash counts against it, and it has been answered since the last one. */
    private isRefuted(key: string, crashedAt: number): boolean {
        const { counted, crashed } = this.suspicions.get(key) ?? createSuspicion(key);
        const longestMs = Math.max(0, ...crashed.map(({ lastedMs }) => lastedMs));
        return counted.size === 0 && this.comparison.hasAnswer(key, crashedAt, longestMs);
    }

    /** What requests in several crashes have in common, the newest of them not long ago; and what quarantines are for. */
    private collectSuspicions(moments: readonly Moment[]): Map<string, Suspicion> {
        const found = new Map<string, Suspicion>();
        for (const [crash, { processes }] of moments.entries()) {
            for (const { runs } of processes) {
                for (const [request, { startedAt, lastedMs, parts }] of runs) {
                    for (const key of [request, ...parts]) {
                        const suspicion = found.get(key) ?? createSuspicion(key);
                        suspicion.requests.add(request);
                        suspicion.crashed.push({ crash, startedAt, lastedMs });
                        suspicion.crashes.add(crash);
                        found.set(key, suspicion);
                    }
                }
            }
        }
        const recentFrom = this.clock.monotonic() - ACTIVE_MS;
        const quarantined = new Set(this.quarantines.known.flat());
        for (const [key, suspicion] of found) {
            const { crashed, crashes, counted, requests } = suspicion;
            const lastAt = moments[Math.max(...crashes)]?.at ?? -Infinity;
            const isShared = !isPartKey(key) || requests.size > 1;
            if (quarantined.has(key) || (isShared && crashes.size >= SUSPECT_CRASHES && lastAt >= recentFrom)) {
                suspicion.since = this.comparison.crashingSince(key, crashed);
                crashed.filter(run => run.startedAt >= suspicion.since).forEach(({ crash }) => counted.add(crash));
            }
            else {
                found.delete(key);
            }
        }
        return found;
    }

    /** The crashes, with what may be the cause. Renews the quarantines that explain some. */
    private collectEvidence(moments: readonly Moment[]): MomentEvidence[] {
        const now = this.clock.monotonic();
        const { known } = this.quarantines;
        const evidence: MomentEvidence[] = [];
        for (const moment of moments) {
            const { processes, at } = moment;
            const possibleParts = (run: Run): ReadonlySet<string> =>
                new Set(run.parts.filter(part => this.countsAgainst(part, run) === true));
            const item = {
                moment,
                processes: processes.map(({ runs }) => ({
                    runs: new Map(runs.map(([request, run]) => [request, possibleParts(run)])),
                })),
                requests: new Set(
                    processes.flatMap(({ runs }) => runs)
                        .filter(([request, run]) => this.countsAgainst(request, run) === true)
                        .map(([request]) => request),
                ),
            };
            evidence.push(item);
            known
                .filter(keys => isCausedBy(moment, keys, (key, run) => this.countsAgainst(key, run) === true))
                .forEach(keys => this.quarantines.merge({ keys: [...keys], ageMs: now - at }));
        }
        return evidence;
    }

    /** Whether the crash counts against a request or part that was in it; undefined if that is in no other recent crash. */
    private countsAgainst(key: string, { startedAt }: Run): boolean | undefined {
        const suspicion = this.suspicions.get(key);
        return suspicion === undefined ? undefined : startedAt >= suspicion.since;
    }

    private updateSuspects(): void {
        const now = this.clock.monotonic();
        const suspects = [...this.suspicions.values()]
            .filter(({ crashes }) => crashes.size >= SUSPECT_CRASHES)
            // Those that other runs have cleared stay listed, or they would no longer be reported, and count again.
            .sort((a, b) => b.crashes.size - a.crashes.size || b.counted.size - a.counted.size)
            .slice(0, MAX_SUSPECTS)
            .map(({ key }) => key);
        for (const key of this.askedSince.keys()) {
            if (!suspects.includes(key)) {
                this.askedSince.delete(key);
                this.requestCounts.delete(key);
                this.othersAnsweredAt.delete(key);
                this.comparison.forget(key);
            }
        }
        for (const key of suspects.filter(item => !this.askedSince.has(item))) {
            this.askedSince.set(key, now);
            this.requestCounts.set(key, new Map());
        }
        if (suspects.length !== this.suspectKeys.length || suspects.some(key => !this.suspectKeys.includes(key))) {
            this.suspectKeys = suspects;
        }
    }
}

const createSuspicion = (key: string): Suspicion => ({
    key,
    crashed: [],
    requests: new Set(),
    crashes: new Set(),
    counted: new Set(),
    since: Infinity,
});
