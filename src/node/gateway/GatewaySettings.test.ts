import assert from "node:assert/strict";
import { test } from "node:test";
import { parseGatewaySettings } from "./GatewaySettings.ts";

const VALID_LINES = [
    "[instance]",
    "name = a",
    "roles = control",
    "domain = d",
    "data = /data/a",
    "bootstrap = true",
    "[doors]",
    "callers =",
    "control = 10.0.0.1:8229",
    "peers = 10.0.0.1:7340",
    "[control]",
    "seeds = 10.0.0.1:8229,10.0.0.2:8229",
    "secret = a secret of the tests",
    "[bounds]",
    "session_s = 6.5",
];

const faultsOf = (change: (line: string) => string): string[] =>
    parseGatewaySettings("node.ini", VALID_LINES.map(change).join("\n")).faults.map(fault =>
        `${fault.file}:${fault.line}: ${fault.field}: ${fault.message}`
    );

test("GatewaySettings: reads a valid file, with defaults for omitted keys", () => {
    const { settings } = parseGatewaySettings("node.ini", VALID_LINES.join("\n"));
    assert.deepEqual(settings?.control.seeds, ["10.0.0.1:8229", "10.0.0.2:8229"]);
    assert.deepEqual(settings?.doors.peers, { host: "10.0.0.1", port: 7340 });
    assert.equal(settings?.bounds.session_s, 6.5);
    assert.equal(settings?.bounds.revoke_ms, 5000);
    assert.equal(settings?.doors.callers, undefined);
    assert.equal(settings?.instance.bootstrap, true);
});

// Guards against bounds of 0 where the platform has no value for a placeholder of the template.
test("GatewaySettings: a number without a value has its default and is not 0", () => {
    const { settings } = parseGatewaySettings("node.ini", [...VALID_LINES, "revoke_ms =", "retry_slack = "].join("\n"));
    assert.equal(settings?.bounds.revoke_ms, 5000);
    assert.equal(settings?.bounds.retry_slack, 50);
});

test("GatewaySettings: reports each fault with file, line and field", () => {
    const peers = faultsOf(line => line.startsWith("peers") ? "peers = somewhere" : line);
    assert.match(peers.join("\n"), /^node\.ini:10: doors\.peers: must be IP:PORT/);
    const role = faultsOf(line => line.startsWith("roles") ? "roles = entry" : line);
    assert.equal(role.length, 2);
    assert.match(role.join("\n"), /node\.ini:8: doors\.callers: the key is missing; the role entry needs it/);
    const window = faultsOf(line => line.startsWith("session_s") ? "retry_window_s = soon" : line);
    assert.match(window.join("\n"), /^node\.ini:15: bounds\.retry_window_s: must be a number/);
    const both = faultsOf(line => line.startsWith("secret") || line.startsWith("domain") ? "" : line);
    assert.equal(both.length, 2);
});
