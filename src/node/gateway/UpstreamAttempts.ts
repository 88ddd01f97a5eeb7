/**
 * The attempts in flight. A periodic check aborts those whose upstream has restarted, and finds those that make no progress.
 */
import { connectionsPerInstance } from "../../common/gateway/GatewayConfig.ts";
import { addressOf } from "../../common/gateway/UpstreamRecord.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { repeatWhileBusy, type WakefulRepeat } from "../../common/time/Clock.ts";
import { Attempt, type AttemptDependencies } from "./Attempt.ts";
import { type AttemptTarget } from "./AttemptTargets.ts";
import { type Call, type CallState } from "./Call.ts";
import { type UpstreamTransport } from "./UpstreamConnections.ts";

/** How often the attempts are checked, in ms. */
const CHECK_PERIOD_MS = 100;

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
        const { connections, entryCount, isSpared } = this.deps;
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
                obstacle: () => isSpared(name) ? `upstream ${name} wants no requests` : undefined,
            },
        );
        const attempt = new Attempt(this.deps, call, state, target, exchange, () => this.active.delete(attempt));
        this.active.add(attempt);
        this.checks.wake();
        return attempt;
    }
}
