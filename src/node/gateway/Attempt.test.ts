import assert from "node:assert/strict";
import { createServer } from "node:http";
import { Duplex } from "node:stream";
import { test } from "node:test";
import { type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { ObservedRun } from "../../common/gateway/RunSamples.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { Attempt } from "./Attempt.ts";
import { type Call, createCallState } from "./Call.ts";
import { CallerReply } from "./CallerReply.ts";
import { ReplyBuffers } from "./ReplyBuffers.ts";
import { type AttemptDependencies } from "./UpstreamAttempts.ts";
import { type Exchange } from "./UpstreamConnections.ts";

const KIB = 1024;

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Attempt whose upstream sends `eventCount` events of 1 KiB at once to a caller that reads nothing until it is told to. */
const startAttempt = async (eventCount: number, hasSlowdown: boolean) => {
    const clock = new ManualClock(0);
    const upstreamStats = new UpstreamStatistics(clock);
    const stats = upstreamStats.statsOf("u 1");
    const load = { running: 1, waiting: 0, slots: 8, slowdown: hasSlowdown ? 1 : undefined };
    const waiting: (() => void)[] = [];
    const connection = new Duplex({
        read: () => undefined,
        write: (...[, , done]) => waiting.push(done),
    });
    const reply = await new Promise<CallerReply>(resolve => {
        createServer((req, res) => resolve(new CallerReply(req, res))).emit("connection", connection);
        connection.push("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    });
    const aborts: string[] = [];
    let readChunks = 0;
    const exchange = {
        lastByteAt: 0,
        isSent: true,
        readHead: () => Promise.resolve({ status: 200, headers: [] }),
        readChunk: () =>
            Promise.resolve(readChunks++ < eventCount ? Buffer.from(`data: ${"x".repeat(KIB)}\n\n`) : undefined),
        abort: (reason: string) => aborts.push(reason),
    };
    const head: Partial<ResponseHead> = { status: 200, headers: [], requestId: "q", hasStamp: true, load };
    const replyBuffers = new ReplyBuffers({
        clock,
        maxProcessBytes: 16 * KIB * KIB,
        onDisconnected: () => undefined,
        onPausedChanged: () => undefined,
    });
    const deps = {
        clock,
        upstreamStats,
        replyBuffers,
        codec: { readHead: () => head },
        directory: { get: () => undefined },
        models: { next: () => undefined, recordGeneration: () => undefined },
        hasQuorumContact: () => false,
        sendObstacle: () => undefined,
        onStatement: () => undefined,
        onResponse: () => undefined,
        startRun: () => new ObservedRun(clock, false, () => undefined),
        onPace: () => undefined,
    };
    const route = { name: "r", kind: "stream", gapMs: 600, objectiveMs: 1000, isResumable: true, maxAttempts: 3 };
    const call = {
        req: { id: "q", prompt: undefined, resumeAfter: undefined },
        route,
        service: { name: "s" },
        arrivedAt: 0,
        deadlineAt: 60_000,
        reply,
    };
    const state = createCallState();
    const attempt = new Attempt(
        deps as unknown as AttemptDependencies,
        call as unknown as Call,
        state,
        {
            selection: { record: { id: "u", start: 1, domain: "d" }, name: "u 1", stats } as unknown as Selection,
            reservation: { end: () => undefined, recordRead: () => undefined },
        },
        exchange as unknown as Exchange,
        () => undefined,
    );
    const finished = attempt.run();
    for (let count = 0; count < 10; count++) {
        await settle();
    }
    return { clock, attempt, finished, aborts, waiting, readChunks: () => readChunks, replyBuffers };
};

test("Attempt: the response of a service with slowdowns is read to its end although the caller reads nothing", async () => {
    const { readChunks, finished } = await startAttempt(150, true);
    assert.equal(readChunks(), 151);
    assert.equal(await finished, undefined);
});

test("Attempt: the response of any other service is read as fast as its caller reads", async () => {
    const { readChunks } = await startAttempt(150, false);
    assert.ok(readChunks() < 100, `${readChunks()} chunks were read`);
});

test("Attempt: a stream whose reading is paused for its caller is not taken for a stalled one", async () => {
    const { clock, attempt, aborts, waiting, finished, readChunks, replyBuffers } = await startAttempt(300, true);
    assert.equal(replyBuffers.pausedCallers, 1);
    clock.advance(1900);
    attempt.check();
    assert.deepEqual(aborts, []);
    for (let count = 0; count < 1000 && replyBuffers.bytes > 0; count++) {
        waiting.shift()?.();
        await settle();
    }
    assert.equal(await finished, undefined);
    assert.equal(readChunks(), 301);
});

// Its events lie unread in buffers of this process, so that the upstream could show no progress.
test("Attempt: a stream of any other service is not taken for a stalled one while its caller reads nothing", async () => {
    const { clock, attempt, aborts, waiting, finished } = await startAttempt(150, false);
    clock.advance(1900);
    attempt.check();
    assert.deepEqual(aborts, []);
    let isFinished = false;
    void finished.then(() => isFinished = true);
    while (!isFinished) {
        waiting.shift()?.();
        await settle();
    }
    assert.equal(await finished, undefined);
});
