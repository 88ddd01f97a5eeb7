import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryHub } from "../../../addons/fakes/MemoryNetwork.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { FleetFollower } from "./FleetFollower.ts";
import { FleetPublisher } from "./FleetPublisher.ts";
import { emptyFleet, type Fleet } from "./FleetState.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type UpstreamRecord } from "./UpstreamRecord.ts";

const LINK_MS = 5;
/** Two calls in a row are held for 1000 ms each at most. */
const RENEWED_MS = 2100;

const record = (id: string, seq: number, state: UpstreamRecord["state"] = "ready"): UpstreamRecord => ({
    id,
    start: 1,
    seq,
    service: "s",
    host: "10.0.0.1",
    port: Number(id.slice(1)),
    domain: "d",
    version: "v1",
    slots: 4,
    state,
    coldMs: 0,
});

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Control instances that publish, and entry instances that follow, with links that can be cut. */
class World extends DisposableOwner {
    public readonly clock = new ManualClock(10_000);
    public readonly cut = new Set<string>();
    private readonly hub = new MemoryHub(
        this.clock,
        (from, to) => this.cut.has(from) || this.cut.has(to) ? undefined : LINK_MS,
    );

    public addControl(id: string, seeds: readonly string[]): Control {
        const control: Control = {
            directory: new UpstreamDirectory(this.clock),
            fleet: emptyFleet,
            proofAgeMs: 50,
            publisher: undefined as unknown as FleetPublisher,
        };
        const network = this.hub.join(id, []);
        const follower = this.register(
            new FleetFollower({
                clock: this.clock,
                network,
                role: "control",
                directory: control.directory,
                seeds,
                report: () => ({ outcomes: [], crashes: [], heldSessions: [] }),
            }),
        );
        control.publisher = this.register(
            new FleetPublisher({
                clock: this.clock,
                epoch: `${id} ${this.clock.now()}`,
                directory: control.directory,
                fleet: () => control.fleet,
                confirmationAgeMs: () => control.proofAgeMs,
                controls: () => [id, ...follower.knownControls],
            }),
        );
        network.handle("watchFleet", (req, from) => {
            if (req.role === "control") {
                follower.follow([from]);
            }
            return control.publisher.watch(req, from);
        });
        network.handle("fetchFleet", () => ({ fleet: control.fleet }));
        follower.start();
        return control;
    }

    public addEntry(id: string, seeds: readonly string[]): { follower: FleetFollower; directory: UpstreamDirectory; } {
        const directory = new UpstreamDirectory(this.clock);
        const follower = this.register(
            new FleetFollower({
                clock: this.clock,
                network: this.hub.join(id, []),
                role: "entry",
                directory,
                seeds,
                report: () => ({ outcomes: [], crashes: [{ fingerprint: "f", count: 1 }], heldSessions: [id] }),
            }),
        );
        follower.start();
        return { follower, directory };
    }

    public advance(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, settle);
    }
}

interface Control {
    readonly directory: UpstreamDirectory;
    fleet: Fleet;
    proofAgeMs: number;
    publisher: FleetPublisher;
}

test("FleetFollower: a control instance that is no seed is followed too, by control and entry instances", async () => {
    const world = new World();
    world.addControl("a:1", ["a:1", "b:1"]);
    const second = world.addControl("b:1", ["a:1", "b:1"]);
    const third = world.addControl("c:1", ["a:1", "b:1"]);
    const { follower, directory } = world.addEntry("e:1", ["a:1", "b:1"]);
    await world.advance(2000);
    assert.deepEqual(follower.knownControls.sort(), ["a:1", "b:1", "c:1"]);
    third.directory.merge(record("u1", 1), 0);
    await world.advance(3 * LINK_MS + 5);
    assert.equal(directory.get("u1")?.record.state, "ready");
    assert.equal(second.directory.get("u1")?.record.state, "ready");
    world.dispose();
});

test("FleetFollower: departures and revisions arrive at once, ordinary statements in batches", async () => {
    const world = new World();
    const control = world.addControl("a:1", ["a:1"]);
    const { follower, directory } = world.addEntry("e:1", ["a:1"]);
    control.directory.merge(record("u1", 1), 0);
    await world.advance(1300);
    control.directory.merge(record("u1", 2), 0);
    await world.advance(50);
    assert.equal(directory.get("u1")?.record.seq, 1);
    await world.advance(1100);
    assert.equal(directory.get("u1")?.record.seq, 2);
    control.directory.merge(record("u1", 3, "draining"), 0);
    await world.advance(3 * LINK_MS);
    assert.equal(directory.get("u1")?.record.state, "draining");
    control.fleet = { ...emptyFleet, revision: 4, configVersion: 1, configText: "text" };
    control.publisher.flush();
    await world.advance(5 * LINK_MS);
    assert.equal(follower.fleet.revision, 4);
    world.dispose();
});

test("FleetFollower: the lease ages while control is cut off, stale, or ahead, and never goes back", async () => {
    const world = new World();
    const first = world.addControl("a:1", ["a:1"]);
    const second = world.addControl("b:1", ["b:1"]);
    const { follower } = world.addEntry("e:1", ["a:1", "b:1"]);
    first.fleet = { ...emptyFleet, revision: 4, configText: "new" };
    second.fleet = { ...emptyFleet, revision: 3, configText: "old" };
    second.proofAgeMs = 5000;
    await world.advance(2000);
    assert.ok(follower.confirmationAgeMs < RENEWED_MS, `${follower.confirmationAgeMs}`);
    assert.equal(follower.fleet.revision, 4);
    world.cut.add("a:1");
    await world.advance(4000);
    assert.ok(follower.confirmationAgeMs > 3500, `${follower.confirmationAgeMs}`);
    assert.equal(follower.fleet.revision, 4);
    world.cut.delete("a:1");
    await world.advance(3000);
    assert.ok(follower.confirmationAgeMs < RENEWED_MS, `${follower.confirmationAgeMs}`);
    world.dispose();
});

test("FleetFollower: crashes counted by several instances quarantine a request for all", async () => {
    const world = new World();
    world.addControl("a:1", ["a:1"]);
    const { follower } = world.addEntry("e:1", ["a:1"]);
    await world.advance(1500);
    assert.equal(follower.isQuarantined(() => "f"), false);
    const other = world.addEntry("e:2", ["a:1"]);
    await world.advance(1500);
    assert.equal(follower.isQuarantined(() => "f"), true);
    assert.equal(other.follower.isQuarantined(() => "g"), false);
    world.dispose();
});
