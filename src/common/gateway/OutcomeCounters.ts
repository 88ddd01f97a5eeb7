/**
 * Counts of what became of requests, by service, version and route. Entry instances count from the start of their
 * process, so a report that is lost or comes twice changes nothing.
 */
import { z } from "zod";

export const routeOutcomeCountsSchema = z.object({
    service: z.string(),
    version: z.string(),
    route: z.string(),
    /** Requests that were answered, well or badly. */
    answers: z.number(),
    /** Answers in which the upstream reported a failure of its own. */
    failures: z.number(),
    /** Good answers whose latency was measured. */
    timed: z.number(),
    /** Sum of the natural logarithms of their latencies in ms. */
    logMsSum: z.number(),
});

/** Outcomes of one version on one route. */
export type RouteOutcomeCounts = z.infer<typeof routeOutcomeCountsSchema>;

type MutableCounts = { -readonly [K in keyof RouteOutcomeCounts]: RouteOutcomeCounts[K]; };

/** Counters of one instance. */
export class OutcomeCounters {
    private readonly counts = new Map<string, MutableCounts>();

    /** Counts an answer; `latencyMs` is undefined when it was bad or not measured. */
    public record(service: string, version: string, route: string, isFailure: boolean, latencyMs?: number): void {
        const count = this.countOf(service, version, route);
        count.answers++;
        count.failures += isFailure ? 1 : 0;
        if (latencyMs !== undefined) {
            count.timed++;
            count.logMsSum += Math.log(Math.max(1, latencyMs));
        }
    }

    /** Counts of the services that are asked for. */
    public select(isWanted: (service: string) => boolean): RouteOutcomeCounts[] {
        return [...this.counts.values()].filter(count => isWanted(count.service)).map(count => ({ ...count }));
    }

    private countOf(service: string, version: string, route: string): MutableCounts {
        const key = keyOf({ service, version, route });
        const known = this.counts.get(key);
        if (known !== undefined) {
            return known;
        }
        const count = { service, version, route, answers: 0, failures: 0, timed: 0, logMsSum: 0 };
        this.counts.set(key, count);
        return count;
    }
}

const keyOf = ({ service, version, route }: Pick<RouteOutcomeCounts, "service" | "version" | "route">): string =>
    `${service}\n${version}\n${route}`;

/** Adds the counts of several instances up. */
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
