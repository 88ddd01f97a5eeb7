/**
 * Finds the requests that crash upstreams, from the observations of all entry instances. A connection can break for many
 * reasons, so a broken run counts only when the process of its upstream has ended. Many requests run beside the one that
 * ends a process. Of the requests that were in each of several crashes, the one with the most is blamed first, and its
 * crashes count for no other. Requests that have been answered in full are never blamed for crashes near that time; control
 * instances ask all entry instances for such answers before they decide.
 */
import { type Clock } from "../time/Clock.ts";
import { type Answer, type BrokenRun } from "./CrashObserver.ts";
import { type Quarantine, QuarantineList } from "./QuarantineList.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Crashes after which a request is blamed if no other request was in all of them. */
const SOLE_CRASHES = 2;
/** Crashes after which it is blamed in any case. */
const SHARED_CRASHES = 3;
/** Time in which entry instances can report answers before a suspect is blamed, in ms. */
const HEARING_MS = 800;
/** A crash is not blamed on a request that was answered later, or less than this long before, in ms. */
const ANSWER_VALIDITY_MS = 10_000;
/** A process whose heartbeats stop ends with its connections, even if its address doesn't refuse others, in ms. */
const SILENCE_MS = 3000;
/** A heartbeat that arrives within this time after the end of a connection may have been sent before, in ms. */
const HEARTBEAT_DELAY_MS = 200;
/** How long crashes are kept, in ms. */
const RETENTION_MS = 600_000;
const MAX_CRASHES = 300;
/** Most requests that are kept of one crash. */
const MAX_RUNS = 100;
/** Most suspects that entry instances are asked about. */
const MAX_SUSPECTS = 100;
/** Most suspects whose newest answers are kept. */
const MAX_ANSWERS = 1000;

/** The possible crash of one process. */
interface Crash {
    readonly upstream: string;
    readonly start: number;
    /** Monotonic time at which the connection of each request broke, in ms. */
    readonly runs: Map<string, number>;
    /** Monotonic time at which a connection was refused, in ms. */
    refusedAt: number;
}

/** A request that has been blamed. */
export interface Verdict {
    readonly key: string;
    /** Ids of the upstreams that crashed. */
    readonly upstreams: readonly string[];
}

/** Crashes seen by all entry instances, and the verdicts. */
export class CrashHistory {
    public readonly quarantines: QuarantineList;
    private readonly clock: Clock;
    private readonly directory: UpstreamDirectory;
    private readonly crashes = new Map<string, Crash>();
    /** Monotonic time of the newest answer to each suspect, in ms. */
    private readonly answeredAt = new Map<string, number>();
    /** Monotonic time since which entry instances have been asked about each suspect, in ms. */
    private readonly askedSince = new Map<string, number>();
    private suspectKeys: readonly string[] = [];

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
        for (const { upstream, start, request, ageMs, isRefused } of runs) {
            const name = `${upstream} ${start}`;
            const crash = this.crashes.get(name)
                ?? { upstream, start, runs: new Map<string, number>(), refusedAt: -Infinity };
            const at = now - ageMs;
            if (crash.runs.has(request) || crash.runs.size < MAX_RUNS) {
                crash.runs.set(request, Math.max(at, crash.runs.get(request) ?? -Infinity));
            }
            crash.refusedAt = isRefused ? Math.max(at, crash.refusedAt) : crash.refusedAt;
            this.crashes.set(name, crash);
        }
        this.evictOld(now);
    }

    public recordAnswers(answers: readonly Answer[]): void {
        const now = this.clock.monotonic();
        for (const { key, ageMs } of answers) {
            if (this.askedSince.has(key)) {
                this.answeredAt.set(key, Math.max(now - ageMs, this.answeredAt.get(key) ?? -Infinity));
            }
        }
    }

    /** Adds quarantines that another instance knows; returns whether one was not in force here. */
    public mergeQuarantines(quarantines: readonly Quarantine[]): boolean {
        return quarantines.filter(item => this.quarantines.merge(item)).length > 0;
    }

    /**
     * Updates the suspects, and quarantines those to blame unless `mayBlame` is false. To be called periodically; returns
     * the new verdicts.
     */
    public evaluate(mayBlame: boolean): Verdict[] {
        const crashes = this.findUnexplained();
        this.updateSuspects(crashes);
        const verdicts: Verdict[] = [];
        if (!mayBlame) {
            return verdicts;
        }
        for (let verdict = this.findCulprit(crashes); verdict !== undefined; verdict = this.findCulprit(crashes)) {
            this.quarantines.merge({ key: verdict.key, ageMs: 0 });
            verdicts.push(verdict);
            for (const [crash, keys] of crashes) {
                if (keys.has(verdict.key)) {
                    crashes.delete(crash);
                }
            }
        }
        return verdicts;
    }

    /** The processes that have ended without a known cause, with the requests that may be the cause. */
    private findUnexplained(): Map<Crash, Set<string>> {
        const found = new Map<Crash, Set<string>>();
        for (const crash of this.crashes.values()) {
            const keys = this.findPossibleCauses(crash);
            const known = [...keys].filter(key => this.quarantines.isKnown(key));
            const now = this.clock.monotonic();
            known.forEach(key => this.quarantines.merge({ key, ageMs: now - (crash.runs.get(key) ?? now) }));
            if (known.length === 0 && keys.size > 0) {
                found.set(crash, keys);
            }
        }
        return found;
    }

    private findPossibleCauses({ upstream, start, runs, refusedAt }: Crash): Set<string> {
        const now = this.clock.monotonic();
        const current = this.directory.get(upstream);
        const isReplaced = current !== undefined && current.record.start > start;
        const aliveAt = current?.record.start === start ? current.receivedAt - HEARTBEAT_DELAY_MS : -Infinity;
        const keys = new Set<string>();
        for (const [key, at] of runs) {
            const hasEnded = isReplaced || (aliveAt < at && (refusedAt >= at || now - at > SILENCE_MS));
            const isAnswered = (this.answeredAt.get(key) ?? -Infinity) + ANSWER_VALIDITY_MS > at;
            if (hasEnded && !isAnswered) {
                keys.add(key);
            }
        }
        return keys;
    }

    private updateSuspects(crashes: ReadonlyMap<Crash, ReadonlySet<string>>): void {
        const now = this.clock.monotonic();
        const suspects = [...countCrashes(crashes)]
            .filter(([, count]) => count >= SOLE_CRASHES)
            .sort(([, a], [, b]) => b - a)
            .slice(0, MAX_SUSPECTS)
            .map(([key]) => key);
        for (const key of this.askedSince.keys()) {
            if (!suspects.includes(key)) {
                this.askedSince.delete(key);
            }
        }
        suspects.filter(key => !this.askedSince.has(key)).forEach(key => this.askedSince.set(key, now));
        if (suspects.length !== this.suspectKeys.length || suspects.some(key => !this.suspectKeys.includes(key))) {
            this.suspectKeys = suspects;
        }
    }

    /** The request that explains the most crashes, if the evidence suffices. */
    private findCulprit(crashes: ReadonlyMap<Crash, ReadonlySet<string>>): Verdict | undefined {
        const counts = countCrashes(crashes);
        const most = Math.max(0, ...counts.values());
        const candidates = [...counts].filter(([, count]) => count === most).map(([key]) => key);
        const key = candidates.find(item => this.isHeard(item) && isProven(item, most, crashes, candidates));
        return key === undefined
            ? undefined
            : { key, upstreams: crashesWith(key, crashes).map(crash => crash.upstream) };
    }

    private isHeard(key: string): boolean {
        return this.clock.monotonic() - (this.askedSince.get(key) ?? Infinity) >= HEARING_MS;
    }

    private evictOld(now: number): void {
        for (const [name, { runs }] of this.crashes) {
            const lastAt = Math.max(...runs.values());
            if (this.crashes.size > MAX_CRASHES || now - lastAt > RETENTION_MS) {
                this.crashes.delete(name);
            }
        }
        for (const [key, at] of this.answeredAt) {
            if (this.answeredAt.size > MAX_ANSWERS || now - at > RETENTION_MS) {
                this.answeredAt.delete(key);
            }
        }
    }
}

/** Number of crashes by key. */
const countCrashes = (crashes: ReadonlyMap<Crash, ReadonlySet<string>>): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const keys of crashes.values()) {
        for (const key of keys) {
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    return counts;
};

const crashesWith = (key: string, crashes: ReadonlyMap<Crash, ReadonlySet<string>>): Crash[] =>
    [...crashes].filter(([, keys]) => keys.has(key)).map(([crash]) => crash);

/** Whether `count` crashes suffice to blame the key, given the others with as many. */
const isProven = (
    key: string,
    count: number,
    crashes: ReadonlyMap<Crash, ReadonlySet<string>>,
    candidates: readonly string[],
): boolean => {
    if (count < SOLE_CRASHES || count >= SHARED_CRASHES) {
        return count >= SHARED_CRASHES;
    }
    const own = crashesWith(key, crashes);
    return !candidates.some(other => other !== key && own.every(crash => crashes.get(crash)?.has(other) === true));
};
