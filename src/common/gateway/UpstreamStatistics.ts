/**
 * What this instance has seen of each upstream by its own requests: how many are in flight, what load it reported,
 * whether it answers, and how long it takes.
 */
import { type Clock } from "../time/Clock.ts";
import { type UpstreamLoad } from "./ExchangeCodec.ts";

/** Weight of a new outcome in the failure rate. */
const FAILURE_WEIGHT = 0.2;
/** First pause after failures in a row, in ms; it doubles with each. */
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 5000;
/** Time in which the part of a reported load that others caused fades, in ms. */
const LOAD_FADE_MS = 1500;
/** Time in which the failure rate of an idle upstream halves, in ms. */
const FAILURE_HALF_LIFE_MS = 1500;

/** How long a failure domain is avoided after a connection to it failed, in ms. */
const DOUBT_MS = 2000;

/** State of one upstream. */
export interface UpstreamStats {
    inFlight: number;
    /** Prompt tokens of requests in flight whose answer has not begun. */
    promptTokens: number;
    /** Load by other instances when it was last reported. */
    otherInstancesLoad: number;
    waiting: number;
    loadReportedAt: number;
    /** 0 to 1. */
    failureRate: number;
    failureRateAt: number;
    consecutiveFailures: number;
    /** No new requests before this monotonic time, in ms. */
    pausedUntil: number;
    /** Monotonic time of the newest byte that came, in ms. */
    lastByteAt: number;
}

/** Statistics by upstream. */
export class UpstreamStatistics {
    private readonly clock: Clock;
    private readonly stats = new Map<string, UpstreamStats>();
    private readonly unreachableAt = new Map<string, number>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** `upstream` names one process: id and start. */
    public statsOf(upstream: string): UpstreamStats {
        const known = this.stats.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const fresh: UpstreamStats = {
            inFlight: 0,
            promptTokens: 0,
            otherInstancesLoad: 0,
            waiting: 0,
            loadReportedAt: -Infinity,
            failureRate: 0,
            failureRateAt: -Infinity,
            consecutiveFailures: 0,
            pausedUntil: -Infinity,
            lastByteAt: -Infinity,
        };
        this.stats.set(upstream, fresh);
        return fresh;
    }

    public remove(upstream: string): void {
        this.stats.delete(upstream);
    }

    /** Requests that are thought to run at the upstream, those of other instances included. */
    public estimateRunning(stats: UpstreamStats): number {
        const ageMs = this.clock.monotonic() - stats.loadReportedAt;
        return stats.inFlight + stats.otherInstancesLoad * Math.exp(-ageMs / LOAD_FADE_MS);
    }

    /** Requests that are thought to wait at the upstream. */
    public estimateWaiting(stats: UpstreamStats): number {
        return stats.waiting * Math.exp(-(this.clock.monotonic() - stats.loadReportedAt) / LOAD_FADE_MS);
    }

    /** Share of requests that fail, fading while nothing is tried. */
    public failureRate(stats: UpstreamStats): number {
        return stats.failureRate * 0.5 ** ((this.clock.monotonic() - stats.failureRateAt) / FAILURE_HALF_LIFE_MS);
    }

    /** No connection to an upstream of the domain could be had. */
    public recordUnreachable(domain: string): void {
        this.unreachableAt.set(domain, this.clock.monotonic());
    }

    /** Whether connections to the domain failed lately, as they do when it is cut off. */
    public mayBeUnreachable(domain: string): boolean {
        return this.clock.monotonic() - (this.unreachableAt.get(domain) ?? -Infinity) < DOUBT_MS;
    }

    public recordLoad(stats: UpstreamStats, load: UpstreamLoad): void {
        stats.otherInstancesLoad = Math.max(0, load.running + load.waiting - stats.inFlight);
        stats.waiting = load.waiting;
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
            const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(10, stats.consecutiveFailures - 2);
            stats.pausedUntil = this.clock.monotonic() + Math.min(MAX_PAUSE_MS, pauseMs);
        }
    }

    /** Keeps new requests away for a while. */
    public pause(stats: UpstreamStats, ms: number): void {
        stats.pausedUntil = Math.max(stats.pausedUntil, this.clock.monotonic() + ms);
    }

    private updateFailureRate(stats: UpstreamStats, failure: 0 | 1): void {
        const before = this.failureRate(stats);
        stats.failureRate = before + FAILURE_WEIGHT * (failure - before);
        stats.failureRateAt = this.clock.monotonic();
    }
}
