/**
 * Counts what one attempt adds to the load of its upstream while it lasts, and adds its measured times to the
 * statistics.
 */
import { type Clock } from "../time/Clock.ts";
import { type AttemptEstimate } from "./UpstreamPace.ts";
import { type UpstreamStatistics, type UpstreamStats } from "./UpstreamStatistics.ts";

/** What must be known of the upstream that was selected for the attempt. */
export interface AttemptTarget {
    /** Identifies the process of the upstream. */
    readonly name: string;
    readonly stats: UpstreamStats;
    /** Undefined for a service that isn't placed by pace. */
    readonly estimate?: AttemptEstimate | undefined;
}

/** Load of one attempt, from its creation until `end`. */
export class AttemptLoad {
    private readonly clock: Clock;
    private readonly upstreamStats: UpstreamStatistics;
    private readonly target: AttemptTarget;
    private readonly sentAt: number;
    private promptTokens: number;
    private promptWorkMs: number;
    private hasFirstEvent = false;

    public constructor(clock: Clock, upstreamStats: UpstreamStatistics, target: AttemptTarget, promptTokens: number) {
        this.clock = clock;
        this.upstreamStats = upstreamStats;
        this.target = target;
        this.sentAt = clock.monotonic();
        this.promptTokens = promptTokens;
        this.promptWorkMs = target.estimate?.promptWorkMs ?? 0;
        target.stats.inFlight++;
        target.stats.promptTokens += this.promptTokens;
        target.stats.promptWorkMs += this.promptWorkMs;
    }

    /** Must be called when the head of a response has arrived, or the attempt has failed without one. */
    public recordHead(): void {
        this.target.stats.promptTokens -= this.promptTokens;
        this.promptTokens = 0;
    }

    /** Must be called for each event of the answer; only the first one has an effect. */
    public recordEvent(): void {
        if (this.hasFirstEvent) {
            return;
        }
        this.hasFirstEvent = true;
        this.releaseWork();
        if (this.target.estimate !== undefined) {
            const measuredMs = this.clock.monotonic() - this.sentAt;
            this.upstreamStats.pace.recordFirstEvent(this.target.name, this.target.estimate, measuredMs);
        }
    }

    /** Must be called once, when the attempt ends; only the durations of whole answers count. */
    public end(isAnswered: boolean): void {
        const { stats, estimate } = this.target;
        stats.inFlight--;
        this.recordHead();
        this.releaseWork();
        if (isAnswered && this.hasFirstEvent && estimate !== undefined) {
            this.upstreamStats.recordDuration(estimate.service, this.clock.monotonic() - this.sentAt);
        }
    }

    private releaseWork(): void {
        const { stats } = this.target;
        stats.promptWorkMs = Math.max(0, stats.promptWorkMs - this.promptWorkMs);
        this.promptWorkMs = 0;
    }
}
