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

const doubt = (change: Partial<EscalationInput>): EscalationInput => ({
    route,
    model: 0,
    confidence: 20,
    elapsedMs: 100,
    latencyMs: 50,
    hasQuorumContact: true,
    ...change,
});

test("ModelChoice: a doubtful answer is left to the largest model while the objective leaves time", () => {
    const models = new ModelEscalator();
    models.recordLatency(route, 2, 300);
    assert.equal(models.escalate(doubt({})), 2);
    assert.equal(models.escalate(doubt({ confidence: 80 })), undefined);
    assert.equal(models.escalate(doubt({ confidence: undefined })), undefined);
    assert.equal(models.escalate(doubt({ model: 2 })), undefined);
    assert.equal(models.escalate(doubt({ elapsedMs: 700 })), undefined);
});

test("ModelChoice: an instance that is cut off from control keeps the answer that it has", () => {
    const models = new ModelEscalator();
    models.recordLatency(route, 2, 300);
    assert.equal(models.escalate(doubt({ hasQuorumContact: false })), undefined);
});
