import assert from "node:assert/strict";
import { once } from "node:events";
import { type ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { test } from "node:test";
import { HttpServer, type HttpServerOptions, listenerOf } from "./HttpServer.ts";

/** More than the buffers of a loopback connection hold. */
const LARGE_BYTES = 32 * 1024 * 1024;
const LIMITS = { maxHeaderBytes: 16_384, maxHeaders: 100, maxConnections: 100, requestTimeoutMs: 15_000 };
/** How long a stop may take that waits for nothing, in ms: far less than the keep-alive timeout. */
const IMMEDIATE_MS = 10_000;
const REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

/** A server that passes each response to the test. */
const startServer = async (
    context: TestContext,
    handle: (res: ServerResponse) => void,
    options: HttpServerOptions = {},
): Promise<HttpServer> => {
    const listener = listenerOf((req, res) => {
        req.resume();
        handle(res);
        return Promise.resolve();
    });
    const server = new HttpServer("test", { host: "127.0.0.1", port: 0 }, LIMITS, () => listener, options);
    await server.start();
    context.after(() => server.closeConnections());
    return server;
};

const connectTo = async (context: TestContext, server: HttpServer): Promise<Socket> => {
    const socket = connect(server.port, "127.0.0.1");
    context.after(() => socket.destroy());
    await once(socket, "connect");
    return socket;
};

/** Number of bytes that arrive until the connection closes. */
const readToEnd = async (socket: Socket): Promise<number> => {
    let size = 0;
    socket.on("data", (chunk: Buffer) => size += chunk.length).on("error", () => undefined);
    await new Promise(resolve => socket.once("close", resolve));
    return size;
};

/** Waits for a request, and returns its response. */
const nextOf = async (responses: ServerResponse[]): Promise<ServerResponse> => {
    for (;;) {
        const next = responses.pop();
        if (next !== undefined) {
            return next;
        }
        await new Promise(resolve => setImmediate(resolve));
    }
};

const isWithin = (ms: number, work: Promise<unknown>): Promise<boolean> => {
    const limit = new Promise<false>(resolve => {
        setTimeout(resolve, ms, false).unref();
    });
    return Promise.race([work.then(() => true), limit]);
};

// Node counts a response as finished when it has been ended, however much of it waits for the caller.
test("HttpServer: a stop cuts no response that a slow caller has not taken", async context => {
    let isEnded = (): void => undefined;
    const ended = new Promise<void>(resolve => isEnded = resolve);
    const server = await startServer(context, res => {
        res.writeHead(200).end(Buffer.alloc(LARGE_BYTES));
        isEnded();
    });
    const caller = await connectTo(context, server);
    caller.write(REQUEST);
    await ended;
    const stopped = server.stop();
    const isStoppedEarly = await isWithin(300, stopped);
    const size = await readToEnd(caller);
    assert.ok(size > LARGE_BYTES, `${size} of ${LARGE_BYTES} bytes have arrived`);
    assert.equal(isStoppedEarly, false);
    assert.ok(await isWithin(IMMEDIATE_MS, stopped));
});

test("HttpServer: a stop closes idle connections, and the others once their responses have been taken", async context => {
    const responses: ServerResponse[] = [];
    const server = await startServer(context, res => responses.push(res));
    const [idle, busy] = [await connectTo(context, server), await connectTo(context, server)];
    idle.write(REQUEST);
    (await nextOf(responses)).end("x");
    await once(idle, "data");
    busy.write(REQUEST);
    const response = await nextOf(responses);
    const stopped = server.stop();
    await readToEnd(idle);
    assert.equal(await isWithin(200, stopped), false);
    response.end("x");
    assert.ok(await readToEnd(busy) > 0);
    assert.ok(await isWithin(IMMEDIATE_MS, stopped));
});

test("HttpServer: a stop accepts no connections any more, also while it waits for a response", async context => {
    const responses: ServerResponse[] = [];
    const server = await startServer(context, res => responses.push(res));
    const caller = await connectTo(context, server);
    caller.write(REQUEST);
    const response = await nextOf(responses);
    const { port } = server;
    const stopped = server.stop();
    await assert.rejects(once(connect(port, "127.0.0.1"), "connect"), { code: "ECONNREFUSED" });
    response.end("x");
    assert.ok(await isWithin(IMMEDIATE_MS, stopped));
});

// A request whose first bytes have arrived can still be refused, which tells its caller that it has not run.
test("HttpServer: a stop waits for a request of which a part has arrived", async context => {
    const server = await startServer(context, res => res.end("x"));
    const caller = await connectTo(context, server);
    caller.write(REQUEST);
    await once(caller, "data");
    caller.write(REQUEST.slice(0, 20));
    await new Promise(resolve => {
        setTimeout(resolve, 50);
    });
    const stopped = server.stop();
    assert.equal(await isWithin(200, stopped), false);
    caller.write(REQUEST.slice(20));
    assert.ok(await readToEnd(caller) > 0);
    assert.ok(await isWithin(IMMEDIATE_MS, stopped));
});

test("HttpServer: a stop with a time limit ends although a caller takes nothing", async context => {
    const server = await startServer(context, res => res.end(Buffer.alloc(LARGE_BYTES)), { maxStopMs: 100 });
    const caller = await connectTo(context, server);
    caller.write(REQUEST);
    await once(caller, "readable");
    assert.ok(await isWithin(IMMEDIATE_MS, server.stop()));
});
