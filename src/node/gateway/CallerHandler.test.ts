import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { test } from "node:test";
import { type CallerRequest } from "../../common/gateway/ExchangeCodec.ts";
import { type GatewayConfig } from "../../common/gateway/GatewayConfig.ts";
import { RouteTable } from "../../common/gateway/RouteTable.ts";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { HttpServer, listenerOf } from "../http/HttpServer.ts";
import { type Call, type CallResult, type CallState } from "./Call.ts";
import { CallerHandler, type CallerHandlerDependencies } from "./CallerHandler.ts";

/** More than the buffers of a loopback connection hold. */
const LARGE_BYTES = 32 * 1024 * 1024;

const config = {
    routes: [{ name: "r", host: "a.example", prefix: "/", isPublic: true, targets: [{ service: "s", weight: 1 }] }],
    services: [{ name: "s" }],
    accounts: [],
    limits: { maxBodyBytes: 1024 },
} as unknown as GatewayConfig;

interface RoutedCall {
    readonly call: Call;
    readonly state: CallState;
    readonly finish: (result: CallResult) => void;
}

/** A handler behind a server; the test takes the place of the router. */
const startHandler = async (context: TestContext) => {
    const routed: RoutedCall[] = [];
    const results: CallResult[] = [];
    const codec = {
        readRequest: (method: string, path: string): Partial<CallerRequest> => ({
            method,
            path,
            host: "a.example",
            id: path,
        }),
        refusalHeaders: (...[, retryAfterMs]: [CallerRequest, number | undefined]) =>
            retryAfterMs === undefined ? {} : { "retry-after": String(retryAfterMs / 1000) },
    };
    const deps = {
        clock: new ManualClock(0),
        codec,
        router: {
            route: (call: Call, state: CallState) =>
                new Promise<CallResult>(finish => routed.push({ call, state, finish })),
        },
        log: { logFinished: (...args: unknown[]) => results.push(args[3] as CallResult) },
        routeTable: () => new RouteTable(config),
        hasLease: () => true,
        isQuarantined: () => false,
        chooseFirstModel: () => 0,
        onAdmitted: () => undefined,
    };
    const handler = new CallerHandler(deps as unknown as CallerHandlerDependencies);
    const limits = { maxHeaderBytes: 16_384, maxHeaders: 100, maxConnections: 100, requestTimeoutMs: 15_000 };
    const server = new HttpServer("test", { host: "127.0.0.1", port: 0 }, limits, () => listenerOf(handler.handle));
    await server.start();
    context.after(() => {
        server.closeConnections();
        return server.stop();
    });
    /** Sends a request and waits until it is routed. */
    const send = async (path: string, body = ""): Promise<{ socket: Socket; } & RoutedCall> => {
        const socket = connect(server.port, "127.0.0.1");
        socket.write(`POST ${path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        for (;;) {
            const next = routed.pop();
            if (next !== undefined) {
                return { socket, ...next };
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { handler, results, send };
};

const SERVED: CallResult = { outcome: "served", status: 200, reason: "" };

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const readAnswer = async (socket: Socket): Promise<string> => {
    const [data] = await once(socket, "data") as [Buffer];
    return data.toString();
};

// Otherwise a planned stop takes a request for done while most of its response still waits for the caller.
test("CallerHandler: a request is in flight until its caller has taken the response", async context => {
    const { handler, send } = await startHandler(context);
    const { socket, call, finish } = await send("/large");
    assert.deepEqual([handler.inFlight, handler.untaken], [1, 0]);
    call.reply.send(200, [], Buffer.alloc(LARGE_BYTES));
    finish(SERVED);
    await settle();
    assert.deepEqual([handler.inFlight, handler.untaken], [1, 1]);
    let size = 0;
    socket.on("data", (chunk: Buffer) => size += chunk.length);
    while (size < LARGE_BYTES || handler.inFlight > 0) {
        await settle();
    }
    assert.deepEqual([handler.inFlight, handler.untaken], [0, 0]);
    socket.destroy();
});

test("CallerHandler: a request whose caller disconnects without taking the response is not in flight", async context => {
    const { handler, send } = await startHandler(context);
    const { socket, call, finish } = await send("/large");
    call.reply.send(200, [], Buffer.alloc(LARGE_BYTES));
    finish(SERVED);
    socket.destroy();
    while (handler.inFlight > 0) {
        await settle();
    }
    assert.equal(handler.untaken, 0);
});

test("CallerHandler: at the end of a stop, only a request that was never sent is refused as not run", async context => {
    const { handler, results, send } = await startHandler(context);
    const waiting = await send("/waiting");
    const running = await send("/running");
    running.state.upstreamIds.push("u");
    const released: string[] = [];
    for (const { call } of [waiting, running]) {
        call.reply.onCallerGone(() => released.push(call.req.path));
    }
    const preempted = handler.preemptRequests();
    assert.deepEqual(released, ["/waiting", "/running"]);
    const answers = await Promise.all([waiting, running].map(({ socket }) => readAnswer(socket)));
    assert.match(answers[0] ?? "", /^HTTP\/1\.1 503 .*retry-after: 0\.05.*connection: close.*has not run/is);
    assert.match(answers[1] ?? "", /^HTTP\/1\.1 502 .*connection: close.*is not known/is);
    await preempted;
    // What the router does later reaches neither the caller nor the log.
    for (const { call, finish } of [waiting, running]) {
        assert.ok(call.reply.isCallerGone);
        call.reply.send(200, [], Buffer.from("late"));
        finish(SERVED);
    }
    await settle();
    assert.deepEqual(results.map(({ outcome, status }) => [outcome, status]), [["refused", 503], ["failed", 502]]);
    assert.equal(handler.inFlight, 0);
});

test("CallerHandler: at the end of a stop, a response that has begun is left as it is", async context => {
    const { handler, send } = await startHandler(context);
    const { socket, call } = await send("/stream");
    call.reply.beginStream(200, []);
    await handler.preemptRequests();
    assert.match(await readAnswer(socket), /^HTTP\/1\.1 200 /);
    assert.ok(!call.reply.isCallerGone);
    socket.destroy();
});
