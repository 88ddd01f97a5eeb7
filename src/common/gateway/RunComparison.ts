/**
 * Compares the runs during which upstreams crashed with the other runs of requests that have the same key. What crashes upstreams
 * ends nearly each run that begins from some time on; what was merely there leaves runs that last as long and go on. The starts are
 * compared, not the ends: a run that began before says nothing about a part that became fatal meanwhile.
 */
import { type RunOutcome } from "./RunSamples.ts";

/** A key is suspected while more than this many times as many runs have crashed as have lasted as long and did not. */
const CRASHED_PER_SOUND_RUN = 2;
/** Most crashes from whose runs on the comparison is tried. */
const MAX_CRASHES = 30;
/** The runs that last as long as this quantile of the crashed ones are compared. */
const COMPARED_QUANTILE = 0.5;

/** A run that lasted for some time after its response had begun. */
export interface SampledRun {
    /** Monotonic time of its start, in ms. */
    readonly startedAt: number;
    /** In ms; 0 if no response began. */
    readonly lastedMs: number;
    readonly outcome: RunOutcome;
}

/** A run during which its upstream crashed. */
export interface CrashedRun extends Pick<SampledRun, "startedAt" | "lastedMs"> {
    /** Number of the moment of the crash, at which other processes may have ended too. */
    readonly crash: number;
}

/** Samples of the runs of requests with each suspect, as entry instances report them. */
export class RunComparison {
    private readonly reports = new Map<string, Map<string, readonly SampledRun[]>>();

    /** Records the runs that an entry instance knows of, in place of those that it reported before. */
    public record(from: string, key: string, runs: readonly SampledRun[]): void {
        const reports = this.reports.get(key) ?? new Map<string, readonly SampledRun[]>();
        reports.set(from, runs);
        this.reports.set(key, reports);
    }

    public forget(key: string): void {
        this.reports.delete(key);
    }

    /** Monotonic time of the start from which on most runs with the key have crashed upstreams, in ms; Infinity if there is none. */
    public crashingSince(key: string, crashed: readonly CrashedRun[]): number {
        const longestMs = Math.max(0, ...crashed.map(({ lastedMs }) => lastedMs));
        const lastStart = Math.max(...crashed.map(({ startedAt }) => startedAt));
        if (this.hasAnswer(key, lastStart, longestMs)) {
            return Infinity;
        }
        const sampled = this.runsOf(key);
        return startsByCrash(crashed).find(start => {
            const counted = crashed.filter(({ startedAt }) => startedAt >= start);
            const longest = longestByCrash(counted);
            const comparedMs = longest[Math.ceil(longest.length * COMPARED_QUANTILE) - 1] ?? 0;
            const lasting = sampled.filter(({ startedAt, lastedMs }) => startedAt >= start && lastedMs >= comparedMs);
            const failed = lasting.filter(({ outcome }) => outcome === "failed").length;
            // Of a key that many requests have, only a sample is known of either kind of run.
            const crashes = Math.max(failed, longest.filter(ms => ms >= comparedMs).length);
            return crashes > CRASHED_PER_SOUND_RUN * (lasting.length - failed);
        }) ?? Infinity;
    }

    /** Whether a run with the key that was sent no earlier than `since` has been answered, and lasted at least `ms`. */
    public hasAnswer(key: string, since: number, ms: number): boolean {
        return this.runsOf(key).some(({ startedAt, lastedMs, outcome }) =>
            outcome === "complete" && startedAt >= since && lastedMs >= ms
        );
    }

    private runsOf(key: string): readonly SampledRun[] {
        return [...this.reports.get(key)?.values() ?? []].flat();
    }
}

/** How long the longest run of each crash lasted, in ascending order, in ms. */
const longestByCrash = (runs: readonly CrashedRun[]): number[] => {
    const longest = new Map<number, number>();
    for (const { crash, lastedMs } of runs) {
        longest.set(crash, Math.max(lastedMs, longest.get(crash) ?? 0));
    }
    return [...longest.values()].sort((a, b) => a - b);
};

/** The first and last starts of the runs in each of the newest crashes, in ascending order. */
const startsByCrash = (runs: readonly CrashedRun[]): number[] => {
    const starts = new Map<number, number[]>();
    for (const { crash, startedAt } of runs) {
        const [first = startedAt, last = startedAt] = starts.get(crash) ?? [];
        starts.set(crash, [Math.min(first, startedAt), Math.max(last, startedAt)]);
    }
    const newest = [...starts.keys()].sort((a, b) => a - b).slice(-MAX_CRASHES);
    return newest.flatMap(crash => starts.get(crash) ?? []).sort((a, b) => a - b);
};
