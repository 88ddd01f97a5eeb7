/**
 * What one entry instance sees of crashing upstreams: the requests whose connections broke, and the requests that were
 * answered. Control instances put the observations of all instances together (`CrashHistory`).
 */
import * as z from "zod";
import { type Clock } from "../time/Clock.ts";

/** How long a broken run is kept for control instances that have started again, in ms. */
const RUN_RETENTION_MS = 120_000;
const MAX_RUNS = 1000;
/** Most broken runs in one report; the others follow in the next ones. */
const MAX_REPORTED_RUNS = 100;
/** How long an answer is remembered, in ms. */
const ANSWER_RETENTION_MS = 30_000;
/** Most keys whose newest answers are remembered. */
const MAX_KEYS = 5000;
/** Least time between two evictions of answers, in ms. Each passes over the entries that were renewed since. */
const EVICTION_PERIOD_MS = 1000;
/** Number of the newest answers, and of the newest requests, of which all keys are remembered. */
const NEWEST_ANSWERS = 50;
const NEWEST_REQUESTS = 200;

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
    /** Time since the newest answer to a request with the key, in ms. */
    ageMs: z.number().optional(),
    /** Time since the newest answer to a request without the key, in ms. */
    othersAgeMs: z.number().optional(),
    /** Of the newest requests, how many have the key, and how many there are. */
    requests: z.number().default(0),
    allRequests: z.number().default(0),
});

/** The newest answers, with regard to a suspected key. An answer also counts while it goes on for long. */
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
    private evictedAt = -Infinity;
    /** The oldest first. */
    private newestAnswers: { readonly at: number; readonly keys: ReadonlySet<string>; }[] = [];
    /** Keys of the parts of the newest requests, the oldest first. */
    private newestRequests: ReadonlySet<string>[] = [];

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public recordBrokenRun({ ageMs, ...run }: BrokenRun): void {
        const now = this.clock.monotonic();
        this.runs.push({ ...run, number: ++this.lastNumber, at: now - ageMs });
        this.runs = this.runs.filter(({ at }) => now - at <= RUN_RETENTION_MS).slice(-MAX_RUNS);
    }

    /** Records a request that has been admitted, with the keys of its parts. */
    public recordRequest(parts: ReadonlySet<string>): void {
        if (this.newestRequests.push(parts) >= 2 * NEWEST_REQUESTS) {
            this.newestRequests = this.newestRequests.slice(-NEWEST_REQUESTS);
        }
    }

    /** Records an answer to a request with these keys. */
    public recordAnswer(keys: readonly string[]): void {
        const now = this.clock.monotonic();
        this.newestAnswers = [...this.newestAnswers.slice(1 - NEWEST_ANSWERS), { at: now, keys: new Set(keys) }];
        for (const key of keys) {
            this.answeredAt.delete(key);
            this.answeredAt.set(key, now);
        }
        if (this.answeredAt.size > MAX_KEYS || now - this.evictedAt > EVICTION_PERIOD_MS) {
            this.evictedAt = now;
            this.evictOldest(now);
        }
    }

    private evictOldest(now: number): void {
        for (const [oldest, at] of this.answeredAt) {
            if (this.answeredAt.size <= MAX_KEYS && now - at <= ANSWER_RETENTION_MS) {
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

    /** The newest answers with regard to these keys. */
    public answersTo(keys: readonly string[]): Answer[] {
        const now = this.clock.monotonic();
        const requests = this.newestRequests.slice(-NEWEST_REQUESTS);
        return keys.map(key => {
            const at = this.answeredAt.get(key);
            const other = this.newestAnswers.findLast(answer => !answer.keys.has(key));
            return {
                key,
                ...(at === undefined ? {} : { ageMs: now - at }),
                ...(other === undefined ? {} : { othersAgeMs: now - other.at }),
                requests: requests.filter(parts => parts.has(key)).length,
                allRequests: requests.length,
            };
        });
    }
}
