import assert from "node:assert/strict";
import { test } from "node:test";
import { MachineClock } from "../../../addons/fakes/MachineClock.ts";
import { type Clock } from "../time/Clock.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { SuspendAwareClock } from "../time/SuspendAwareClock.ts";
import { RequestQueue, type StartResult, type WaitingRequest } from "./RequestQueue.ts";

interface TestRequest extends WaitingRequest {
    readonly id: string;
}

/** A queue, the requests that it has sent in order, and whether upstreams have room. */
const createQueue = (clock = new ManualClock(1000), ownClock: Clock = clock) => {
    const queue = new RequestQueue<TestRequest>(ownClock, () => false);
    const sent: string[] = [];
    const room = { count: 0 };
    const add = (id: string, change: Partial<TestRequest> = {}): TestRequest => {
        const now = ownClock.boottime();
        const req = {
            id,
            account: "a",
            priority: 2,
            cost: 30,
            bytes: 100,
            objectiveMs: 1000,
            workMs: 30,
            arrivedAt: now,
            waitsSince: now,
            deadlineAt: now + 5000,
            isRepeat: false,
            key: () => id,
            ...change,
        };
        queue.add(req);
        return req;
    };
    const start = ({ id }: TestRequest): StartResult => {
        if (room.count === 0) {
            return "held";
        }
        room.count--;
        sent.push(id);
        return "sent";
    };
    const advance = (count: number): string[] => {
        room.count = count;
        return queue.advance(start).map(({ req, reason }) => `${req.id} ${reason}`);
    };
    return { clock, queue, sent, add, advance };
};

test("RequestQueue: more urgent requests go first, and accounts take turns within a priority", () => {
    const { sent, add, advance } = createQueue();
    ["h1", "h2", "h3"].forEach(id => add(id, { account: "heavy" }));
    add("l1", { account: "light" });
    add("u1", { account: "heavy", priority: 1 });
    assert.deepEqual(advance(3), []);
    assert.equal(sent[0], "u1");
    assert.ok(sent.includes("l1"), sent.join());
});

test("RequestQueue: a request that has waited for half of its time is raised by one level, not more", () => {
    const { clock, sent, add, advance } = createQueue();
    add("low", { priority: 3 });
    add("lowest", { priority: 4 });
    advance(0);
    clock.advance(130);
    add("new", { priority: 2, arrivedAt: 0 });
    add("other", { priority: 3, account: "b" });
    advance(4);
    assert.ok(sent.indexOf("low") < sent.indexOf("other"), sent.join());
    assert.equal(sent[3], "lowest");
});

test("RequestQueue: requests whose deadline passed during a freeze are refused, not sent", () => {
    const { clock, sent, add, advance } = createQueue();
    add("r1");
    add("r2", { deadlineAt: clock.monotonic() + 60_000, objectiveMs: 60_000 });
    clock.advance(5000);
    assert.deepEqual(advance(2), ["r1 deadline"]);
    assert.deepEqual(sent, ["r2"]);
});

test("RequestQueue: a full queue drops the last in order, not the newest", () => {
    const { queue, add, advance } = createQueue();
    for (let index = 0; index < 256; index++) {
        add(`r${index}`, { priority: 5 });
    }
    add("urgent", { priority: 0 });
    assert.deepEqual(advance(0).length, 1);
    assert.equal(queue.length, 256);
    add("large", { priority: 9, bytes: 9 * 1024 * 1024 });
    assert.deepEqual(advance(0), ["large full"]);
});

test("RequestQueue: a caller that returns when it was told to goes ahead of new requests, an early one doesn't", () => {
    const { clock, queue, sent, add, advance } = createQueue();
    const refused = add("patient", { account: "p" });
    queue.remove(refused);
    queue.recordRefusal(refused, 200);
    const early = add("hasty", { account: "h" });
    queue.remove(early);
    queue.recordRefusal(early, 2000);
    add("first", { account: "f" });
    advance(1);
    clock.advance(300);
    ["n1", "n2", "n3"].forEach(id => add(id, { account: "n", objectiveMs: 600 }));
    add("hasty", { account: "h" });
    add("patient", { account: "p" });
    advance(5);
    assert.equal(sent[1], "patient", sent.join());
    assert.notEqual(sent[2], "hasty", sent.join());
});

test("RequestQueue: requests are refused at once when those ahead take longer than they may wait", () => {
    const { clock, add, advance } = createQueue();
    for (let index = 0; index < 30; index++) {
        add(`r${index}`);
        advance(index % 10 === 0 ? 1 : 0);
        clock.advance(10);
    }
    const refusals = Array.from({ length: 10 }, (...[, index]) => {
        add(`late${index}`);
        return advance(0);
    }).flat();
    assert.ok(refusals.some(text => text.endsWith(" estimate")), refusals.join());
    assert.ok(refusals.every(text => !text.endsWith(" waited")), refusals.join());
});

// GONE: the monotonic clock stands still while the machine is suspended, and the caller has left meanwhile.
test("RequestQueue: a request whose deadline passed while the machine was suspended isn't sent", () => {
    const clock = new ManualClock(1000);
    const machine = new MachineClock(clock);
    const { sent, add, advance } = createQueue(clock, new SuspendAwareClock(machine));
    add("q");
    machine.step(6000);
    assert.deepEqual(advance(1), ["q deadline"]);
    assert.deepEqual(sent, []);
});
