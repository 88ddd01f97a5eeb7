import assert from "node:assert/strict";
import { test } from "node:test";
import { MachineClock } from "../../../addons/fakes/MachineClock.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { SuspendAwareClock } from "../time/SuspendAwareClock.ts";
import { announcementSchema } from "../upstreams/Upstream.ts";
import { UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { SlotPool } from "./SlotPool.ts";
import { SLOT_LEASE_MS, SLOT_RENEWAL_MS, type SlotGrant, type SlotRequest } from "./SlotTypes.ts";

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// The owner grants the slots to others once the lease is over, also while this machine is suspended.
test("SlotPool: a lease that ran out while the machine was suspended allows nothing", async () => {
    const manual = new ManualClock(1000);
    const machine = new MachineClock(manual);
    const clock = new SuspendAwareClock(machine);
    const registry = new UpstreamRegistry(clock);
    let seq = 0;
    const grant = (...[, requests]: [string, readonly SlotRequest[]]): Promise<SlotGrant[]> =>
        Promise.resolve(requests.map(({ upstream, startId }) => ({
            upstream,
            startId,
            seq: ++seq,
            granted: 4,
            leaseMs: SLOT_LEASE_MS,
            isContended: false,
            limit: 4,
        })));
    const pool = new SlotPool(clock, registry, () => "owner", grant, "a");
    const base = { id: "u", startId: "s", domain: "a", host: "127.0.0.1", port: 1, service: "x" };
    registry.announce(announcementSchema.parse({ ...base, capacity: 4, coldCapacity: 4, warmMs: 0 }));
    const upstream = registry.get("u");
    assert.ok(upstream);
    await manual.advanceSettled(2 * SLOT_RENEWAL_MS, settle);
    assert.equal(pool.freeSlots(upstream), 4);
    machine.step(SLOT_LEASE_MS);
    assert.equal(pool.freeSlots(upstream), 0);
    pool.dispose();
});
