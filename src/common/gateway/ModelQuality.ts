/**
 * How well each model of a route answers, judged by the confidence that its answers state: the distribution of the
 * confidence of requests that begin with the model, and how well it answers requests that a smaller one was unsure of.
 */
import { type Route } from "./GatewayConfig.ts";

const BUCKETS = 20;
const MAX_CONFIDENCE = 100;
/** Confidence at which an answer is as likely good as not. */
const EVEN_CONFIDENCE = 50;
/** Distance from it that multiplies the odds by e. A stated confidence is rough: with 8, 30 and 70 mean 8 % and 92 %. */
const CONFIDENCE_SCALE = 8;
/** Factor by which the weight of older answers decreases with each new one: about the last 50 count. */
const FORGETTING = 0.98;
/** Number of answers that the assumption made before any is seen weighs as much as. */
const PRIOR_ANSWERS = 4;
/** Factor by which each request of a route decreases the weight of what was seen, so that skipped models are retried. */
const AGING = 0.997;
/** Assumed share of good answers of the smallest model. */
const INITIAL_QUALITY = 0.5;
/**
 * Assumed share of the requests too hard for a model that the next larger one answers well, unless that is the largest.
 * It is low, so that models in between are tried only where the largest can't answer in time.
 */
const STEP_GAIN = 0.2;

interface Tally {
    count: number;
    sum: number;
}

/** A confidence and its share of the answers. */
export interface ConfidenceShare {
    /** Probability that such an answer is good. */
    readonly quality: number;
    readonly share: number;
}

/** Probability that an answer of the confidence is good. */
export const qualityOf = (confidence: number): number =>
    1 / (1 + Math.exp((EVEN_CONFIDENCE - confidence) / CONFIDENCE_SCALE));

/** Distributions of the confidence, by route and model. */
export class ModelQuality {
    private readonly histograms = new Map<string, number[]>();
    private readonly replacements = new Map<string, Tally>();

    /** Adds an answer; `isReplacement` says whether a smaller model was asked first. */
    public record(route: Route, model: number, confidence: number, isReplacement: boolean): void {
        const key = keyOf(route, model);
        if (isReplacement) {
            const tally = this.replacements.get(key) ?? { count: 0, sum: 0 };
            tally.count = tally.count * FORGETTING + 1;
            tally.sum = tally.sum * FORGETTING + qualityOf(confidence);
            this.replacements.set(key, tally);
            return;
        }
        const histogram = this.histograms.get(key) ?? new Array<number>(BUCKETS).fill(0);
        const bucket = Math.floor(confidence * BUCKETS / MAX_CONFIDENCE);
        histogram.forEach((count, index) => histogram[index] = count * FORGETTING);
        histogram[Math.max(0, Math.min(BUCKETS - 1, bucket))]! += 1;
        this.histograms.set(key, histogram);
    }

    /** To be called for each request of the route. */
    public age({ name, models }: Route): void {
        for (let model = 0; model < models.length; model++) {
            const histogram = this.histograms.get(`${name} ${model}`);
            histogram?.forEach((count, index) => histogram[index] = count * AGING);
        }
    }

    /** Distribution of the answers to requests that begin with the model. */
    public distribution(route: Route, model: number): ConfidenceShare[] {
        const histogram = this.histograms.get(keyOf(route, model)) ?? [];
        const total = histogram.reduce((sum, count) => sum + count, PRIOR_ANSWERS);
        const prior = this.priorQuality(route, model);
        const seen = histogram.map((count, index) => ({
            quality: qualityOf((index + 0.5) * MAX_CONFIDENCE / BUCKETS),
            share: count / total,
        }));
        const assumed = [
            { quality: 0, share: (1 - prior) * PRIOR_ANSWERS / total },
            { quality: 1, share: prior * PRIOR_ANSWERS / total },
        ];
        return [...seen.filter(({ share }) => share > 0), ...assumed];
    }

    /** Share of good answers to requests that begin with the model. There is none better than the largest one. */
    public quality(route: Route, model: number): number {
        return model >= route.models.length - 1
            ? 1
            : this.distribution(route, model).reduce((sum, { quality, share }) => sum + quality * share, 0);
    }

    /** Share of the requests too hard for the smaller model `from` that the model answers well. */
    public replacementQuality(route: Route, from: number, model: number): number {
        if (model >= route.models.length - 1) {
            return 1;
        }
        const lower = this.quality(route, from);
        const expected = Math.max(0, (this.quality(route, model) - lower) / Math.max(0.01, 1 - lower));
        const { count, sum } = this.replacements.get(keyOf(route, model)) ?? { count: 0, sum: 0 };
        return (sum + PRIOR_ANSWERS * expected) / (count + PRIOR_ANSWERS);
    }

    private priorQuality(route: Route, model: number): number {
        const lower = model === 0 ? undefined : this.quality(route, model - 1);
        return lower === undefined ? INITIAL_QUALITY : lower + (1 - lower) * STEP_GAIN;
    }
}

const keyOf = ({ name }: Route, model: number): string => `${name} ${model}`;
