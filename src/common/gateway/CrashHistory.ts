/**
 * Finds what crashes upstreams, from the observations of all entry instances: requests that come again, and parts that
 * requests share. A connection can break for many reasons, so a broken run counts only when the process of its upstream has
 * ended. Requests and parts that have been answered are never blamed for crashes near that time; control instances ask all entry
 * instances for such answers before they decide, and afterwards.
 */
import { type Clock } from "../time/Clock.ts";
import { isPartKey } from "./CallKeys.ts";
import { blameParts, blameRequests, type CrashEvidence, findSuspects } from "./CrashBlame.ts";
import { type Answer, type BrokenRun } from "./CrashObserver.ts";
import { type Quarantine, QuarantineList } from "./QuarantineList.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Time in which entry instances can report answers before a suspect is blamed, in ms. */
const HEARING_MS = 1500;
/** A part that at most this share of all requests have is rare. */
const RARE_SHARE = 0.25;
/** Other parts are blamed only while requests without them are answered: the newest answer is at most this old, in ms. */
const MAX_OTHERS_AGE_MS = 1000;
/** A crash is not blamed on what was answered later, or less than this long before, in ms. */
const ANSWER_VALIDITY_MS = 10_000;
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
/** Most suspects whose newest answers are kept. */
const MAX_ANSWERS = 1000;

interface Run {
    /** Monotonic time at which the connection broke, in ms. */
    readonly at: number;
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

/** Crashes seen by all entry instances, and the verdicts. */
export class CrashHistory {
    public readonly quarantines: QuarantineList;
    private readonly clock: Clock;
    private readonly directory: UpstreamDirectory;
    private readonly crashes = new Map<string, Crash>();
    /** Monotonic time of the newest answer to a request with each suspect, in ms. */
    private readonly answeredAt = new Map<string, number>();
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
        for (const { upstream, start, request, parts, ageMs, isRefused } of runs) {
            const name = `${upstream} ${start}`;
            const crash = this.crashes.get(name)
                ?? { upstream, start, runs: new Map<string, Run>(), refusedAt: -Infinity, finding: undefined };
            const at = now - ageMs;
            const previous = crash.runs.get(request);
            if (previous === undefined ? crash.runs.size < MAX_RUNS : previous.at < at) {
                crash.runs.set(request, { at, parts });
            }
            crash.refusedAt = isRefused ? Math.max(at, crash.refusedAt) : crash.refusedAt;
            this.crashes.set(name, crash);
            this.lastRunAt = now;
        }
        this.evictOld(now);
    }

    /** Records the answers of an entry instance with regard to the suspects. */
    public recordAnswers(from: string, answers: readonly Answer[]): void {
        const now = this.clock.monotonic();
        const raise = (times: Map<string, number>, key: string, ageMs: number | undefined): void => {
            if (ageMs !== undefined) {
                times.set(key, Math.max(now - ageMs, times.get(key) ?? -Infinity));
            }
        };
        for (const { key, ageMs, othersAgeMs, requests, allRequests } of answers) {
            const counts = this.requestCounts.get(key);
            if (counts !== undefined) {
                counts.set(from, { requests, allRequests });
                raise(this.answeredAt, key, ageMs);
                raise(this.othersAnsweredAt, key, othersAgeMs);
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
            this.updateSuspects([]);
            return { verdicts, lifted: [], findings: [] };
        }
        const lifted = this.quarantines.liftSound((key, crashedAt) => this.isAnsweredNear(key, crashedAt));
        const evidence = this.collectEvidence();
        this.updateSuspects(findSuspects(evidence).slice(0, MAX_SUSPECTS));
        while (mayBlame && verdicts.length < MAX_VERDICTS) {
            const culprits = this.blame(evidence);
            if (culprits.length === 0) {
                break;
            }
            for (const keys of culprits) {
                const upstreams = evidence.filter(crash => isCausedBy(crash, keys)).map(({ upstream }) => upstream);
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
            const possibleCauses = this.findPossibleCauses(crash).size;
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
        const isNew = (keys: readonly string[]): boolean =>
            !known.some(other => other.length === keys.length && other.every(key => keys.includes(key)));
        // A request with a part that crashes upstreams may have been blamed first, for crashes that the part explains.
        const knownParts = known.filter(([key = "", ...others]) => others.length === 0 && isPartKey(key));
        const parts = blameParts(withoutCauses(evidence, knownParts), this.isHeard);
        if (parts !== undefined && isNew(parts)) {
            return [parts];
        }
        return blameRequests(withoutCauses(evidence, known), this.isHeard).map(request => [request]);
    }

    private readonly isHeard = (key: string): boolean => {
        const now = this.clock.monotonic();
        if (now - (this.askedSince.get(key) ?? Infinity) < HEARING_MS) {
            return false;
        }
        return !isPartKey(key) || this.isRare(key)
            || now - (this.othersAnsweredAt.get(key) ?? -Infinity) <= MAX_OTHERS_AGE_MS;
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

    private isAnsweredNear(key: string, crashedAt: number): boolean {
        return (this.answeredAt.get(key) ?? -Infinity) + ANSWER_VALIDITY_MS > crashedAt;
    }

    /** The processes that have ended, with what may be the cause. Renews the quarantines that explain some. */
    private collectEvidence(): CrashEvidence[] {
        const now = this.clock.monotonic();
        const evidence: CrashEvidence[] = [];
        for (const crash of this.crashes.values()) {
            const runs = this.findPossibleCauses(crash);
            if (runs.size === 0) {
                continue;
            }
            const item = { upstream: crash.upstream, runs };
            evidence.push(item);
            const lastAt = Math.max(...[...crash.runs.values()].map(({ at }) => at));
            this.quarantines.known
                .filter(keys => isCausedBy(item, keys))
                .forEach(keys => this.quarantines.merge({ keys: [...keys], ageMs: now - lastAt }));
        }
        return evidence;
    }

    private findPossibleCauses(crash: Crash): Map<string, ReadonlySet<string>> {
        const causes = new Map<string, ReadonlySet<string>>();
        for (const [request, run] of crash.runs) {
            if (this.findEndAfter(crash, run.at) === "crashed" && !this.isAnsweredNear(request, run.at)) {
                causes.set(request, new Set(run.parts.filter(part => !this.isAnsweredNear(part, run.at))));
            }
        }
        return causes;
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

    private updateSuspects(suspects: readonly string[]): void {
        const now = this.clock.monotonic();
        for (const key of this.askedSince.keys()) {
            if (!suspects.includes(key)) {
                this.askedSince.delete(key);
                this.requestCounts.delete(key);
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
        for (const times of [this.answeredAt, this.othersAnsweredAt]) {
            for (const [key, at] of times) {
                if (times.size > MAX_ANSWERS || now - at > RETENTION_MS) {
                    times.delete(key);
                }
            }
        }
    }
}

/** Whether a request with all of these keys was in the crash. */
const isCausedBy = ({ runs }: CrashEvidence, keys: readonly string[]): boolean =>
    [...runs].some(([request, parts]) => keys.every(key => isPartKey(key) ? parts.has(key) : request === key));

const withoutCauses = (
    evidence: readonly CrashEvidence[],
    causes: readonly (readonly string[])[],
): CrashEvidence[] => evidence.filter(crash => !causes.some(keys => isCausedBy(crash, keys)));
