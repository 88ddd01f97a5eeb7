import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { type CallResult } from "../gateway/Call.ts";
import { RequestLog } from "../gateway/RequestLog.ts";
import { createLog, type Log } from "./Log.ts";
import { BoundedLineWriter } from "./ProcessLog.ts";

/** A log sink whose reader can stop reading. */
class SlowSink {
    public readonly lines: string[] = [];
    public writableLength = 0;
    public isReading = true;

    public write(line: string): boolean {
        this.lines.push(line);
        this.writableLength += this.isReading ? 0 : line.length;
        return this.isReading;
    }
}

test("ProcessLog: when the reader stops reading, lines are dropped and counted, and writes do not block", () => {
    const sink = new SlowSink();
    const log = createLog("test", "info", new BoundedLineWriter(sink, 2000));
    sink.isReading = false;
    for (let line = 0; line < 1000; line++) {
        log.info("A line.", { line });
    }
    assert.ok(sink.lines.length < 30, `${sink.lines.length} lines are buffered`);
    const { length } = sink.lines;
    sink.isReading = true;
    sink.writableLength = 0;
    log.info("Another line.");
    const [first = "", second = ""] = sink.lines.slice(length);
    const { msg, count } = JSON.parse(first) as { msg: string; count: number; };
    assert.match(msg, /dropped/);
    assert.equal(count, 1000 - length);
    assert.match(second, /Another line/);
});

test("RequestLog: lines per second are limited, failures have a higher limit, and omitted lines are counted", () => {
    const clock = new ManualClock(10_000);
    const lines: { message: string; fields: { outcome?: string; count?: number; }; }[] = [];
    const write = (message: string, fields: object = {}): void => void lines.push({ message, fields });
    const log = { info: write, error: write } as unknown as Log;
    const requests = new RequestLog(clock, log, () => ({ revision: 3, confirmationAgeMs: 40 }), () => undefined);
    const req = {
        id: "r",
        method: "GET",
        host: "h",
        path: "/",
        key: undefined,
        deadlineMs: undefined,
        session: undefined,
        resumeAfter: undefined,
        prompt: undefined,
        headers: [],
    };
    const finish = (outcome: CallResult["outcome"], count: number): void => {
        for (let request = 0; request < count; request++) {
            requests.logFinished(req, undefined, undefined, { outcome, status: 200, reason: "" }, 5);
        }
    };
    finish("served", 500);
    finish("failed", 90);
    assert.equal(lines.filter(line => line.fields.outcome === "served").length, 20);
    assert.equal(lines.filter(line => line.fields.outcome === "failed").length, 90);
    clock.advance(1000);
    finish("served", 1);
    assert.equal(lines.find(line => line.message.includes("left out"))?.fields.count, 480);
});
