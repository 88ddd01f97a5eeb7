import assert from "node:assert/strict";
import { test } from "node:test";
import { parseSettings, readSettings } from "./SettingsReader.ts";

const SECRET = { SKYLARKTIDE_SECRET: "a secret of 24 characters" };

test("the example settings files are valid", () => {
    const files = ["orchard/hooghly-a-1", "orchard/kalyani-d-1", "kitahama/sapporo-a-1", "kitahama/otaru-2"];
    for (const file of files) {
        assert.deepEqual(readSettings(`examples/${file}.ini`, SECRET).faults, []);
    }
});

test("every fault names file, line and field, and for an unknown key the most similar one", () => {
    const text = [
        "[instance]",
        "id = a 1",
        "deployment = d",
        "domain = a",
        "region = r",
        "[doors]",
        "admin = localhost:80",
        "callers = 127.0.0.1:1",
        "upstreams = 127.0.0.1:2",
        "[limits]",
        "max_body_byte = 5",
        "max_headers = many",
        "stop_grace_ms =",
        "[routing]",
        "other_domain_ms =",
    ].join("\n");
    const { faults } = parseSettings("x.ini", text, {});
    const lines = faults.map(fault => `${fault.file}:${fault.line} ${fault.field}: ${fault.message}`).sort();
    assert.deepEqual(lines, [
        "x.ini:11 limits.max_body_byte: unknown key; did you mean \"max_body_bytes\"?",
        "x.ini:12 limits.max_headers: must be a number",
        "x.ini:13 limits.stop_grace_ms: must be a number",
        "x.ini:15 routing.other_domain_ms: must be a number",
        "x.ini:2 instance.id: must be 1 to 64 letters, digits, dots, dashes",
        "x.ini:7 doors.admin: must be IP:PORT, such as 127.0.0.1:8080",
    ]);
});

test("keys that a role or a peer requires are reported when they are missing", () => {
    const text =
        "[instance]\nid=a\ndeployment=d\ndomain=a\nregion=r\nroles=control\n[doors]\nadmin=127.0.0.1:1\n[peers]\nb=127.0.0.1:2";
    const fields = parseSettings("x.ini", text, {}).faults.map(fault => fault.field);
    assert.deepEqual(fields, ["instance.data", "doors.peers", "control.secret"]);
});
