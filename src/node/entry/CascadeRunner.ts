/**
 * Runs requests for the model `auto` as a cascade: a cheap version answers first where that lowers the expected cost,
 * its answer is rated, and a stronger version answers when the rating is too low.
 */
import { tokenCost } from "../../common/billing/Bill.ts";
import { type ActiveVersion } from "../../common/configuration/RoutingTable.ts";
import { type CascadePolicy, type CascadeRequest, type CascadeVersion } from "../../common/policy/CascadePolicy.ts";
import { type RolloutMonitor } from "../../common/policy/RolloutMonitor.ts";
import { AUTO_MODEL, chooseByShare } from "../../common/routing/VersionChooser.ts";
import { type RatingClient } from "../ratings/RatingClient.ts";
import { type ParsedChat } from "./ChatRequest.ts";
import { type RequestContext } from "./RequestContext.ts";

/** Time limit for a rating that decides whether a stronger version answers, in ms. */
const DECISION_TIMEOUT_MS = 1500;
/** Time limit for a rating that only informs later decisions, in ms. */
const SAMPLE_TIMEOUT_MS = 30_000;
/** Fraction of the answers without an escalation decision that are rated to inform later decisions. */
const SAMPLE_FRACTION = 0.2;
/** A second answer is planned only while more than this time is left until the deadline, in ms. */
const MIN_ESCALATION_TIME_MS = 4000;
/** Upper bounds of the request classes by prompt length, in tokens. */
const PROMPT_CLASS_LIMITS = [64, 256, 1024, 4096];

/** Dependencies of the runner. */
export interface CascadeDependencies {
    readonly policy: CascadePolicy;
    readonly ratings: RatingClient;
    readonly rollouts: RolloutMonitor;
    readonly hasUpstreams: (target: string) => boolean;
    /** When false, this instance may have missed withdrawals of versions. */
    readonly hasQuorumContact: () => boolean;
    /** Uniform in [0, 1). */
    readonly random: () => number;
}

/** State of a request in the cascade. */
export interface CascadePlan {
    readonly request: CascadeRequest;
    readonly versions: readonly ActiveVersion[];
    current: ActiveVersion;
}

/** An answer to be rated. */
export interface CascadeAnswer {
    readonly body: Buffer;
}

/** Plans cascades and decides on escalations. */
export class CascadeRunner {
    private readonly deps: CascadeDependencies;

    public constructor(deps: CascadeDependencies) {
        this.deps = deps;
    }

    /** Plans a request for `auto` without a session. Undefined for other requests and when no version can answer. */
    public plan(ctx: RequestContext, chat: ParsedChat): CascadePlan | undefined {
        if (chat.request.model !== AUTO_MODEL || ctx.session !== undefined) {
            return undefined;
        }
        const versions = this.candidates(ctx);
        const tokens = chat.promptTokens + chat.answerTokens;
        const request: CascadeRequest = {
            account: ctx.account.name,
            qualityTarget: ctx.account.quality_target,
            requestClass: requestClassOf(chat),
            versions: versions.map(({ key, cost, quality }) => ({ key, cost: tokenCost(tokens, cost), quality })),
            mayEscalate: !chat.isStream && ctx.remainingMs > MIN_ESCALATION_TIME_MS,
        };
        const first = this.deps.policy.firstVersion(request);
        const current = versions.find(version => version.key === first?.key);
        return current === undefined ? undefined : { request, versions, current };
    }

    /** Rates the answer of the current version. If a stronger one must answer, makes it current and returns true. */
    public async tryEscalate(
        plan: CascadePlan,
        ctx: RequestContext,
        chat: ParsedChat,
        answer: CascadeAnswer,
    ): Promise<boolean> {
        const version = plan.request.versions.find(item => item.key === plan.current.key);
        const isLast = plan.current === plan.versions.at(-1);
        if (
            version === undefined || isLast || !plan.request.mayEscalate || ctx.remainingMs < MIN_ESCALATION_TIME_MS / 2
        ) {
            this.sampleRating(plan, ctx, chat, answer);
            return false;
        }
        const rating = await this.rate(plan, ctx, chat, answer, Math.min(DECISION_TIMEOUT_MS, ctx.remainingMs / 3));
        if (rating === undefined) {
            return false;
        }
        const next = this.deps.policy.strongerVersion(plan.request, version, rating);
        const stronger = plan.versions.find(item => item.key === next?.key);
        this.recordRating(plan, version, rating, stronger === undefined);
        plan.current = stronger ?? plan.current;
        return stronger !== undefined;
    }

    private sampleRating(plan: CascadePlan, ctx: RequestContext, chat: ParsedChat, answer: CascadeAnswer): void {
        const version = plan.request.versions.find(item => item.key === plan.current.key);
        if (version === undefined || this.deps.random() > SAMPLE_FRACTION) {
            return;
        }
        void this.rate(plan, ctx, chat, answer, SAMPLE_TIMEOUT_MS).then(rating => {
            if (rating !== undefined) {
                this.recordRating(plan, version, rating, true);
            }
        });
    }

    private recordRating(plan: CascadePlan, version: CascadeVersion, rating: number, isFinal: boolean): void {
        this.deps.policy.onRating(plan.request, version.key, rating, isFinal);
        this.deps.rollouts.onRating(version.key, rating);
    }

    private rate(
        plan: CascadePlan,
        ctx: RequestContext,
        chat: ParsedChat,
        answer: CascadeAnswer,
        timeoutMs: number,
    ): Promise<number | undefined> {
        const rated = {
            request: ctx.id,
            version: plan.current.key,
            prompt: chat.request,
            answer: answer.body.toString("utf8"),
        };
        return this.deps.ratings.rate(rated, timeoutMs);
    }

    /** One version of each model, chosen by share; the cheapest first. */
    private candidates(ctx: RequestContext): ActiveVersion[] {
        const { hasUpstreams } = this.deps;
        const usable = ctx.table.allActiveVersions().filter(version =>
            ctx.account.versions.has(version.key) && version.share > 0 && hasUpstreams(version.key)
            && (this.deps.hasQuorumContact() || version.isUsableWhenCutOff)
        );
        return [...Map.groupBy(usable, version => version.model).values()]
            .map(siblings => chooseByShare(ctx.id, siblings, () => true))
            .filter(version => version !== undefined)
            .sort((a, b) => a.cost - b.cost);
    }
}

const requestClassOf = (chat: ParsedChat): string => {
    const size = PROMPT_CLASS_LIMITS.findIndex(limit => chat.promptTokens <= limit);
    return `${chat.isStream ? "stream" : "plain"} ${size < 0 ? PROMPT_CLASS_LIMITS.length : size}`;
};
