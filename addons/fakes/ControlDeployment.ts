/**
 * Control instances on a simulated clock, with networks, processes and disks that can be disturbed, and with the reconciler
 * that changes the voters. It records what a control log must never do.
 */
import assert from "node:assert/strict";
import { ControlLog } from "../../src/common/control/ControlLog.ts";
import { type ControlEvent } from "../../src/common/control/ControlTypes.ts";
import { type Command, type StateMachine } from "../../src/common/control/LogStore.ts";
import { VoterReconciler } from "../../src/common/gateway/VoterReconciler.ts";
import { ManualClock } from "../../src/common/time/ManualClock.ts";
import { HoldableClock } from "./HoldableClock.ts";
import { MemoryLogStore } from "./MemoryLogStore.ts";
import { MemoryHub, type MemoryNetwork } from "./MemoryNetwork.ts";
import { SeededRandom } from "./SeededRandom.ts";

export const FIRST_VOTERS: readonly string[] = ["a", "b", "c"];
const SYNC_MS = 2;
const MIN_CALL_MS = 3;
const CALL_JITTER_MS = 20;
/** Time after the last disturbance within which a change must be accepted again, in ms. */
export const RECOVERY_MS = 12_000;
/** Silence after which a voter counts as lost, as in gateway processes, in ms. */
const LOST_AFTER_MS = 2500;
/** Silence after which the replacement of a voter is prepared, as in gateway processes, in ms. */
const SUSPECTED_AFTER_MS = 900;
/** Number of events that a failure shows. */
const SHOWN_EVENTS = 60;

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Collects the values of the commands that are applied. */
class ValueList implements StateMachine {
    public values: number[] = [];
    private readonly onApply: (index: number, command: Command) => void;

    public constructor(onApply: (index: number, command: Command) => void) {
        this.onApply = onApply;
    }

    public apply(command: Command, index: number): Record<string, unknown> {
        this.onApply(index, command);
        if (typeof command["value"] === "number") {
            this.values.push(command["value"]);
        }
        return {};
    }

    public snapshot(): Record<string, unknown> {
        return { values: [...this.values] };
    }

    public restore(state: Record<string, unknown>): void {
        this.values = [...(state["values"] as number[] | undefined) ?? []];
    }
}

interface Instance {
    readonly log: ControlLog;
    readonly reconciler: VoterReconciler;
    readonly state: ValueList;
    readonly network: MemoryNetwork;
    readonly clock: HoldableClock;
    readonly diskClock: HoldableClock;
}

/** How a deployment differs from the usual one. */
export interface ControlDeploymentOptions {
    /** Time of a write, in ms. */
    readonly syncMs?: number;
    /** Shortest time of a message, in ms. */
    readonly callMs?: number;
    readonly allowsJointChanges?: boolean;
}

/** Control instances on a simulated clock. */
export class ControlDeployment {
    public readonly clock = new ManualClock(1000);
    public readonly instances = new Map<string, Instance>();
    public readonly acknowledged: number[] = [];
    public readonly random: SeededRandom;
    /** Entries that were overwritten after an instance had applied them, and terms with two leaders. */
    private readonly faults: string[] = [];
    private readonly ids: string[];
    private readonly options: ControlDeploymentOptions;
    private readonly events: string[] = [];
    private readonly disks = new Map<string, MemoryLogStore>();
    private readonly hub: MemoryHub;
    private readonly cutOff = new Set<string>();
    private readonly silentSince = new Map<string, number>();
    private readonly leaders = new Map<number, string>();
    private readonly applied = new Map<number, string>();
    private readonly snapshotAfterEntries: number;
    private nextValue = 0;
    private isProposing = false;

    public constructor(
        ids: readonly string[],
        seed: number,
        snapshotAfterEntries: number,
        options: ControlDeploymentOptions = {},
    ) {
        this.ids = [...ids];
        this.options = options;
        this.random = new SeededRandom(seed);
        this.snapshotAfterEntries = snapshotAfterEntries;
        this.hub = new MemoryHub(
            this.clock,
            (from, to) =>
                from !== to && (this.cutOff.has(from) || this.cutOff.has(to))
                    ? undefined
                    : (options.callMs ?? MIN_CALL_MS) + this.random.next() * CALL_JITTER_MS,
        );
        ids.forEach(id => this.start(id, true));
    }

    public start(id: string, isFirstStart = false): void {
        if (this.instances.has(id)) {
            return;
        }
        if (!this.ids.includes(id)) {
            this.ids.push(id);
        }
        const clock = new HoldableClock(this.clock);
        const diskClock = new HoldableClock(clock);
        const disk = this.disks.get(id) ?? new MemoryLogStore(this.clock, this.options.syncMs ?? SYNC_MS);
        this.disks.set(id, disk);
        const network = this.hub.join(id, this.ids, clock);
        const state = new ValueList((index, command) => this.recordApplied(index, command));
        const allowsJointChanges = (): boolean => this.options.allowsJointChanges === true;
        const log = new ControlLog({
            clock,
            network,
            store: disk.open(diskClock),
            stateMachine: state,
            initialVoters: isFirstStart ? FIRST_VOTERS : [],
            isFirstStart,
            snapshotAfterEntries: this.snapshotAfterEntries,
            recoversStorage: true,
            hasShortFirstTimeout: true,
            allowsJointChanges,
            random: this.random.next,
        });
        const reconciler = new VoterReconciler({
            clock,
            isLeader: () => log.status.role === "leader",
            voters: () => log.status.voters,
            reachability: () => ({ self: id, ...this.reachability() }),
            allowsJointChanges,
            prepare: instances => log.prepareVoters(instances),
            propose: command => log.propose(command),
            onChange: (from, to) => this.note(id, `the voters change from ${from} to ${to}`),
            onFailure: () => undefined,
        });
        log.onEvent(event => this.note(id, describe(event)));
        log.onRoleChanged(({ role, term }) => {
            this.note(id, `${role} in term ${term}`);
            if (role === "leader") {
                this.recordLeader(term, id);
            }
        });
        this.instances.set(id, { log, reconciler, state, network, clock, diskClock });
        this.silentSince.delete(id);
        void log.start();
    }

    public kill(id: string): void {
        const instance = this.instances.get(id);
        if (instance !== undefined) {
            this.note(id, "ends");
            this.hub.remove(instance.network);
            instance.reconciler.dispose();
            instance.log.dispose();
            this.instances.delete(id);
            this.silentSince.set(id, this.clock.monotonic());
        }
    }

    public loseDisk(id: string): void {
        this.kill(id);
        this.disks.get(id)?.wipe();
    }

    public freeze(id: string, ms: number): void {
        this.instances.get(id)?.clock.hold(ms);
    }

    public stallDisk(id: string, ms: number): void {
        this.instances.get(id)?.diskClock.hold(ms);
    }

    public cut(id: string): void {
        this.cutOff.add(id);
        this.silentSince.set(id, this.clock.monotonic());
    }

    public heal(id: string): void {
        this.cutOff.delete(id);
        this.silentSince.delete(id);
    }

    public advance(ms: number): Promise<void> {
        return this.clock.advanceSettled(ms, settle);
    }

    /** Proposes a value at a random interval until `pause`. */
    public proposeAllTheTime(): void {
        this.isProposing = true;
        const next = (): void => {
            if (this.isProposing) {
                this.propose();
                this.clock.schedule(10 + this.random.next() * 40, next);
            }
        };
        next();
    }

    public pause(): void {
        this.isProposing = false;
    }

    /** Proposes one value at every instance that considers itself the leader. */
    public propose(): void {
        for (const { log } of this.instances.values()) {
            if (log.status.role === "leader") {
                const value = ++this.nextValue;
                log.propose({ kind: "test", value }).then(() => this.acknowledged.push(value), () => undefined);
            }
        }
    }

    /** Advances until a newly proposed value is acknowledged. */
    public async untilAccepted(limitMs = RECOVERY_MS): Promise<void> {
        const startedAt = this.clock.monotonic();
        const count = this.acknowledged.length;
        while (this.acknowledged.length === count) {
            assert.ok(this.clock.monotonic() - startedAt <= limitMs, `no change accepted; ${this.describe()}`);
            this.propose();
            await this.advance(100);
        }
    }

    public leader(): string | undefined {
        return [...this.instances].find(([, { log }]) => log.status.role === "leader")?.[0];
    }

    /** Throws when an acknowledged value is missing at a voter, or two voters have applied different commands. */
    public assertNothingLost(): void {
        assert.deepEqual(this.faults, []);
        const voters = this.votersOf(this.leader() ?? "");
        for (const [id, { state }] of this.instances) {
            const known = new Set(state.values);
            const missing = voters.includes(id) ? this.acknowledged.filter(value => !known.has(value)) : [];
            assert.deepEqual(missing, [], `acknowledged values are missing at ${id}; ${this.describe()}`);
        }
    }

    public lastIndexOf(id: string): number {
        return this.instances.get(id)?.log.status.lastIndex ?? 0;
    }

    public termOf(id: string): number {
        return this.instances.get(id)?.log.status.term ?? 0;
    }

    public votersOf(id: string): readonly string[] {
        return this.instances.get(id)?.log.status.voters ?? [];
    }

    public stop(): void {
        this.ids.forEach(id => this.kill(id));
    }

    /** The state of all instances and the latest events. */
    public describe(): string {
        const statuses = [...this.instances].map(([id, { log }]) => `${id}: ${JSON.stringify(log.status)}`);
        return [...statuses, ...this.events.slice(-SHOWN_EVENTS)].join("\n");
    }

    /** Records something that a failure of the test shows. */
    public note(id: string, text: string): void {
        this.events.push(`${Math.round(this.clock.monotonic())} ${id}: ${text}`);
    }

    private reachability(): { reachable: string[]; lost: string[]; suspected: string[]; } {
        const now = this.clock.monotonic();
        const silent = (ms: number): string[] =>
            [...this.silentSince].filter(([, since]) => now - since > ms).map(([id]) => id);
        const reachable = this.ids.filter(id => !this.silentSince.has(id));
        return { reachable, lost: silent(LOST_AFTER_MS), suspected: silent(SUSPECTED_AFTER_MS) };
    }

    private recordLeader(term: number, id: string): void {
        const known = this.leaders.get(term) ?? id;
        this.leaders.set(term, known);
        if (known !== id) {
            this.faults.push(`term ${term} has two leaders, ${known} and ${id}`);
        }
    }

    private recordApplied(index: number, command: Command): void {
        const text = JSON.stringify(command);
        const known = this.applied.get(index) ?? text;
        this.applied.set(index, known);
        if (known !== text) {
            this.faults.push(`entry ${index} was ${known} and is overwritten with ${text}`);
        }
    }
}

const describe = ({ kind, ...fields }: ControlEvent): string => `${kind} ${JSON.stringify(fields)}`;
