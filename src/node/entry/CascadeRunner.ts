/**
 * Runs a request for `auto` through the cascade: a cheap version first where that pays, its answer rated, and
 * a stronger version asked when the rating does not do.
 */
import { tokenCost } from "../../common/billing/Bill.ts";
import { type ActiveVersion } from "../../common/configuration/RoutingTable.ts";
import { type CascadePolicy, type CascadeRequest, type CascadeVersion } from "../../common/policy/CascadePolicy.ts";
import { type RolloutMonitor } from "../../common/policy/RolloutMonitor.ts";
import { AUTO_MODEL, chooseByShare } from "../../common/routing/VersionChooser.ts";
import { type RatingClient } from "../ratings/RatingClient.ts";
import { type ParsedChat } from "./ChatRequest.ts";
import { type RequestContext } from "./RequestContext.ts";

/** Longest wait for a rating that decides whether a stronger version is asked, in ms. */
const DECISION_TIMEOUT_MS = 1500;
/** Time in which a rating for later decisions must come, in ms. */
const SAMPLE_TIMEOUT_MS = 30_000;
/** Part of the answers that are rated for later decisions only. */
const SAMPLE_FRACTION = 0.2;
/** A second answer is only planned while this much of the deadline is left, in ms. */
const MIN_ESCALATION_TIME_MS = 4000;
/** Prompts up to these lengths, in tokens, form a class of requests. */
const PROMPT_CLASS_LIMITS = [64, 256, 1024, 4096];

/** What the runner works with. */
export interface CascadeDependencies {
    readonly policy: CascadePolicy;
    readonly ratings: RatingClient;
    readonly rollouts: RolloutMonitor;
    readonly hasUpstreams: (target: string) => boolean;
    /** False when this instance cannot know of withdrawals. */
    readonly hasQuorumContact: () => boolean;
    /** Uniform in [0, 1). */
    readonly random: () => number;
}

/** A request on its way through the cascade. */
export interface CascadePlan {
    readonly request: CascadeRequest;
    readonly versions: readonly ActiveVersion[];
    current: ActiveVersion;
}

/** An answer as the rating service sees it. */
export interface CascadeAnswer {
    readonly body: Buffer;
}

/** Cascades of one instance. */
export class CascadeRunner {
    private readonly deps: CascadeDependencies;

    public constructor(deps: CascadeDependencies) {
        this.deps = deps;
    }

    /** A plan for requests of `auto` without a session; undefined for all others. */
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
            mayEscalate: !chat.isStream && ctx.leftMs > MIN_ESCALATION_TIME_MS,
        };
        const first = this.deps.policy.firstVersion(request);
        const current = versions.find(version => version.key === first?.key);
        return current === undefined ? undefined : { request, versions, current };
    }

    /** Rates the answer of the current version; returns true when a stronger one is to be asked, and moves on to it. */
    public async tryEscalate(
        plan: CascadePlan,
        ctx: RequestContext,
        chat: ParsedChat,
        answer: CascadeAnswer,
    ): Promise<boolean> {
        const version = plan.request.versions.find(item => item.key === plan.current.key);
        const isLast = plan.current === plan.versions.at(-1);
        if (version === undefined || isLast || !plan.request.mayEscalate || ctx.leftMs < MIN_ESCALATION_TIME_MS / 2) {
            this.sampleRating(plan, ctx, chat, answer);
            return false;
        }
        const rating = await this.rate(plan, ctx, chat, answer, Math.min(DECISION_TIMEOUT_MS, ctx.leftMs / 3));
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

    /** One version of each model by share, the cheapest first. */
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
