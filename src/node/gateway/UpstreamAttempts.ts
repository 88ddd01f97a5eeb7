/**
 * The attempts in flight. A periodic check aborts those whose upstream has restarted, and finds those that make no progress.
 */
import { type ExchangeCodec, type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { connectionsPerInstance } from "../../common/gateway/GatewayConfig.ts";
import { type ObservedRun } from "../../common/gateway/RunSamples.ts";
import { type UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { addressOf } from "../../common/gateway/UpstreamRecord.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, repeatWhileBusy, type WakefulRepeat } from "../../common/time/Clock.ts";
import { Attempt } from "./Attempt.ts";
import { type AttemptTarget } from "./AttemptTargets.ts";
import { type Call, type CallState } from "./Call.ts";
import { type ModelChoice } from "./ModelChoice.ts";
import { type ReplyBuffers } from "./ReplyBuffers.ts";
import { type UpstreamTransport } from "./UpstreamConnections.ts";

/** How often the attempts are checked, in ms. */
const CHECK_PERIOD_MS = 100;

/** Dependencies of an attempt. */
export interface AttemptDependencies {
    readonly clock: Clock;
    readonly codec: ExchangeCodec;
    readonly upstreamStats: UpstreamStatistics;
    readonly directory: UpstreamDirectory;
    /** Whether this instance has recent quorum contact, and therefore an up-to-date directory of upstreams. */
    readonly hasQuorumContact: () => boolean;
    readonly models: ModelChoice;
    readonly replyBuffers: ReplyBuffers;
    /** Called when an attempt is sent, whether to resume a response or not; returns what is to be told how it goes on. */
    readonly startRun: (call: Call, isResumed: boolean) => ObservedRun;
    /** Called when the upstream closed the connection while the request ran. */
    readonly onConnectionClosed: (call: Call, selection: Selection, run: ObservedRun) => void;
    /** Called when no connection to the upstream could be made: it was refused, or not answered in time. */
    readonly onUnreached: (selection: Selection) => void;
    /** Called when a usable response begins to be relayed; `latencyMs` counts from the sending of the attempt. */
    readonly onResponse: (call: Call, selection: Selection, latencyMs: number) => void;
    /** Why the request must not be sent to the upstream process now; undefined if it may be. */
    readonly sendObstacle: (call: Call, upstream: string) => string | undefined;
    /** Called for each response of the selected process to its request, with what it states about itself. */
    readonly onStatement: (selection: Selection, head: ResponseHead) => void;
    /** Called for a response of that process to an earlier request, which came on the connection in use again. */
    readonly onLateStatement: (selection: Selection, head: ResponseHead) => void;
    /** Called when an attempt is given up because no usable response has begun after `waitedMs`. */
    readonly onUnanswered: (call: Call, selection: Selection, waitedMs: number) => void;
    /** Called once for a stream with enough events, with the median time between its first ones. */
    readonly onPace: (call: Call, selection: Selection, paceMs: number) => void;
}

/** Dependencies of the attempts. */
export interface UpstreamAttemptsDependencies extends AttemptDependencies {
    readonly connections: UpstreamTransport;
    /** Number of entry instances, which share the connections that an upstream accepts. */
    readonly entryCount: () => number;
}

/** All attempts of this instance. */
export class UpstreamAttempts extends DisposableOwner {
    public readonly deps: UpstreamAttemptsDependencies;
    private readonly active = new Set<Attempt>();
    private readonly checks: WakefulRepeat;

    public constructor(deps: UpstreamAttemptsDependencies) {
        super();
        this.deps = deps;
        this.checks = this.register(repeatWhileBusy(deps.clock, CHECK_PERIOD_MS, () => {
            this.active.forEach(attempt => attempt.check());
            return this.active.size > 0;
        }));
    }

    /** Sends a request to the selected upstream. */
    public start(call: Call, state: CallState, target: AttemptTarget, headers: string[]): Attempt {
        const { connections, entryCount, sendObstacle } = this.deps;
        const { record, name } = target.selection;
        const exchange = connections.send(
            name,
            addressOf(record),
            connectionsPerInstance(call.service, entryCount()),
            {
                method: call.req.method,
                path: call.req.path,
                headers,
                body: call.body,
                obstacle: () => sendObstacle(call, name),
            },
        );
        const attempt = new Attempt(this.deps, call, state, target, exchange, () => this.active.delete(attempt));
        this.active.add(attempt);
        this.checks.wake();
        return attempt;
    }
}
