import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock } from "../time/SystemClock.ts";
import { type Exchange, isFailure, UpstreamConnections } from "./UpstreamConnections.ts";

const BODY = "hello";
/** More than the buffers between two processes take. */
const UPLOAD_BYTES = 24 * 1024 * 1024;

interface Result {
    readonly body: string;
    readonly failure: string | undefined;
    readonly wasSent: boolean | undefined;
}

const createConnections = (): UpstreamConnections =>
    new UpstreamConnections({
        clock: new SystemClock(),
        self: "e:1",
        entries: () => ["e:1"],
        dialThrough: () => Promise.reject(new Error("no instance relays")),
        onRelayFailed: () => undefined,
        onPathLost: () => undefined,
    });

/** Sends a request to a server that responds with the bytes `answer` and then ends the connection with `end`. */
const exchange = async (answer: string, end: (socket: Socket) => void): Promise<Result> => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(answer, () => setTimeout(() => end(socket), 20)));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const connections = createConnections();
    try {
        const sent = connections.send("u 1", `127.0.0.1:${port}`, 2, {
            method: "GET",
            path: "/",
            headers: ["Host", "x"],
            body: undefined,
        });
        const head = await sent.readHead();
        if (isFailure(head)) {
            return { body: "", failure: head.message, wasSent: head.wasSent };
        }
        let body = "";
        for (;;) {
            const chunk = await sent.readChunk();
            if (isFailure(chunk)) {
                return { body, failure: chunk.message, wasSent: chunk.wasSent };
            }
            if (chunk === undefined) {
                return { body, failure: undefined, wasSent: true };
            }
            body += chunk.toString();
        }
    }
    finally {
        connections.dispose();
        server.close();
    }
};

const close = (socket: Socket): void => void socket.end();
const reset = (socket: Socket): void => void socket.resetAndDestroy();
const keepOpen = (): void => undefined;

test("UpstreamConnections: a response without length is complete after an orderly close, but not after a reset", async () => {
    const answer = `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${BODY}`;
    assert.deepEqual(await exchange(answer, close), { body: BODY, failure: undefined, wasSent: true });
    assert.notEqual((await exchange(answer, reset)).failure, undefined);
});

// MIXED: the upstream may have ended in the middle of its answer, and the caller got the part as a complete one.
test("UpstreamConnections: a success without length fails if it ends before the request was written", async context => {
    const exchangeUnread = async (status: number): Promise<string | undefined> => {
        const server = createServer({ pauseOnConnect: true, allowHalfOpen: true }, socket => {
            socket.on("error", () => undefined);
            setTimeout(() => socket.end(`HTTP/1.1 ${status} X\r\n\r\n${BODY}`), 50);
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const connections = createConnections();
        context.after(() => {
            connections.dispose();
            server.close();
        });
        const { port } = server.address() as AddressInfo;
        const body = Buffer.alloc(UPLOAD_BYTES);
        const sent = connections.send("u 1", `127.0.0.1:${port}`, 2, { method: "POST", path: "/", headers: [], body });
        for (;;) {
            const chunk = await sent.readChunk();
            if (chunk === undefined || isFailure(chunk)) {
                return chunk?.message;
            }
        }
    };
    assert.notEqual(await exchangeUnread(200), undefined);
    assert.equal(await exchangeUnread(413), undefined);
});

test("UpstreamConnections: a chunked response without its last chunk fails", async () => {
    for (const header of ["", "Connection: close\r\n"]) {
        const answer = `HTTP/1.1 200 OK\r\n${header}Transfer-Encoding: chunked\r\n\r\n5\r\n${BODY}\r\n`;
        for (const end of [close, reset]) {
            assert.notEqual((await exchange(answer, end)).failure, undefined);
        }
        assert.equal((await exchange(`${answer}0\r\n\r\n`, keepOpen)).failure, undefined);
    }
});

test("UpstreamConnections: a response that is shorter than its Content-Length fails", async () => {
    for (const header of ["", "Connection: close\r\n"]) {
        const answer = `HTTP/1.1 200 OK\r\n${header}Content-Length: 10\r\n\r\n${BODY}`;
        for (const end of [close, reset]) {
            assert.notEqual((await exchange(answer, end)).failure, undefined);
        }
    }
});

test("UpstreamConnections: bytes that are not HTTP fail the exchange, which counts as sent", async () => {
    const result = await exchange("no answer at all\r\n\r\n", keepOpen);
    assert.notEqual(result.failure, undefined);
    assert.equal(result.wasSent, true);
});

test("UpstreamConnections: after a refused connection the request counts as not sent", async context => {
    const connections = createConnections();
    context.after(() => connections.dispose());
    const sent = connections.send("u 1", "127.0.0.1:1", 1, { method: "GET", path: "/", headers: [], body: undefined });
    const head = await sent.readHead();
    assert.ok(isFailure(head));
    assert.equal(head.wasSent, false);
});

test("UpstreamConnections: a request that waits for a connection isn't sent once there is an obstacle", async () => {
    let arrived = 0;
    const server = createServer(socket => {
        socket.on("data", () => {
            arrived++;
            setTimeout(() => socket.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), 20);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const connections = createConnections();
    const obstacles: string[] = [];
    const send = (): Exchange =>
        connections.send("u 1", `127.0.0.1:${port}`, 1, {
            method: "GET",
            path: "/",
            headers: ["Host", "x"],
            body: undefined,
            obstacle: () => obstacles[0],
        });
    const first = send();
    const waiting = send();
    assert.equal(isFailure(await first.readHead()), false);
    obstacles.push("the upstream wants no requests");
    await first.readChunk();
    const failure = await waiting.readHead();
    assert.ok(isFailure(failure));
    assert.deepEqual([failure.message, failure.wasSent, arrived], [obstacles[0], false, 1]);
    connections.dispose();
    server.close();
});

// Guards against placement that expects a new connection where one is idle, or none where one has to be opened.
test("UpstreamConnections: a connection is idle after its response, but neither before nor once it has ended", async () => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const connections = createConnections();
    const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 20));
    const send = async (): Promise<void> => {
        const request = { method: "GET", path: "/", headers: ["Host", "x"], body: undefined };
        const sent = connections.send("u 1", `127.0.0.1:${port}`, 2, request);
        assert.equal(connections.hasIdleConnection("u 1"), false);
        assert.ok(!isFailure(await sent.readHead()));
        await sent.readChunk();
        assert.equal(await sent.readChunk(), undefined);
        await settle();
    };
    try {
        assert.equal(connections.hasIdleConnection("u 1"), false);
        await send();
        assert.equal(connections.hasIdleConnection("u 1"), true);
        await send();
        assert.equal(sockets.length, 1);
        sockets[0]?.destroy();
        await settle();
        assert.equal(connections.hasIdleConnection("u 1"), false);
    }
    finally {
        connections.dispose();
        server.close();
    }
});

/** Sends requests; resolves with the body of each, or with its failure and whether it was sent. */
const sendAll = (connections: UpstreamConnections, count: number, address: string): Promise<string>[] =>
    Array.from({ length: count }, async () => {
        const request = { method: "GET", path: "/", headers: ["Host", "x"], body: undefined };
        const sent = connections.send("u 1", address, 2, request);
        const head = await sent.readHead();
        const chunk = isFailure(head) ? head : await sent.readChunk();
        return isFailure(chunk) ? `${chunk.message}, sent: ${chunk.wasSent}` : String(chunk);
    });

/** Resolves when the condition holds, or after two seconds. */
const waitUntil = async (holds: () => boolean): Promise<void> => {
    for (let waits = 0; waits < 400 && !holds(); waits++) {
        await sleep(5);
    }
};

// Connections are closed when an upstream has gone from the directory, and replaced when paths are lost.
test("UpstreamConnections: closing them drops no request: in progress, queued, or waiting for its connection", async context => {
    let closedSockets = 0;
    const server = createServer(socket => {
        socket.on("close", () => closedSockets++).on("error", () => undefined);
        socket.on("data", () => {
            setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n`), 50);
            setTimeout(() => socket.write(BODY), 100);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const connections = createConnections();
    context.after(() => {
        connections.dispose();
        server.close();
    });
    for (const closeAfterMs of [0, 10, 75]) {
        const expectedSockets = closedSockets + 2;
        const results = sendAll(connections, 5, `127.0.0.1:${port}`);
        await sleep(closeAfterMs);
        connections.close("u 1");
        results.push(...sendAll(connections, 2, `127.0.0.1:${port}`));
        assert.deepEqual(await Promise.all(results), Array(7).fill(BODY), `closed after ${closeAfterMs} ms`);
        await waitUntil(() => closedSockets === expectedSockets);
        assert.equal(closedSockets, expectedSockets, "the requests after the close have connections of their own");
        connections.close("u 1");
        await waitUntil(() => closedSockets === expectedSockets + 2);
    }
    const refused = sendAll(connections, 5, "127.0.0.1:1");
    connections.close("u 1");
    for (const result of await Promise.all(refused)) {
        assert.match(result, /ECONNREFUSED.*, sent: false/);
    }
});

// A request that is sent while the upstream closes its connection counts as run, and may not be repeated.
test("UpstreamConnections: a connection that its upstream keeps for a second at most isn't used again", async context => {
    let sockets = 0;
    const server = createServer(socket => {
        sockets++;
        socket.on("error", () => undefined);
        const head = `HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: ${BODY.length}\r\n\r\n`;
        socket.on("data", () => socket.write(head + BODY));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const connections = createConnections();
    context.after(() => {
        connections.dispose();
        server.close();
    });
    for (const count of [1, 2, 3]) {
        assert.deepEqual(await Promise.all(sendAll(connections, 1, `127.0.0.1:${port}`)), [BODY]);
        assert.equal(sockets, count);
    }
});

test("UpstreamConnections: a request on a connection that its upstream closes at that moment fails as sent, and the next doesn't", async context => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        let requests = 0;
        socket.on("data", () => {
            if (requests++ === 0) {
                socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`);
            }
            else {
                socket.end();
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const connections = createConnections();
    context.after(() => {
        connections.dispose();
        server.close();
    });
    const send = async (): Promise<string | undefined> => (await Promise.all(sendAll(connections, 1, address)))[0];
    assert.equal(await send(), BODY);
    await sleep(20);
    assert.equal(await send(), "other side closed, sent: true");
    assert.equal(await send(), BODY);
    await sleep(20);
    sockets.at(-1)?.end();
    await sleep(20);
    assert.equal(await send(), BODY);
    assert.equal(sockets.length, 3);
});
