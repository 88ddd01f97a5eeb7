/**
 * Notices of upstreams, given in their responses: an upstream is leaving, limits its requests, or wants none from this
 * instance for a while. For an upstream, a request that another instance relayed comes from that one, which can't read
 * the response; it is told.
 */
import { type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { UpstreamPauses } from "../../common/gateway/UpstreamPauses.ts";
import { UpstreamStatements } from "../../common/gateway/UpstreamStatements.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type PeerRequest } from "../../common/peers/PeerCalls.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Clock, repeat } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";

/** Time in which a relay must reply to a notice, in ms. */
const NOTICE_TIMEOUT_MS = 500;
/** How often statements that no longer hold are removed, in ms. */
const EVICTION_PERIOD_MS = 5000;

/** Dependencies of the notices. */
export interface UpstreamNoticesDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly log: Log;
    /** Ids of the instances through which connections to an upstream process go. */
    readonly relaysOf: (upstream: string) => Iterable<string>;
}

/** Notices that hold for this instance. */
export class UpstreamNotices extends DisposableOwner {
    public readonly statements: UpstreamStatements;
    public readonly pauses: UpstreamPauses;
    private readonly deps: UpstreamNoticesDependencies;

    public constructor(deps: UpstreamNoticesDependencies) {
        super();
        this.deps = deps;
        const { clock, network } = deps;
        this.statements = new UpstreamStatements(clock);
        this.pauses = new UpstreamPauses(clock, network.self);
        this.register(network.handle("noteUpstream", notice => {
            this.apply(notice);
            return {};
        }));
        this.register(repeat(clock, EVICTION_PERIOD_MS, () => this.statements.evictStale()));
    }

    /** Why an upstream process must not get requests now; undefined if it may get them. */
    public reasonToSpare(upstream: string): string | undefined {
        if (this.statements.isLeaving(upstream)) {
            return "the upstream is leaving";
        }
        return this.pauses.isPaused(upstream) ? "the upstream wants no requests for a while" : undefined;
    }

    /** Records a response of an upstream process to this instance. */
    public record(upstream: string, head: ResponseHead): void {
        const { log, relaysOf } = this.deps;
        const { isLeaving, pauseMs, requestLimit: perSecond } = head;
        if (isLeaving || pauseMs !== undefined) {
            const notice = { upstream, isLeaving, pauseMs };
            this.apply(notice);
            for (const relay of relaysOf(upstream)) {
                void this.tell(relay, notice);
            }
        }
        else if (!head.isNotRun) {
            this.pauses.recordAnswer(upstream);
        }
        if (head.hasInvalidPause) {
            log.warn("An upstream names no valid time for which it wants no requests.", { upstream });
        }
        if (this.statements.recordResponse(upstream, perSecond, isLeaving)) {
            const text = perSecond === undefined ? "limits its requests no more" : "limits its requests";
            log.info(`An upstream ${text}.`, { upstream, perSecond });
        }
    }

    private apply({ upstream, isLeaving, pauseMs }: PeerRequest<"noteUpstream">): void {
        const { log } = this.deps;
        if (isLeaving && !this.statements.isLeaving(upstream)) {
            log.info("An upstream states that it is leaving.", { upstream });
        }
        if (isLeaving) {
            this.statements.recordLeaving(upstream);
        }
        if (pauseMs !== undefined) {
            log.info("An upstream wants no requests for a while.", { upstream, pauseMs });
            this.pauses.begin(upstream, pauseMs);
        }
    }

    private async tell(relay: string, notice: PeerRequest<"noteUpstream">): Promise<void> {
        const { network, log } = this.deps;
        try {
            network.setAddress(relay, relay);
            await network.call(relay, "noteUpstream", notice, NOTICE_TIMEOUT_MS);
        }
        catch (err) {
            log.warn("A relay doesn't know what an upstream states.", { relay, reason: (err as Error).message });
        }
    }
}
