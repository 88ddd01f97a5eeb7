/**
 * Records the outcomes of callers' requests by the version on which they ran. A request that arrived before the newest
 * roll-out to its version ran on what the version was before, so it isn't counted.
 */
import { type OutcomeCounters } from "../../common/gateway/OutcomeCounters.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { type Call } from "./Call.ts";

/** Counts outcomes for the evaluation of versions. */
export class CallOutcomes {
    private readonly counters: OutcomeCounters;

    public constructor(counters: OutcomeCounters) {
        this.counters = counters;
    }

    /** Records a response; `latencyMs` is undefined for a failure. */
    public recordResponse(call: Call, { record: { version } }: Selection, latencyMs: number | undefined): void {
        if (this.isCounted(call, version)) {
            this.counters.record(call.service.name, version, call.route.name, latencyMs === undefined, latencyMs);
        }
    }

    /** Records an attempt that was given up after `waitedMs` without a response. */
    public recordUnanswered(call: Call, { record: { version } }: Selection, waitedMs: number): void {
        if (this.isCounted(call, version)) {
            this.counters.recordUnanswered(call.service.name, version, call.route.name, waitedMs);
        }
    }

    /** Records the median time between the events of a stream. */
    public recordPace(call: Call, { record: { version } }: Selection, paceMs: number): void {
        if (this.isCounted(call, version)) {
            this.counters.recordPace(call.service.name, version, call.route.name, paceMs);
        }
    }

    private isCounted({ service, arrivedAt }: Call, version: string): boolean {
        return this.counters.isCounted(service.name, version, arrivedAt);
    }
}
