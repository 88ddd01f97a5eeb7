import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryHub } from "../../../addons/fakes/MemoryNetwork.ts";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { FleetFollower } from "./FleetFollower.ts";
import { FleetPublisher } from "./FleetPublisher.ts";
import { emptyFleet, type Fleet, type Rollout } from "./FleetState.ts";
import { createRolloutSchedule, planRolloutStep } from "./RolloutPlan.ts";
import { SessionVersions } from "./SessionVersions.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";
import { mustKeepVersion, versionRule } from "./VersionRule.ts";

const SCHEDULE = createRolloutSchedule(0.15);
const SERVICE = "s";
const ENTRIES = 8;
const SESSION_MS = 5000;
const STEP_MS = 50;
const ORDERED_AT_MS = 6000;
/** Most requests of continued sessions that may change the version. The users' requirements allow three. */
const MOST_MOVED = 3;

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const ordered: Rollout = {
    service: SERVICE,
    target: "v2",
    durationMs: 16_000,
    orderedAt: 0,
    state: "running",
    share: 0,
};

interface Session {
    readonly id: string;
    nextAt: number;
    version: string | undefined;
    endedAt: number;
}

/** Entry instances that follow one control instance. */
class FleetSimulation extends DisposableOwner {
    public readonly clock = new ManualClock(1000);
    public fleet: Fleet = emptyFleet;
    private readonly hub = new MemoryHub(this.clock, () => 5);
    private readonly entries: { readonly follower: FleetFollower; readonly sessions: SessionVersions; }[] = [];
    private readonly publisher: FleetPublisher;

    public constructor() {
        super();
        const directory = new UpstreamDirectory(this.clock);
        this.publisher = this.register(
            new FleetPublisher({
                clock: this.clock,
                epoch: "1",
                directory,
                fleet: () => this.fleet,
                confirmationAgeMs: () => 0,
                controls: () => ["c:1"],
            }),
        );
        const network = this.hub.join("c:1", []);
        network.handle("watchFleet", (req, from) => this.publisher.watch(req, from));
        network.handle("fetchFleet", () => ({ fleet: this.fleet }));
        for (let index = 0; index < ENTRIES; index++) {
            this.addEntry(`e${index}:1`);
        }
    }

    public change(rollout: Partial<Rollout>): void {
        const [before] = this.fleet.rollouts;
        const next: Rollout = { ...ordered, ...before, ...rollout };
        this.fleet = { ...this.fleet, revision: this.fleet.revision + 1, rollouts: [next] };
        this.publisher.flush();
    }

    /** Runs a request of the session at an entry instance. Returns its version. */
    public run(entry: number, session: string): string {
        const { follower, sessions } = this.entries[entry] ?? assert.fail();
        const history = { lastVersion: sessions.get(session, SERVICE), isPinned: follower.isSessionPinned(session) };
        const rule = versionRule(follower.fleet, SERVICE, session, history);
        const version = rule.isPreferred("v1") ? "v1" : "v2";
        sessions.record(session, SERVICE, version);
        return version;
    }

    private addEntry(id: string): void {
        const sessions = new SessionVersions(this.clock, SESSION_MS + 500);
        const follower: FleetFollower = this.register(
            new FleetFollower({
                clock: this.clock,
                network: this.hub.join(id, []),
                role: "entry",
                directory: new UpstreamDirectory(this.clock),
                seeds: ["c:1"],
                report: () => ({
                    outcomes: [],
                    crashes: [],
                    heldSessions: sessions.select((session, service, version) =>
                        mustKeepVersion(follower.fleet, service, session, version, SCHEDULE.canaryShare)
                    ),
                }),
            }),
        );
        follower.start();
        this.entries.push({ follower, sessions });
    }
}

/**
 * Simulates the start of a roll-out while each request of a session reaches a random entry instance. Returns how many
 * requests changed the version of their session, and how many ran on the target version.
 */
const simulateRollout = async (seed: number): Promise<{ moved: number; targetRequests: number; }> => {
    const simulation = new FleetSimulation();
    const random = new SeededRandom(seed);
    const sessions: Session[] = [...Array(250).keys()].map(index => ({
        id: `session ${seed} ${index}`,
        nextAt: random.next() * SESSION_MS,
        version: undefined,
        endedAt: -Infinity,
    }));
    let moved = 0;
    let targetRequests = 0;
    for (let now = 0; now < 14_000; now += STEP_MS) {
        if (now === ORDERED_AT_MS) {
            simulation.change({});
        }
        const [rollout] = simulation.fleet.rollouts;
        const step = rollout === undefined
            ? undefined
            : planRolloutStep(rollout, now - ORDERED_AT_MS, true, [], SCHEDULE);
        if (step !== undefined) {
            simulation.change(step);
        }
        for (const session of sessions.filter(({ nextAt }) => nextAt <= now)) {
            const version = simulation.run(Math.floor(random.next() * ENTRIES), session.id);
            const isSame = session.version === undefined || session.version === version;
            moved += isSame || now - session.endedAt >= SESSION_MS ? 0 : 1;
            targetRequests += version === "v2" ? 1 : 0;
            // Half of the pauses continue the session, the others are long enough to begin a new one.
            const pauseMs = random.next() < 0.5 ? 300 + random.next() * 4600 : 6000 + random.next() * 4000;
            Object.assign(session, { version, endedAt: now, nextAt: now + pauseMs });
        }
        await simulation.clock.advanceSettled(STEP_MS, settle);
    }
    simulation.dispose();
    return { moved, targetRequests };
};

test("SessionVersions: sessions on several entry instances keep their version when a roll-out begins", async () => {
    for (const seed of [1, 2, 3, 4, 5]) {
        const { moved, targetRequests } = await simulateRollout(seed);
        assert.ok(moved <= MOST_MOVED, `seed ${seed}: ${moved} requests changed the version`);
        assert.ok(
            targetRequests >= SCHEDULE.canaryShare * 100,
            `seed ${seed}: ${targetRequests} requests on the new version`,
        );
    }
});
