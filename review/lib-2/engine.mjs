/**
 * A stand-in of an engine: checks in with the control processes as the pages say, and passes each request to a handler that
 * writes the bytes of the answer. It runs no request that names another instance.
 */
import { createServer } from "node:net";
import { call, readRequests } from "./http.mjs";

const HEARTBEAT_MS = 1200;

let lastId = 0;

export class Engine {
    /**
     * @param handle called with each request that is for this engine, with its connection; it answers on the socket
     */
    constructor({ service, zone, version = "v1", slots, ip, controls, handle, id, coldMs = 0, fields = {} }) {
        this.id = id ?? `i-${(++lastId).toString(16).padStart(4, "0")}${Math.random().toString(16).slice(2, 6)}`;
        Object.assign(this, { service, zone, version, slots, ip, controls, handle, coldMs, fields });
        this.born = Date.now();
        this.seq = 0;
        this.state = "ready";
        this.sockets = new Set();
        this.server = createServer({ noDelay: true }, socket => this.serve(socket));
    }

    get address() {
        return `${this.ip}:${this.port}`;
    }

    async start(port = 0) {
        await new Promise((done, fail) => {
            this.server.once("error", fail);
            this.server.listen(port, this.ip, done);
        });
        this.port = this.server.address().port;
        await this.checkIn();
        this.timer = setInterval(() => void this.checkIn(), HEARTBEAT_MS);
    }

    body() {
        return JSON.stringify({
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: this.version,
            slots: this.slots,
            state: this.state,
            cold_left_ms: this.coldMs,
            seq: ++this.seq,
            born: this.born,
            ...this.fields,
        });
    }

    /** Sends a check-in to one control process after the other until one confirms it within a second. */
    async checkIn(controls = this.controls()) {
        const body = this.body();
        for (const control of controls) {
            const res = await call(control, "PUT", `/api/instances/${this.id}`, { body, timeoutMs: 1000 })
                .catch(() => undefined);
            if (res?.status === 200) {
                return true;
            }
        }
        return false;
    }

    serve(socket) {
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        readRequests(socket, req => {
            if (req.path === "/health") {
                socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
                return;
            }
            const expected = req.headers["expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                socket.write(
                    `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
                );
                return;
            }
            this.handle(req, socket, this);
        });
    }

    /** Ends as a crash does. */
    stop() {
        clearInterval(this.timer);
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}
