import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryLogStore } from "../../../addons/fakes/MemoryLogStore.ts";
import { MemoryHub } from "../../../addons/fakes/MemoryNetwork.ts";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";
import { FleetState } from "../gateway/FleetState.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { ControlLog } from "./ControlLog.ts";

const IDS = ["a", "b", "c"];
const LINK_MS = 2;
const SYNC_MS = 1;

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

interface Node {
    readonly log: ControlLog;
    readonly state: FleetState;
    readonly disk: MemoryLogStore;
}

test("a voter whose disk was full takes part again and catches up with the commands committed meanwhile", async () => {
    const clock = new ManualClock(1000);
    const random = new SeededRandom(3);
    const isolated = new Set<string>();
    const hub = new MemoryHub(clock, (from, to) => isolated.has(from) || isolated.has(to) ? undefined : LINK_MS);
    const nodes = new Map<string, Node>();
    for (const id of IDS) {
        const disk = new MemoryLogStore(clock, SYNC_MS);
        const state = new FleetState();
        const deps = { clock, network: hub.join(id, IDS), store: disk.open(), stateMachine: state, initialVoters: IDS };
        const log = new ControlLog({
            ...deps,
            isFirstStart: true,
            recoversStorage: true,
            hasShortFirstTimeout: true,
            random: random.next,
        });
        nodes.set(id, { log, state, disk });
        void log.start();
    }
    const advance = (ms: number): Promise<void> => clock.advanceSettled(ms, settle);
    const leader = (): Node => {
        const found = [...nodes.values()].find(node => node.log.status.role === "leader");
        assert.ok(found, "there is a leader");
        return found;
    };
    const declare = async (version: number): Promise<void> => {
        const done = leader().log.propose({ kind: "declare", version, text: `text ${version}` });
        await advance(500);
        await done;
    };
    await advance(1500);
    await declare(1);
    const old = leader();
    old.disk.writeError = new Error("no space left on device");
    old.log.propose({ kind: "declare", version: 2, text: "never written" }).catch(() => undefined);
    await advance(3000);
    assert.equal(old.log.status.failure, "no space left on device");
    await declare(3);
    old.disk.writeError = undefined;
    await advance(2000);
    assert.equal(old.log.status.failure, undefined);
    assert.equal(old.state.fleet.configText, "text 3");
    // With another voter unreachable, a majority needs the copy of the recovered one.
    const lost = [...nodes.keys()].find(id => nodes.get(id) !== old && nodes.get(id) !== leader()) ?? "";
    isolated.add(lost);
    await declare(4);
    assert.equal(old.state.fleet.configText, "text 4");
    nodes.forEach(node => node.log.dispose());
});
