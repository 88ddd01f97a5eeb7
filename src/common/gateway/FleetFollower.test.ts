import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryHub } from "../../../addons/fakes/MemoryNetwork.ts";
import { createUpstreamRecord } from "../../../addons/fakes/UpstreamRecords.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { type CallKeys } from "./CallKeys.ts";
import { type BrokenRun, CrashObserver } from "./CrashObserver.ts";
import { FleetFollower } from "./FleetFollower.ts";
import { FleetPublisher } from "./FleetPublisher.ts";
import { emptyFleet, type Fleet } from "./FleetState.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type UpstreamRecord } from "./UpstreamRecord.ts";

const LINK_MS = 5;
const ANSWER_PERIOD_MS = 200;
/** Greatest age of a renewed confirmation: two long polls in a row are held for at most 1000 ms each. */
const MAX_RENEWED_AGE_MS = 2100;

const record = (id: string, seq: number, state: UpstreamRecord["state"] = "ready"): UpstreamRecord =>
    createUpstreamRecord({ id, start: 1, seq, port: Number(id.slice(1)), state });

const callOf = (request: string): CallKeys => ({ request: () => request, parts: new Set() });

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Simulated control and entry instances whose network connections can be cut. */
class FleetSimulation extends DisposableOwner {
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
            confirmationAgeMs: 50,
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
                report: () => ({ outcomes: [], heldSessions: [] }),
            }),
        );
        control.publisher = this.register(
            new FleetPublisher({
                clock: this.clock,
                epoch: `${id} ${this.clock.now()}`,
                directory: control.directory,
                fleet: () => control.fleet,
                confirmationAgeMs: () => control.confirmationAgeMs,
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

    public addEntry(id: string, seeds: readonly string[]): TestEntry {
        const directory = new UpstreamDirectory(this.clock);
        const crashes = new CrashObserver(this.clock);
        const follower = this.register(
            new FleetFollower({
                clock: this.clock,
                network: this.hub.join(id, []),
                role: "entry",
                directory,
                seeds,
                report: () => ({ outcomes: [], heldSessions: [id] }),
                crashes,
            }),
        );
        follower.start();
        return { follower, directory, crashes };
    }

    public advance(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, settle);
    }

    /** Advances the time while other requests than the suspects are answered. */
    public async advanceAnswering(ms: number, { crashes }: TestEntry): Promise<void> {
        for (let elapsed = 0; elapsed < ms; elapsed += ANSWER_PERIOD_MS) {
            crashes.startRun({ request: () => "other", parts: new Set() }, false).complete();
            await this.advance(ANSWER_PERIOD_MS);
        }
    }
}

interface TestEntry {
    readonly follower: FleetFollower;
    readonly directory: UpstreamDirectory;
    readonly crashes: CrashObserver;
}

interface Control {
    readonly directory: UpstreamDirectory;
    fleet: Fleet;
    confirmationAgeMs: number;
    publisher: FleetPublisher;
}

test("FleetFollower: control and entry instances also follow a control instance that is no seed", async () => {
    const simulation = new FleetSimulation();
    simulation.addControl("a:1", ["a:1", "b:1"]);
    const second = simulation.addControl("b:1", ["a:1", "b:1"]);
    const third = simulation.addControl("c:1", ["a:1", "b:1"]);
    const { follower, directory } = simulation.addEntry("e:1", ["a:1", "b:1"]);
    await simulation.advance(2000);
    assert.deepEqual(follower.knownControls.sort(), ["a:1", "b:1", "c:1"]);
    third.directory.merge(record("u1", 1), 0);
    await simulation.advance(3 * LINK_MS + 5);
    assert.equal(directory.get("u1")?.record.state, "ready");
    assert.equal(second.directory.get("u1")?.record.state, "ready");
    simulation.dispose();
});

test("FleetFollower: departures and revisions arrive at once, heartbeats in batches", async () => {
    const simulation = new FleetSimulation();
    const control = simulation.addControl("a:1", ["a:1"]);
    const { follower, directory } = simulation.addEntry("e:1", ["a:1"]);
    control.directory.merge(record("u1", 1), 0);
    await simulation.advance(1300);
    control.directory.merge(record("u1", 2), 0);
    await simulation.advance(50);
    assert.equal(directory.get("u1")?.record.seq, 1);
    await simulation.advance(1100);
    assert.equal(directory.get("u1")?.record.seq, 2);
    control.directory.merge(record("u1", 3, "draining"), 0);
    await simulation.advance(3 * LINK_MS);
    assert.equal(directory.get("u1")?.record.state, "draining");
    control.fleet = { ...emptyFleet, revision: 4, configVersion: 1, configText: "text" };
    control.publisher.flush();
    await simulation.advance(5 * LINK_MS);
    assert.equal(follower.fleet.revision, 4);
    simulation.dispose();
});

// Otherwise requests would avoid upstreams that work, since heartbeats count as missing after 3 s.
test("FleetFollower: heartbeats sent every second are never 3 s old, also when the control instance that gets them is lost", async () => {
    const simulation = new FleetSimulation();
    const first = simulation.addControl("a:1", ["a:1", "b:1"]);
    const second = simulation.addControl("b:1", ["a:1", "b:1"]);
    const { directory } = simulation.addEntry("e:1", ["a:1", "b:1"]);
    let greatestAgeMs = 0;
    let sent = 0;
    const play = async (control: Control, ms: number): Promise<void> => {
        for (let elapsed = 0; elapsed < ms; elapsed += 50) {
            if (elapsed % 1000 === 0) {
                control.directory.merge(record("u1", ++sent), 0);
            }
            await simulation.advance(50);
            const { receivedAt = Infinity } = directory.get("u1") ?? {};
            greatestAgeMs = Math.max(greatestAgeMs, simulation.clock.monotonic() - receivedAt);
        }
    };
    await play(first, 1000);
    // The periods of heartbeats and of held calls drift against each other.
    await simulation.advance(350);
    await play(first, 8000);
    assert.ok(greatestAgeMs > 1000 && greatestAgeMs <= 2000 + 4 * LINK_MS, `${greatestAgeMs}`);
    simulation.cut.add("a:1");
    await play(second, 8000);
    assert.ok(greatestAgeMs < 3000, `${greatestAgeMs}`);
    simulation.dispose();
});

test("FleetFollower: no unreachable or outdated control instance renews the lease or lowers the revision", async () => {
    const simulation = new FleetSimulation();
    const first = simulation.addControl("a:1", ["a:1"]);
    const second = simulation.addControl("b:1", ["b:1"]);
    const { follower } = simulation.addEntry("e:1", ["a:1", "b:1"]);
    first.fleet = { ...emptyFleet, revision: 4, configText: "new" };
    second.fleet = { ...emptyFleet, revision: 3, configText: "old" };
    second.confirmationAgeMs = 5000;
    await simulation.advance(2000);
    assert.ok(follower.confirmationAgeMs < MAX_RENEWED_AGE_MS, `${follower.confirmationAgeMs}`);
    assert.equal(follower.fleet.revision, 4);
    simulation.cut.add("a:1");
    await simulation.advance(4000);
    assert.ok(follower.confirmationAgeMs > 3500, `${follower.confirmationAgeMs}`);
    assert.equal(follower.fleet.revision, 4);
    simulation.cut.delete("a:1");
    await simulation.advance(3000);
    assert.ok(follower.confirmationAgeMs < MAX_RENEWED_AGE_MS, `${follower.confirmationAgeMs}`);
    simulation.dispose();
});

/** A broken run of request `f`, whose upstream no longer listens; each upstream has crashed at a time of its own. */
const brokenRun = (upstream: string, index = 0): BrokenRun => ({
    upstream,
    start: 1,
    request: "f",
    parts: [],
    ageMs: 200 * index,
    isRefused: true,
});

test("FleetFollower: crashes seen by several instances quarantine a request at all instances", async () => {
    const simulation = new FleetSimulation();
    simulation.addControl("a:1", ["a:1"]);
    const first = simulation.addEntry("e:1", ["a:1"]);
    const second = simulation.addEntry("e:2", ["a:1"]);
    await simulation.advance(1500);
    ["u1", "u2"].forEach((upstream, index) => first.crashes.recordBrokenRun(brokenRun(upstream, index)));
    await simulation.advanceAnswering(3000, first);
    assert.equal(first.follower.isQuarantined(callOf("f")), false);
    second.crashes.recordBrokenRun(brokenRun("u3"));
    await simulation.advanceAnswering(3000, first);
    for (const { follower } of [first, second]) {
        assert.equal(follower.isQuarantined(callOf("f")), true);
        assert.equal(follower.isQuarantined(callOf("g")), false);
    }
    simulation.dispose();
});

test("FleetFollower: a quarantine outlives the restart of every control instance, and of the instances that saw the crashes", async () => {
    const simulation = new FleetSimulation();
    const control = simulation.addControl("a:1", ["a:1"]);
    const witness = simulation.addEntry("e:1", ["a:1"]);
    const { follower } = simulation.addEntry("e:2", ["a:1"]);
    await simulation.advance(1500);
    ["u1", "u2", "u3"].forEach((upstream, index) => witness.crashes.recordBrokenRun(brokenRun(upstream, index)));
    await simulation.advanceAnswering(3000, witness);
    assert.equal(follower.isQuarantined(callOf("f")), true);
    witness.follower.dispose();
    control.publisher.dispose();
    simulation.addControl("a:1", ["a:1"]);
    await simulation.advance(3000);
    const late = simulation.addEntry("e:3", ["a:1"]);
    await simulation.advance(1500);
    assert.equal(late.follower.isQuarantined(callOf("f")), true);
    simulation.dispose();
});

test("FleetFollower: a control instance that starts again gets the crashes of before", async () => {
    const simulation = new FleetSimulation();
    const control = simulation.addControl("a:1", ["a:1"]);
    const entry = simulation.addEntry("e:1", ["a:1"]);
    const { follower, crashes } = entry;
    await simulation.advance(1500);
    ["u1", "u2"].forEach((upstream, index) => crashes.recordBrokenRun(brokenRun(upstream, index)));
    await simulation.advance(3000);
    control.publisher.dispose();
    simulation.addControl("a:1", ["a:1"]);
    await simulation.advance(3000);
    crashes.recordBrokenRun(brokenRun("u3"));
    await simulation.advanceAnswering(3000, entry);
    assert.equal(follower.isQuarantined(callOf("f")), true);
    simulation.dispose();
});
