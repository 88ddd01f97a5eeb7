/**
 * A stand-in for an engine: checks in, answers requests of its own instance, and keeps what it has run.
 */
import { createServer } from "node:http";
import { call } from "./harness.mjs";

const CHECK_IN_MS = 500;

/** One engine on a loopback address. */
export class Engine {
    constructor(id, { ip, port, zone, service, controls, slots = 8, workMs = 20, answer }) {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.controls = controls;
        this.slots = slots;
        this.workMs = workMs;
        this.answer = answer;
        this.ip = ip;
        this.port = port;
        this.born = Date.now();
        this.seq = 0;
        /** What began to run: id, tenant, method, path, body, time. */
        this.runs = [];
    }

    async start() {
        this.server = createServer((req, res) => void this.handle(req, res));
        this.server.keepAliveTimeout = 10_000;
        await new Promise(done => this.server.listen(this.port, this.ip, done));
        this.timer = setInterval(() => void this.checkIn(), CHECK_IN_MS);
        await this.checkIn();
    }

    async checkIn() {
        this.seq += 1;
        const { service, zone, slots, seq, born } = this;
        const address = `${this.ip}:${this.port}`;
        const body = JSON.stringify({
            service, address, zone, version: "v1", slots, state: "ready", cold_left_ms: 0, seq, born,
        });
        for (const control of this.controls) {
            const path = `/api/instances/${this.id}`;
            const { status } = await call(control.address("control"), "PUT", path, body, {
                "content-type": "application/json",
            });
            if (status >= 200 && status < 300) {
                return;
            }
        }
    }

    async handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const id = req.headers["request-id"];
        if (req.url === "/health") {
            res.writeHead(200, { "Instance-Id": this.id, "Engine-Load": `0,0,${this.slots}` }).end();
            return;
        }
        if (id === undefined) {
            res.writeHead(400, { "Not-Run": "1" }).end();
            return;
        }
        const expected = req.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            res.writeHead(421, { "Request-Id": id, "Not-Run": "1" }).end();
            return;
        }
        const { method, url: path, headers } = req;
        const run = { id, method, path, tenant: headers.tenant, headers, body: Buffer.concat(chunks).toString(), at: Date.now() };
        this.runs.push(run);
        await new Promise(done => setTimeout(done, this.workMs));
        const { status = 200, text = `answer of ${this.id} to ${id}`, headers: more = {} } = this.answer?.(run) ?? {};
        const stamp = `stamp-${this.id}-${this.runs.length}`;
        res.writeHead(status, { "Request-Id": id, "Engine-Stamp": stamp, ...more }).end(text);
    }

    hasRun(requestId) {
        return this.runs.some(({ id }) => id === requestId);
    }

    stop() {
        clearInterval(this.timer);
        this.server.closeAllConnections();
        this.server.close();
    }
}
