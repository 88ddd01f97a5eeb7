import assert from "node:assert/strict";
import { test } from "node:test";
import { createUpstreamRecord } from "../../../addons/fakes/UpstreamRecords.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { CrashHistory } from "./CrashHistory.ts";
import { type Answer, CrashObserver } from "./CrashObserver.ts";
import { runOutcomes } from "./RunSamples.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";

/** Time after which entry instances have been heard, and two evaluations have taken place, in ms. */
const HEARD_MS = 1700;
const START = 1;
const allReported = (): number => Infinity;
const COMPLETE = runOutcomes.indexOf("complete");
/** Time between two crashes of which one can't have caused the other, nor both have had a common cause, in ms. */
const CRASH_GAP_MS = 150;

/** A control instance that receives the observations of one entry instance. */
class History {
    public readonly clock = new ManualClock(100_000);
    public readonly directory = new UpstreamDirectory(this.clock);
    public readonly history = new CrashHistory(this.clock, this.directory);
    private port = 0;
    /** Monotonic time at which a request with each key was last sent and answered, in ms. */
    private readonly answeredAt = new Map<string, number>();

    /** An upstream process ends while it runs these requests, written `REQUEST` or `REQUEST: PART PART`. */
    public crash(upstream: string, ...requests: string[]): void {
        this.break(upstream, true, ...requests);
    }

    public break(upstream: string, isRefused: boolean, ...requests: string[]): void {
        this.clock.advance(CRASH_GAP_MS);
        this.history.recordRuns(requests.map(text => {
            const [request = "", parts] = text.split(": ");
            const keys = parts?.split(" ").map(part => `part:${part}`) ?? [];
            return { upstream, start: START, request, parts: keys, ageMs: 0, isRefused };
        }));
    }

    /** An entry instance reports that a request with this key has just been sent and answered. */
    public answer(key: string): void {
        this.answeredAt.set(key, this.clock.monotonic());
        this.history.recordAnswers("e", [{ key, ...this.runsOf(key), requests: 1, allRequests: 10 }]);
    }

    public covers(request: string, ...parts: string[]): boolean {
        const keys = new Set(parts.map(part => `part:${part}`));
        return this.history.quarantines.covers({ request: () => request, parts: keys });
    }

    public heartbeat(id: string, seq: number, start = START, port = ++this.port): void {
        this.directory.merge(createUpstreamRecord({ id, start, seq, port }), 0);
    }

    /** Lets the time pass; returns the keys that are blamed meanwhile. */
    public evaluate(ms = HEARD_MS, reportedUntil = Infinity): string[] {
        const before = this.history.evaluate(true, () => reportedUntil).verdicts;
        this.clock.advance(ms);
        this.history.recordAnswers(
            "e",
            this.history.suspects.map(key => ({
                key,
                othersAgeMs: 0,
                ...this.runsOf(key),
                requests: 5,
                allRequests: 10,
            })),
        );
        const { verdicts } = this.history.evaluate(true, () => reportedUntil);
        return [...before, ...verdicts].map(({ keys }) => keys.join(" "));
    }

    private runsOf(key: string): Pick<Answer, "runs"> {
        const at = this.answeredAt.get(key);
        return at === undefined ? {} : { runs: [[this.clock.monotonic() - at, 0, COMPLETE]] };
    }
}

test("CrashHistory: a request is blamed after three crashes", () => {
    const control = new History();
    control.crash("u1", "bad", "x", "y");
    control.crash("u2", "bad", "z");
    assert.deepEqual(control.evaluate(), []);
    control.crash("u3", "bad");
    assert.deepEqual(control.evaluate(), ["bad"]);
    assert.deepEqual(control.history.quarantines.all.map(({ keys }) => keys), [["bad"]]);
});

test("CrashHistory: a request that was beside crashes isn't blamed for those of another", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "bad", "sound"));
    control.crash("u4", "bad", "x");
    assert.deepEqual(control.evaluate(), ["bad"]);
    control.crash("u5", "bad", "sound");
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: a request that was in the same crashes as the cause doesn't take its blame", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "sound", "bad"));
    assert.deepEqual(control.evaluate(), ["sound", "bad"]);
    control.answer("sound");
    control.history.evaluate(true, allReported);
    assert.deepEqual([control.covers("sound"), control.covers("bad")], [false, true]);
});

test("CrashHistory: one crash counts once, however many instances report it", () => {
    const control = new History();
    ["u1", "u1", "u1"].forEach(upstream => control.crash(upstream, "sound"));
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: a request that was sent again and answered isn't blamed", () => {
    const control = new History();
    const observer = new CrashObserver(control.clock);
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "sound"));
    observer.startRun({ request: () => "sound", parts: new Set() }, false).complete();
    control.history.evaluate(true, allReported);
    assert.deepEqual(control.history.suspects, ["sound"]);
    control.clock.advance(HEARD_MS);
    control.history.recordAnswers("e", observer.answersTo(control.history.suspects));
    assert.deepEqual(control.history.evaluate(true, allReported).verdicts, []);
});

test("CrashHistory: a broken connection is no crash while its process sends heartbeats", () => {
    const control = new History();
    const upstreams = ["u1", "u2", "u3"];
    for (const upstream of upstreams) {
        control.heartbeat(upstream, 1);
        control.clock.advance(300);
        control.break(upstream, false, "sound");
    }
    control.clock.advance(1000);
    upstreams.forEach(upstream => control.heartbeat(upstream, 2));
    control.clock.advance(4000);
    assert.deepEqual(control.evaluate(), []);
    upstreams.forEach(upstream => control.break(upstream, false, "bad"));
    control.clock.advance(4000);
    assert.deepEqual(control.evaluate(), ["bad"]);
});

// BUDGET: each crash counted only until its upstream's address was in use again.
test("CrashHistory: crashes count after other processes have registered at the addresses", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => {
        control.heartbeat(upstream, 1, START, index + 1);
        control.clock.advance(300);
        control.crash(upstream, `r${index}: bad`);
        control.clock.advance(4000);
        control.heartbeat(`${upstream}-next`, 1, START + 1, index + 1);
    });
    assert.deepEqual(control.evaluate(), ["part:bad"]);
});

test("CrashHistory: a process whose address accepts connections has crashed only if another one has registered there", () => {
    const control = new History();
    const breakAccepted = (upstream: string, request: string): void => {
        control.clock.advance(CRASH_GAP_MS);
        control.history.recordRuns([{
            upstream,
            start: START,
            request,
            parts: ["part:bad"],
            ageMs: 0,
            isRefused: false,
            isAccepted: true,
        }]);
    };
    ["u1", "u2", "u3"].forEach((upstream, index) => {
        control.heartbeat(upstream, 1, START, index + 1);
        control.clock.advance(300);
        breakAccepted(upstream, `r${index}`);
    });
    control.clock.advance(4000);
    assert.deepEqual(control.evaluate(), []);
    ["u1", "u2", "u3"].forEach((upstream, index) => control.heartbeat(`${upstream}-next`, 1, START + 1, index + 1));
    assert.deepEqual(control.evaluate(), ["part:bad"]);
});

test("CrashHistory: a process that announced its end has not crashed", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => {
        control.heartbeat(upstream, 1);
        control.crash(upstream, `r${index}: sound`);
        control.clock.advance(50);
        control.directory.markGone(upstream, START);
        control.crash(upstream, `s${index}: sound`);
    });
    control.clock.advance(4000);
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: an instance that may lack reports blames no request", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "bad"));
    control.history.evaluate(false, allReported);
    control.clock.advance(HEARD_MS);
    assert.deepEqual(control.history.evaluate(false, allReported).verdicts, []);
});

// BUDGET: the runs of the cause were lost with entry instances that started again, and what was beside it was refused.
test("CrashHistory: crashes from before its own start don't add to quarantines that others know", () => {
    const control = new History();
    control.history.mergeQuarantines([{ keys: ["part:bad"], ageMs: 0 }]);
    control.history.recordRuns(["u1", "u2", "u3"].map((upstream, index) => ({
        upstream,
        start: START,
        request: `r${index}`,
        parts: ["part:beside"],
        ageMs: 1000 + 500 * index,
        isRefused: true,
    })));
    assert.deepEqual(control.evaluate(), []);
    ["u4", "u5", "u6"].forEach((upstream, index) => control.crash(upstream, `s${index}: other`));
    assert.deepEqual(control.evaluate(), ["part:other"]);
});

test("CrashHistory: crashes that an instance out of touch may have caused add to no quarantine until it has reported", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => control.crash(upstream, `r${index}: bad`));
    assert.deepEqual(control.evaluate(), ["part:bad"]);
    const reportedUntil = control.clock.monotonic();
    ["u4", "u5", "u6"].forEach((upstream, index) => control.crash(upstream, `s${index}: beside`));
    assert.deepEqual(control.evaluate(HEARD_MS, reportedUntil), []);
    assert.deepEqual(control.evaluate(), ["part:beside"]);
});

test("CrashHistory: an announced end stays known when the directory has forgotten the process", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => {
        control.heartbeat(upstream, 1);
        control.clock.advance(50);
        control.directory.markGone(upstream, START);
        control.crash(upstream, `r${index}: sound`);
    });
    control.history.evaluate(true, allReported);
    control.clock.advance(31_000);
    control.directory.evictStale();
    control.crash("u4", "s: sound");
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: a quarantine that another instance knows is renewed by a single crash", () => {
    const control = new History();
    control.history.mergeQuarantines([{ keys: ["bad"], ageMs: 299_000 }]);
    control.clock.advance(2000);
    assert.equal(control.covers("bad"), false);
    control.crash("u1", "bad");
    control.history.evaluate(true, allReported);
    assert.equal(control.covers("bad"), true);
});

// BUDGET: each request with the part was blamed by itself.
test("CrashHistory: a part that several requests share is blamed", () => {
    const control = new History();
    control.crash("u1", "r1: bad");
    control.crash("u2", "r1: bad");
    control.crash("u3", "r2: bad");
    assert.deepEqual(control.evaluate(), []);
    control.crash("u4", "r2: bad");
    assert.deepEqual(control.evaluate(), ["part:bad"]);
    assert.equal(control.covers("r3", "bad"), true);
    assert.equal(control.covers("r3", "other"), false);
});

test("CrashHistory: a part is blamed although its first requests were blamed before", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "r1: bad"));
    assert.deepEqual(control.evaluate(), ["r1"]);
    ["u4", "u5"].forEach(upstream => control.crash(upstream, "r2: bad"));
    assert.deepEqual(control.evaluate(), ["part:bad"]);
});

test("CrashHistory: the parts of one request that comes again, and of what ran beside it, aren't blamed", () => {
    const control = new History();
    control.crash("u1", "bad: own", "x: beside");
    control.crash("u2", "bad: own", "y: beside");
    control.crash("u3", "bad: own", "z: beside");
    assert.deepEqual(control.evaluate(), ["bad"]);
    control.crash("u4", "bad: own", "x: beside");
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: a request explains crashes before a part that was in fewer of them", () => {
    const control = new History();
    control.crash("u1", "bad", "a: beside");
    control.crash("u2", "bad", "b: beside");
    control.crash("u3", "bad", "c: beside");
    ["u4", "u5"].forEach(upstream => control.crash(upstream, "bad"));
    assert.deepEqual(control.evaluate(), ["bad"]);
    control.crash("u6", "d: beside");
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: of parts in the same crashes that requests don't share, one is blamed once it was in more processes", () => {
    const control = new History();
    for (let index = 0; index < 5; index++) {
        control.crash(`u${index}`, `r${index}: bad`, `s${index}: beside`);
    }
    assert.deepEqual(control.evaluate(), []);
    control.history.recordRuns(["u5", "u6", "u7"].map((upstream, index) => ({
        upstream,
        start: START,
        request: `t${index}`,
        parts: index === 0 ? ["part:bad", "part:beside"] : ["part:bad"],
        ageMs: 0,
        isRefused: true,
    })));
    assert.deepEqual(control.evaluate(), ["part:bad"]);
});

test("CrashHistory: processes that end at once, for whatever reason, are one crash", () => {
    const control = new History();
    control.history.recordRuns(["u1", "u2", "u3", "u4", "u5"].map((upstream, index) => ({
        upstream,
        start: START,
        request: `r${index}`,
        parts: ["part:sound"],
        ageMs: 0,
        isRefused: true,
    })));
    assert.deepEqual(control.evaluate(), []);
});

test("CrashHistory: a request is blamed although a part of its prompt was in an unrelated crash too", () => {
    const control = new History();
    control.crash("u0", "x: rare");
    ["u1", "u2", "u3"].forEach(upstream => control.crash(upstream, "bad: rare"));
    assert.deepEqual(control.evaluate(), ["bad"]);
});

test("CrashHistory: parts that were answered, or were in fewer crashes, aren't blamed", () => {
    const control = new History();
    control.crash("u1", "r1: system subject bad", "x: system other");
    control.crash("u2", "r2: system bad", "y: system other");
    control.crash("u3", "r3: system subject bad", "z: system other");
    control.crash("u4", "r4: system bad");
    control.history.evaluate(true, allReported);
    control.answer("part:system");
    assert.deepEqual(control.evaluate(), ["part:bad"]);
});

test("CrashHistory: of parts that were in the same crashes, only requests with all are refused until one is answered", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => control.crash(upstream, `r${index}: rare bad`));
    assert.deepEqual(control.evaluate(), ["part:rare part:bad"]);
    assert.equal(control.covers("r4", "rare", "bad"), true);
    assert.equal(control.covers("r4", "rare"), false);
    control.answer("part:rare");
    assert.deepEqual(control.evaluate(), ["part:bad"]);
    assert.equal(control.covers("r4", "bad"), true);
});

test("CrashHistory: a part that many requests have is blamed only while requests without it are answered", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => control.crash(upstream, `r${index}: system rare`));
    control.history.evaluate(true, allReported);
    control.clock.advance(HEARD_MS);
    const counts = { requests: 6, allRequests: 10 };
    control.history.recordAnswers("e1", [{ key: "part:system", ...counts }, {
        key: "part:rare",
        ...counts,
        requests: 2,
    }]);
    assert.deepEqual(control.history.evaluate(true, allReported).verdicts.map(({ keys }) => keys), [["part:rare"]]);
    const alone = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => alone.crash(upstream, `r${index}: system`));
    alone.history.evaluate(true, allReported);
    alone.clock.advance(HEARD_MS);
    assert.deepEqual(alone.history.evaluate(true, allReported).verdicts, []);
    assert.deepEqual(alone.evaluate(), ["part:system"]);
});

test("CrashHistory: a quarantine is lifted, here and elsewhere, when such requests are answered after all", () => {
    const control = new History();
    ["u1", "u2", "u3"].forEach((upstream, index) => control.crash(upstream, `r${index}: system`));
    assert.deepEqual(control.evaluate(), ["part:system"]);
    const other = new History();
    other.history.mergeQuarantines(control.history.quarantines.all);
    assert.equal(other.covers("r4", "system"), true);
    control.answer("part:system");
    assert.deepEqual(control.history.evaluate(true, allReported).lifted.map(({ keys }) => keys), [["part:system"]]);
    assert.equal(control.covers("r4", "system"), false);
    other.history.mergeQuarantines(control.history.quarantines.all);
    assert.equal(other.covers("r4", "system"), false);
});
