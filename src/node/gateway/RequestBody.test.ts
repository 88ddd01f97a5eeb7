import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { readBody, type RequestBody } from "./RequestBody.ts";

const HOST = "127.0.0.92";
const LIMIT = 1000;
/** Longer than the timeouts of callers and of silent engines. */
const PAUSE_MS = 1200;

const headOf = (...headers: readonly string[]): string =>
    ["POST /a HTTP/1.1", "Host: a.example", ...headers].join("\r\n") + "\r\n\r\n";
const sized = headOf("Content-Length: 6");
const chunked = headOf("Transfer-Encoding: chunked");

/** Sends a request with `send`, and returns how its body was read and what the caller received. */
const read = async (send: (socket: Socket) => Promise<unknown> | unknown): Promise<[RequestBody, string]> => {
    let settle: (body: RequestBody) => void;
    const result = new Promise<RequestBody>(resolve => {
        settle = resolve;
    });
    const server = createServer((req, res) => {
        void readBody(req, LIMIT).then(body => {
            settle(body);
            res.end("answered");
        });
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    const socket = connect({ host: HOST, port: (server.address() as AddressInfo).port });
    let received = "";
    socket.on("error", () => undefined).on("data", data => {
        received += data.toString("latin1");
    });
    const closed = new Promise<void>(resolve => socket.once("close", resolve));
    await send(socket);
    const body = await result;
    const isBroken = body === "broken";
    for (let waitedMs = 0; !isBroken && !received.includes("answered") && waitedMs < 2000; waitedMs += 5) {
        await pause(5);
    }
    server.closeAllConnections();
    await closed;
    await new Promise(resolve => server.close(resolve));
    return [body, received];
};

const cases: readonly [string, (socket: Socket) => Promise<unknown> | unknown, string][] = [
    ["with a length", socket => socket.write(`${sized}abcdef`), "abcdef"],
    ["in chunks", socket => socket.write(`${chunked}3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n`), "abcdef"],
    ["with a pause", async socket => {
        socket.write(`${sized}abc`);
        await pause(PAUSE_MS);
        socket.write("def");
    }, "abcdef"],
    ["with a pause within a chunk", async socket => {
        socket.write(`${chunked}6\r\nabc`);
        await pause(PAUSE_MS);
        socket.write("def\r\n0\r\n\r\n");
    }, "abcdef"],
    ["that the caller sends once it is asked to", async socket => {
        socket.write(headOf("Content-Length: 6", "Expect: 100-continue"));
        await new Promise<void>(resolve => {
            socket.on("data", data => data.toString().startsWith("HTTP/1.1 100 ") && resolve());
        });
        socket.write("abcdef");
    }, "abcdef"],
    ["of the length 0", socket => socket.write(headOf("Content-Length: 0")), ""],
    ["above the limit", socket => socket.write(headOf("Content-Length: 1001") + "a".repeat(1001)), "tooLarge"],
    [
        "above the limit, in chunks",
        socket => socket.write(`${chunked}3e9\r\n${"a".repeat(1001)}\r\n0\r\n\r\n`),
        "tooLarge",
    ],
];

for (const [what, send, expected] of cases) {
    test(`RequestBody: a body ${what} is read to its end, and its caller is answered`, async () => {
        const [body, received] = await read(send);
        assert.equal(String(body), expected);
        assert.match(received, /answered/);
    });
}

test("RequestBody: a request without a body is answered", async () => {
    const [body, received] = await read(socket => socket.write("GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"));
    assert.equal(body, undefined);
    assert.match(received, /answered/);
});

const incomplete: readonly [string, (socket: Socket) => unknown][] = [
    ["with a length", socket => socket.write(`${sized}abc`)],
    ["in chunks", socket => socket.write(`${chunked}6\r\nabcdef\r\n`)],
    ["within the last chunk", socket => socket.write(`${chunked}6\r\nabcdef\r\n0\r\n`)],
];
for (const [what, send] of incomplete) {
    for (const close of ["end", "resetAndDestroy"] as const) {
        test(`RequestBody: a body ${what} that breaks off by ${close} doesn't look whole`, async () => {
            const [body, received] = await read(async socket => {
                send(socket);
                await pause(50);
                socket[close]();
            });
            assert.equal(body, "broken");
            assert.doesNotMatch(received, /answered/);
        });
    }
}
