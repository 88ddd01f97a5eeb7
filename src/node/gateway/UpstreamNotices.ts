/**
 * Notices of upstreams, given in their responses: an upstream is leaving, limits its requests, or wants none from this
 * instance for a while. For an upstream, the requests that this instance relays for others come from this one.
 */
import { type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { UpstreamPauses } from "../../common/gateway/UpstreamPauses.ts";
import { UpstreamStatements } from "../../common/gateway/UpstreamStatements.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, repeat } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";

/** How often statements that no longer hold are removed, in ms. */
const EVICTION_PERIOD_MS = 5000;

/** Dependencies of the notices. */
export interface UpstreamNoticesDependencies {
    readonly clock: Clock;
    /** Id of this instance. */
    readonly self: string;
    readonly log: Log;
    /** Called when an upstream wants no requests any more, for now or for good. */
    readonly onSpared: () => void;
}

/** Notices that hold for this instance. */
export class UpstreamNotices extends DisposableOwner {
    public readonly statements: UpstreamStatements;
    public readonly pauses: UpstreamPauses;
    private readonly deps: UpstreamNoticesDependencies;

    public constructor(deps: UpstreamNoticesDependencies) {
        super();
        this.deps = deps;
        const { clock, self } = deps;
        this.statements = new UpstreamStatements(clock);
        this.pauses = new UpstreamPauses(clock, self);
        this.register(repeat(clock, EVICTION_PERIOD_MS, () => this.statements.evictStale()));
    }

    /** Why an upstream process must not get requests now; undefined if it may get them. */
    public reasonToSpare(upstream: string): string | undefined {
        if (this.statements.isLeaving(upstream)) {
            return "the upstream is leaving";
        }
        return this.pauses.isPaused(upstream) ? "the upstream wants no requests for a while" : undefined;
    }

    /** Whether an upstream process must not get requests now. */
    public readonly isSpared = (upstream: string): boolean => this.reasonToSpare(upstream) !== undefined;

    /** Records a response of an upstream process to this instance. */
    public record(upstream: string, head: ResponseHead): void {
        const { log } = this.deps;
        const { isLeaving, requestLimit: perSecond } = head;
        this.recordNotice(upstream, head);
        if (!head.isNotRun && head.pauseMs === undefined) {
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

    /**
     * Records what any response of an upstream process asks of this instance, also one that it relays or that came late.
     */
    public recordNotice(upstream: string, { isLeaving, pauseMs }: ResponseHead): void {
        const { log, onSpared } = this.deps;
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
        if (isLeaving || pauseMs !== undefined) {
            onSpared();
        }
    }
}
