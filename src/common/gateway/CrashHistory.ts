/**
 * Finds what crashes upstreams, from the observations of all entry instances: requests that come again, and parts that
 * requests share. A connection can break for many reasons, so a broken run counts only when the process of its upstream has
 * ended, and against a request or part only if hardly any other run with it that began as late has lasted as long. Control
 * instances ask all entry instances for such runs before they decide, and afterwards.
 */
import { type Clock } from "../time/Clock.ts";
import { isPartKey } from "./CallKeys.ts";
import { blame, type CrashEvidence, type Hearing } from "./CrashBlame.ts";
import { type Answer, type BrokenRun } from "./CrashObserver.ts";
import { type Quarantine, QuarantineList } from "./QuarantineList.ts";
import { type CrashedRun, RunComparison } from "./RunComparison.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Time in which entry instances can report answers before a suspect is blamed, in ms. */
const HEARING_MS = 1500;
/** A part that at most this share of all requests have is rare. */
const RARE_SHARE = 0.25;
/** Crashes that come within this time of each other may have a common cause, and count once, in ms. */
const MOMENT_MS = 100;
/** Crashes from which entry instances are asked about a request or a part. */
const SUSPECT_CRASHES = 2;
/** A process whose heartbeats stop ends with its connections, even if its address doesn't refuse others, in ms. */
const SILENCE_MS = 3000;
/** A heartbeat that arrives within this time after the end of a connection may have been sent before, in ms. */
const HEARTBEAT_DELAY_MS = 200;
/** How long crashes are evaluated after the last broken run, in ms. */
const ACTIVE_MS = 30_000;
/** How long crashes are kept, in ms. */
const RETENTION_MS = 600_000;
const MAX_CRASHES = 300;
/** Most requests that are kept of one crash. */
const MAX_RUNS = 200;
/** Most suspects that entry instances are asked about. */
const MAX_SUSPECTS = 100;
/** Most verdicts of one evaluation; the others follow in the next ones. */
const MAX_VERDICTS = 10;

interface Run {
    /** Monotonic time at which the connection broke, in ms. */
    readonly at: number;
    /** Monotonic time at which the request was sent, in ms, and how long its response lasted. */
    readonly startedAt: number;
    readonly lastedMs: number;
    readonly parts: readonly string[];
}

/** The possible crash of one process. */
interface Crash {
    readonly upstream: string;
    readonly start: number;
    /** Runs by the key of the request. */
    readonly runs: Map<string, Run>;
    /** Monotonic time at which a connection was refused, in ms. */
    refusedAt: number;
    /** What was last reported of it; undefined before. */
    finding: CrashFinding | undefined;
}

/** Result of an evaluation. */
export interface CrashEvaluation {
    readonly verdicts: readonly Verdict[];
    readonly lifted: readonly Quarantine[];
    readonly findings: readonly CrashFinding[];
}

/** What is known of a process under which connections broke. */
export type ProcessEnd =
    /** It has sent a heartbeat since. */
    | "alive"
    /** It has ended without having announced it. */
    | "crashed"
    /** It has announced its end. */
    | "left"
    /** Neither is known yet. */
    | "unknown";

/** A change of what is known of such a process, for logs. */
export interface CrashFinding {
    readonly upstream: string;
    readonly start: number;
    readonly end: ProcessEnd;
    /** Number of requests whose connections broke, and of those that may be the cause. */
    readonly runs: number;
    readonly possibleCauses: number;
}

/** What has been blamed. */
export interface Verdict {
    /** Requests with all of these keys are quarantined. */
    readonly keys: readonly string[];
    /** Ids of the upstreams that crashed. */
    readonly upstreams: readonly string[];
}

/** A process that has ended, and the runs that broke when it did, by the key of the request. */
interface EndedProcess {
    readonly name: string;
    readonly upstream: string;
    readonly runs: readonly (readonly [string, Run])[];
    /** Monotonic time of the last broken run, in ms. */
    readonly at: number;
}

/** Crashes at one moment; the first one's time. */
interface Moment {
    readonly processes: readonly EndedProcess[];
    readonly at: number;
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
    private readonly directory: UpstreamDirectory;
    private readonly crashes = new Map<string, Crash>();
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

    public constructor(clock: Clock, directory: UpstreamDirectory) {
        this.clock = clock;
        this.directory = directory;
        this.quarantines = new QuarantineList(clock);
    }

    /** Keys about which entry instances are asked; the same array until they change. */
    public get suspects(): readonly string[] {
        return this.suspectKeys;
    }

    public recordRuns(runs: readonly BrokenRun[]): void {
        const now = this.clock.monotonic();
        for (const { upstream, start, request, parts, ageMs, startedAgeMs = ageMs, lastedMs = 0, isRefused } of runs) {
            const name = `${upstream} ${start}`;
            const crash = this.crashes.get(name)
                ?? { upstream, start, runs: new Map<string, Run>(), refusedAt: -Infinity, finding: undefined };
            const at = now - ageMs;
            const previous = crash.runs.get(request);
            if (previous === undefined ? crash.runs.size < MAX_RUNS : previous.at < at) {
                crash.runs.set(request, { at, startedAt: now - startedAgeMs, lastedMs, parts });
            }
            crash.refusedAt = isRefused ? Math.max(at, crash.refusedAt) : crash.refusedAt;
            this.crashes.set(name, crash);
            this.lastRunAt = now;
        }
        this.evictOld(now);
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
            const known = runs ?? (ageMs === undefined ? [] : [[ageMs, Infinity, true] as const]);
            this.comparison.record(
                from,
                key,
                known.map(([startedAgeMs, lastedMs, isComplete]) => ({
                    startedAt: now - startedAgeMs,
                    lastedMs,
                    isComplete,
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
     * `mayBlame` is false. To be called periodically.
     */
    public evaluate(mayBlame: boolean): CrashEvaluation {
        const verdicts: Verdict[] = [];
        if (this.clock.monotonic() - this.lastRunAt > ACTIVE_MS) {
            this.suspicions = new Map();
            this.updateSuspects();
            return { verdicts, lifted: [], findings: [] };
        }
        const moments = this.collectMoments();
        this.suspicions = this.collectSuspicions(moments);
        const lifted = this.quarantines.liftSound((key, crashedAt) =>
            this.comparison.isRefuted(key, crashedAt, this.suspicions.get(key)?.crashed ?? [])
        );
        this.updateSuspects();
        const evidence = this.collectEvidence(moments);
        while (mayBlame && verdicts.length < MAX_VERDICTS) {
            const culprits = this.blame(evidence);
            if (culprits.length === 0) {
                break;
            }
            for (const keys of culprits) {
                const upstreams = evidence.filter(crash => isCausedBy(crash, keys)).flatMap(({ processes }) =>
                    processes.map(({ upstream }) => upstream)
                );
                verdicts.push({ keys, upstreams });
                this.quarantines.merge({ keys: [...keys], ageMs: 0 });
            }
        }
        return { verdicts, lifted, findings: this.takeFindings() };
    }

    /** What has become known of the processes since the last call. */
    private takeFindings(): CrashFinding[] {
        const findings: CrashFinding[] = [];
        for (const crash of this.crashes.values()) {
            const { upstream, start, runs, finding } = crash;
            const end = this.findEnd(crash);
            const possibleCauses = end === "crashed"
                ? [...runs].filter(([request, run]) => this.countsAgainst(request, run) !== false).length
                : 0;
            if (end !== finding?.end || possibleCauses !== finding.possibleCauses) {
                crash.finding = { upstream, start, end, runs: runs.size, possibleCauses };
                findings.push(crash.finding);
            }
        }
        return findings;
    }

    /** What is to blame for crashes that no quarantine explains: the keys of one quarantine each. */
    private blame(evidence: readonly CrashEvidence[]): readonly (readonly string[])[] {
        const { known } = this.quarantines;
        const isKnown = (keys: readonly string[]): boolean =>
            known.some(other => other.length === keys.length && other.every(key => keys.includes(key)));
        // Quarantined requests may have a part that explains more crashes, and several parts may be narrowed down to one.
        const knownParts = known.filter(([key = "", ...others]) => others.length === 0 && isPartKey(key));
        return blame(withoutCauses(evidence, knownParts), this.hearingOf, isKnown);
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

    /** The crashes, in the order of their times. */
    private collectMoments(): Moment[] {
        const ended = [...this.crashes].map(([name, crash]) => {
            const runs = [...crash.runs].filter(([, { at }]) => this.findEndAfter(crash, at) === "crashed");
            return { name, upstream: crash.upstream, runs, at: Math.max(...runs.map(([, { at }]) => at)) };
        }).filter(({ runs }) => runs.length > 0).sort((a, b) => a.at - b.at);
        const moments: { readonly processes: EndedProcess[]; readonly at: number; }[] = [];
        for (const process of ended) {
            const last = moments.at(-1);
            if (last !== undefined && process.at - last.at <= MOMENT_MS) {
                last.processes.push(process);
            }
            else {
                moments.push({ processes: [process], at: process.at });
            }
        }
        return moments;
    }

    /** What requests in several crashes have in common, the newest of them not long ago; and what quarantines are for. */
    private collectSuspicions(moments: readonly Moment[]): Map<string, Suspicion> {
        const found = new Map<string, Suspicion>();
        for (const [crash, { processes }] of moments.entries()) {
            for (const { name, runs } of processes) {
                for (const [request, { startedAt, lastedMs, parts }] of runs) {
                    for (const key of [request, ...parts]) {
                        const suspicion = found.get(key) ?? createSuspicion(key);
                        suspicion.requests.add(request);
                        suspicion.crashed.push({ crash, process: name, startedAt, lastedMs });
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
    private collectEvidence(moments: readonly Moment[]): CrashEvidence[] {
        const now = this.clock.monotonic();
        const evidence: CrashEvidence[] = [];
        for (const { processes, at } of moments) {
            const possibleParts = (run: Run): ReadonlySet<string> =>
                new Set(run.parts.filter(part => this.countsAgainst(part, run) === true));
            const item = {
                processes: processes.map(({ upstream, runs }) => ({
                    upstream,
                    runs: new Map(runs.map(([request, run]) => [request, possibleParts(run)])),
                })),
                requests: new Set(
                    processes.flatMap(({ runs }) => runs)
                        .filter(([request, run]) => this.countsAgainst(request, run) === true)
                        .map(([request]) => request),
                ),
            };
            evidence.push(item);
            this.quarantines.known
                .filter(keys => isCausedBy(item, keys))
                .forEach(keys => this.quarantines.merge({ keys: [...keys], ageMs: now - at }));
        }
        return evidence;
    }

    /** Whether the crash counts against a request or part that was in it; undefined if that is in no other recent crash. */
    private countsAgainst(key: string, { startedAt }: Run): boolean | undefined {
        const suspicion = this.suspicions.get(key);
        return suspicion === undefined ? undefined : startedAt >= suspicion.since;
    }

    private findEnd(crash: Crash): ProcessEnd {
        return this.findEndAfter(crash, Math.max(...[...crash.runs.values()].map(({ at }) => at)));
    }

    /** What is known of a process after a connection broke at this monotonic time, in ms. */
    private findEndAfter({ upstream, start, refusedAt }: Crash, at: number): ProcessEnd {
        const current = this.directory.get(upstream);
        const own = current?.record.start === start ? current : undefined;
        if (own !== undefined && own.receivedAt - HEARTBEAT_DELAY_MS >= at) {
            return "alive";
        }
        if (own?.record.state === "gone" && own.record.endedUnannounced !== true) {
            return "left";
        }
        const isReplaced = own?.record.state === "gone" || (current?.record.start ?? -Infinity) > start;
        const hasEnded = isReplaced || refusedAt >= at || this.clock.monotonic() - at > SILENCE_MS;
        return hasEnded ? "crashed" : "unknown";
    }

    private updateSuspects(): void {
        const now = this.clock.monotonic();
        const suspects = [...this.suspicions.values()]
            .filter(({ crashes }) => crashes.size >= SUSPECT_CRASHES)
            .sort((a, b) => b.counted.size - a.counted.size || b.crashes.size - a.crashes.size)
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

    private evictOld(now: number): void {
        for (const [name, { runs }] of this.crashes) {
            const lastAt = Math.max(...[...runs.values()].map(({ at }) => at));
            if (this.crashes.size > MAX_CRASHES || now - lastAt > RETENTION_MS) {
                this.crashes.delete(name);
            }
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

/** Whether a request with all of these keys was in the crash. */
const isCausedBy = ({ processes, requests }: CrashEvidence, keys: readonly string[]): boolean =>
    processes.some(({ runs }) =>
        [...runs].some(([request, parts]) =>
            keys.every(key => isPartKey(key) ? parts.has(key) : request === key && requests.has(key))
        )
    );

const withoutCauses = (
    evidence: readonly CrashEvidence[],
    causes: readonly (readonly string[])[],
): CrashEvidence[] => evidence.filter(crash => !causes.some(keys => isCausedBy(crash, keys)));
