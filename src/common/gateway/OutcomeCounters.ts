/**
 * Counts the outcomes of requests by service, version and route. Entry instances report totals since the start of
 * their process, or since the newest roll-out to the version, so that a lost or duplicated report does no harm.
 */
import * as z from "zod";
import { type Rollout } from "./FleetState.ts";
import { addTime, sumHistograms } from "./TimeHistogram.ts";

export const routeOutcomeCountsSchema = z.object({
    service: z.string(),
    version: z.string(),
    route: z.string(),
    /** Requests that an upstream answered, with or without success. */
    answers: z.number(),
    /** Answers in which the upstream reported its own failure. */
    failures: z.number(),
    /** Successful answers whose latency was measured. */
    timed: z.number(),
    /** Sum of the natural logarithms of these latencies in ms. */
    logMsSum: z.number(),
    /**
     * Times until a response began, as a `TimeHistogram`. Those of attempts that were given up because no response came
     * are included with the time waited.
     */
    latencies: z.array(z.number()).default([]),
    /** Median times between the events of a stream, as a `TimeHistogram` with one time for each stream. */
    paces: z.array(z.number()).default([]),
    /** Id of the roll-out to the version since which these are counted; undefined for the start of the process. */
    rollout: z.number().optional(),
});

/** Outcome counts of one version on one route. */
export type RouteOutcomeCounts = z.infer<typeof routeOutcomeCountsSchema>;

type MutableCounts = { -readonly [K in keyof RouteOutcomeCounts]: RouteOutcomeCounts[K]; };

/** Outcome counts of this instance. */
export class OutcomeCounters {
    private readonly counts = new Map<string, MutableCounts>();
    /** The newest roll-out to each version, by service and version. */
    private readonly rollouts = new Map<string, { readonly id: number; readonly knownAt: number; }>();

    /**
     * Starts anew the counts of each version to which a new roll-out leads: what the version answered before says nothing
     * about it now.
     *
     * @param now boot time, in ms
     */
    public startRollouts(rollouts: readonly Rollout[], now: number): void {
        for (const { id, service, target } of rollouts) {
            const key = versionKeyOf(service, target);
            if (id === undefined || id === this.rollouts.get(key)?.id) {
                continue;
            }
            this.rollouts.set(key, { id, knownAt: now });
            for (const [countKey, count] of this.counts) {
                if (count.service === service && count.version === target) {
                    this.counts.delete(countKey);
                }
            }
        }
    }

    /**
     * Whether the outcome of a request counts for the version on which it ran: not if it arrived before the newest roll-out to
     * that version.
     *
     * @param arrivedAt boot time, in ms
     */
    public isCounted(service: string, version: string, arrivedAt: number): boolean {
        return arrivedAt >= (this.rollouts.get(versionKeyOf(service, version))?.knownAt ?? -Infinity);
    }

    /** Counts an answer. `latencyMs` is undefined for a failure or when the latency was not measured. */
    public record(service: string, version: string, route: string, isFailure: boolean, latencyMs?: number): void {
        const count = this.countOf(service, version, route);
        count.answers++;
        count.failures += isFailure ? 1 : 0;
        if (latencyMs !== undefined) {
            count.timed++;
            count.logMsSum += Math.log(Math.max(1, latencyMs));
            addTime(count.latencies, latencyMs);
        }
    }

    /** Records an attempt that was given up after `waitedMs` without a response. */
    public recordUnanswered(service: string, version: string, route: string, waitedMs: number): void {
        addTime(this.countOf(service, version, route).latencies, waitedMs);
    }

    /** Records the median time between the events of a stream. */
    public recordPace(service: string, version: string, route: string, paceMs: number): void {
        addTime(this.countOf(service, version, route).paces, paceMs);
    }

    /** Returns copies of the counts of the services for which `isWanted` is true. */
    public select(isWanted: (service: string) => boolean): RouteOutcomeCounts[] {
        return [...this.counts.values()].filter(count => isWanted(count.service)).map(copyOf);
    }

    private countOf(service: string, version: string, route: string): MutableCounts {
        const rollout = this.rollouts.get(versionKeyOf(service, version))?.id;
        const key = keyOf({ service, version, route, rollout });
        const existing = this.counts.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const count: MutableCounts = {
            service,
            version,
            route,
            rollout,
            answers: 0,
            failures: 0,
            timed: 0,
            logMsSum: 0,
            latencies: [],
            paces: [],
        };
        this.counts.set(key, count);
        return count;
    }
}

const keyOf = (
    { service, version, route, rollout }: Pick<RouteOutcomeCounts, "service" | "version" | "route" | "rollout">,
): string => `${service}\n${version}\n${route}\n${rollout}`;

const versionKeyOf = (service: string, version: string): string => `${service}\n${version}`;

const copyOf = (count: RouteOutcomeCounts): MutableCounts => ({
    ...count,
    latencies: [...count.latencies],
    paces: [...count.paces],
});

/** Adds up the counts of several instances. */
export const sumOutcomes = (lists: Iterable<readonly RouteOutcomeCounts[]>): RouteOutcomeCounts[] => {
    const sums = new Map<string, MutableCounts>();
    for (const count of [...lists].flat()) {
        const key = keyOf(count);
        const sum = sums.get(key);
        if (sum === undefined) {
            sums.set(key, copyOf(count));
            continue;
        }
        sum.answers += count.answers;
        sum.failures += count.failures;
        sum.timed += count.timed;
        sum.logMsSum += count.logMsSum;
        sum.latencies = sumHistograms([sum.latencies, count.latencies]);
        sum.paces = sumHistograms([sum.paces, count.paces]);
    }
    return [...sums.values()];
};
