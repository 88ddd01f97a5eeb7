import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createServer } from "node:net";
import { test } from "node:test";
import { freePorts } from "./Deployment.ts";

test("freePorts: outgoing connections of other processes can't take the ports, and no port is given twice", async () => {
    const range = readFileSync("/proc/sys/net/ipv4/ip_local_port_range", "utf8").trim().split(/\s+/).map(Number);
    const [first = 0, last = 0] = range;
    const ports = [...await freePorts(20), ...await freePorts(20)];
    assert.deepEqual(ports.filter(port => port >= first && port <= last), []);
    assert.equal(new Set(ports).size, ports.length);
});

test("freePorts: a port on which a process listens is left out", async () => {
    const [port = 0] = await freePorts(1);
    const server = createServer();
    await new Promise<void>(resolve => server.listen(port + 1, "127.0.0.1", resolve));
    assert.notEqual((await freePorts(1))[0], port + 1);
    server.close();
});
