import assert from "node:assert/strict";
import { test } from "node:test";
import { type Selection, type SelectionRequest, type UpstreamSelector } from "../../common/gateway/UpstreamSelector.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { toDisposable } from "../../common/lifecycle/Disposable.ts";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { createLog } from "../log/Log.ts";
import { type Call, createCallState, type FinalFailure } from "./Call.ts";
import { GatewayMetrics } from "./GatewayMetrics.ts";
import { QueuedSelection } from "./QueuedSelection.ts";

const selection = { name: "engine 1", record: { id: "engine", slots: 24 } } as unknown as Selection;

/** An engine without any limit, on which 24 requests run and some wait. */
const createQueued = (
    clock: ManualClock,
    waitingThere: () => number,
    isRemoved = (): boolean => false,
    statesSlowdown = (): boolean => true,
): QueuedSelection => {
    const take = ({ hasRoom }: SelectionRequest): Selection | undefined => {
        const occupancy = { isEngine: true, slots: 24, present: 24 + waitingThere(), waiting: waitingThere() };
        return !isRemoved() && (hasRoom === undefined || hasRoom({ ...occupancy, reportAgeMs: 10 }))
            ? selection
            : undefined;
    };
    const selector = {
        select: take,
        isHeldByLimits: (req: SelectionRequest) => take(req) !== undefined,
        pauseRemainingMs: () => undefined,
    };
    return new QueuedSelection({
        clock,
        selector: selector as unknown as UpstreamSelector,
        upstreamStats: { statesSlowdown } as unknown as UpstreamStatistics,
        hasLease: () => true,
        isRemoved,
        log: createLog("test", "fatal"),
        metrics: new GatewayMetrics(),
    });
};

const call = (clock: ManualClock, hasBegun = false): Call => ({
    req: { id: "r", prompt: { tokens: 12_000, maxOutput: 100, segments: [] } },
    route: { objectiveMs: 3000, priority: 0, kind: "stream" },
    service: { name: "s", engineSlots: 24 },
    account: undefined,
    body: undefined,
    keys: { request: () => "key" },
    arrivedAt: clock.monotonic(),
    deadlineAt: clock.monotonic() + 20_000,
    reply: { hasBegun, onCallerGone: () => toDisposable(() => undefined) },
} as unknown as Call);

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("QueuedSelection: a request waits for full engines; it isn't refused as if they limited their requests", async () => {
    const clock = new ManualClock(1000);
    let waitingThere = 10;
    const queued = createQueued(clock, () => waitingThere);
    const state = createCallState();
    const select = queued.create(call(clock), state, () => ({ tried: new Set() }) as unknown as SelectionRequest);
    let result: unknown;
    void select?.().then(value => {
        result = value;
    });
    clock.advance(300);
    await settle();
    assert.equal(result, undefined);
    waitingThere = 0;
    clock.advance(100);
    await settle();
    assert.equal(result, selection);
    queued.dispose();
});

test("QueuedSelection: requests that wait when the instance stops are answered", async () => {
    const clock = new ManualClock(1000);
    const queued = createQueued(clock, () => 10);
    const state = createCallState();
    const select = queued.create(call(clock), state, () => ({ tried: new Set() }) as unknown as SelectionRequest);
    const result = select?.();
    queued.dispose();
    assert.equal((await result as { retryAfterMs: number; }).retryAfterMs, 50);
});

for (const hasBegun of [false, true]) {
    test(`QueuedSelection: a request whose service is removed is refused at once, begun: ${hasBegun}`, async () => {
        const clock = new ManualClock(1000);
        let isRemoved = false;
        const queued = createQueued(clock, () => 10, () => isRemoved);
        const state = createCallState();
        const wanted = { tried: new Set() } as unknown as SelectionRequest;
        const select = queued.create(call(clock, hasBegun), state, () => wanted);
        let result: unknown;
        void select?.().then(value => {
            result = value;
        });
        clock.advance(300);
        await settle();
        assert.equal(result, undefined);
        isRemoved = true;
        clock.advance(200);
        await settle();
        assert.equal((result as FinalFailure | undefined)?.retryAfterMs, 50);
        queued.dispose();
    });
}

test("QueuedSelection: requests that wait are sent although their service states no slowdown any more", async () => {
    const clock = new ManualClock(1000);
    let waitingThere = 10;
    let statesSlowdown = true;
    const queued = createQueued(clock, () => waitingThere, undefined, () => statesSlowdown);
    const state = createCallState();
    const wanted = { tried: new Set() } as unknown as SelectionRequest;
    const results = [1, 2, 3].map(() => queued.create(call(clock), state, () => wanted)?.());
    clock.advance(300);
    statesSlowdown = false;
    waitingThere = 0;
    clock.advance(100);
    assert.deepEqual(await Promise.all(results), [selection, selection, selection]);
    queued.dispose();
});

test("QueuedSelection: an attempt beside another one waits behind repeats, and no longer than it is needed", async () => {
    const clock = new ManualClock(1000);
    let waitingThere = 10;
    const queued = createQueued(clock, () => waitingThere);
    const wanted = { tried: new Set() } as unknown as SelectionRequest;
    const ends: string[] = [];
    const search = new AbortController();
    const select = async (name: string, hasBegun: boolean, signal?: AbortSignal): Promise<void> => {
        const state = createCallState();
        state.upstreamIds.push("engine 0");
        await queued.create(call(clock, hasBegun), state, () => wanted, signal)?.();
        ends.push(name);
        assert.equal(state.wait === undefined, signal !== undefined);
    };
    const waits = [
        select("given up", true, search.signal),
        select("backup", true, new AbortController().signal),
        select("repeat", true),
    ];
    clock.advance(100);
    search.abort();
    await settle();
    waitingThere = 0;
    clock.advance(100);
    await Promise.all(waits);
    assert.deepEqual(ends, ["given up", "repeat", "backup"]);
    queued.dispose();
});
