/**
 * A sound client as PROTOCOL.md describes it: it keeps its channel for several requests and respects `Connection: close`.
 */
import { Agent, request } from "node:http";

export class Client {
    constructor(name, address, note) {
        this.name = name;
        this.note = note;
        const [host, port] = address.split(":");
        this.target = { host, port };
        this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
        this.requests = [];
    }

    /** Sends one request; resolves with what became of it. `lastByteAt` is the time at which its last byte was sent. */
    send({ method = "POST", path, headers = {}, body, deadlineMs }) {
        const id = `${this.name}-${this.requests.length + 1}`;
        const sent = {
            id,
            path,
            sentAt: Date.now(),
            lastByteAt: undefined,
            status: undefined,
            headers: {},
            text: "",
            isComplete: false,
            error: "",
            endedAt: undefined,
        };
        this.requests.push(sent);
        return new Promise(resolve => {
            const finish = error => {
                if (sent.endedAt === undefined) {
                    sent.endedAt = Date.now();
                    sent.error = error;
                    const { status, isComplete } = sent;
                    this.note("client has ended", { id, status, complete: isComplete, error });
                    resolve(sent);
                }
            };
            this.note("client sends", { id, method, path, to: this.target.host });
            const req = request({
                ...this.target,
                agent: this.agent,
                method,
                path,
                headers: { Host: "a.example", "Request-Id": id, "Deadline-Ms": String(deadlineMs), ...headers },
            }, res => {
                sent.status = res.statusCode;
                sent.headers = res.headers;
                res.setEncoding("utf8");
                res.on("data", chunk => {
                    sent.text += chunk;
                });
                res.on("error", ({ message }) => {
                    sent.error = message;
                });
                res.on("close", () => {
                    sent.isComplete = res.complete;
                    finish(sent.error);
                });
            });
            req.on("finish", () => {
                sent.lastByteAt = Date.now();
            });
            req.on("error", ({ message }) => {
                // Once an answer has begun, its own end tells the result.
                if (sent.status === undefined) {
                    finish(message);
                }
            });
            req.end(body);
        });
    }

    close() {
        this.agent.destroy();
    }
}
