/**
 * Expected times of the models of a service, learned from the requests of this instance: the time to the first event
 * as an offset and a time per prompt token, the present load that multiplies it, and the time to generate the rest.
 */
import { type Clock } from "../time/Clock.ts";
import { type Prompt } from "./ExchangeCodec.ts";
import { type Route, type Service } from "./GatewayConfig.ts";

/**
 * Largest factor by which a sample may differ from the expectation in the line of a model, once that many samples have
 * been seen: otherwise the line of the model in use takes up the load, and those of the others don't.
 */
const MAX_SAMPLE_RATIO = 1.3;
const UNBOUNDED_SAMPLES = 10;
/** Factor by which the weight of older samples decreases with each new one: about the last 50 count. */
const FORGETTING = 0.98;
/** Weight of a new sample in the moving averages of a route. */
const AVERAGE_WEIGHT = 0.1;
/** Added to the prompt tokens, whose inverse is the weight of a sample: long prompts scatter more, in tokens. */
const WEIGHT_OFFSET_TOKENS = 1000;
/** Assumed ratio between the times of a model and the next smaller one until both have been measured. */
const STEP_RATIO = 2;
/** Time constants of the present load and of the one that it is compared with for the trend, in ms. */
const FAST_MS = 1500;
const SLOW_MS = 6000;
/** Samples of usual load that are assumed in addition, so that a single one moves the estimate by a third at most. */
const PRIOR_SAMPLES = 2;
/** Range of the ratio of a measured time to the expected one that counts; a frozen engine is no measure of load. */
const MAX_RATIO = 8;
/** Largest factor by which a rising load is extrapolated. */
const MAX_TREND = 2;
/** Bounds of the relative spread of the times. */
const MIN_SPREAD = 0.15;
const MAX_SPREAD = 0.8;
const INITIAL_SPREAD = 0.4;

/** A request, as far as its times depend on it. */
export interface TimedRequest {
    readonly route: Route;
    readonly service: Service;
    readonly prompt: Prompt | undefined;
}

/** Weighted sums of a linear regression of the time over the prompt tokens. */
interface Fit {
    count: number;
    weight: number;
    tokens: number;
    ms: number;
    tokensSquared: number;
    tokensMs: number;
}

/** Sum of samples whose weight decays with their age. */
class DecayingMean {
    private sum = 0;
    private weight = 0;
    private updatedAt = -Infinity;
    private readonly timeConstantMs: number;

    public constructor(timeConstantMs: number) {
        this.timeConstantMs = timeConstantMs;
    }

    public add(now: number, value: number): void {
        const decay = Math.exp(-(now - this.updatedAt) / this.timeConstantMs);
        this.sum = this.sum * decay + value;
        this.weight = this.weight * decay + 1;
        this.updatedAt = now;
    }

    /** Mean of the samples and of `PRIOR_SAMPLES` times 0, towards which it decays. */
    public mean(now: number): number {
        const decay = Math.exp(-(now - this.updatedAt) / this.timeConstantMs);
        return this.sum * decay / (this.weight * decay + PRIOR_SAMPLES);
    }
}

/** What is measured for a service over all its models. */
interface ServiceLoad {
    /** Logarithm of the ratio of measured to expected time. */
    readonly fast: DecayingMean;
    readonly slow: DecayingMean;
    /** Time to the first event that the smallest model would have had, as a fraction of the objective. */
    readonly objectiveShare: DecayingMean;
    spread: number;
}

/** Learned times of all models. */
export class ModelTimes {
    private readonly clock: Clock;
    private readonly fits = new Map<string, Fit>();
    /** Mean difference between the times of a route and those of its service, by route and model, in ms. */
    private readonly routeOffsets = new Map<string, number>();
    /** Mean time per token that the request allows to generate, by route and model, in ms. */
    private readonly generations = new Map<string, number>();
    private readonly loads = new Map<string, ServiceLoad>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Adds the time from sending an attempt until its answer began. */
    public recordFirstEvent(request: TimedRequest, model: number, latencyMs: number): void {
        const now = this.clock.monotonic();
        const load = this.loadOf(request.service);
        const before = this.usualMs(request, model);
        const factor = Math.exp(load.fast.mean(now));
        if (before !== undefined) {
            const ratio = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, latencyMs / Math.max(1, before)));
            const deviation = Math.abs(Math.log(ratio / factor));
            load.spread += AVERAGE_WEIGHT * (Math.min(1, deviation) - load.spread);
            load.fast.add(now, Math.log(ratio));
            load.slow.add(now, Math.log(ratio));
            const excessMs = latencyMs - before + (this.usualMs(request, 0) ?? before);
            load.objectiveShare.add(now, Math.max(0, excessMs) / request.route.objectiveMs);
        }
        const isBounded = (this.fits.get(fitKey(request, model))?.count ?? 0) >= UNBOUNDED_SAMPLES;
        const ms = latencyMs / factor;
        const expectedMs = isBounded ? before ?? ms : ms;
        const boundedMs = Math.max(expectedMs / MAX_SAMPLE_RATIO, Math.min(expectedMs * MAX_SAMPLE_RATIO, ms));
        this.addSample(request, model, isBounded ? boundedMs : ms);
    }

    /** Adds the time from the first event of an answer until its end. */
    public recordGeneration({ route, prompt }: TimedRequest, model: number, ms: number): void {
        const key = `${route.name} ${model}`;
        const perToken = ms / Math.max(1, prompt?.maxOutput ?? 1);
        const mean = this.generations.get(key) ?? perToken;
        this.generations.set(key, mean + AVERAGE_WEIGHT * (perToken - mean));
    }

    /** Expected time from sending an attempt until its answer begins, in ms; undefined until any model is measured. */
    public firstEventMs(request: TimedRequest, model: number): number | undefined {
        const usual = this.usualMs(request, model);
        const now = this.clock.monotonic();
        const load = this.loadOf(request.service);
        return usual === undefined ? undefined : usual * Math.exp(load.fast.mean(now)) * this.trendOf(load, now);
    }

    /** Expected time from the first event of an answer until its end, in ms; 0 until any model is measured. */
    public generationMs({ route, prompt }: TimedRequest, model: number): number {
        const perToken = this.nearest(route, model, index => this.generations.get(`${route.name} ${index}`)) ?? 0;
        return perToken * Math.max(1, prompt?.maxOutput ?? 1);
    }

    /** Time for which the engine is occupied by one run of the model, as far as others have to wait for it, in ms. */
    public workMs(request: TimedRequest, model: number): number {
        const { route, service, prompt } = request;
        const perToken = this.nearest(route, model, index => {
            const fit = this.fits.get(fitKey(request, index));
            return fit === undefined ? undefined : lineOf(fit).perToken;
        });
        return (perToken ?? 0) * (prompt?.tokens ?? 0)
            + this.generationMs(request, model) / Math.max(1, service.engineSlots ?? 1);
    }

    /** Mean deviation of the times to the first event from the expected ones, relative to these. */
    public spread(service: Service): number {
        return Math.max(MIN_SPREAD, Math.min(MAX_SPREAD, this.loadOf(service).spread));
    }

    /**
     * How likely more work makes other requests late, 0 to 1: the square of the time to the first event of all requests
     * of the service relative to their objectives, as it will be if its trend continues. The square leaves idle engines
     * to the largest model, since work delays few others as long as there are no queues.
     */
    public pressure(service: Service): number {
        const now = this.clock.monotonic();
        const load = this.loadOf(service);
        const share = load.objectiveShare.mean(now) * this.trendOf(load, now);
        return Math.min(1, share) ** 2;
    }

    private trendOf({ fast, slow }: ServiceLoad, now: number): number {
        return Math.max(1, Math.min(MAX_TREND, Math.exp(fast.mean(now) - slow.mean(now))));
    }

    /** Expected time to the first event under usual load. */
    private usualMs(request: TimedRequest, model: number): number | undefined {
        const { route, prompt } = request;
        return this.nearest(route, model, index => {
            const fit = this.fits.get(fitKey(request, index));
            if (fit === undefined) {
                return undefined;
            }
            const { offset, perToken } = lineOf(fit);
            const ownOffset = this.routeOffsets.get(`${route.name} ${index}`) ?? 0;
            return Math.max(1, offset + ownOffset + perToken * (prompt?.tokens ?? 0));
        });
    }

    /** The value of the model, or else that of the nearest measured one, scaled by `STEP_RATIO` for each step. */
    private nearest(
        { models }: Route,
        model: number,
        read: (index: number) => number | undefined,
    ): number | undefined {
        for (let distance = 0; distance < models.length; distance++) {
            for (const index of distance === 0 ? [model] : [model - distance, model + distance]) {
                const value = index < 0 || index >= models.length ? undefined : read(index);
                if (value !== undefined) {
                    return value * STEP_RATIO ** (model - index);
                }
            }
        }
        return undefined;
    }

    private addSample(request: TimedRequest, model: number, ms: number): void {
        const tokens = request.prompt?.tokens ?? 0;
        const key = fitKey(request, model);
        const fit = this.fits.get(key) ?? { count: 0, weight: 0, tokens: 0, ms: 0, tokensSquared: 0, tokensMs: 0 };
        const weight = 1 / (WEIGHT_OFFSET_TOKENS + tokens);
        fit.count++;
        fit.weight = fit.weight * FORGETTING + weight;
        fit.tokens = fit.tokens * FORGETTING + weight * tokens;
        fit.ms = fit.ms * FORGETTING + weight * ms;
        fit.tokensSquared = fit.tokensSquared * FORGETTING + weight * tokens * tokens;
        fit.tokensMs = fit.tokensMs * FORGETTING + weight * tokens * ms;
        this.fits.set(key, fit);
        const { offset, perToken } = lineOf(fit);
        const routeKey = `${request.route.name} ${model}`;
        const ownOffset = this.routeOffsets.get(routeKey) ?? 0;
        this.routeOffsets.set(
            routeKey,
            ownOffset + AVERAGE_WEIGHT * (ms - offset - perToken * tokens - ownOffset),
        );
    }

    private loadOf({ name }: Service): ServiceLoad {
        const existing = this.loads.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const initial = {
            fast: new DecayingMean(FAST_MS),
            slow: new DecayingMean(SLOW_MS),
            objectiveShare: new DecayingMean(FAST_MS),
            spread: INITIAL_SPREAD,
        };
        this.loads.set(name, initial);
        return initial;
    }
}

const fitKey = ({ route, service }: TimedRequest, model: number): string => `${service.name} ${route.models[model]}`;

/** Offset and time per token; samples of one size don't tell them apart, so each gets half. */
const lineOf = ({ weight, tokens, ms, tokensSquared, tokensMs }: Fit): { offset: number; perToken: number; } => {
    const meanTokens = tokens / weight;
    const meanMs = ms / weight;
    const variance = tokensSquared / weight - meanTokens ** 2;
    if (variance < (meanTokens / 10) ** 2) {
        return { offset: meanMs / 2, perToken: meanTokens > 0 ? meanMs / 2 / meanTokens : 0 };
    }
    const slope = (tokensMs / weight - meanTokens * meanMs) / variance;
    const perToken = Math.max(0, Math.min(meanMs / meanTokens, slope));
    return { offset: meanMs - perToken * meanTokens, perToken };
};
