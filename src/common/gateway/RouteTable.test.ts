import assert from "node:assert/strict";
import { test } from "node:test";
import { findConfigFaults, type GatewayConfig, type Route } from "./GatewayConfig.ts";
import { RouteTable } from "./RouteTable.ts";

const route = (name: string, prefix: string, change: Partial<Route> = {}): Route => ({
    name,
    host: "shop.example",
    prefix,
    kind: "idempotent",
    timeoutMs: 1000,
    objectiveMs: 100,
    gapMs: 500,
    priority: 0,
    models: [],
    targets: [{ service: "shop", weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    ...change,
});

const config = (routes: readonly Route[]): GatewayConfig => ({
    version: 1,
    routes,
    services: [{
        name: "shop",
        maxConnections: 10,
        coldStartMs: 0,
        coldPerSecond: 0,
        engineSlots: undefined,
        models: [],
    }],
    accounts: [{ name: "a", keys: ["k1", "k2"], priority: undefined }],
    limits: { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
});

test("RouteTable: the longest matching prefix wins, and the host is not case-sensitive", () => {
    const table = new RouteTable(config([route("all", "/"), route("a", "/a/"), route("ab", "/a/b/")]));
    assert.equal(table.findRoute("SHOP.example", "/a/b/c")?.name, "ab");
    assert.equal(table.findRoute("shop.example", "/a/bc")?.name, "a");
    assert.equal(table.findRoute("shop.example", "/x")?.name, "all");
    assert.equal(table.findRoute("other.example", "/a/"), undefined);
    assert.equal(table.findAccount("k2")?.name, "a");
    assert.equal(table.findAccount("k3"), undefined);
});

// Guards against routes that are open to every key after the last client account is removed.
test("RouteTable: a configuration that uses accounts requires a key, also when no account is left", () => {
    const withAccounts = config([route("all", "/")]);
    assert.equal(new RouteTable(withAccounts).requiresKeys, true);
    assert.equal(new RouteTable({ ...withAccounts, accounts: [] }).requiresKeys, true);
    assert.equal(new RouteTable({ ...withAccounts, accounts: undefined }).requiresKeys, false);
});

test("GatewayConfig: all faults are reported together", () => {
    const faulty = config([
        route("one", "/a/"),
        route("two", "/a/", { timeoutMs: 0 }),
        route("three", "/b/", { targets: [{ service: "none", weight: 0 }] }),
    ]);
    const accounts = [...faulty.accounts ?? [], { name: "b", keys: ["k1"], priority: undefined }];
    const messages = findConfigFaults({ ...faulty, accounts }).map(fault => `${fault.field}: ${fault.message}`);
    assert.equal(messages.length, 5);
    assert.match(messages.join("\n"), /routes\.1: another route/);
    assert.match(messages.join("\n"), /routes\.1: the timeout/);
    assert.match(messages.join("\n"), /routes\.2: service "none"/);
    assert.match(messages.join("\n"), /routes\.2: the weights/);
    assert.match(messages.join("\n"), /accounts\.1: shares a key/);
});
