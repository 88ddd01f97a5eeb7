import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { UpstreamUnreachableError } from "../../common/gateway/UpstreamPaths.ts";
import { createLog } from "../log/Log.ts";
import { type Address } from "../settings/SettingsSchema.ts";
import { SystemClock } from "../time/SystemClock.ts";
import { dialThroughRelay } from "./RelayDialer.ts";
import { RelayServer } from "./RelayServer.ts";
import { dialDirect, isFailure, UpstreamConnections } from "./UpstreamConnections.ts";

const SECRET = "a secret of the tests";
const RELAY = { host: "127.0.0.1", port: 17_431 };
/** Address of relays that are stopped within a test. */
const STOPPED_RELAY = { host: "127.0.0.81", port: 17_431 };
/** Nothing listens there; the relay reaches the upstream instead, as if the path of the other instance were lost. */
const LOST_ADDRESS = "127.0.0.1:1";
const DEAD_ADDRESS = "127.0.0.1:2";

let upstream: Server;
let relay: RelayServer;
let refusalReason: string | undefined;
let isByUpstream = true;
let dialDelayMs = 0;
let onRelayedHead = (status: number): void => void status;
const relayedHeads: object[] = [];
let answer = (socket: Socket): void | Promise<void> => void socket;

const createRelay = (address: Address): RelayServer =>
    new RelayServer({
        address,
        secret: SECRET,
        log: createLog("relay", "fatal"),
        clock: new SystemClock(),
        onResponse: (upstreamAddress, head) => {
            relayedHeads.push({ address: upstreamAddress, ...head });
            onRelayedHead(head.status);
        },
        refusal: target => {
            const isKnown = target === LOST_ADDRESS || target === DEAD_ADDRESS;
            const reason = isKnown ? refusalReason : "no upstream is known";
            return reason === undefined ? undefined : { reason, isByUpstream };
        },
        dial: async target => {
            await sleep(dialDelayMs);
            const { port } = upstream.address() as AddressInfo;
            return dialDirect(target === LOST_ADDRESS ? `127.0.0.1:${port}` : target);
        },
    });

before(async () => {
    upstream = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => void answer(socket));
    });
    upstream.listen(0, "127.0.0.1");
    await once(upstream, "listening");
    relay = createRelay(RELAY);
    await relay.start();
});

after(() => {
    relay.dispose();
    upstream.close();
});

const createConnections = (
    onPathLost: (address: string | undefined) => void,
    through: Address = RELAY,
): UpstreamConnections =>
    new UpstreamConnections({
        clock: new SystemClock(),
        self: "e:1",
        entries: () => ["e:1", "e:2"],
        dialThrough: (...[, address]) => dialThroughRelay(through, SECRET, address),
        onRelayFailed: () => undefined,
        onPathLost,
    });

/** Number of connections that the upstream has. */
const countConnections = (): Promise<number> =>
    new Promise(resolve => upstream.getConnections((...[, count]) => resolve(count)));

/** Sends a request; resolves with the body, or with the reason of the failure. */
const send = async (connections: UpstreamConnections, maxConnections = 2): Promise<string> => {
    const req = { method: "GET", path: "/", headers: ["Host", "x"], body: undefined };
    const exchange = connections.send("u 1", LOST_ADDRESS, maxConnections, req);
    const head = await exchange.readHead();
    if (isFailure(head)) {
        return head.message;
    }
    let body = "";
    for (;;) {
        const chunk = await exchange.readChunk();
        if (isFailure(chunk)) {
            return `${body}, then ${chunk.message}`;
        }
        if (chunk === undefined) {
            return body;
        }
        body += chunk.toString();
    }
};

test("RelayServer: a request goes through another instance when its path is lost", async () => {
    answer = socket => void socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    const lost: (string | undefined)[] = [];
    const connections = createConnections(address => lost.push(address));
    assert.equal(await send(connections), "hello");
    assert.deepEqual(lost, [LOST_ADDRESS]);
    assert.equal(await connections.probe(LOST_ADDRESS), "accepted");
    connections.dispose();
});

// The end of a relayed connection may be that of the relay, so a response without length may lack its end.
test("RelayServer: a relayed response that only the end of its connection completes is incomplete", async () => {
    answer = socket => void socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello");
    const connections = createConnections(() => undefined);
    assert.match(await send(connections), /^hello, then /);
    connections.dispose();
});

test("RelayServer: an upstream learns that a relayed request was given up", async () => {
    const isClosed = new Promise<void>(resolve => {
        answer = socket =>
            void socket.once("close", resolve).write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
    });
    const connections = createConnections(() => undefined);
    const exchange = connections.send("u 1", LOST_ADDRESS, 2, {
        method: "GET",
        path: "/",
        headers: [],
        body: undefined,
    });
    await exchange.readHead();
    exchange.abort("the caller has left");
    await isClosed;
    connections.dispose();
});

test("RelayServer: the head of each relayed response is reported, also if it comes in parts", async () => {
    relayedHeads.length = 0;
    answer = async socket => {
        socket.write("HTTP/1.1 503 Busy\r\nRetry-Af");
        await sleep(20);
        socket.write("ter: 2.5\r\nContent-Length: 22\r\n\r\nHTTP/1.1 200 no head\r\n");
    };
    const connections = createConnections(() => undefined);
    assert.equal(await send(connections), "HTTP/1.1 200 no head\r\n");
    connections.dispose();
    const headers = ["Retry-After", "2.5", "Content-Length", "22"];
    assert.deepEqual(relayedHeads, [{ address: LOST_ADDRESS, status: 503, headers }]);
});

test("RelayServer: when an upstream wants no requests, idle connections close and those in use do not", async () => {
    for (const isAnswering of [true, false]) {
        let answers = 0;
        const hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
        answer = socket => {
            socket.write(hello);
            socket.on("data", () => isAnswering && ++answers > 0 && socket.write(hello));
        };
        const connections = createConnections(() => undefined);
        // The first request finds that the path is lost, which renews the connections.
        assert.equal(await send(connections, 1), "hello");
        assert.equal(await send(connections, 1), "hello");
        const used = send(connections, 1);
        await sleep(50);
        assert.equal(answers, isAnswering ? 1 : 0);
        assert.equal(await countConnections(), 1);
        refusalReason = "the upstream wants no requests";
        await sleep(600);
        assert.equal(await countConnections(), isAnswering ? 0 : 1);
        refusalReason = undefined;
        connections.dispose();
        await used;
    }
});

/** Sends requests over a connection in constant use; resolves with how many arrive after the relay has a reason. */
const countArrivalsAfterRefusal = async (): Promise<number> => {
    const arrivedAt: number[] = [];
    const hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    answer = socket => {
        socket.write(hello);
        socket.on("data", () => arrivedAt.push(performance.now()) > 0 && socket.write(hello));
    };
    const connections = createConnections(() => undefined);
    const sendFor = async (ms: number): Promise<void> => {
        const until = performance.now() + ms;
        while (performance.now() < until) {
            await send(connections, 1);
            await sleep(5);
        }
    };
    await sendFor(300);
    assert.ok(arrivedAt.length > 0);
    refusalReason = "the upstream wants no requests, or the relay stops";
    const pausedAt = performance.now();
    await sendFor(500);
    refusalReason = undefined;
    connections.dispose();
    return arrivedAt.filter(at => at > pausedAt + 20).length;
};

test("RelayServer: when an upstream wants no requests, none follows on a connection in constant use", async () => {
    assert.equal(await countArrivalsAfterRefusal(), 0);
});

test("RelayServer: while it stops, requests on a connection in constant use are passed on", async context => {
    isByUpstream = false;
    context.after(() => {
        isByUpstream = true;
    });
    assert.ok(await countArrivalsAfterRefusal() > 10);
});

test("RelayServer: a response that pauses goes on to its end, although the upstream wants no requests", async () => {
    answer = async socket => {
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        await sleep(50);
        refusalReason = "the upstream is leaving";
        await sleep(500);
        socket.write("6\r\n world\r\n0\r\n\r\n");
    };
    const connections = createConnections(() => undefined);
    assert.equal(await send(connections), "hello world");
    refusalReason = undefined;
    connections.dispose();
});

// An engine may be silent for a second: that must not look like an idle connection.
test("RelayServer: a response that only its connection ends goes on after a pause, although no request is wanted", async context => {
    context.after(() => {
        refusalReason = undefined;
        isByUpstream = true;
    });
    for (const source of ["upstream", "relay"]) {
        isByUpstream = source === "upstream";
        answer = async socket => {
            socket.write("HTTP/1.1 200 OK\r\n\r\nhello");
            await sleep(50);
            refusalReason = `the ${source} is leaving`;
            await sleep(700);
            socket.end(" world");
        };
        const connections = createConnections(() => undefined);
        const result = await send(connections);
        connections.dispose();
        refusalReason = undefined;
        assert.match(result, /^hello world, then /, source);
    }
});

// The callers of other instances must not notice that the relaying one is stopped.
test("RelayServer: a planned stop lets relayed responses end", async context => {
    const stopping = createRelay(STOPPED_RELAY);
    context.after(() => stopping.dispose());
    await stopping.start();
    const connections = createConnections(() => undefined, STOPPED_RELAY);
    context.after(() => connections.dispose());
    answer = async socket => {
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        await sleep(500);
        socket.write("6\r\n world\r\n0\r\n\r\n");
    };
    const results: string[] = [];
    const sent = send(connections).then(result => results.push(result));
    await sleep(100);
    await stopping.stop();
    assert.deepEqual(results, ["hello world"]);
    await sent;
    await assert.rejects(dialThroughRelay(STOPPED_RELAY, SECRET, LOST_ADDRESS), /ECONNREFUSED/);
});

test("RelayServer: a planned stop waits neither for idle connections nor for one in constant use", async context => {
    const stopping = createRelay(STOPPED_RELAY);
    context.after(() => stopping.dispose());
    await stopping.start();
    const connections = createConnections(() => undefined, STOPPED_RELAY);
    context.after(() => connections.dispose());
    const hello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    answer = socket => {
        socket.write(hello);
        socket.on("data", () => setTimeout(() => socket.write(hello), 50));
    };
    const idle = await dialThroughRelay(STOPPED_RELAY, SECRET, LOST_ADDRESS);
    context.after(() => idle.destroy());
    const isIdleClosed = once(idle.resume(), "close");
    const results = [await send(connections, 1)];
    const sent = (async () => {
        while (results.at(-1) === "hello") {
            results.push(await send(connections, 1));
        }
    })();
    await sleep(100);
    await stopping.stop();
    await isIdleClosed;
    await sent;
    // Not a response that broke off: no request was under way when the connection was closed.
    assert.match(results.at(-1) ?? "", /ECONNREFUSED/);
});

// A request that follows on such a connection would count as sent, and might not be repeated.
test("RelayServer: a connection is refused if there is a reason when it is established", async context => {
    const stopping = createRelay(STOPPED_RELAY);
    await stopping.start();
    dialDelayMs = 100;
    context.after(() => {
        dialDelayMs = 0;
        refusalReason = undefined;
        stopping.dispose();
    });
    const isLeaving = assert.rejects(dialThroughRelay(RELAY, SECRET, LOST_ADDRESS), /is leaving/);
    await sleep(50);
    refusalReason = "the upstream is leaving";
    await isLeaving;
    refusalReason = undefined;
    const isStopping = assert.rejects(dialThroughRelay(STOPPED_RELAY, SECRET, LOST_ADDRESS), /is stopping/);
    await sleep(50);
    const stopped = stopping.stop();
    await isStopping;
    await stopped;
});

test("RelayServer: a response that has arrived in full reaches a slow reader although its upstream resets the connection", async context => {
    const body = Buffer.alloc(1024 * 1024, "x");
    const head = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`;
    answer = socket => {
        socket.write(head);
        socket.write(body, () => setTimeout(() => socket.resetAndDestroy(), 100));
    };
    const socket = await dialThroughRelay(RELAY, SECRET, LOST_ADDRESS);
    context.after(() => socket.destroy());
    socket.write("GET / HTTP/1.1\r\n\r\n");
    await sleep(300);
    let received = 0;
    socket.on("data", chunk => {
        received += chunk.length;
    });
    await once(socket, "close");
    assert.equal(received, head.length + body.length);
});

// The other instance would report a request as possibly run that the upstream has refused.
test("RelayServer: a response by which an upstream asks for a pause arrives, also without a body", async context => {
    context.after(() => {
        refusalReason = undefined;
        onRelayedHead = () => undefined;
    });
    onRelayedHead = status => {
        if (status === 503) {
            refusalReason = "the upstream wants no requests for a while";
            relay.closeUnwanted();
        }
    };
    for (const body of ["", "busy"]) {
        refusalReason = undefined;
        answer = socket => void socket.write(`HTTP/1.1 503 Busy\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        const connections = createConnections(() => undefined);
        assert.equal(await send(connections), body);
        connections.dispose();
    }
});

test("RelayServer: refuses without authorization, for unknown targets, and while it can't relay", async () => {
    await assert.rejects(dialThroughRelay(RELAY, "another secret of tests", LOST_ADDRESS), /not authorized/);
    await assert.rejects(dialThroughRelay(RELAY, SECRET, "127.0.0.1:3"), /no upstream/);
    await assert.rejects(dialThroughRelay(RELAY, SECRET, DEAD_ADDRESS), UpstreamUnreachableError);
    refusalReason = "the instance is stopping";
    await assert.rejects(dialThroughRelay(RELAY, SECRET, LOST_ADDRESS), /is stopping/);
    refusalReason = undefined;
});
