/**
 * What this instance has seen of each upstream by its own requests: how many are in flight, what load it reported,
 * whether it answers, and how long it takes.
 */
import { type Clock } from "../time/Clock.ts";
import { type UpstreamLoad } from "./Exchange.ts";

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
    otherLoad: number;
    waiting: number;
    loadAt: number;
    /** 0 to 1. */
    failureRate: number;
    failureAt: number;
    failuresInRow: number;
    /** No new requests before this monotonic time, in ms. */
    pausedUntil: number;
    /** Monotonic time of the newest byte that came, in ms. */
    heardAt: number;
}

/** Statistics by upstream. */
export class UpstreamBoard {
    private readonly clock: Clock;
    private readonly stats = new Map<string, UpstreamStats>();
    private readonly unreachableAt = new Map<string, number>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** `upstream` names one process: id and start. */
    public of(upstream: string): UpstreamStats {
        const known = this.stats.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const fresh: UpstreamStats = {
            inFlight: 0,
            promptTokens: 0,
            otherLoad: 0,
            waiting: 0,
            loadAt: -Infinity,
            failureRate: 0,
            failureAt: -Infinity,
            failuresInRow: 0,
            pausedUntil: -Infinity,
            heardAt: -Infinity,
        };
        this.stats.set(upstream, fresh);
        return fresh;
    }

    public forget(upstream: string): void {
        this.stats.delete(upstream);
    }

    /** Requests that are thought to run at the upstream, those of other instances included. */
    public estimateRunning(stats: UpstreamStats): number {
        const ageMs = this.clock.monotonic() - stats.loadAt;
        return stats.inFlight + stats.otherLoad * Math.exp(-ageMs / LOAD_FADE_MS);
    }

    /** Requests that are thought to wait at the upstream. */
    public estimateWaiting(stats: UpstreamStats): number {
        return stats.waiting * Math.exp(-(this.clock.monotonic() - stats.loadAt) / LOAD_FADE_MS);
    }

    /** Share of requests that fail, fading while nothing is tried. */
    public failureRate(stats: UpstreamStats): number {
        return stats.failureRate * 0.5 ** ((this.clock.monotonic() - stats.failureAt) / FAILURE_HALF_LIFE_MS);
    }

    /** No connection to an upstream of the domain could be had. */
    public noteUnreachable(domain: string): void {
        this.unreachableAt.set(domain, this.clock.monotonic());
    }

    /** Whether connections to the domain failed lately, as they do when it is cut off. */
    public isDoubtful(domain: string): boolean {
        return this.clock.monotonic() - (this.unreachableAt.get(domain) ?? -Infinity) < DOUBT_MS;
    }

    public noteLoad(stats: UpstreamStats, load: UpstreamLoad): void {
        stats.otherLoad = Math.max(0, load.running + load.waiting - stats.inFlight);
        stats.waiting = load.waiting;
        stats.loadAt = this.clock.monotonic();
    }

    public noteSuccess(stats: UpstreamStats): void {
        stats.failuresInRow = 0;
        this.addOutcome(stats, 0);
    }

    public noteFailure(stats: UpstreamStats): void {
        stats.failuresInRow++;
        this.addOutcome(stats, 1);
        if (stats.failuresInRow >= 2) {
            const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(10, stats.failuresInRow - 2);
            stats.pausedUntil = this.clock.monotonic() + Math.min(MAX_PAUSE_MS, pauseMs);
        }
    }

    /** Keeps new requests away for a while. */
    public pause(stats: UpstreamStats, ms: number): void {
        stats.pausedUntil = Math.max(stats.pausedUntil, this.clock.monotonic() + ms);
    }

    private addOutcome(stats: UpstreamStats, failure: 0 | 1): void {
        const before = this.failureRate(stats);
        stats.failureRate = before + FAILURE_WEIGHT * (failure - before);
        stats.failureAt = this.clock.monotonic();
    }
}
