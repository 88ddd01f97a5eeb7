/**
 * Counts the outcomes of requests by service, version and route. Entry instances report totals since the start of
 * their process, so that a lost or duplicated report does no harm.
 */
import { z } from "zod";

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
});

/** Outcome counts of one version on one route. */
export type RouteOutcomeCounts = z.infer<typeof routeOutcomeCountsSchema>;

type MutableCounts = { -readonly [K in keyof RouteOutcomeCounts]: RouteOutcomeCounts[K]; };

/** Outcome counts of this instance. */
export class OutcomeCounters {
    private readonly counts = new Map<string, MutableCounts>();

    /** Counts an answer. `latencyMs` is undefined for a failure or when the latency was not measured. */
    public record(service: string, version: string, route: string, isFailure: boolean, latencyMs?: number): void {
        const count = this.countOf(service, version, route);
        count.answers++;
        count.failures += isFailure ? 1 : 0;
        if (latencyMs !== undefined) {
            count.timed++;
            count.logMsSum += Math.log(Math.max(1, latencyMs));
        }
    }

    /** Returns copies of the counts of the services for which `isWanted` is true. */
    public select(isWanted: (service: string) => boolean): RouteOutcomeCounts[] {
        return [...this.counts.values()].filter(count => isWanted(count.service)).map(count => ({ ...count }));
    }

    private countOf(service: string, version: string, route: string): MutableCounts {
        const key = keyOf({ service, version, route });
        const existing = this.counts.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const count = { service, version, route, answers: 0, failures: 0, timed: 0, logMsSum: 0 };
        this.counts.set(key, count);
        return count;
    }
}

const keyOf = ({ service, version, route }: Pick<RouteOutcomeCounts, "service" | "version" | "route">): string =>
    `${service}\n${version}\n${route}`;

/** Adds up the counts of several instances. */
export const sumOutcomes = (lists: Iterable<readonly RouteOutcomeCounts[]>): RouteOutcomeCounts[] => {
    const sums = new Map<string, MutableCounts>();
    for (const count of [...lists].flat()) {
        const key = keyOf(count);
        const sum = sums.get(key);
        if (sum === undefined) {
            sums.set(key, { ...count });
            continue;
        }
        sum.answers += count.answers;
        sum.failures += count.failures;
        sum.timed += count.timed;
        sum.logMsSum += count.logMsSum;
    }
    return [...sums.values()];
};
