import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { isFailure, UpstreamConnections } from "./UpstreamConnections.ts";

const BODY = "hello";

interface Result {
    readonly body: string;
    readonly failure: string | undefined;
    readonly wasSent: boolean | undefined;
}

/** Sends a request to a server that answers with these bytes and then ends the connection as told. */
const exchange = async (answer: string, end: (socket: Socket) => void): Promise<Result> => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(answer, () => setTimeout(() => end(socket), 20)));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const connections = new UpstreamConnections(() => performance.now());
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
            const part = await sent.readChunk();
            if (isFailure(part)) {
                return { body, failure: part.message, wasSent: part.wasSent };
            }
            if (part === undefined) {
                return { body, failure: undefined, wasSent: true };
            }
            body += part.toString();
        }
    }
    finally {
        connections.dispose();
        server.close();
    }
};

const close = (socket: Socket): void => void socket.end();
const reset = (socket: Socket): void => void socket.resetAndDestroy();
const keep = (): void => undefined;

test("UpstreamConnections: an answer without length ends with an orderly close, not with a reset", async () => {
    const answer = `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${BODY}`;
    assert.deepEqual(await exchange(answer, close), { body: BODY, failure: undefined, wasSent: true });
    assert.notEqual((await exchange(answer, reset)).failure, undefined);
});

test("UpstreamConnections: a chunked answer that ends without its last chunk is broken", async () => {
    for (const header of ["", "Connection: close\r\n"]) {
        const answer = `HTTP/1.1 200 OK\r\n${header}Transfer-Encoding: chunked\r\n\r\n5\r\n${BODY}\r\n`;
        for (const end of [close, reset]) {
            assert.notEqual((await exchange(answer, end)).failure, undefined);
        }
        assert.equal((await exchange(`${answer}0\r\n\r\n`, keep)).failure, undefined);
    }
});

test("UpstreamConnections: an answer that is shorter than its length is broken", async () => {
    for (const header of ["", "Connection: close\r\n"]) {
        const answer = `HTTP/1.1 200 OK\r\n${header}Content-Length: 10\r\n\r\n${BODY}`;
        for (const end of [close, reset]) {
            assert.notEqual((await exchange(answer, end)).failure, undefined);
        }
    }
});

test("UpstreamConnections: bytes that are no answer fail the exchange, and it counts as sent", async () => {
    const result = await exchange("no answer at all\r\n\r\n", keep);
    assert.notEqual(result.failure, undefined);
    assert.equal(result.wasSent, true);
});

test("UpstreamConnections: a refused connection proves that nothing was sent", async context => {
    const connections = new UpstreamConnections(() => performance.now());
    context.after(() => connections.dispose());
    const sent = connections.send("u 1", "127.0.0.1:1", 1, { method: "GET", path: "/", headers: [], body: undefined });
    const head = await sent.readHead();
    assert.ok(isFailure(head));
    assert.equal(head.wasSent, false);
});
