/**
 * Pace of the upstreams: how long work takes at each process, and for each model, relative to usual. Load: upstreams
 * share their machines with others, so their slowdown changes many times a second, and they are of unequal speed. A
 * reported slowdown is outdated after about 100 ms and therefore counts only as a sample of mean and spread.
 */
import { type Clock } from "../time/Clock.ts";

/** Least weight of a new slowdown in the mean of its upstream; the first samples weigh more. */
const SLOWDOWN_WEIGHT = 0.1;
/** Weight of a new slowdown in the mean of its service, which all of its upstreams report. */
const SERVICE_WEIGHT = 0.03;
/** Time constant with which the mean of an upstream without new reports decays to that of its service, in ms. */
const SLOWDOWN_DECAY_MS = 5000;
/**
 * Part of the standard deviation that is added to the mean. Objectives are judged by the slow requests, so of two
 * upstreams with the same mean the steadier one is better.
 */
const SPREAD_WEIGHT = 0.25;
/** Least weight of a measured time in the factor of an upstream or model; the first samples weigh more. */
const FACTOR_WEIGHT = 0.1;
const MODEL_WEIGHT = 0.05;
/** Number of measured times that the initial factor 1 of an upstream weighs. */
const FACTOR_PRIOR = 2;
/** Range of the factor of an upstream: the slowest engines take 2.7 times as long as the fastest. */
const MIN_FACTOR = 0.4;
const MAX_FACTOR = 2.5;
/** Range of the factor of a model. */
const MIN_MODEL_FACTOR = 0.05;
const MAX_MODEL_FACTOR = 20;
/** Greatest effect of one measured time, since a single one may be that of a stall, as the ratio to the expected time. */
const MAX_RATIO = 4;
/** Prompts that take less than this to read say little about the pace, since other delays dominate, in ms. */
const MIN_READING_MS = 30;

/** What was expected of an attempt when its upstream was selected, at usual pace. */
export interface AttemptEstimate {
    readonly service: string;
    readonly model: string | undefined;
    /** Time to read the part of the prompt that isn't cached with a model of factor 1, in ms. */
    readonly readingMs: number;
    /** The same with the factor of its model, in ms. */
    readonly promptWorkMs: number;
    /** Time for work ahead of it, in ms. */
    readonly aheadMs: number;
    /** Slowdown of the upstream at that time, without its learned factor. */
    readonly slowdown: number;
}

interface Samples {
    count: number;
    mean: number;
    variance: number;
    /** Monotonic time of the newest sample, in ms. */
    sampledAt: number;
}

interface Factor {
    count: number;
    /** Natural logarithm of the factor. */
    log: number;
}

/** Pace by upstream process, service and model. */
export class UpstreamPace {
    private readonly clock: Clock;
    private readonly slowdowns = new Map<string, Samples>();
    private readonly serviceMeans = new Map<string, number>();
    private readonly factors = new Map<string, Factor>();
    private readonly modelFactors = new Map<string, Factor>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Adds a slowdown that an upstream process reports. */
    public recordSlowdown(upstream: string, service: string, slowdown: number): void {
        const serviceMean = this.serviceMeans.get(service) ?? slowdown;
        this.serviceMeans.set(service, serviceMean + SERVICE_WEIGHT * (slowdown - serviceMean));
        const sampledAt = this.clock.monotonic();
        const known = this.slowdowns.get(upstream) ?? { count: 0, mean: serviceMean, variance: 0, sampledAt };
        const weight = Math.max(SLOWDOWN_WEIGHT, 1 / (known.count + 2));
        const difference = slowdown - known.mean;
        known.mean += weight * difference;
        known.variance = (1 - weight) * (known.variance + weight * difference * difference);
        known.count++;
        known.sampledAt = sampledAt;
        this.slowdowns.set(upstream, known);
    }

    /** Expected slowdown: that of the upstream if reports are recent, else that of its service. */
    public slowdown(upstream: string, service: string): number {
        const serviceMean = this.serviceSlowdown(service);
        const known = this.slowdowns.get(upstream);
        if (known === undefined) {
            return serviceMean;
        }
        const recency = Math.exp(-(this.clock.monotonic() - known.sampledAt) / SLOWDOWN_DECAY_MS);
        const expected = known.mean + SPREAD_WEIGHT * Math.sqrt(known.variance);
        return serviceMean + (expected - serviceMean) * recency;
    }

    /** Mean slowdown of the upstreams of a service; 1 until one is reported. */
    public serviceSlowdown(service: string): number {
        return this.serviceMeans.get(service) ?? 1;
    }

    /** Time that the upstream takes, relative to others with the same slowdown; 1 until measured. */
    public timeFactor(upstream: string): number {
        return Math.exp(this.factors.get(upstream)?.log ?? 0);
    }

    /** Time that the model takes per token, relative to the usual one; 1 until measured. */
    public modelFactor(model: string | undefined): number {
        return Math.exp(this.modelFactors.get(model ?? "")?.log ?? 0);
    }

    /** Compares the measured time from sending an attempt to its first event with the expected time. */
    public recordFirstEvent(upstream: string, estimate: AttemptEstimate, measuredMs: number): void {
        if (estimate.readingMs < MIN_READING_MS || measuredMs <= 0) {
            return;
        }
        const model = this.modelFactors.get(estimate.model ?? "") ?? { count: 0, log: 0 };
        const factor = this.factors.get(upstream) ?? { count: 0, log: 0 };
        const ownMs = estimate.readingMs * Math.exp(model.log);
        const expectedMs = (ownMs + estimate.aheadMs) * estimate.slowdown * Math.exp(factor.log);
        // The part that the own prompt contributes determines what the ratio says about its model and upstream.
        const share = ownMs / (ownMs + estimate.aheadMs);
        const maxLog = model.count === 0 ? Infinity : Math.log(MAX_RATIO);
        const error = clamp(Math.log(measuredMs / expectedMs), -maxLog, maxLog) * share;
        model.log += Math.max(MODEL_WEIGHT, 1 / (model.count + 1)) * error;
        model.log = clamp(model.log, Math.log(MIN_MODEL_FACTOR), Math.log(MAX_MODEL_FACTOR));
        if (model.count > 0) {
            factor.log += Math.max(FACTOR_WEIGHT, 1 / (factor.count + 1 + FACTOR_PRIOR)) * error;
            factor.log = clamp(factor.log, Math.log(MIN_FACTOR), Math.log(MAX_FACTOR));
            factor.count++;
            this.factors.set(upstream, factor);
        }
        model.count++;
        this.modelFactors.set(estimate.model ?? "", model);
    }

    /** Discards what is kept about an upstream process that has ended. */
    public forget(upstream: string): void {
        this.slowdowns.delete(upstream);
        this.factors.delete(upstream);
    }
}

const clamp = (value: number, least: number, most: number): number => Math.max(least, Math.min(most, value));
