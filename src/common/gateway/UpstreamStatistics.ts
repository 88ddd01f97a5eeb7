/**
 * Statistics of the upstreams, collected passively from the requests of this instance: requests in flight, reported
 * load, failures, and the time of the last received byte.
 */
import { type Clock } from "../time/Clock.ts";
import { type UpstreamLoad } from "./ExchangeCodec.ts";
import { UpstreamPace } from "./UpstreamPace.ts";

/** Weight of a new outcome in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.2;
/** Pause after the second consecutive failure, in ms. It doubles with each further one, up to the maximum. */
const INITIAL_PAUSE_MS = 250;
const MAX_PAUSE_MS = 5000;
/** Time constant with which the reported load of other instances decays, in ms. */
const LOAD_DECAY_MS = 1500;
/** Half-life of the failure rate of an upstream that gets no requests, in ms. */
const FAILURE_HALF_LIFE_MS = 1500;

/** How long a service counts as one whose upstreams state their slowdown after the newest such report, in ms. */
const SLOWDOWN_STATED_MS = 60_000;

/** How long a failure domain is avoided after a failed connection to it, in ms. */
const UNREACHABLE_MS = 2000;

/** Age of a report from which the load of the other instances counts as unknown, in ms. */
const REPORT_VALID_MS = 3000;
/** Weight of a new report, or measured time, in the mean of its service. */
const SERVICE_MEAN_WEIGHT = 0.05;

/** State of one process of an upstream. */
export interface UpstreamStats {
    inFlight: number;
    /** Prompt tokens of the requests in flight whose answer has not begun. */
    promptTokens: number;
    /** Time to read the prompts of the requests in flight without a first event, at usual pace, in ms. */
    promptWorkMs: number;
    /** Requests of other instances, running and waiting, according to the newest report. */
    otherInstancesLoad: number;
    /** Waiting requests of all instances, according to the newest report. */
    waiting: number;
    /** Monotonic time of that report, in ms. */
    loadReportedAt: number;
    /** Failure rate at `failureRateAt`, 0 to 1. */
    failureRate: number;
    /** Monotonic time of the last recorded success or failure, in ms. */
    failureRateAt: number;
    consecutiveFailures: number;
    /** Monotonic time before which it gets no new requests because of a refusal, in ms. */
    pausedUntil: number;
    /** The same because of failures. */
    failurePausedUntil: number;
    /** Monotonic time of the last byte received on any connection, in ms. */
    lastByteAt: number;
}

/** Means over the upstreams of a service; they stand for what is not known of a single upstream. */
export interface ServiceMeans {
    /** Requests of other instances at an upstream, running and waiting. */
    readonly otherLoad: number;
    readonly waiting: number;
    /** Time from sending an attempt to its end, in ms; undefined until measured. */
    readonly durationMs: number | undefined;
}

const initialMeans: ServiceMeans = {
    otherLoad: 0,
    waiting: 0,
    durationMs: undefined,
};

/** Observed state by upstream process, and by failure domain. */
export class UpstreamStatistics {
    public readonly pace: UpstreamPace;
    private readonly clock: Clock;
    private readonly stats = new Map<string, UpstreamStats>();
    private readonly unreachableAt = new Map<string, number>();
    /** Monotonic time of the newest report with a slowdown, by service, in ms. */
    private readonly slowdownStatedAt = new Map<string, number>();
    /** Only of services whose upstreams state their slowdown. */
    private readonly means = new Map<string, ServiceMeans>();

    public constructor(clock: Clock) {
        this.clock = clock;
        this.pace = new UpstreamPace(clock);
    }

    /** State of a process, as identified by `processName`. */
    public statsOf(upstream: string): UpstreamStats {
        const existing = this.stats.get(upstream);
        if (existing !== undefined) {
            return existing;
        }
        const initial: UpstreamStats = {
            inFlight: 0,
            promptTokens: 0,
            promptWorkMs: 0,
            otherInstancesLoad: 0,
            waiting: 0,
            loadReportedAt: -Infinity,
            failureRate: 0,
            failureRateAt: -Infinity,
            consecutiveFailures: 0,
            pausedUntil: -Infinity,
            failurePausedUntil: -Infinity,
            lastByteAt: -Infinity,
        };
        this.stats.set(upstream, initial);
        return initial;
    }

    public remove(upstream: string): void {
        this.stats.delete(upstream);
        this.pace.forget(upstream);
    }

    public meansOf(service: string): ServiceMeans {
        return this.means.get(service) ?? initialMeans;
    }

    /**
     * Estimated number of requests at the upstream, running and waiting. What is known of other instances decays to the
     * mean of the service, not to zero: an upstream without a recent report is as busy as the others.
     */
    public estimateLoad(stats: UpstreamStats, service: string): number {
        const { otherLoad } = this.meansOf(service);
        return stats.inFlight + otherLoad + (stats.otherInstancesLoad - otherLoad) * this.reportWeight(stats);
    }

    /** Estimated number of requests that wait at the upstream, with the same decay. */
    public estimateQueue(stats: UpstreamStats, service: string): number {
        const { waiting } = this.meansOf(service);
        return waiting + (stats.waiting - waiting) * this.reportWeight(stats);
    }

    /** Records the time from sending an attempt that was answered to its end. */
    public recordDuration(service: string, measuredMs: number): void {
        const means = this.meansOf(service);
        this.means.set(service, { ...means, durationMs: moveMean(means.durationMs ?? measuredMs, measuredMs) });
    }

    /** Estimated number of requests at the upstream, including those of other instances. */
    public estimateRunning(stats: UpstreamStats): number {
        const ageMs = this.clock.monotonic() - stats.loadReportedAt;
        return stats.inFlight + stats.otherInstancesLoad * Math.exp(-ageMs / LOAD_DECAY_MS);
    }

    /** Estimated number of requests that wait at the upstream. */
    public estimateWaiting(stats: UpstreamStats): number {
        return stats.waiting * Math.exp(-(this.clock.monotonic() - stats.loadReportedAt) / LOAD_DECAY_MS);
    }

    /** Share of requests that fail, 0 to 1. It decays while no requests are sent. */
    public failureRate(stats: UpstreamStats): number {
        return stats.failureRate * 0.5 ** ((this.clock.monotonic() - stats.failureRateAt) / FAILURE_HALF_LIFE_MS);
    }

    /** Records that connecting to an upstream of the failure domain failed. */
    public recordUnreachable(domain: string): void {
        this.unreachableAt.set(domain, this.clock.monotonic());
    }

    /** Whether a connection to the failure domain failed recently, which happens when it is cut off. */
    public mayBeUnreachable(domain: string): boolean {
        return this.clock.monotonic() - (this.unreachableAt.get(domain) ?? -Infinity) < UNREACHABLE_MS;
    }

    /**
     * Whether upstreams of the service state how much slower than usual they are, because they share their machines
     * with others. Only such services are balanced by measured load and pace.
     */
    public statesSlowdown(service: string): boolean {
        return this.clock.monotonic() - (this.slowdownStatedAt.get(service) ?? -Infinity) < SLOWDOWN_STATED_MS;
    }

    /** @param upstream name of the process that reports the load */
    public recordLoad(upstream: string, stats: UpstreamStats, service: string, load: UpstreamLoad): void {
        stats.otherInstancesLoad = Math.max(0, load.running + load.waiting - stats.inFlight);
        stats.waiting = load.waiting;
        if (load.slowdown !== undefined) {
            this.slowdownStatedAt.set(service, this.clock.monotonic());
            // A report may come from a process that has been removed, and is then of no use.
            if (this.stats.get(upstream) === stats) {
                this.pace.recordSlowdown(upstream, service, load.slowdown);
            }
            const means = this.means.get(service);
            this.means.set(service, {
                ...(means ?? initialMeans),
                otherLoad: moveMean(means?.otherLoad ?? stats.otherInstancesLoad, stats.otherInstancesLoad),
                waiting: moveMean(means?.waiting ?? load.waiting, load.waiting),
            });
        }
        stats.loadReportedAt = this.clock.monotonic();
    }

    public recordSuccess(stats: UpstreamStats): void {
        stats.consecutiveFailures = 0;
        this.updateFailureRate(stats, 0);
    }

    public recordFailure(stats: UpstreamStats): void {
        stats.consecutiveFailures++;
        this.updateFailureRate(stats, 1);
        if (stats.consecutiveFailures >= 2) {
            const pauseMs = INITIAL_PAUSE_MS * 2 ** Math.min(10, stats.consecutiveFailures - 2);
            const pausedUntil = this.clock.monotonic() + Math.min(MAX_PAUSE_MS, pauseMs);
            stats.failurePausedUntil = Math.max(stats.failurePausedUntil, pausedUntil);
        }
    }

    /** Records that an upstream goes on whose silence was recorded as failures. */
    public recordResumption(stats: UpstreamStats): void {
        stats.consecutiveFailures = 0;
        stats.failurePausedUntil = -Infinity;
    }

    /** Whether the upstream gets no new requests. */
    public isPaused(stats: UpstreamStats): boolean {
        return this.clock.monotonic() < Math.max(stats.pausedUntil, stats.failurePausedUntil);
    }

    /** Sends no new requests to the upstream for `ms`. */
    public pause(stats: UpstreamStats, ms: number): void {
        stats.pausedUntil = Math.max(stats.pausedUntil, this.clock.monotonic() + ms);
    }

    private reportWeight(stats: UpstreamStats): number {
        const ageMs = this.clock.monotonic() - stats.loadReportedAt;
        return ageMs > REPORT_VALID_MS ? 0 : Math.exp(-ageMs / LOAD_DECAY_MS);
    }

    private updateFailureRate(stats: UpstreamStats, failure: 0 | 1): void {
        const before = this.failureRate(stats);
        stats.failureRate = before + FAILURE_WEIGHT * (failure - before);
        stats.failureRateAt = this.clock.monotonic();
    }
}

const moveMean = (mean: number, sample: number): number => mean + SERVICE_MEAN_WEIGHT * (sample - mean);
