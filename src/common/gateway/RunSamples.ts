/**
 * Samples of the requests that upstreams run for one entry instance, by what the requests have in common. They show how long requests
 * with a key last, for comparison with those during which an upstream ended.
 */
import { type Clock } from "../time/Clock.ts";

/** Most runs that are remembered of one key; of more, those are dropped that began soon after another one. */
const MAX_RUNS = 16;
/** Runs that began longer ago than this are dropped rather than newer ones at the same intervals, in ms. */
const AGE_SCALE_MS = 500;
/** Most keys, and how long a key is remembered after the start of its newest run, in ms. */
const MAX_KEYS = 10_000;
const RETENTION_MS = 30_000;
/** Least time between two evictions, in ms. Each passes over the keys that were renewed since. */
const EVICTION_PERIOD_MS = 1000;
/** A response that has gone on for this long counts as an answer of its upstream, in ms. */
const LONG_ANSWER_MS = 1000;

/** `complete` if the run has sent the whole response; `open` if it goes on, was aborted, or has sent the end of a response. */
export const runOutcomes = ["open", "complete", "failed"] as const;
export type RunOutcome = typeof runOutcomes[number];

/** The run of one request at one upstream. */
export class ObservedRun {
    /** Monotonic time at which the request was sent, in ms. */
    public readonly startedAt: number;
    private readonly clock: Clock;
    private readonly isResumed: boolean;
    private readonly onAnswered: () => void;
    /** Monotonic times at which the response began and last went on, in ms. */
    private respondedAt: number | undefined;
    private progressAt = 0;
    private isAnswered = false;
    private hasEnded = false;
    private hasFailed = false;

    /**
     * @param isResumed whether another run has sent the beginning of the response
     * @param onAnswered called once the upstream has answered, or has been answering for long
     */
    public constructor(clock: Clock, isResumed: boolean, onAnswered: () => void) {
        this.clock = clock;
        this.isResumed = isResumed;
        this.onAnswered = onAnswered;
        this.startedAt = clock.monotonic();
    }

    /** Time from the beginning of the response to its newest part, in ms; 0 before it. */
    public get lastedMs(): number {
        return this.progressAt - (this.respondedAt ?? this.progressAt);
    }

    /** Monotonic time at which it was last seen to be answered, in ms; undefined if it was not. */
    public get answeredAt(): number | undefined {
        return this.isAnswered ? this.progressAt : undefined;
    }

    public get outcome(): RunOutcome {
        if (this.hasFailed) {
            return "failed";
        }
        return this.hasEnded && !this.isResumed ? "complete" : "open";
    }

    /** Whether it shows how long such requests last: its response has begun, or it has failed. */
    public get isComparable(): boolean {
        return this.respondedAt !== undefined || this.hasFailed;
    }

    /** To be called for each part of the response. */
    public recordProgress(): void {
        this.progressAt = this.clock.monotonic();
        this.respondedAt ??= this.progressAt;
        if (this.lastedMs >= LONG_ANSWER_MS) {
            this.reportAnswer();
        }
    }

    /** To be called when the response is complete. */
    public complete(): void {
        this.hasEnded = true;
        this.recordProgress();
        this.reportAnswer();
    }

    /** To be called when the run has failed otherwise than by being aborted. */
    public fail(): void {
        this.hasFailed = true;
    }

    private reportAnswer(): void {
        if (!this.isAnswered) {
            this.isAnswered = true;
            this.onAnswered();
        }
    }
}

/** The newest runs by key. */
export class RunSamples {
    private readonly clock: Clock;
    /** Runs in the order of their starts, by key; the key whose newest run is oldest first. */
    private readonly byKey = new Map<string, ObservedRun[]>();
    private evictedAt = -Infinity;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public add(run: ObservedRun, keys: Iterable<string>): void {
        for (const key of keys) {
            const runs = this.byKey.get(key) ?? [];
            runs.push(run);
            if (runs.length > MAX_RUNS) {
                runs.splice(this.findSuperfluous(runs), 1);
            }
            this.byKey.delete(key);
            this.byKey.set(key, runs);
        }
        this.evict();
    }

    /** The runs of requests with the key that can be compared, in the order of their starts. */
    public runsOf(key: string): ObservedRun[] {
        return this.byKey.get(key)?.filter(run => run.isComparable) ?? [];
    }

    /** Index of the run that adds least, so that the ages of those that remain are spread. */
    private findSuperfluous(runs: readonly ObservedRun[]): number {
        const now = this.clock.monotonic();
        const startOf = (index: number): number => runs[index]?.startedAt ?? now;
        let found = 0;
        let leastGap = Infinity;
        for (let index = 0; index < runs.length - 1; index++) {
            const age = now - startOf(index) + AGE_SCALE_MS;
            const gap = index === 0 ? Infinity : (startOf(index + 1) - startOf(index - 1)) / age;
            if (gap < leastGap) {
                leastGap = gap;
                found = index;
            }
        }
        return found;
    }

    private evict(): void {
        const now = this.clock.monotonic();
        if (this.byKey.size <= MAX_KEYS && now - this.evictedAt <= EVICTION_PERIOD_MS) {
            return;
        }
        this.evictedAt = now;
        for (const [key, runs] of this.byKey) {
            if (this.byKey.size <= MAX_KEYS && now - (runs.at(-1)?.startedAt ?? 0) <= RETENTION_MS) {
                break;
            }
            this.byKey.delete(key);
        }
    }
}
