import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { type RouterError } from "../../common/errors/RouterError.ts";
import { type Upstream, type UpstreamRegistry } from "../../common/upstreams/UpstreamRegistry.ts";
import { REQUEST_ID_HEADER, UpstreamClient } from "./UpstreamClient.ts";

const BODY = "hello";
const UPLOAD_BYTES = 24 * 1024 * 1024;
const ID = `${REQUEST_ID_HEADER}: a-1\r\n`;

/** Sends a request to an upstream that answers with these bytes; resolves with the status and the body. */
const send = async (
    context: TestContext,
    answer: string,
    end: (socket: Socket) => void,
    uploadBytes = 0,
): Promise<string> => {
    // An upload is left unread.
    const server = createServer({ allowHalfOpen: true, pauseOnConnect: uploadBytes > 0 }, socket => {
        const respond = (): unknown => socket.write(answer, () => setTimeout(() => end(socket), 50));
        socket.on("error", () => undefined);
        if (uploadBytes > 0) {
            setTimeout(respond, 50);
            return;
        }
        socket.once("data", respond);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const client = new UpstreamClient({ onLost: () => ({ dispose: () => undefined }) } as unknown as UpstreamRegistry);
    context.after(() => {
        client.dispose();
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    const upstream = { announcement: { id: "u", host: "127.0.0.1", port, capacity: 1 } } as unknown as Upstream;
    const { status, body } = await client.send(upstream, {
        attemptId: "a-1",
        method: "POST",
        path: "/",
        headers: {},
        body: uploadBytes > 0 ? Buffer.alloc(uploadBytes) : undefined,
        signal: new AbortController().signal,
        timeoutMs: 5000,
        requiresEcho: false,
    });
    return `${status} ${await text(body)}`;
};

const keepOpen = (): void => undefined;
const close = (socket: Socket): void => void socket.end();
const reset = (socket: Socket): void => void socket.resetAndDestroy();

// MIXED: HTTP has no such status, and the caller got it as the answer.
for (const status of [600, 999]) {
    test(`UpstreamClient: an answer with status ${status} fails the attempt, which may have run`, async context => {
        const answer = `HTTP/1.1 ${status} X\r\n${ID}X-Run: not_run\r\nContent-Length: 5\r\n\r\n${BODY}`;
        await assert.rejects(
            send(context, answer, keepOpen),
            (err: RouterError) => err.code === "upstreamFailed" && err.run === "unknown",
        );
    });
}

// MIXED: an answer that broke off halfway reached the caller as a complete success.
test("UpstreamClient: an answer without length that is reset is not whole, and one that ends in order is", async context => {
    const answer = `HTTP/1.1 200 OK\r\n${ID}\r\n${BODY}`;
    assert.equal(await send(context, answer, close), `200 ${BODY}`);
    await assert.rejects(send(context, answer, reset));
    await assert.rejects(send(context, answer, reset, UPLOAD_BYTES));
});

test("UpstreamClient: a success without length that ends before the request was written is not whole", async context => {
    await assert.rejects(send(context, `HTTP/1.1 200 OK\r\n${ID}\r\n${BODY}`, close, UPLOAD_BYTES));
    const refusal = `HTTP/1.1 413 Too Large\r\n${ID}\r\n${BODY}`;
    assert.equal(await send(context, refusal, close, UPLOAD_BYTES), `413 ${BODY}`);
});
