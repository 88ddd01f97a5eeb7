/**
 * A sound engine as PROTOCOL.md describes it: it checks in, runs requests with its stamp, and stops work on a request when
 * its channel closes.
 */
import { createServer } from "node:http";
import { call, sleep } from "./deployment.mjs";

const CHECK_IN_MS = 1200;

export class Engine {
    /** @param options id, service, zone, control addresses, `workMs` of a plain request, `pieceMs` between two events */
    constructor({ id, service, zone, controls, note, slots = 64, workMs = 300, pieceMs = 50 }) {
        Object.assign(this, { id, service, zone, controls, note, slots, workMs, pieceMs });
        this.runs = [];
        this.state = "ready";
        this.born = Date.now();
        this.seq = 0;
        this.running = 0;
        this.isStopped = false;
        this.server = createServer({ keepAliveTimeout: 15_000 }, (req, res) => void this.handle(req, res));
    }

    async start(ip = "127.0.0.1") {
        await new Promise(resolve => this.server.listen(0, ip, resolve));
        this.address = `${ip}:${this.server.address().port}`;
        await this.checkIn();
        void this.checkInRepeatedly();
    }

    async checkInRepeatedly() {
        while (!this.isStopped) {
            await sleep(CHECK_IN_MS);
            if (!this.isStopped) {
                await this.checkIn();
            }
        }
    }

    /** Sends one check-in, to the next control instance until one confirms it. */
    async checkIn() {
        const { service, address, zone, slots, state, born } = this;
        this.seq++;
        const body = { service, address, zone, version: "v1", slots, state, cold_left_ms: 0, seq: this.seq, born };
        const start = Math.floor(Math.random() * this.controls.length);
        for (let index = 0; index < this.controls.length; index++) {
            const control = this.controls[(start + index) % this.controls.length];
            const { status } = await call(control, "PUT", `/api/instances/${this.id}`, JSON.stringify(body));
            if (status >= 200 && status < 300) {
                return control;
            }
        }
        return undefined;
    }

    async handle(req, res) {
        const chunks = [];
        try {
            for await (const chunk of req) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const id = String(req.headers["request-id"]);
        const load = `${this.running},0,${this.slots}`;
        if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== this.id) {
            res.writeHead(421, { "Request-Id": id, "Not-Run": "1", "Engine-Load": load }).end();
            return;
        }
        const run = { id, path: req.url, method: req.method, body: Buffer.concat(chunks).toString(), at: Date.now() };
        this.runs.push(run);
        this.running++;
        this.note("engine runs", { engine: this.id, id, path: req.url, after: req.headers["last-event-id"] });
        res.on("close", () => {
            this.running--;
            run.endedAt = Date.now();
            run.isWhole = res.writableFinished;
            this.note("engine has ended", { engine: this.id, id, whole: run.isWhole });
        });
        const head = { "Request-Id": id, "Engine-Stamp": `stamp.${this.id}.${id}`, "Engine-Load": load };
        if (req.url.startsWith("/stream/")) {
            await this.stream(req, res, head);
            return;
        }
        await sleep(this.workMs);
        const body = `answer to ${id}`;
        res.writeHead(200, { ...head, "Content-Length": Buffer.byteLength(body) }).end(body);
    }

    /** The last part of the path is the number of events. */
    async stream(req, res, head) {
        const count = Number(req.url.split("/").at(-1));
        res.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
        for (let event = Number(req.headers["last-event-id"] ?? 0) + 1; event <= count && !res.destroyed; event++) {
            res.write(`id: ${event}\ndata: piece ${event} of ${count}\n\n`);
            await sleep(this.pieceMs);
        }
        res.end();
    }

    stop() {
        this.isStopped = true;
        this.server.close();
        this.server.closeAllConnections();
    }
}
