/**
 * What one entry instance sees of crashing upstreams: the requests whose connections broke, and a sample of how long others
 * lasted. Control instances put the observations of all instances together (`CrashHistory`).
 */
import * as z from "zod";
import { type Clock } from "../time/Clock.ts";
import { type CallKeys } from "./CallKeys.ts";
import { ObservedRun, runOutcomes, RunSamples } from "./RunSamples.ts";

/** How long a broken run is kept for control instances that have started again, in ms. */
const RUN_RETENTION_MS = 120_000;
const MAX_RUNS = 1000;
/** Most broken runs in one report; the others follow in the next ones. */
const MAX_REPORTED_RUNS = 100;
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
    /** Time since the request was sent, in ms; undefined from a build that doesn't report it. */
    startedAgeMs: z.number().optional(),
    /** Time from the beginning of the response to its newest part, in ms. */
    lastedMs: z.number().optional(),
    /** Whether nothing listened at the upstream's address right afterwards. */
    isRefused: z.boolean(),
    /** Whether something listened there; undefined from a build that reports no such runs. */
    isAccepted: z.boolean().optional(),
});

/** A request whose connection broke while its upstream may have run it. */
export type BrokenRun = z.infer<typeof brokenRunSchema>;

export const answerSchema = z.object({
    key: z.string(),
    /** Time since the newest answer to a request with the key, in ms. Builds without `runs` clear it of earlier crashes. */
    ageMs: z.number().optional(),
    /**
     * A sample of the runs of requests with the key: time since each was sent, how long its response has lasted, in ms, and its
     * outcome as an index into `runOutcomes`. Undefined from a build that doesn't report them.
     */
    runs: z.array(z.tuple([z.number(), z.number(), z.number()])).optional(),
    /** Time since the newest answer to a request without the key, in ms. */
    othersAgeMs: z.number().optional(),
    /** Of the newest requests, how many have the key, and how many there are. */
    requests: z.number().default(0),
    allRequests: z.number().default(0),
});

/** What an entry instance knows of requests with a suspected key, and of others. */
export type Answer = z.infer<typeof answerSchema>;

/** Broken runs that a control instance has not received yet. */
export interface BrokenRunReport {
    readonly runs: readonly BrokenRun[];
    /** Number of the last one, for the next report. */
    readonly last: number;
}

interface NumberedRun extends Omit<BrokenRun, "ageMs" | "startedAgeMs"> {
    readonly number: number;
    readonly at: number;
    readonly startedAt: number;
}

/** A run that has been answered, or whose response goes on for long. */
interface AnsweredRun {
    readonly at: number;
    readonly keys: ReadonlySet<string>;
}

/** Observations of this instance. */
export class CrashObserver {
    private readonly clock: Clock;
    private runs: NumberedRun[] = [];
    private lastNumber = 0;
    private readonly samples: RunSamples;
    /** The oldest first. */
    private newestAnswers: AnsweredRun[] = [];
    /** Keys of the parts of the newest requests, the oldest first. */
    private newestRequests: ReadonlySet<string>[] = [];

    public constructor(clock: Clock) {
        this.clock = clock;
        this.samples = new RunSamples(clock);
    }

    public recordBrokenRun({ ageMs, startedAgeMs = ageMs, ...run }: BrokenRun): void {
        const now = this.clock.monotonic();
        this.runs.push({ ...run, number: ++this.lastNumber, at: now - ageMs, startedAt: now - startedAgeMs });
        this.runs = this.runs.filter(({ at }) => now - at <= RUN_RETENTION_MS).slice(-MAX_RUNS);
    }

    /** Records a request that has been admitted, with the keys of its parts. */
    public recordRequest(parts: ReadonlySet<string>): void {
        if (this.newestRequests.push(parts) >= 2 * NEWEST_REQUESTS) {
            this.newestRequests = this.newestRequests.slice(-NEWEST_REQUESTS);
        }
    }

    /** To be called when a request is sent to an upstream. `isResumed`: another one has sent the beginning of the response. */
    public startRun({ request, parts }: CallKeys, isResumed: boolean): ObservedRun {
        const keys = new Set([request(), ...parts]);
        const run = new ObservedRun(this.clock, isResumed, () => {
            const answer = { at: this.clock.monotonic(), keys };
            this.newestAnswers = [...this.newestAnswers.slice(1 - NEWEST_ANSWERS), answer];
        });
        this.samples.add(run, keys);
        return run;
    }

    /** The broken runs after number `since`, the oldest first. */
    public runsSince(since: number): BrokenRunReport {
        const now = this.clock.monotonic();
        const reported = this.runs.filter(({ number }) => number > since).slice(0, MAX_REPORTED_RUNS);
        return {
            runs: reported.map((
                { upstream, start, request, parts, at, startedAt, lastedMs, isRefused, isAccepted },
            ) => ({
                upstream,
                start,
                request,
                parts,
                ageMs: now - at,
                startedAgeMs: now - startedAt,
                lastedMs,
                isRefused,
                isAccepted,
            })),
            last: reported.at(-1)?.number ?? since,
        };
    }

    /** What is known of requests with these keys. */
    public answersTo(keys: readonly string[]): Answer[] {
        const now = this.clock.monotonic();
        const requests = this.newestRequests.slice(-NEWEST_REQUESTS);
        return keys.map(key => {
            const runs = this.samples.runsOf(key);
            const sound = runs.filter(({ outcome }) => outcome !== "failed");
            const at = Math.max(...sound.map(({ answeredAt = -Infinity }) => answeredAt));
            const other = this.newestAnswers.findLast(answer => !answer.keys.has(key));
            return {
                key,
                ...(at === -Infinity ? {} : { ageMs: now - at }),
                ...(other === undefined ? {} : { othersAgeMs: now - other.at }),
                runs: runs.map(({ startedAt, lastedMs, outcome }) => [
                    Math.round(now - startedAt),
                    Math.round(lastedMs),
                    runOutcomes.indexOf(outcome),
                ]),
                requests: requests.filter(parts => parts.has(key)).length,
                allRequests: requests.length,
            };
        });
    }
}
