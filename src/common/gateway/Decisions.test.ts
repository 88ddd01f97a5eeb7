import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
import { ColdStartLimiter } from "./ColdStartLimiter.ts";
import { CrashHistory } from "./CrashHistory.ts";
import { CrashTracker } from "./CrashTracker.ts";
import { emptyFleet, type Fleet, type Rollout } from "./FleetState.ts";
import { type PlacementCandidate, placeRequest } from "./Placement.ts";
import { ServiceRetryBudget } from "./ServiceRetryBudget.ts";
import { type SessionHistory, versionRule } from "./VersionRule.ts";
import { nextVoters } from "./VoterPlan.ts";

const rollout: Rollout = {
    service: "s",
    target: "v2",
    durationMs: 20_000,
    orderedAt: 0,
    state: "running",
    share: 0.1,
};

const fresh = { lastVersion: undefined, isHeld: false };
const ranOn = (pinned: string): SessionHistory => ({ lastVersion: pinned, isHeld: false });

const fleetWith = (change: Partial<Rollout>): Fleet => ({ ...emptyFleet, rollouts: [{ ...rollout, ...change }] });

test("VersionRule: a session keeps its version in the first part and moves on with all others", () => {
    const keys = [...Array(1000).keys()].map(index => `session-${index}`);
    const drawn = keys.filter(key => versionRule(fleetWith({}), "s", key, fresh).isPreferred("v2"));
    assert.ok(drawn.length > 50 && drawn.length < 150, `${drawn.length} of 1000`);
    const key = drawn[0] ?? "";
    assert.equal(versionRule(fleetWith({}), "s", key, ranOn("v1")).isAllowed("v2"), false);
    assert.equal(versionRule(fleetWith({ share: 1 }), "s", key, ranOn("v1")).isPreferred("v2"), true);
    assert.equal(versionRule(fleetWith({}), "s", "other", ranOn("v2")).isPreferred("v2"), true);
    assert.equal(versionRule(fleetWith({}), "s", key, { lastVersion: undefined, isHeld: true }).isAllowed("v2"), false);
});

test("VersionRule: a rejected version gets nothing, a completed one everything", () => {
    const back = versionRule(fleetWith({ state: "rolledBack", share: 0 }), "s", "k", ranOn("v2"));
    assert.deepEqual([back.isAllowed("v1"), back.isAllowed("v2")], [true, false]);
    const done = versionRule(fleetWith({ state: "completed", share: 1 }), "s", "k", ranOn("v1"));
    assert.deepEqual([done.isAllowed("v1"), done.isAllowed("v2")], [false, true]);
    assert.equal(versionRule(fleetWith({ share: 0 }), "s", "k", fresh).isAllowed("v2"), false);
});

const repeatBounds = { ratio: 0.9, slack: 56, windowMs: 10_000 };
const ENTRIES = 8;
/** Requests that each instance takes. */
const REQUESTS_PER_SECOND = 5;

const createBudgets = (): { clock: ManualClock; budgets: ServiceRetryBudget[]; } => {
    const clock = new ManualClock(0);
    const budgets = Array.from({ length: ENTRIES }, () => new ServiceRetryBudget(clock, repeatBounds, () => ENTRIES));
    return { clock, budgets };
};

/** No window that begins before second `end` may hold more repeats than all instances together may spend. */
const assertWithinBounds = (spentAt: readonly number[], end: number): void => {
    for (let from = 0; from < end; from++) {
        const spent = spentAt.filter(at => at >= from && at < from + 10).length;
        const requests = REQUESTS_PER_SECOND * ENTRIES * 10;
        const allowed = requests * repeatBounds.ratio + repeatBounds.slack;
        assert.ok(spent <= allowed, `${spent} repeats from second ${from}`);
    }
};

test("RepeatBudget: all instances together stay below the bound in every window", () => {
    const { clock, budgets } = createBudgets();
    const spentAt: number[] = [];
    for (let second = 0; second < 40; second++) {
        for (const budget of budgets) {
            for (let request = 0; request < REQUESTS_PER_SECOND; request++) {
                budget.deposit("s");
                while (budget.tryWithdraw("s")) {
                    spentAt.push(second);
                }
            }
        }
        clock.advance(1000);
    }
    assertWithinBounds(spentAt, 30);
});

test("RepeatBudget: savings that are spent all at once stay below the bound, also beside those that go on", () => {
    const { clock, budgets } = createBudgets();
    const spentAt: number[] = [];
    for (let second = 0; second < 60; second++) {
        for (const budget of budgets) {
            for (let request = 0; request < REQUESTS_PER_SECOND; request++) {
                budget.deposit("s");
            }
            // A third of the requests move to a larger model; in second 40 every stream breaks.
            const wanted = second === 40 ? 100 : 2;
            for (let repeat = 0; repeat < wanted && budget.tryWithdraw("s"); repeat++) {
                spentAt.push(second);
            }
        }
        clock.advance(1000);
    }
    const burst = spentAt.filter(at => at === 40).length;
    assert.ok(burst > 60, `only ${burst} repeats when every stream broke`);
    assertWithinBounds(spentAt, 50);
});

test("ColdLimiter: all instances together send a cold upstream less than it bears in every second", () => {
    const clock = new ManualClock(0);
    const rate = { perSecond: 12, excess: 1.5, slack: 5 };
    for (const entries of [1, 3, 8, 20]) {
        const limiters = Array.from({ length: entries }, () => new ColdStartLimiter(clock));
        const sentAt: number[] = [];
        for (let step = 0; step < 400; step++) {
            for (const limiter of limiters.filter(item => item.maySend("u", rate, entries))) {
                limiter.recordSend("u");
                sentAt.push(clock.monotonic());
            }
            clock.advance(10);
        }
        for (const from of sentAt) {
            const inSecond = sentAt.filter(at => at >= from && at < from + 1000).length;
            assert.ok(inSecond <= rate.perSecond * rate.excess + rate.slack, `${inSecond} with ${entries} instances`);
        }
    }
});

test("CrashLedger: a request that was part of two crashes is quarantined, whoever counted them", () => {
    const clock = new ManualClock(0);
    const ledger = new CrashHistory(clock);
    ledger.mergeCounts("a", [{ fingerprint: "f", count: 1 }, { fingerprint: "g", count: 1 }]);
    ledger.mergeCounts("a", [{ fingerprint: "f", count: 1 }]);
    assert.equal(ledger.quarantined().size, 0);
    ledger.mergeCounts("b", [{ fingerprint: "f", count: 1 }]);
    assert.deepEqual([...ledger.quarantined()], ["f"]);
    clock.advance(121_000);
    ledger.mergeCounts("b", []);
    assert.equal(ledger.quarantined().size, 0);
});

test("CrashSuspects: a broken connection counts only when the upstream's process ended with it", () => {
    const clock = new ManualClock(0);
    const suspects = new CrashTracker(clock);
    suspects.recordBrokenConnection("u 1", "poison");
    suspects.recordBrokenConnection("v 1", "innocent");
    assert.deepEqual(suspects.crashes, []);
    clock.advance(4000);
    suspects.recordProcessEnd("u 1");
    suspects.recordProcessEnd("u 1");
    assert.deepEqual(suspects.crashes, [{ fingerprint: "poison", count: 1 }]);
    clock.advance(15_001);
    suspects.recordProcessEnd("v 1");
    assert.equal(suspects.crashes.length, 1);
});

test("VoterPlan: voters grow one at a time to an odd number, at most five", () => {
    const next = (voters: string, reachable: string): string | undefined =>
        nextVoters([...voters], { reachable: [...reachable], lost: [] })?.join("");
    assert.equal(next("abc", "abcd"), undefined);
    assert.equal(next("abc", "abcde"), "abcd");
    assert.equal(next("abcd", "abcde"), "abcde");
    assert.equal(next("abcde", "abcdefg"), undefined);
});

test("VoterPlan: a lost voter leaves when another instance can take its place, and only then", () => {
    const next = (voters: string, reachable: string, lost: string): string | undefined =>
        nextVoters([...voters], { reachable: [...reachable], lost: [...lost] })?.join("");
    assert.equal(next("abc", "ab", "c"), undefined);
    assert.equal(next("abc", "abd", ""), undefined);
    assert.equal(next("abc", "abd", "c"), "ab");
    assert.equal(next("ab", "abd", "c"), "abd");
    assert.equal(next("abcde", "abcdf", "e"), "abcd");
    assert.equal(next("abcd", "abcdf", "e"), "abcdf");
});

const candidate = (id: string, change: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
    id,
    domain: "here",
    slots: 64,
    running: 0,
    waiting: 0,
    promptTokens: 0,
    failureRate: 0,
    isStale: false,
    isPossiblyUnreachable: false,
    ...change,
});

test("Placement: requests that share a prompt meet at one engine until it is much busier than the others", () => {
    const affinity = { key: "part", tokens: 5000 };
    const req = { domain: "here", affinity, isEngine: true, key: "r" };
    const ids = ["a", "b", "c", "d"];
    const first = placeRequest(req, ids.map(id => candidate(id)))?.id;
    const again = placeRequest(req, ids.map(id => candidate(id, id === first ? { running: 4 } : {})))?.id;
    assert.equal(again, first);
    const busy = placeRequest(req, ids.map(id => candidate(id, id === first ? { running: 60 } : {})))?.id;
    assert.notEqual(busy, first);
});

test("Placement: failing, silent and far upstreams come last", () => {
    const req = { domain: "here", affinity: undefined, isEngine: false, key: "r" };
    const place = (...items: PlacementCandidate[]): string | undefined => placeRequest(req, items)?.id;
    assert.equal(place(candidate("a", { failureRate: 0.5 }), candidate("b", { domain: "there" })), "b");
    assert.equal(place(candidate("a", { isStale: true }), candidate("b", { running: 10, slots: 64 })), "b");
    assert.equal(place(candidate("a", { domain: "there" }), candidate("b")), "b");
    assert.equal(place(candidate("a", { isPossiblyUnreachable: true }), candidate("b", { running: 20 })), "b");
    assert.equal(place(candidate("a", { running: 8, slots: 6 }), candidate("b", { domain: "there" })), "b");
});
