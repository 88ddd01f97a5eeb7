/**
 * Creates and connects the components with which an instance serves callers and upstreams.
 */
import { type ServiceBroker } from "moleculer";
import { type Bill } from "../common/billing/Bill.ts";
import { type RouterError } from "../common/errors/RouterError.ts";
import { type InstanceCore } from "../common/instance/InstanceCore.ts";
import { DisposableOwner } from "../common/lifecycle/Disposable.ts";
import { CascadePolicy } from "../common/policy/CascadePolicy.ts";
import { QualityEstimates } from "../common/policy/QualityEstimates.ts";
import { type Attempt, type AttemptRequest, Attempts } from "../common/routing/Attempts.ts";
import { VersionPolicy } from "../common/routing/VersionPolicy.ts";
import { type Clock } from "../common/time/Clock.ts";
import { UpstreamClient } from "./dispatch/UpstreamClient.ts";
import { CallerServer } from "./entry/CallerServer.ts";
import { CascadeRunner } from "./entry/CascadeRunner.ts";
import { ChatHandler } from "./entry/ChatHandler.ts";
import { type RequestContext } from "./entry/RequestContext.ts";
import { ServiceHandler } from "./entry/ServiceHandler.ts";
import { createBrokerListener } from "./http/BrokerListener.ts";
import { type Certificates } from "./http/Certificates.ts";
import { HttpServer, type HttpServerLimits } from "./http/HttpServer.ts";
import { type Metrics } from "./metrics/Metrics.ts";
import { RatingClient } from "./ratings/RatingClient.ts";
import { type Address, type Settings } from "./settings/SettingsSchema.ts";
import { UpstreamServer } from "./upstreams/UpstreamServer.ts";

const MS_PER_SECOND = 1000;

/** Implements the role `entry` of one instance. */
export class EntryRole extends DisposableOwner {
    public readonly upstreamClient: UpstreamClient;
    public readonly callerServer: CallerServer;
    public readonly servers: readonly HttpServer[];
    private readonly core: InstanceCore;
    private readonly clock: Clock;
    private readonly metrics: () => Metrics;

    public constructor(
        settings: Settings,
        core: InstanceCore,
        clock: Clock,
        broker: ServiceBroker,
        callers: Address,
        upstreams: Address,
        metrics: () => Metrics,
        certificates: Certificates | undefined,
    ) {
        super();
        this.core = core;
        this.clock = clock;
        this.metrics = metrics;
        this.upstreamClient = this.register(new UpstreamClient(core.registry));
        this.callerServer = this.createCallerServer(settings);
        const limits = serverLimits(settings);
        const options = { certificates, maxStopMs: settings.limits.stop_grace_ms };
        const upstreamServer = new UpstreamServer(core.relay, settings.upstreams.key_sha256);
        this.servers = [
            new HttpServer(
                "upstreams",
                upstreams,
                limits,
                () => createBrokerListener(broker, "upstreams", upstreamServer.handle),
                options,
            ),
            new HttpServer(
                "callers",
                callers,
                limits,
                () => createBrokerListener(broker, "callers", this.callerServer.handle, { skipsActions: true }),
                options,
            ),
        ];
    }

    private createCallerServer(settings: Settings): CallerServer {
        const { core, clock, upstreamClient } = this;
        const attempts = this.register(
            new Attempts({ ...core, clock }, {
                onDispatch: (ctx, attempt) => this.onDispatch(ctx, attempt),
                onOutcome: (target, outcome) => core.rollouts.onOutcome(target, outcome),
                onFailure: (ctx, attempt, err, isRetried) => this.onFailure(ctx, attempt, err, isRetried),
            }),
        );
        const policy = new VersionPolicy({
            follower: core.follower,
            sessions: core.sessions,
            hasUpstreams: target => core.dispatcher.hasUpstreams(target),
        });
        const maxBodyBytes = settings.limits.max_body_bytes;
        const recordBill = (bill: Bill): Promise<void> => this.recordBill(bill);
        const chat = new ChatHandler({
            clock,
            attempts,
            client: upstreamClient,
            chooseVersion: (ctx, request) => policy.choose({ ...versionRequest(ctx), model: request.request.model }),
            cascade: this.createCascade(settings),
            recordBill,
            maxBodyBytes,
            prefillMsPerToken: MS_PER_SECOND / settings.routing.prompt_tokens_per_s,
        });
        const services = new ServiceHandler({
            clock,
            attempts,
            client: upstreamClient,
            atMostOnce: core.atMostOnce,
            recordBill,
            maxBodyBytes,
        });
        return new CallerServer({
            instance: settings.instance.id,
            clock,
            limits: {
                defaultDeadlineMs: settings.limits.default_deadline_ms,
                requireDeadline: settings.limits.require_deadline,
            },
            chat,
            services,
            table: () => core.follower.table,
            timeline: core.timeline,
            usage: core.usage,
            onAnswered: (ctx, err) => this.onAnswered(ctx, err),
        });
    }

    private createCascade(settings: Settings): CascadeRunner | undefined {
        const { address } = settings.ratings;
        if (address === undefined) {
            return undefined;
        }
        const { dispatcher, follower, rollouts } = this.core;
        return new CascadeRunner({
            policy: new CascadePolicy(new QualityEstimates(), Math.random),
            ratings: this.register(new RatingClient(address)),
            rollouts,
            hasUpstreams: target => dispatcher.hasUpstreams(target),
            hasQuorumContact: () => follower.hasQuorumContact,
            random: Math.random,
        });
    }

    /**
     * Counts every item of the bill towards the account's usage on all instances, then records the bill. A cascade has
     * one item for each attempt.
     */
    private async recordBill(bill: Bill): Promise<void> {
        const weight = this.core.follower.table.accounts.find(account => account.name === bill.account)?.weight ?? 1;
        for (const item of bill.items) {
            this.core.usage.record(item.target, bill.account, weight, Math.max(1, item.tokens));
        }
        await this.core.bills.record(bill);
    }

    private onDispatch(ctx: AttemptRequest, attempt: Attempt): void {
        const upstream = attempt.assignment.upstream.announcement.id;
        this.core.timeline.record("requestDispatched", `sent to ${upstream} as ${attempt.id}`, {
            request: ctx.id,
            upstream,
        });
    }

    private onFailure(ctx: AttemptRequest, attempt: Attempt, err: RouterError, isRetried: boolean): void {
        const upstream = attempt.assignment.upstream.announcement.id;
        this.metrics().onAttempt(upstream, err.code);
        if (isRetried) {
            this.core.timeline.record("requestRetried", err.message, { request: ctx.id, upstream });
        }
    }

    private onAnswered(ctx: RequestContext | undefined, err: RouterError | undefined): void {
        const durationMs = ctx === undefined ? 0 : this.clock.monotonic() - ctx.arrivedAt;
        this.metrics().onAnswered(ctx?.account.name ?? "(none)", err?.code ?? "ok", durationMs);
    }
}

const versionRequest = (ctx: RequestContext): Pick<RequestContext, "id" | "table" | "account" | "session"> => ({
    id: ctx.id,
    table: ctx.table,
    account: ctx.account,
    session: ctx.session,
});

/** Limits of a server from the settings. */
export const serverLimits = (settings: Settings): HttpServerLimits => ({
    maxHeaderBytes: settings.limits.max_header_bytes,
    maxHeaders: settings.limits.max_headers,
    maxConnections: settings.limits.max_connections,
    requestTimeoutMs: settings.limits.body_timeout_ms,
});
