/**
 * Chooses the first model of a request and decides whether another one answers instead, for services whose upstreams
 * state their slowdown. Long prompts there make the largest model too slow and hold up other requests, so each
 * possibility is weighed by its expected value: quality and time of the answer, less its cost and the delay of others.
 */
import { type Clock } from "../time/Clock.ts";
import { type Route, type Service } from "./GatewayConfig.ts";
import { ModelQuality, qualityOf } from "./ModelQuality.ts";
import { ModelTimes, type TimedRequest } from "./ModelTimes.ts";

/** Value of an answer to a request that was too hard for its model, relative to a good one. */
const TOO_HARD_VALUE = 0.05;
/**
 * Value of an answer that begins after the objective, relative to one in time: callers' figures lie between 0.2 and 0.75
 * depending on the route, and 0.3 is within the range of each kind.
 */
const LATE_VALUE = 0.3;
/** Tokens read count as this fraction of a generated one in the cost. */
const READ_COST_FRACTION = 0.25;
/** Number of priority levels. An answer of the least urgent one is worth what the largest model takes for it. */
const PRIORITY_LEVELS = 10;
/** Weight of a new sample in moving averages. */
const AVERAGE_WEIGHT = 0.1;
/**
 * Added to the price of a retry when the budget denies one, and factor when it grants one: a few denials among many
 * grants raise the price above the gain of replacing an answer of high confidence.
 */
const RETRY_PRICE_STEP = 0.1;
const RETRY_PRICE_DECAY = 0.95;
/**
 * Least price of a retry, as failed requests need the same budget. With the cost of the largest model at a tenth of a
 * good answer, a model is skipped if fewer than about one in six of its answers are kept.
 */
const MIN_RETRY_PRICE = 0.02;
/**
 * A model is skipped only if fewer than this part of its answers are kept. Beginning with the largest one wherever its
 * expected value is a little higher cost 46 % more and served no request better, as the stated confidence is rough.
 */
const MIN_KEPT_SHARE = 1 / 6;
/** Quality from which an answer counts as kept. */
const KEPT_QUALITY = 0.5;
/** Product of the mean relative deviation and the exponent, if the logarithm of the times is distributed logistically. */
const SPREAD_TO_EXPONENT = 1.4;

/** A request whose model is to be chosen. */
export interface ModelRequest extends TimedRequest {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time since the arrival of the request, in ms. */
    readonly elapsedMs: number;
    /** Time from its arrival to its deadline, in ms. */
    readonly timeoutMs: number;
}

/** A request whose answer begins. */
export interface AnsweredRequest extends ModelRequest {
    /** Index among the models of the route. */
    readonly model: number;
    readonly confidence: number;
}

/** Why an answer is kept although a larger model is expected to answer better. */
export type KeepReason = "time" | "cost" | "load";

/** Whether another model is to answer. */
export interface ModelDecision {
    /** Index of the model that should answer instead; undefined to keep the answer. */
    readonly next: number | undefined;
    /** Undefined if another model answers, or the answer is more likely good than not. */
    readonly keptFor: KeepReason | undefined;
}

/** The parts of what a run of a model is expected to bring. */
interface Expectation {
    readonly value: number;
    readonly cost: number;
    /** Value that other requests are expected to lose by it. */
    readonly delay: number;
}

/** Chooses models. It learns from the answers that it is told of. */
export class ModelChooser {
    private readonly times: ModelTimes;
    private readonly quality = new ModelQuality();
    /** Mean tokens of the requests of a route, in generated tokens. */
    private readonly meanTokens = new Map<string, number>();
    /** Mean engine time of a run and mean value of a request, by service. */
    private readonly meanWork = new Map<string, number>();
    private readonly meanValue = new Map<string, number>();
    /** Price of a retry in units of value, by service: it rises while the retry budget grants fewer than are wanted. */
    private readonly retryPrices = new Map<string, number>();

    public constructor(clock: Clock) {
        this.times = new ModelTimes(clock);
    }

    /** Index of the model to begin with. It is the smallest one until an answer has been seen. */
    public chooseFirst(request: ModelRequest): number {
        const { route, service } = request;
        const tokens = this.meanTokens.get(route.name) ?? costTokens(request);
        this.meanTokens.set(route.name, tokens + AVERAGE_WEIGHT * (costTokens(request) - tokens));
        this.quality.age(route);
        if (this.times.firstEventMs(request, 0) === undefined) {
            return 0;
        }
        let best = 0;
        let bestValue = -Infinity;
        for (let model = 0; model < route.models.length; model++) {
            const value = this.valueOfStart(request, model);
            if (value > bestValue) {
                best = model;
                bestValue = value;
            }
        }
        average(this.meanValue, service, Math.max(0, bestValue));
        average(this.meanWork, service, this.times.workMs(request, best));
        return Math.min(best, this.smallestWorthwhile(route));
    }

    /** Adds what was seen when an answer began; `latencyMs` counts from sending the attempt. */
    public recordAnswer(
        request: TimedRequest,
        model: number,
        confidence: number | undefined,
        latencyMs: number,
        isReplacement: boolean,
    ): void {
        this.times.recordFirstEvent(request, model, latencyMs);
        if (confidence !== undefined) {
            this.quality.record(request.route, model, confidence, isReplacement);
        }
    }

    /** Adds the time from the first event of an answer until its end. */
    public recordGeneration(request: TimedRequest, model: number, ms: number): void {
        this.times.recordGeneration(request, model, ms);
    }

    /** Records whether the retry budget had room for a wanted replacement. */
    public recordBudget(service: Service, isGranted: boolean): void {
        const price = this.retryPrices.get(service.name) ?? MIN_RETRY_PRICE;
        const next = isGranted
            ? Math.max(MIN_RETRY_PRICE, price * RETRY_PRICE_DECAY)
            : Math.min(1, price + RETRY_PRICE_STEP);
        this.retryPrices.set(service.name, next);
    }

    /** Decides whether an answer that begins is kept. */
    public chooseNext(request: AnsweredRequest): ModelDecision {
        const { model, confidence, route } = request;
        const quality = qualityOf(confidence);
        const kept = this.expectKept(request, model, quality, request.elapsedMs);
        let next: number | undefined;
        let bestValue = netOf(kept);
        let keptFor: KeepReason | undefined;
        for (let other = model + 1; other < route.models.length; other++) {
            const offer = this.replacementAt(request, model, other, request.elapsedMs)(quality);
            if (netOf(offer) > bestValue) {
                next = other;
                bestValue = netOf(offer);
            }
            keptFor = reasonToKeep(offer, kept);
        }
        return { next, keptFor: next === undefined && quality < 0.5 ? keptFor : undefined };
    }

    /** Index of the smallest model whose answers aren't nearly always replaced. */
    private smallestWorthwhile(route: Route): number {
        const index = route.models.findIndex((...[, model]) => this.keptShare(route, model) >= MIN_KEPT_SHARE);
        return index < 0 ? route.models.length - 1 : index;
    }

    /** Part of the answers of a model that are good enough to be kept. */
    private keptShare(route: Route, model: number): number {
        return this.quality.distribution(route, model)
            .reduce((sum, { quality, share }) => sum + (quality >= KEPT_QUALITY ? share : 0), 0);
    }

    /** Expected value of a request that begins with the model and is continued in the best way for each confidence. */
    private valueOfStart(request: ModelRequest, model: number): number {
        const { route, elapsedMs } = request;
        const beginMs = elapsedMs + (this.times.firstEventMs(request, model) ?? 0);
        if (model === route.models.length - 1) {
            return netOf(this.expectRun(request, model, 1, elapsedMs));
        }
        const read = this.priceOf(request, model, "read");
        const generate = this.priceOf(request, model, "generate");
        const inTime = this.timeliness(request, model, elapsedMs);
        // Everything but the quality is the same for each confidence.
        const others = route.models.map((...[, index]) => index).filter(index => index > model && route.maxAttempts > 1)
            .map(index => this.replacementAt(request, model, index, beginMs));
        let value = -read.cost - read.delay;
        for (const { quality, share } of this.quality.distribution(route, model)) {
            let best = valueOf(quality) * inTime - generate.cost - generate.delay;
            for (const other of others) {
                best = Math.max(best, netOf(other(quality)));
            }
            value += share * best;
        }
        return value;
    }

    /** Of an answer that has begun `beginMs` after the arrival of the request. */
    private expectKept(request: ModelRequest, model: number, quality: number, beginMs: number): Expectation {
        const isComplete = this.probability(
            request,
            this.times.generationMs(request, model),
            request.timeoutMs - beginMs,
        );
        const timeliness = isComplete * (beginMs <= request.route.objectiveMs ? 1 : LATE_VALUE);
        return { value: valueOf(quality) * timeliness, ...this.priceOf(request, model, "generate") };
    }

    /**
     * Of a run of another model, sent `sentMs` after the arrival of the request, by the quality of the answer that it
     * replaces.
     */
    private replacementAt(
        request: ModelRequest,
        from: number,
        model: number,
        sentMs: number,
    ): (quality: number) => Expectation {
        const { route, service } = request;
        const ofHard = this.quality.replacementQuality(route, from, model);
        const { value, cost, delay } = this.expectRun(request, model, 1, sentMs);
        const whole = cost + (this.retryPrices.get(service.name) ?? MIN_RETRY_PRICE);
        return quality => ({ value: value * valueOf(quality + (1 - quality) * ofHard), cost: whole, delay });
    }

    /** Of a run that is sent `sentMs` after the arrival of the request. */
    private expectRun(request: ModelRequest, model: number, quality: number, sentMs: number): Expectation {
        const value = valueOf(quality) * this.timeliness(request, model, sentMs);
        const read = this.priceOf(request, model, "read");
        const generate = this.priceOf(request, model, "generate");
        return { value, cost: read.cost + generate.cost, delay: read.delay + generate.delay };
    }

    /** Value of a good answer of a run that is sent `sentMs` after the arrival, 1 if it is certainly in time. */
    private timeliness(request: ModelRequest, model: number, sentMs: number): number {
        const { route, timeoutMs } = request;
        const expectedMs = this.times.firstEventMs(request, model) ?? 0;
        const wholeMs = expectedMs + this.times.generationMs(request, model);
        const isComplete = this.probability(request, wholeMs, timeoutMs - sentMs);
        const inTime = Math.min(isComplete, this.probability(request, expectedMs, route.objectiveMs - sentMs));
        return inTime + LATE_VALUE * (isComplete - inTime);
    }

    /** Probability that what is expected to take `expectedMs` takes at most `limitMs`. */
    private probability({ service }: ModelRequest, expectedMs: number, limitMs: number): number {
        const exponent = SPREAD_TO_EXPONENT / this.times.spread(service);
        return limitMs <= 0 ? 0 : 1 / (1 + (expectedMs / limitMs) ** exponent);
    }

    /**
     * Cost of reading the prompt or of generating the answer relative to the worth of a good answer, and the value that
     * other requests lose: at full pressure, as much as the engine's time brings otherwise.
     */
    private priceOf(request: ModelRequest, model: number, part: "read" | "generate"): Omit<Expectation, "value"> {
        const { route, service, prompt, priority } = request;
        const tokens = part === "read" ? (prompt?.tokens ?? 0) * READ_COST_FRACTION : prompt?.maxOutput ?? 0;
        const largest = costOf(service, route.models.at(-1));
        const usualTokens = this.meanTokens.get(route.name) ?? costTokens(request);
        const worth = Math.max(1, PRIORITY_LEVELS - priority) * largest * usualTokens;
        const cost = worth > 0 ? costOf(service, route.models[model]) * tokens / worth : 0;
        const generateMs = this.times.generationMs(request, model) / Math.max(1, service.engineSlots ?? 1);
        const workMs = part === "generate" ? generateMs : this.times.workMs(request, model) - generateMs;
        const meanWork = this.meanWork.get(service.name) ?? 0;
        const valuePerMs = meanWork > 0 ? (this.meanValue.get(service.name) ?? 0) / meanWork : 0;
        return { cost, delay: this.times.pressure(service) * workMs * valuePerMs };
    }
}

const valueOf = (quality: number): number => quality + (1 - quality) * TOO_HARD_VALUE;

const netOf = ({ value, cost, delay }: Expectation): number => value - cost - delay;

/** The first of time, cost and load that makes a better answer worth less than the one that there is. */
const reasonToKeep = (offer: Expectation, kept: Expectation): KeepReason =>
    offer.value <= kept.value ? "time" : offer.value - offer.cost <= kept.value - kept.cost ? "cost" : "load";

const costOf = ({ models }: Service, model: string | undefined): number =>
    models.find(({ name }) => name === model)?.cost ?? 0;

const costTokens = ({ prompt }: TimedRequest): number =>
    (prompt?.tokens ?? 0) * READ_COST_FRACTION + (prompt?.maxOutput ?? 0);

const average = (means: Map<string, number>, { name }: Service, value: number): void => {
    const mean = means.get(name) ?? value;
    means.set(name, mean + AVERAGE_WEIGHT * (value - mean));
};
