/**
 * What one entry instance sees of crashing upstreams: the requests whose connections broke, and the requests that were
 * answered in full. Control instances put the observations of all instances together (`CrashHistory`).
 */
import { z } from "zod";
import { type Clock } from "../time/Clock.ts";

/** How long a broken run is kept for control instances that have started again, in ms. */
const RUN_RETENTION_MS = 120_000;
const MAX_RUNS = 1000;
/** Most broken runs in one report; the others follow in the next ones. */
const MAX_REPORTED_RUNS = 100;
/** How long an answer is remembered, in ms. */
const ANSWER_RETENTION_MS = 30_000;
const MAX_ANSWERS = 5000;

export const brokenRunSchema = z.object({
    /** Id and start of the process of the upstream. */
    upstream: z.string(),
    start: z.number(),
    /** Keys of the request and of the parts of its prompt; see `CallKeys`. */
    request: z.string(),
    parts: z.array(z.string()),
    /** Time since the connection broke, in ms. */
    ageMs: z.number(),
    /** Whether nothing listened at the upstream's address right afterwards. */
    isRefused: z.boolean(),
});

/** A request whose connection broke while its upstream may have run it. */
export type BrokenRun = z.infer<typeof brokenRunSchema>;

export const answerSchema = z.object({
    key: z.string(),
    /** Time since the end of the newest answer, in ms. */
    ageMs: z.number(),
});

/** The newest answer in full to a request with this key. */
export type Answer = z.infer<typeof answerSchema>;

/** Broken runs that a control instance has not received yet. */
export interface BrokenRunReport {
    readonly runs: readonly BrokenRun[];
    /** Number of the last one, for the next report. */
    readonly last: number;
}

interface NumberedRun extends Omit<BrokenRun, "ageMs"> {
    readonly number: number;
    readonly at: number;
}

/** Observations of this instance. */
export class CrashObserver {
    private readonly clock: Clock;
    private runs: NumberedRun[] = [];
    private lastNumber = 0;
    /** Monotonic time of the newest answer by key, in ms; the oldest first. */
    private readonly answeredAt = new Map<string, number>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public recordBrokenRun({ ageMs, ...run }: BrokenRun): void {
        const now = this.clock.monotonic();
        this.runs.push({ ...run, number: ++this.lastNumber, at: now - ageMs });
        this.runs = this.runs.filter(({ at }) => now - at <= RUN_RETENTION_MS).slice(-MAX_RUNS);
    }

    /** Records that a request with these keys was answered in full. */
    public recordAnswer(keys: Iterable<string>): void {
        const now = this.clock.monotonic();
        for (const key of keys) {
            this.answeredAt.delete(key);
            this.answeredAt.set(key, now);
        }
        for (const [oldest, at] of this.answeredAt) {
            if (this.answeredAt.size <= MAX_ANSWERS && now - at <= ANSWER_RETENTION_MS) {
                break;
            }
            this.answeredAt.delete(oldest);
        }
    }

    /** The broken runs after number `since`, the oldest first. */
    public runsSince(since: number): BrokenRunReport {
        const now = this.clock.monotonic();
        const reported = this.runs.filter(({ number }) => number > since).slice(0, MAX_REPORTED_RUNS);
        return {
            runs: reported.map(({ upstream, start, request, parts, at, isRefused }) => ({
                upstream,
                start,
                request,
                parts,
                ageMs: now - at,
                isRefused,
            })),
            last: reported.at(-1)?.number ?? since,
        };
    }

    /** The newest answers to requests with these keys. */
    public answersTo(keys: Iterable<string>): Answer[] {
        const now = this.clock.monotonic();
        const answers: Answer[] = [];
        for (const key of keys) {
            const at = this.answeredAt.get(key);
            if (at !== undefined) {
                answers.push({ key, ageMs: now - at });
            }
        }
        return answers;
    }
}
