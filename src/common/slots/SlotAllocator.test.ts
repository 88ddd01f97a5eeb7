import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
import { announcementSchema, type LoadReport } from "../upstreams/Upstream.ts";
import { UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { SlotAllocator } from "./SlotAllocator.ts";
import { OWNER_HANDOVER_MS, SLOT_LEASE_MS, type SlotGrant, type SlotRequest } from "./SlotTypes.ts";

const CAPACITY = 10;

const setUp = (startMs: number) => {
    const clock = new ManualClock(startMs);
    const registry = new UpstreamRegistry(clock);
    const since = clock.monotonic();
    const allocator = new SlotAllocator(
        clock,
        registry,
        () => ({ owner: "me", fraction: "whole", since }),
        () => undefined,
    );
    const announce = (): void => {
        const base = { id: "u", startId: "s", domain: "a", host: "127.0.0.1", port: 1, service: "x" };
        registry.announce(announcementSchema.parse({ ...base, capacity: CAPACITY, coldCapacity: CAPACITY, warmMs: 0 }));
    };
    const request = (holder: string, demand: number, inUse = 0, applied = 0, usable = 0): SlotGrant => {
        const req: SlotRequest = {
            upstream: "u",
            startId: "s",
            applied,
            usable,
            needs: demand === 0 ? [] : [{ account: "x", weight: 1, inUse, waiting: demand - inUse }],
            spare: 0,
            inUse,
            busyForMs: inUse === 0 ? 0 : 10_000,
            knownLimit: 0,
            meanMs: 0,
            completed: 0,
            failed: 0,
        };
        return allocator.grantSlots(holder, [req])[0] as SlotGrant;
    };
    /** Advances time, with the upstream announcing itself at its usual period. */
    const advance = (ms: number): void => {
        for (let done = 0; done < ms; done += 500) {
            announce();
            clock.advance(Math.min(500, ms - done));
        }
    };
    return { clock, registry, announce, request, advance };
};

test("a slot request that was held up frees no slots that the holder still uses", () => {
    const { clock, announce, request } = setUp(0);
    clock.advance(OWNER_HANDOVER_MS + 100);
    announce();
    const first = request("i1", 2);
    const second = request("i1", 10, 0, first.seq, 2);
    const third = request("i1", 6, 0, second.seq, 10);
    assert.deepEqual([first.granted, second.granted, third.granted], [2, 10, 6]);
    // Sent after the first grant, and overtaken by the others on another connection.
    request("i1", 2, 0, first.seq, 2);
    assert.equal(request("i2", 10).granted, 0, "i1 may still use the 10 slots of its second grant");
});

test("slots of an upstream that is announced after the handover are granted at once", () => {
    const { clock, announce, request } = setUp(0);
    clock.advance(OWNER_HANDOVER_MS + 100);
    announce();
    assert.equal(request("i1", 3).granted, 3);
});

test("a new owner grants nothing until every lease of an earlier owner has expired", () => {
    const { announce, request, advance } = setUp(0);
    announce();
    assert.equal(request("i1", 3).granted, 0);
    advance(OWNER_HANDOVER_MS + 1);
    assert.equal(request("i1", 3).granted, 3);
});

test("slots of a reduced lease stay reserved until the holder has applied the reduction", () => {
    const { clock, announce, request } = setUp(0);
    clock.advance(OWNER_HANDOVER_MS + 100);
    announce();
    const first = request("i1", 10);
    assert.equal(first.granted, 10);
    const reduced = request("i1", 2, 0, first.seq, first.granted);
    assert.equal(reduced.granted, 2);
    assert.equal(request("i2", 8).granted, 0, "i1 may still use the 10 slots of its earlier grant");
    request("i1", 2, 0, reduced.seq, reduced.granted);
    assert.equal(request("i2", 8).granted, 8);
});

test("slots of a holder that stops renewing stay reserved until a load report shows its requests ended", () => {
    const { clock, registry, announce, request, advance } = setUp(0);
    clock.advance(OWNER_HANDOVER_MS + 100);
    announce();
    assert.equal(request("i1", 6).granted, 6);
    advance(SLOT_LEASE_MS * 2);
    assert.equal(request("i2", 10).granted, 4);
    const report = (seq: number, running: number): LoadReport => ({ id: "u", startId: "s", seq, running, queued: 0 });
    advance(3000);
    registry.report(report(1, 0));
    assert.equal(request("i2", 10).granted, 10);
});

test("usable slots never exceed the limit, whatever holders request and whichever replies are lost", () => {
    const step = fc.record({
        holder: fc.constantFrom("i1", "i2", "i3"),
        demand: fc.integer({ min: 0, max: 15 }),
        isReplyLost: fc.boolean(),
        advanceMs: fc.constantFrom(0, 100, 700),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 40 }), steps => {
            const { clock, announce, request, advance } = setUp(0);
            clock.advance(OWNER_HANDOVER_MS + 100);
            announce();
            const usable = new Map<string, { granted: number; applied: number; until: number; }>();
            for (const { holder, demand, isReplyLost, advanceMs } of steps) {
                advance(advanceMs);
                const lease = usable.get(holder);
                const isValid = lease !== undefined && clock.now() < lease.until;
                const grant = request(holder, demand, 0, lease?.applied ?? 0, isValid ? lease.granted : 0);
                if (!isReplyLost) {
                    usable.set(holder, {
                        granted: grant.granted,
                        applied: grant.seq,
                        until: clock.now() + SLOT_LEASE_MS,
                    });
                }
                const valid = [...usable.values()].filter(item => clock.now() < item.until);
                const total = valid.reduce((sum, item) => sum + item.granted, 0);
                assert.ok(total <= CAPACITY, `${total} slots may be used at once`);
            }
        }),
        { seed: 7, numRuns: 300 },
    );
});
