import assert from "node:assert/strict";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { type ConnectionTimeouts, HttpServer } from "./HttpServer.ts";

const HOST = "127.0.0.91";
const LIMITS = { maxHeaderBytes: 8192, maxHeaders: 50, maxConnections: 50, requestTimeoutMs: 30_000 };
const HEAD = "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\n";
const REQUEST = `${HEAD}abc`;
const LONG: ConnectionTimeouts = { headerTimeoutMs: 20_000, idleTimeoutMs: 20_000 };
/** Above the interval at which Node.js checks for the header timeout. */
const CHECKED_MS = 1500;

type Handle = (req: IncomingMessage, res: ServerResponse) => void;

const start = async (t: TestContext, handle: Handle, timeouts = LONG): Promise<HttpServer> => {
    const server = new HttpServer("callers", { host: HOST, port: 0 }, LIMITS, () => handle);
    server.setTimeouts(timeouts);
    await server.start();
    t.after(() => {
        server.closeConnections();
        return server.stop();
    });
    return server;
};

/** A connection of a caller, with what it has received. */
class Caller {
    public readonly socket: Socket;
    public received = "";
    public readonly closed: Promise<number>;

    public constructor(server: HttpServer) {
        this.socket = connect({ host: HOST, port: server.port });
        this.socket.on("data", data => {
            this.received += data.toString("latin1");
        });
        this.socket.on("error", () => undefined);
        this.closed = new Promise(resolve => this.socket.once("close", () => resolve(performance.now())));
    }

    public async receive(text: string, limitMs = 10_000): Promise<number> {
        const until = performance.now() + limitMs;
        while (!this.received.includes(text) && performance.now() < until && !this.socket.destroyed) {
            await pause(5);
        }
        assert.ok(this.received.includes(text), `received: ${this.received}`);
        return performance.now();
    }
}

/** Answers a request once its body has arrived and `release` has been called. */
const createHeld = (): { readonly handle: Handle; readonly release: () => void; readonly arrived: Promise<void>; } => {
    let release = (): void => undefined;
    let arrive = (): void => undefined;
    const released = new Promise<void>(resolve => {
        release = resolve;
    });
    const arrived = new Promise<void>(resolve => {
        arrive = resolve;
    });
    const handle: Handle = (req, res) => {
        req.resume().once("end", () => {
            res.write("begun");
            arrive();
            void released.then(() => res.end("complete"));
        });
        req.once("error", () => undefined);
    };
    return { handle, release, arrived };
};

test("Timeouts: a connection is kept for as long as its last response said, also if the limit is lowered meanwhile", async t => {
    const { handle, release, arrived } = createHeld();
    const server = await start(t, handle);
    server.setTimeouts({ ...LONG, idleTimeoutMs: 3000 });
    const caller = new Caller(server);
    caller.socket.write(REQUEST);
    await arrived;
    server.setTimeouts({ ...LONG, idleTimeoutMs: 1 });
    release();
    const answeredAt = await caller.receive("complete");
    assert.match(caller.received, /Keep-Alive: timeout=3\r\n/);
    const keptMs = await caller.closed - answeredAt;
    assert.ok(keptMs >= 3000, `closed ${keptMs} ms after a response that allowed 3 s`);
});

test("Timeouts: those that were set before the server started are in force", async t => {
    const server = await start(t, createHeld().handle, { ...LONG, idleTimeoutMs: 4000 });
    const caller = new Caller(server);
    caller.socket.write(REQUEST);
    await caller.receive("begun");
    assert.match(caller.received, /Keep-Alive: timeout=4\r\n/);
});

test("Timeouts: lowered limits end neither a request whose body is being received nor a response in progress", async t => {
    const { handle, release } = createHeld();
    const server = await start(t, handle);
    const caller = new Caller(server);
    caller.socket.write(`${HEAD}a`);
    await pause(100);
    server.setTimeouts({ headerTimeoutMs: 100, idleTimeoutMs: 1 });
    await pause(CHECKED_MS);
    caller.socket.write("bc");
    await caller.receive("begun");
    await pause(CHECKED_MS);
    release();
    await caller.receive("complete");
});

test("Timeouts: a head that takes longer than a lowered limit is refused as not run", async t => {
    const server = await start(t, createHeld().handle);
    const caller = new Caller(server);
    caller.socket.write(HEAD.slice(0, 20));
    await pause(100);
    server.setTimeouts({ ...LONG, headerTimeoutMs: 100 });
    await caller.receive("HTTP/1.1 408 ");
});

for (const [what, next] of [["an incomplete", "GET /b HT"], ["a malformed", "no request at all\r\n\r\n"]] as const) {
    test(`Timeouts: the response to a whole request is completed although ${what} one follows`, async t => {
        const { handle, release, arrived } = createHeld();
        const server = await start(t, handle);
        const caller = new Caller(server);
        caller.socket.write(REQUEST);
        await arrived;
        server.setTimeouts({ ...LONG, headerTimeoutMs: 100 });
        caller.socket.write(next);
        await pause(CHECKED_MS);
        release();
        await caller.receive("complete");
        await caller.closed;
    });
}

for (const [what, next] of [["nothing", ""], ["an incomplete request", "GET /b HT"]] as const) {
    test(`Timeouts: a caller that has closed its side counts as gone, after a whole request and ${what}`, async t => {
        const { handle, arrived } = createHeld();
        let hasLeft = (): void => undefined;
        const left = new Promise<void>(resolve => {
            hasLeft = resolve;
        });
        const server = await start(t, (req, res) => {
            res.once("close", hasLeft);
            handle(req, res);
        });
        const caller = new Caller(server);
        caller.socket.write(REQUEST);
        await arrived;
        server.setTimeouts({ ...LONG, headerTimeoutMs: 100 });
        caller.socket.write(next);
        await pause(CHECKED_MS);
        assert.ok(!caller.socket.destroyed, "the connection is open");
        caller.socket.end();
        await left;
    });
}

test("Timeouts: a request that arrives after the header timeout, while another is being answered, is answered", async t => {
    const { handle, release, arrived } = createHeld();
    const server = await start(t, handle);
    const caller = new Caller(server);
    caller.socket.write(REQUEST);
    await arrived;
    server.setTimeouts({ ...LONG, headerTimeoutMs: 100 });
    caller.socket.write(REQUEST.slice(0, 9));
    await pause(CHECKED_MS);
    caller.socket.write(REQUEST.slice(9));
    await pause(CHECKED_MS);
    release();
    await caller.receive("complete");
    await caller.receive("HTTP/1.1 200 OK\r\n");
    await pause(100);
    assert.equal(caller.received.match(/HTTP\/1.1 200 OK[^]*?complete/g)?.length, 2);
    assert.doesNotMatch(caller.received, /408/);
});
