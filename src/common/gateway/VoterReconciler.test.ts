import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryLogStore } from "../../../addons/fakes/MemoryLogStore.ts";
import { MemoryHub, type MemoryNetwork } from "../../../addons/fakes/MemoryNetwork.ts";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";
import { ControlLog } from "../control/ControlLog.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { VoterReconciler } from "./VoterReconciler.ts";

const LINK_MS = 1;
const SYNC_MS = 2;
/** Silence after which the world below takes an instance to be gone, in ms. */
const GONE_AFTER_MS = 2500;
const FIRST_VOTERS = ["a", "b", "c"];

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

interface Control {
    readonly log: ControlLog;
    readonly owner: DisposableOwner;
    readonly network: MemoryNetwork;
    readonly applied: unknown[];
}

/** Control instances that come and go for good, each with an empty disk. */
class World {
    public readonly clock = new ManualClock(1000);
    public readonly running = new Map<string, Control>();
    private readonly goneAt = new Map<string, number>();
    private readonly random = new SeededRandom(7);
    private readonly hub = new MemoryHub(this.clock, () => LINK_MS);

    public add(id: string): void {
        const owner = new Owner();
        const network = this.hub.join(id, [...FIRST_VOTERS, "d", "e", "f"]);
        const applied: unknown[] = [];
        const log = owner.own(
            new ControlLog({
                clock: this.clock,
                network,
                store: new MemoryLogStore(this.clock, SYNC_MS).open(),
                machine: {
                    apply: command => {
                        applied.push(command["value"]);
                        return {};
                    },
                    snapshot: () => ({ applied: [...applied] }),
                    restore: state => void applied.splice(0, applied.length, ...(state["applied"] as unknown[])),
                },
                initialVoters: FIRST_VOTERS.includes(id) ? FIRST_VOTERS : [],
                random: this.random.next,
            }),
        );
        owner.own(
            new VoterReconciler({
                clock: this.clock,
                isLeader: () => log.status.role === "leader",
                voters: () => log.status.voters,
                reachability: () => ({ reachable: [...this.running.keys()], lost: this.lost }),
                propose: command => log.propose(command),
                onChange: () => undefined,
                onFailure: () => undefined,
            }),
        );
        this.running.set(id, { log, owner, network, applied });
        void log.start();
    }

    public remove(id: string): void {
        const control = this.running.get(id);
        assert.ok(control !== undefined);
        this.hub.remove(control.network);
        control.owner.dispose();
        this.running.delete(id);
        this.goneAt.set(id, this.clock.monotonic());
    }

    /** The leader, and the voters that it knows. */
    public get leader(): [string, ControlLog] | undefined {
        const found = [...this.running].find(([, { log }]) => log.status.role === "leader");
        return found === undefined ? undefined : [found[0], found[1].log];
    }

    public advance(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, settle);
    }

    /** Commits a value at the leader; fails when that takes over three seconds. */
    public async commit(value: number): Promise<void> {
        let isCommitted = false;
        this.leader?.[1].propose({ kind: "test", value }).then(() => isCommitted = true, () => undefined);
        await this.advance(3000);
        assert.ok(isCommitted, `value ${value} is committed`);
    }

    private get lost(): string[] {
        const now = this.clock.monotonic();
        return [...this.goneAt].filter(([, at]) => now - at > GONE_AFTER_MS).map(([id]) => id);
    }
}

class Owner extends DisposableOwner {
    public own<T extends { dispose(): void; }>(part: T): T {
        return this.register(part);
    }
}

test("VoterKeeper: every voter may be replaced for good, one after another, the leader too, and nothing is lost", async () => {
    const world = new World();
    FIRST_VOTERS.forEach(id => world.add(id));
    await world.advance(3000);
    await world.commit(1);
    const replacements = ["d", "e", "f"];
    for (const [index, id] of replacements.entries()) {
        const isLeaderLost = index % 2 === 0;
        const [leader] = world.leader ?? [];
        const lost = [...world.running.keys()].find(other => (other === leader) === isLeaderLost);
        assert.ok(lost !== undefined);
        world.remove(lost);
        await world.advance(1000);
        world.add(id);
        await world.advance(6000);
        assert.deepEqual([...world.leader?.[1].status.voters ?? []].sort(), [...world.running.keys()].sort());
        await world.commit(index + 2);
    }
    for (const { applied } of world.running.values()) {
        assert.deepEqual(applied.filter(value => value !== undefined), [1, 2, 3, 4]);
    }
    world.running.forEach(({ owner }) => owner.dispose());
});

test("VoterKeeper: a voter that restarts quickly keeps its vote, though another instance could take it", async () => {
    const world = new World();
    [...FIRST_VOTERS, "d"].forEach(id => world.add(id));
    await world.advance(3000);
    assert.deepEqual([...world.leader?.[1].status.voters ?? []].sort(), FIRST_VOTERS);
    world.remove("a");
    await world.advance(GONE_AFTER_MS - 500);
    assert.deepEqual([...world.running.get("b")?.log.status.voters ?? []].sort(), FIRST_VOTERS);
    world.running.forEach(({ owner }) => owner.dispose());
});
