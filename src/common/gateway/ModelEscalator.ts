/**
 * The choice of model: a request starts on the smallest, and moves to the largest when the smaller one doubts its own
 * answer and there is time left for it. Measured latencies decide what there is time for.
 */
import { type Route } from "./GatewayConfig.ts";

/** Confidence from which an answer of a smaller model is kept, 0 to 100. */
const KEEP_CONFIDENCE = 50;
/** Part of the objective in which the larger model's answer must be expected to begin. */
const OBJECTIVE_PART = 0.9;
/** Weight of a new latency in the mean. */
const LATENCY_WEIGHT = 0.1;
/** How much longer a larger model takes before its latency has been measured. */
const ASSUMED_FACTOR = 4;

/** What is known when a smaller model's answer begins. */
export interface EscalationInput {
    readonly route: Route;
    /** Index of the model among the route's. */
    readonly model: number;
    readonly confidence: number | undefined;
    /** Time since the request arrived, in ms. */
    readonly elapsedMs: number;
    /** Time from sending the attempt to the beginning of its answer, in ms. */
    readonly latencyMs: number;
    /** Whether news from control arrives; without it this instance may soon have to refuse, or reach no other upstream. */
    readonly hasQuorumContact: boolean;
}

/** Chooses models of one instance's requests. */
export class ModelEscalator {
    private readonly latencies = new Map<string, number>();

    /** Notes when the answer of a model began. */
    public recordLatency(route: Route, model: number, latencyMs: number): void {
        const key = `${route.name} ${model}`;
        const mean = this.latencies.get(key) ?? latencyMs;
        this.latencies.set(key, mean + LATENCY_WEIGHT * (latencyMs - mean));
    }

    /** Index of the model that should answer instead; undefined when the answer is kept. */
    public escalate(
        { route, model, confidence, elapsedMs, latencyMs, hasQuorumContact: isInformed }: EscalationInput,
    ): number | undefined {
        const largest = route.models.length - 1;
        if (!isInformed || model >= largest || confidence === undefined || confidence >= KEEP_CONFIDENCE) {
            return undefined;
        }
        const expectedMs = this.latencies.get(`${route.name} ${largest}`) ?? latencyMs * ASSUMED_FACTOR;
        return elapsedMs + expectedMs <= route.objectiveMs * OBJECTIVE_PART ? largest : undefined;
    }
}
