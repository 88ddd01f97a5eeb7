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
/** Silence after which the simulation considers an instance lost, in ms. */
const LOST_AFTER_MS = 2500;
const FIRST_VOTERS = ["a", "b", "c"];

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

interface Control {
    readonly log: ControlLog;
    readonly owner: DisposableOwner;
    readonly network: MemoryNetwork;
    readonly applied: unknown[];
}

/** Simulated control instances that are started with an empty disk and removed permanently. */
class ControlSimulation {
    public readonly clock = new ManualClock(1000);
    public readonly running = new Map<string, Control>();
    private readonly removedAt = new Map<string, number>();
    private readonly random = new SeededRandom(7);
    private readonly hub = new MemoryHub(this.clock, () => LINK_MS);

    public add(id: string): void {
        const owner = new Owner();
        const network = this.hub.join(id, [...FIRST_VOTERS, "d", "e", "f"]);
        const applied: unknown[] = [];
        const log = owner.add(
            new ControlLog({
                clock: this.clock,
                network,
                store: new MemoryLogStore(this.clock, SYNC_MS).open(),
                stateMachine: {
                    apply: command => {
                        applied.push(command["value"]);
                        return {};
                    },
                    snapshot: () => ({ applied: [...applied] }),
                    restore: state => void applied.splice(0, applied.length, ...(state["applied"] as unknown[])),
                },
                initialVoters: FIRST_VOTERS.includes(id) ? FIRST_VOTERS : [],
                isFirstStart: FIRST_VOTERS.includes(id),
                random: this.random.next,
            }),
        );
        owner.add(
            new VoterReconciler({
                clock: this.clock,
                isLeader: () => log.status.role === "leader",
                voters: () => log.status.voters,
                reachability: () => ({ self: id, reachable: [...this.running.keys()], lost: this.lost }),
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
        this.removedAt.set(id, this.clock.monotonic());
    }

    /** Id and log of the leader. */
    public get leader(): [string, ControlLog] | undefined {
        const found = [...this.running].find(([, { log }]) => log.status.role === "leader");
        return found === undefined ? undefined : [found[0], found[1].log];
    }

    public advance(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, settle);
    }

    /** Commits a value at the leader. Fails when that takes more than three seconds. */
    public async commit(value: number): Promise<void> {
        let isCommitted = false;
        this.leader?.[1].propose({ kind: "test", value }).then(() => isCommitted = true, () => undefined);
        await this.advance(3000);
        assert.ok(isCommitted, `value ${value} is committed`);
    }

    private get lost(): string[] {
        const now = this.clock.monotonic();
        return [...this.removedAt].filter(([, at]) => now - at > LOST_AFTER_MS).map(([id]) => id);
    }
}

class Owner extends DisposableOwner {
    public add<T extends { dispose(): void; }>(disposable: T): T {
        return this.register(disposable);
    }
}

test("VoterReconciler: all voters and the leader can be replaced one after another without loss of data", async () => {
    const simulation = new ControlSimulation();
    FIRST_VOTERS.forEach(id => simulation.add(id));
    await simulation.advance(3000);
    await simulation.commit(1);
    const replacements = ["d", "e", "f"];
    for (const [index, id] of replacements.entries()) {
        const isLeaderLost = index % 2 === 0;
        const [leader] = simulation.leader ?? [];
        const lost = [...simulation.running.keys()].find(other => (other === leader) === isLeaderLost);
        assert.ok(lost !== undefined);
        simulation.remove(lost);
        await simulation.advance(1000);
        simulation.add(id);
        await simulation.advance(6000);
        assert.deepEqual([...simulation.leader?.[1].status.voters ?? []].sort(), [...simulation.running.keys()].sort());
        await simulation.commit(index + 2);
    }
    for (const { applied } of simulation.running.values()) {
        assert.deepEqual(applied.filter(value => value !== undefined), [1, 2, 3, 4]);
    }
    simulation.running.forEach(({ owner }) => owner.dispose());
});

test("VoterReconciler: a voter that restarts quickly is not replaced by another instance", async () => {
    const simulation = new ControlSimulation();
    [...FIRST_VOTERS, "d"].forEach(id => simulation.add(id));
    await simulation.advance(3000);
    assert.deepEqual([...simulation.leader?.[1].status.voters ?? []].sort(), FIRST_VOTERS);
    simulation.remove("a");
    await simulation.advance(LOST_AFTER_MS - 500);
    assert.deepEqual([...simulation.running.get("b")?.log.status.voters ?? []].sort(), FIRST_VOTERS);
    simulation.running.forEach(({ owner }) => owner.dispose());
});
