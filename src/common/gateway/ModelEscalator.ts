/**
 * Model cascade: a request starts on the smallest model and escalates to the largest one when the confidence of the
 * answer is low and the larger model is expected to answer in time. The expectation is based on measured latencies.
 */
import { type Route } from "./GatewayConfig.ts";

/** Confidence from which the answer of a smaller model is kept, on the scale 0 to 100. */
const MIN_CONFIDENCE = 50;
/** Fraction of the latency objective within which the answer of the larger model must be expected to begin. */
const OBJECTIVE_FRACTION = 0.9;
/** Weight of a new sample in the moving average of a model's latency. */
const LATENCY_WEIGHT = 0.1;
/** Assumed ratio between the latencies of the largest and a smaller model until the former has been measured. */
const INITIAL_LATENCY_RATIO = 4;

/** State of a request at the time at which the answer of a model begins. */
export interface EscalationInput {
    readonly route: Route;
    /** Index among the models of the route. */
    readonly model: number;
    readonly confidence: number | undefined;
    /** Time since the arrival of the request, in ms. */
    readonly elapsedMs: number;
    /** Time from sending the attempt until its answer began, in ms. */
    readonly latencyMs: number;
    /**
     * Whether a control majority has confirmed the state of this instance recently. Without that, this instance may
     * soon have to refuse requests, or may reach no other upstream, so it keeps the answer that it has.
     */
    readonly hasQuorumContact: boolean;
}

/** Decides which answers of smaller models are replaced by one of the largest model. */
export class ModelEscalator {
    private readonly latencies = new Map<string, number>();

    /** Adds the measured time until the answer of a model began to its average. */
    public recordLatency(route: Route, model: number, latencyMs: number): void {
        const key = `${route.name} ${model}`;
        const mean = this.latencies.get(key) ?? latencyMs;
        this.latencies.set(key, mean + LATENCY_WEIGHT * (latencyMs - mean));
    }

    /** Returns the index of the model that should answer instead; undefined when the answer is to be kept. */
    public escalate(
        { route, model, confidence, elapsedMs, latencyMs, hasQuorumContact }: EscalationInput,
    ): number | undefined {
        const largest = route.models.length - 1;
        if (!hasQuorumContact || model >= largest || confidence === undefined || confidence >= MIN_CONFIDENCE) {
            return undefined;
        }
        const expectedMs = this.latencies.get(`${route.name} ${largest}`) ?? latencyMs * INITIAL_LATENCY_RATIO;
        return elapsedMs + expectedMs <= route.objectiveMs * OBJECTIVE_FRACTION ? largest : undefined;
    }
}
