import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryLogStore } from "../../../addons/fakes/MemoryLogStore.ts";
import { type LinkDelay, MemoryHub } from "../../../addons/fakes/MemoryNetwork.ts";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";
import { MAX_FRAME_BYTES } from "../../node/peers/FrameCodec.ts";
import { FleetState } from "../gateway/FleetState.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { ControlLog } from "./ControlLog.ts";

const IDS = ["a", "b", "c"];
const MEGABYTE = 1024 * 1024;
/** Disk of the smallest control instances that are served, in bytes. */
const DISK_BYTES = 128 * MEGABYTE;

/** Time within which a voter must have caught up, in ms. */
const RECOVERY_MS = 12_000;

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Voters to which configurations of a given size are declared. */
class Deployment {
    public readonly clock = new ManualClock(1000);
    public readonly disks = new Map<string, MemoryLogStore>();
    public readonly states = new Map<string, FleetState>();
    public readonly hub: MemoryHub;
    private readonly logs = new Map<string, ControlLog>();
    private version = 0;

    public constructor(link: LinkDelay, snapshotAfterEntries: number) {
        const random = new SeededRandom(1);
        this.hub = new MemoryHub(this.clock, link);
        for (const id of IDS) {
            const disk = new MemoryLogStore(this.clock, 1);
            const state = new FleetState();
            const log = new ControlLog({
                clock: this.clock,
                network: this.hub.join(id, IDS),
                store: disk.open(),
                stateMachine: state,
                initialVoters: IDS,
                isFirstStart: true,
                snapshotAfterEntries,
                random: random.next,
            });
            this.disks.set(id, disk);
            this.states.set(id, state);
            this.logs.set(id, log);
            void log.start();
        }
    }

    public advance(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, settle);
    }

    public get leader(): string {
        return IDS.find(id => this.logs.get(id)?.status.role === "leader") ?? "";
    }

    /** Declares a configuration of `bytes` and waits until it is committed. */
    public async declare(bytes: number): Promise<void> {
        const command = { kind: "declare", version: ++this.version, text: "x".repeat(bytes) };
        const done = this.logs.get(this.leader)?.propose(command);
        await this.advance(20);
        await done;
    }

    public stop(): void {
        this.logs.forEach(log => log.dispose());
    }
}

// Guards against disks that large configurations fill before the log is compacted, so that all voters stop.
test("the log of large configurations is compacted long before it fills a disk", async () => {
    const deployment = new Deployment(() => 1, 200);
    await deployment.advance(3000);
    for (let i = 0; i < 190; i++) {
        await deployment.declare(MEGABYTE);
        if (i % 10 === 9) {
            for (const [id, { storedBytes }] of deployment.disks) {
                assert.ok(storedBytes < DISK_BYTES / 4, `${id} stores ${storedBytes} bytes after ${i + 1}`);
            }
        }
    }
    deployment.stop();
});

// Guards against a voter that can never catch up, as what it lacks does not fit in one message.
test("a voter that missed many large configurations is sent messages that fit in a frame", async () => {
    const cutOff = new Set<string>();
    const isCut = (id: string): boolean => cutOff.has(id);
    const deployment = new Deployment((from, to) => isCut(from) || isCut(to) ? undefined : 1, 1000);
    await deployment.advance(3000);
    const behind = IDS.find(id => id !== deployment.leader) ?? "";
    cutOff.add(behind);
    const count = Math.ceil(MAX_FRAME_BYTES / (3 * MEGABYTE)) + 1;
    for (let i = 0; i < count; i++) {
        await deployment.declare(3 * MEGABYTE);
    }
    deployment.hub.countsBytes = true;
    cutOff.clear();
    await deployment.advance(RECOVERY_MS);
    assert.equal(deployment.states.get(behind)?.fleet.configVersion, count);
    assert.ok(deployment.hub.largestMessageBytes < MAX_FRAME_BYTES / 2, `${deployment.hub.largestMessageBytes} bytes`);
    deployment.stop();
});
