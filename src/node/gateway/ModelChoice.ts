/**
 * The model of each attempt: the first one, and the one that answers instead of it. Services whose upstreams state
 * their slowdown are served by expected value, all others by confidence and the latency objective alone.
 */
import { type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { isRepeatable } from "../../common/gateway/GatewayConfig.ts";
import { ModelChooser, type ModelRequest } from "../../common/gateway/ModelChooser.ts";
import { ModelEscalator } from "../../common/gateway/ModelEscalator.ts";
import { type ServiceRetryBudget } from "../../common/gateway/ServiceRetryBudget.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type Call, type CallState, hasRunsLeft } from "./Call.ts";
import { type GatewayMetrics } from "./GatewayMetrics.ts";

/** Dependencies of the choice. */
export interface ModelChoiceDependencies {
    readonly clock: Clock;
    readonly upstreamStats: UpstreamStatistics;
    readonly budget: ServiceRetryBudget;
    readonly metrics: GatewayMetrics;
    /** Whether this instance has recent quorum contact; without it an answer is kept, see `EscalationInput`. */
    readonly hasQuorumContact: () => boolean;
}

/** Chooses the models of the requests of one instance. */
export class ModelChoice {
    private readonly deps: ModelChoiceDependencies;
    private readonly escalator = new ModelEscalator();
    private readonly chooser: ModelChooser;

    public constructor(deps: ModelChoiceDependencies) {
        this.deps = deps;
        this.chooser = new ModelChooser(deps.clock);
    }

    /**
     * Index of the model with which an admitted request begins. A caller that resumes a stream gets the smallest one,
     * as the model that began the stream is not known.
     */
    public first(call: Call): number {
        const { route, req } = call;
        const isByValue = route.kind === "stream" && route.models.length > 1 && req.resumeAfter === undefined
            && this.isByValue(call);
        const model = isByValue ? this.chooser.chooseFirst(this.requestOf(call)) : 0;
        const name = route.models[model];
        if (name !== undefined) {
            this.deps.metrics.countFirstModel(route.name, name);
        }
        return model;
    }

    /**
     * Records an answer that begins `latencyMs` after its attempt was sent, and returns the index of the model that
     * should answer instead; undefined to keep the answer. A returned model has been taken from the retry budget.
     */
    public next(call: Call, state: CallState, { confidence }: ResponseHead, latencyMs: number): number | undefined {
        const { clock, budget, hasQuorumContact } = this.deps;
        const { route, service } = call;
        const model = state.modelIndex;
        const isByValue = this.isByValue(call);
        this.escalator.recordLatency(route, model, latencyMs);
        if (isByValue) {
            const isReplacement = state.modelIndexes.some(index => index < model);
            this.chooser.recordAnswer(this.requestOf(call), model, confidence, latencyMs, isReplacement);
        }
        // While a backup attempt runs, the first answer is kept. The larger model's answer is one more run.
        const mayReplace = state.attempts.size === 1 && isRepeatable(route) && hasRunsLeft(call, state);
        if (call.reply.hasBegun || call.req.resumeAfter !== undefined || !mayReplace) {
            return undefined;
        }
        const elapsedMs = clock.boottime() - call.arrivedAt;
        const next = isByValue
            ? this.nextByValue(call, state, confidence)
            : this.escalator.escalate({
                route,
                model,
                confidence,
                elapsedMs,
                latencyMs,
                hasQuorumContact: hasQuorumContact(),
            });
        if (next === undefined) {
            return undefined;
        }
        const isGranted = budget.tryWithdrawSpare(service.name);
        if (isByValue) {
            this.chooser.recordBudget(service, isGranted);
        }
        if (!isGranted) {
            state.keptFor = "no repeats are left";
            return undefined;
        }
        return next;
    }

    /** Records the time from the first event of an answer until its end. */
    public recordGeneration(call: Call, model: number, ms: number): void {
        if (this.isByValue(call)) {
            this.chooser.recordGeneration(this.requestOf(call), model, ms);
        }
    }

    private nextByValue(call: Call, state: CallState, confidence: number | undefined): number | undefined {
        if (confidence === undefined || !this.deps.hasQuorumContact()) {
            return undefined;
        }
        const answered = { ...this.requestOf(call), model: state.modelIndex, confidence };
        const { next, keptFor } = this.chooser.chooseNext(answered);
        state.keptFor = keptFor === "time" ? undefined : keptFor;
        return next;
    }

    private isByValue({ service }: Call): boolean {
        return this.deps.upstreamStats.statesSlowdown(service.name);
    }

    private requestOf({ route, service, req, account, arrivedAt, deadlineAt }: Call): ModelRequest {
        return {
            route,
            service,
            prompt: req.prompt,
            priority: account?.priority ?? route.priority,
            elapsedMs: this.deps.clock.boottime() - arrivedAt,
            timeoutMs: deadlineAt - arrivedAt,
        };
    }
}
