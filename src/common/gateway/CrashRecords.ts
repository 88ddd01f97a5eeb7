/**
 * The upstream processes under which connections broke, and what is known of their ends. A connection can break for many reasons:
 * a process has crashed only if it has ended without announcing it, and processes that end at once may have a common cause.
 */
import { type Clock } from "../time/Clock.ts";
import { isPartKey } from "./CallKeys.ts";
import { type BrokenRun } from "./CrashObserver.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";
import { hasLeft } from "./UpstreamRecord.ts";

/** Crashes that come within this time of each other count as one moment, in ms. */
const MOMENT_MS = 100;
/** A process whose heartbeats stop ends with its connections, even if its address doesn't refuse others, in ms. */
const SILENCE_MS = 3000;
/** A heartbeat that arrives within this time after the end of a connection may have been sent before, in ms. */
const HEARTBEAT_DELAY_MS = 200;
/** How long processes are remembered after the last broken run, in ms. */
const RETENTION_MS = 600_000;
const MAX_PROCESSES = 300;
/** Most requests that are kept of one process. */
const MAX_RUNS = 200;

/** A request whose connection broke. */
export interface Run {
    /** Monotonic time at which the connection broke, in ms. */
    readonly at: number;
    /** Monotonic time at which the request was sent, in ms, and how long its response lasted. */
    readonly startedAt: number;
    readonly lastedMs: number;
    readonly parts: readonly string[];
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

interface ProcessRecord {
    readonly upstream: string;
    readonly start: number;
    /** Runs by the key of the request. */
    readonly runs: Map<string, Run>;
    /** Monotonic time at which a connection was refused, in ms. */
    refusedAt: number;
    /** Monotonic time at which a connection was accepted, by this process or another one at its address, in ms. */
    acceptedAt: number;
    /** Monotonic time of the newest message of the process, in ms; kept when the directory has forgotten it. */
    heardAt: number;
    /** Whether it has announced its end; whether another process has taken its id or address. */
    hasLeft: boolean;
    isReplaced: boolean;
    /** What was last reported of it; undefined before. */
    finding: CrashFinding | undefined;
}

/** A process that has ended, and the runs that broke when it did, by the key of the request. */
export interface EndedProcess {
    /** Id of the upstream. */
    readonly upstream: string;
    readonly runs: readonly (readonly [string, Run])[];
    /** Monotonic time of the last broken run, in ms. */
    readonly at: number;
}

/** Crashes at one moment; monotonic time of the first, in ms. */
export interface Moment {
    readonly processes: readonly EndedProcess[];
    readonly at: number;
}

/** The processes, by id and start. */
export class CrashRecords {
    private readonly clock: Clock;
    private readonly directory: UpstreamDirectory;
    private readonly processes = new Map<string, ProcessRecord>();

    public constructor(clock: Clock, directory: UpstreamDirectory) {
        this.clock = clock;
        this.directory = directory;
    }

    public recordRun(run: BrokenRun): void {
        const { upstream, start, request, parts, ageMs, startedAgeMs = ageMs, lastedMs = 0, isRefused, isAccepted } =
            run;
        const now = this.clock.monotonic();
        const name = `${upstream} ${start}`;
        const process = this.processes.get(name) ?? createRecord(upstream, start);
        const at = now - ageMs;
        const previous = process.runs.get(request);
        if (previous === undefined ? process.runs.size < MAX_RUNS : previous.at < at) {
            process.runs.set(request, { at, startedAt: now - startedAgeMs, lastedMs, parts });
        }
        process.refusedAt = isRefused ? Math.max(at, process.refusedAt) : process.refusedAt;
        process.acceptedAt = isAccepted === true ? Math.max(at, process.acceptedAt) : process.acceptedAt;
        this.processes.set(name, process);
        this.evictOld(now);
    }

    /** Remembers what the directory knows of the processes. To be called more often than the directory forgets them. */
    public update(): void {
        for (const process of this.processes.values()) {
            const known = this.directory.get(process.upstream);
            if (known?.record.start === process.start) {
                process.heardAt = known.receivedAt;
                process.hasLeft = hasLeft(known.record);
                process.isReplaced = known.record.state === "gone" && !process.hasLeft;
            }
            else if (known !== undefined && known.record.start > process.start) {
                process.isReplaced = true;
            }
        }
    }

    /** The crashes, in the order of their times. */
    public collectMoments(): Moment[] {
        const ended = [...this.processes.values()].map(process => {
            const runs = [...process.runs].filter(([, { at }]) => this.findEnd(process, at) === "crashed");
            return { upstream: process.upstream, runs, at: Math.max(...runs.map(([, { at }]) => at)) };
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

    /** What has become known of the processes since the last call; `isCleared` tells which requests are not the cause. */
    public takeFindings(isCleared: (request: string, run: Run) => boolean): CrashFinding[] {
        const findings: CrashFinding[] = [];
        for (const process of this.processes.values()) {
            const { upstream, start, runs, finding } = process;
            const end = this.findEnd(process, lastBreakOf(process));
            const possibleCauses = end === "crashed"
                ? [...runs].filter(([key, run]) => !isCleared(key, run)).length
                : 0;
            if (end !== finding?.end || possibleCauses !== finding.possibleCauses) {
                process.finding = { upstream, start, end, runs: runs.size, possibleCauses };
                findings.push(process.finding);
            }
        }
        return findings;
    }

    /** What is known of a process after a connection broke at this monotonic time, in ms. */
    private findEnd(process: ProcessRecord, at: number): ProcessEnd {
        const { refusedAt, acceptedAt, heardAt, isReplaced } = process;
        if (heardAt - HEARTBEAT_DELAY_MS >= at) {
            return "alive";
        }
        if (process.hasLeft) {
            return "left";
        }
        const isSilent = this.clock.monotonic() - at > SILENCE_MS && acceptedAt < at;
        return isReplaced || refusedAt >= at || isSilent ? "crashed" : "unknown";
    }

    private evictOld(now: number): void {
        for (const [name, process] of this.processes) {
            if (this.processes.size > MAX_PROCESSES || now - lastBreakOf(process) > RETENTION_MS) {
                this.processes.delete(name);
            }
        }
    }
}

/** Whether a request with all of these keys, which `counts` accepts, ran in a process that ended at that moment. */
export const isCausedBy = (
    { processes }: Moment,
    keys: readonly string[],
    counts?: (key: string, run: Run) => boolean,
): boolean => processes.some(process => hasRunWith(process, keys, counts));

/** The same for one process. */
export const hasRunWith = (
    { runs }: EndedProcess,
    keys: readonly string[],
    counts: (key: string, run: Run) => boolean = () => true,
): boolean =>
    runs.some(([request, run]) =>
        keys.every(key => (isPartKey(key) ? run.parts.includes(key) : request === key) && counts(key, run))
    );

const createRecord = (upstream: string, start: number): ProcessRecord => ({
    upstream,
    start,
    runs: new Map(),
    refusedAt: -Infinity,
    acceptedAt: -Infinity,
    heardAt: -Infinity,
    hasLeft: false,
    isReplaced: false,
    finding: undefined,
});

const lastBreakOf = ({ runs }: ProcessRecord): number => Math.max(...[...runs.values()].map(({ at }) => at));
