import assert from "node:assert/strict";
import { test } from "node:test";
import { type Route } from "./GatewayConfig.ts";
import { type EscalationInput, ModelEscalator } from "./ModelEscalator.ts";

const route: Route = {
    name: "r",
    host: "a.example",
    prefix: "/",
    kind: "stream",
    timeoutMs: 20_000,
    objectiveMs: 1000,
    gapMs: 600,
    priority: 0,
    models: ["small", "middle", "large"],
    targets: [],
    maxAttempts: 3,
    isPublic: false,
    isResumable: true,
};

const inputWith = (change: Partial<EscalationInput>): EscalationInput => ({
    route,
    model: 0,
    confidence: 20,
    elapsedMs: 100,
    latencyMs: 50,
    hasQuorumContact: true,
    ...change,
});

test("ModelEscalator: low confidence escalates while the largest model can answer within the objective", () => {
    const escalator = new ModelEscalator();
    escalator.recordLatency(route, 2, 300);
    assert.equal(escalator.escalate(inputWith({})), 2);
    assert.equal(escalator.escalate(inputWith({ confidence: 80 })), undefined);
    assert.equal(escalator.escalate(inputWith({ confidence: undefined })), undefined);
    assert.equal(escalator.escalate(inputWith({ model: 2 })), undefined);
    assert.equal(escalator.escalate(inputWith({ elapsedMs: 700 })), undefined);
});

test("ModelEscalator: an instance that is disconnected from control keeps the answer that it has", () => {
    const escalator = new ModelEscalator();
    escalator.recordLatency(route, 2, 300);
    assert.equal(escalator.escalate(inputWith({ hasQuorumContact: false })), undefined);
});
