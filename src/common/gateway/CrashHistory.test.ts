import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
import { CrashHistory } from "./CrashHistory.ts";
import { CrashObserver } from "./CrashObserver.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type UpstreamRecord } from "./UpstreamRecord.ts";

/** Time after which entry instances have been heard, and two evaluations have taken place, in ms. */
const HEARD_MS = 1000;
const START = 1;

/** A control instance that receives the observations of one entry instance. */
class History {
    public readonly clock = new ManualClock(100_000);
    public readonly directory = new UpstreamDirectory(this.clock);
    public readonly history = new CrashHistory(this.clock, this.directory);
    private port = 0;

    /** An upstream process ends while it runs these requests. */
    public crash(upstream: string, ...requests: string[]): void {
        this.break(upstream, true, ...requests);
    }

    public break(upstream: string, isRefused: boolean, ...requests: string[]): void {
        this.history.recordRuns(
            requests.map(request => ({ upstream, start: START, request, ageMs: 0, isRefused })),
        );
    }

    public heartbeat(id: string, seq: number, start = START): void {
        const record: UpstreamRecord = {
            id,
            start,
            seq,
            service: "s",
            host: "10.0.0.1",
            port: ++this.port,
            domain: "d",
            version: "v1",
            slots: 4,
            state: "ready",
            coldMs: 0,
        };
        this.directory.merge(record, 0);
    }

    /** Lets the time pass; returns the keys that are blamed meanwhile. */
    public evaluate(ms = HEARD_MS): string[] {
        const keys = this.history.evaluate(true).map(({ key }) => key);
        this.clock.advance(ms);
        return [...keys, ...this.history.evaluate(true).map(({ key }) => key)];
    }
}

test("CrashHistory: a request is blamed after two crashes if no other was in both", () => {
    const control = new History();
    control.crash("u1", "bad", "x", "y");
    assert.deepEqual(control.evaluate(), []);
    control.crash("u2", "bad", "z");
    assert.deepEqual(control.evaluate(), ["bad"]);
    assert.deepEqual(control.history.quarantines.active.map(({ key }) => key), ["bad"]);
});

test("CrashHistory: a request that was beside two crashes isn't blamed for those of another", () => {
    const control = new History();
    control.crash("u1", "bad", "sound");
    control.crash("u2", "bad", "sound");
    assert.deepEqual(control.evaluate(), []);
    control.crash("u3", "bad", "x");
    assert.deepEqual(control.evaluate(), ["bad"]);
    control.crash("u4", "bad", "sound");
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: one crash counts once, however many instances report it", () => {
    const control = new History();
    control.crash("u1", "sound");
    control.crash("u1", "sound");
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: a request that was answered lately, or while it was asked about, isn't blamed", () => {
    const control = new History();
    const observer = new CrashObserver(control.clock);
    observer.recordAnswer("sound");
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "sound"));
    control.history.evaluate(true);
    assert.deepEqual(control.history.suspects, ["sound"]);
    control.history.recordAnswers(observer.answersTo(control.history.suspects));
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: a broken connection is no crash while its process sends heartbeats", () => {
    const control = new History();
    for (const upstream of ["u1", "u2"]) {
        control.heartbeat(upstream, 1);
        control.clock.advance(300);
        control.break(upstream, false, "sound");
    }
    control.clock.advance(1000);
    ["u1", "u2"].forEach(upstream => control.heartbeat(upstream, 2));
    control.clock.advance(4000);
    assert.deepEqual(control.evaluate(), []);
    ["u1", "u2"].forEach(upstream => control.break(upstream, false, "bad"));
    control.clock.advance(4000);
    assert.deepEqual(control.evaluate(), ["bad"]);
});

test("CrashHistory: an instance that may lack reports blames no request", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "bad"));
    control.history.evaluate(false);
    control.clock.advance(HEARD_MS);
    assert.deepEqual(control.history.evaluate(false), []);
});

test("CrashHistory: a quarantine that another instance knows is renewed by a single crash", () => {
    const control = new History();
    control.history.mergeQuarantines([{ key: "bad", ageMs: 599_000 }]);
    control.clock.advance(2000);
    assert.equal(control.history.quarantines.has("bad"), false);
    control.crash("u1", "bad");
    control.history.evaluate(true);
    assert.equal(control.history.quarantines.has("bad"), true);
});
