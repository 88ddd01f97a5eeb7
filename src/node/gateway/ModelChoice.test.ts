import assert from "node:assert/strict";
import { test } from "node:test";
import { type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { type ServiceRetryBudget } from "../../common/gateway/ServiceRetryBudget.ts";
import { UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { type Call, createCallState } from "./Call.ts";
import { GatewayMetrics } from "./GatewayMetrics.ts";
import { ModelChoice } from "./ModelChoice.ts";

/** Model that is asked after an answer of low confidence to the first one. */
const nextModel = (isResumable: boolean): number | undefined => {
    const clock = new ManualClock(0);
    const choice = new ModelChoice({
        clock,
        upstreamStats: new UpstreamStatistics(clock),
        budget: { tryWithdrawSpare: () => true } as unknown as ServiceRetryBudget,
        metrics: new GatewayMetrics(),
        hasQuorumContact: () => true,
    });
    const models = ["small", "large"];
    const route = {
        name: "r",
        kind: "stream",
        isResumable,
        models,
        maxAttempts: 3,
        objectiveMs: 2000,
        timeoutMs: 20_000,
    };
    const call = {
        route,
        service: { name: "s" },
        req: {},
        reply: { hasBegun: false },
        arrivedAt: 0,
        deadlineAt: 20_000,
    };
    const state = createCallState();
    Object.assign(state, { modelIndex: 0, attempts: { size: 1 } });
    const head = { confidence: 1 } as ResponseHead;
    return choice.next(call as unknown as Call, state, head, 50);
};

// TWICE: a stream that may not be resumed ran once more on the larger model.
test("ModelChoice: only a request that may run again is asked of a larger model after an answer of low confidence", () => {
    assert.equal(nextModel(true), 1);
    assert.equal(nextModel(false), undefined);
});
