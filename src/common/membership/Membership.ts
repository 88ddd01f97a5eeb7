/**
 * Membership of instances by a gossip protocol like SWIM. Each instance probes one other at a time; one that does
 * not answer is suspected only if indirect probes through other instances fail too, and it has time to refute the
 * suspicion. Updates are piggybacked on probes, so the bytes that an instance sends per second do not grow with the
 * number of instances.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Member, type MemberState, supersedes } from "./Member.ts";

/** Time between two probes that an instance sends, in ms. */
export const PROBE_PERIOD_MS = 400;
/** Time limit for the reply to a probe, in ms. */
const PROBE_TIMEOUT_MS = 300;
/** Number of instances that are asked to probe a target that did not reply. */
const INDIRECT_PROBES = 3;
/** Time in which a suspected instance can refute the suspicion before it counts as dead, in ms. */
const SUSPICION_TIMEOUT_MS = 1500;
/** How long the record of an instance that is dead or has left is kept, in ms. */
const DEAD_RETENTION_MS = 600_000;
/** Maximum number of records that one probe carries besides the sender's own. */
const MAX_UPDATES_PER_PROBE = 12;
/** Times that a record is sent per doubling of the number of instances, which suffices to reach all of them. */
const RETRANSMIT_FACTOR = 4;
/** One in this many probes goes to an instance that is dead or was never reached. */
const PROBES_PER_RECONNECT = 3;
/** Time without a message from any other instance after which an instance counts as isolated, in ms. */
export const ISOLATION_TIMEOUT_MS = 1500;

/** A change in the record of another instance; `previous` is its former state, undefined for a new instance. */
export interface MemberChange {
    readonly member: Member;
    readonly previous: MemberState | undefined;
}

/** Record of another instance and its dissemination. */
interface MemberEntry {
    member: Member;
    /** Monotonic time at which the newest record arrived, in ms. */
    changedAt: number;
    /** Number of messages that have carried the newest record. */
    transmissions: number;
}

/** The membership as this instance sees it. */
export class Membership extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly random: () => number;
    private readonly members = new Map<string, MemberEntry>();
    private readonly changed = this.register(new Emitter<MemberChange>());
    private selfRecord: Member;
    private probeCount = 0;
    private probeOrder: string[] = [];
    private lastReceivedAt: number;

    /** Fires when an instance joins, restarts, or changes its state or its revision. */
    public readonly onChanged = this.changed.event;

    public constructor(clock: Clock, network: PeerNetwork, selfRecord: Member, random: () => number) {
        super();
        this.clock = clock;
        this.network = network;
        this.selfRecord = selfRecord;
        this.random = random;
        this.lastReceivedAt = clock.monotonic();
        this.register(network.handle("ping", (req, from) => this.onPing(req.members, from)));
        this.register(network.handle("pingOther", async req => ({ isReachable: await this.isReachable(req.target) })));
        this.register(repeat(clock, PROBE_PERIOD_MS, () => {
            void this.probe(this.nextTarget());
            // Probes within its own failure domain tell an instance whether the domain or only itself is cut off.
            void this.probe(this.nextDomainTarget());
        }));
    }

    public get self(): Member {
        return this.selfRecord;
    }

    /** True when other instances are known but no message from any arrived within `ISOLATION_TIMEOUT_MS`. */
    public get isIsolated(): boolean {
        return this.members.size > 0 && this.clock.monotonic() - this.lastReceivedAt > ISOLATION_TIMEOUT_MS;
    }

    /** All instances that are neither dead nor have left, this one first. Suspected instances are included. */
    public alive(): Member[] {
        const others = [...this.members.values()].map(entry => entry.member);
        return [this.selfRecord, ...others.filter(member => member.state === "alive" || member.state === "suspect")];
    }

    /** The other live entry instances of this region, suspected ones included; soft state is shared with them. */
    public otherEntryInstances(): Member[] {
        return this.alive().filter(member =>
            member.id !== this.selfRecord.id && member.region === this.selfRecord.region
            && member.roles.includes("entry")
        );
    }

    /** All known instances, dead ones too, this one first. */
    public all(): Member[] {
        return [this.selfRecord, ...[...this.members.values()].map(entry => entry.member)];
    }

    public get(id: string): Member | undefined {
        return id === this.selfRecord.id ? this.selfRecord : this.members.get(id)?.member;
    }

    /** Publishes the revision of the configuration in force here. */
    public setRevision(revision: number): void {
        this.selfRecord = { ...this.selfRecord, revision, seq: this.selfRecord.seq + 1 };
    }

    /** Probes the instances listed in the settings immediately, so that a new instance joins without delay. */
    public async join(): Promise<void> {
        await Promise.all(this.network.configuredPeers.map(peer => this.ping(peer)));
    }

    /** Tells the other instances that this one leaves. */
    public async leave(): Promise<void> {
        this.selfRecord = { ...this.selfRecord, state: "left", seq: this.selfRecord.seq + 1 };
        const others = this.alive().filter(member => member.id !== this.selfRecord.id);
        await Promise.all(others.map(member => this.ping(member.id)));
    }

    private async probe(target: string | undefined): Promise<void> {
        this.evictGone();
        const startedAt = this.clock.monotonic();
        if (target === undefined || await this.ping(target) || this.isDisposed) {
            return;
        }
        const entry = this.members.get(target);
        if (entry === undefined || entry.member.state !== "alive") {
            return;
        }
        const isReachable = await this.probeIndirectly(target);
        // A process that was paused missed the replies itself, so its timeouts are no evidence against the target.
        const wasPaused = this.clock.monotonic() - startedAt > (PROBE_TIMEOUT_MS + PROBE_PERIOD_MS) * 2;
        if (!isReachable && !wasPaused && !this.isDisposed) {
            this.markSuspect(entry.member);
        }
    }

    private nextDomainTarget(): string | undefined {
        const domainPeers = this.alive().slice(1).filter(member => member.domain === this.selfRecord.domain);
        return domainPeers[Math.floor(this.random() * domainPeers.length)]?.id;
    }

    private nextTarget(): string | undefined {
        this.probeCount++;
        if (this.probeCount % PROBES_PER_RECONNECT === 0) {
            const targets = this.reconnectTargets();
            if (targets.length > 0) {
                return targets[Math.floor(this.random() * targets.length)];
            }
        }
        while (this.probeOrder.length > 0) {
            const id = this.probeOrder.pop();
            const state = id === undefined ? undefined : this.members.get(id)?.member.state;
            if (state === "alive" || state === "suspect") {
                return id;
            }
        }
        this.probeOrder = shuffled(this.alive().slice(1).map(member => member.id), this.random);
        return this.probeOrder.pop();
    }

    private reconnectTargets(): string[] {
        const dead = [...this.members.values()].filter(entry => entry.member.state === "dead");
        const neverReached = this.network.configuredPeers.filter(peer => !this.members.has(peer));
        return [...dead.map(entry => entry.member.id), ...neverReached];
    }

    private async ping(peer: string): Promise<boolean> {
        try {
            const reply = await this.network.call(peer, "ping", { members: this.updatesFor(peer) }, PROBE_TIMEOUT_MS);
            this.mergeAll(reply.members);
            return true;
        }
        catch {
            return false;
        }
    }

    private onPing(members: readonly Member[], from: string): { members: Member[]; } {
        const wasAlive = this.members.get(from)?.member.state === "alive";
        this.mergeAll(members);
        return { members: wasAlive ? this.updatesFor(from) : this.all() };
    }

    private mergeAll(members: readonly Member[]): void {
        this.lastReceivedAt = this.clock.monotonic();
        for (const member of members) {
            this.merge(member);
        }
    }

    private async probeIndirectly(target: string): Promise<boolean> {
        const others = this.alive().slice(1).filter(member => member.id !== target).map(member => member.id);
        const helpers = shuffled(others, this.random).slice(0, INDIRECT_PROBES);
        const timeoutMs = PROBE_TIMEOUT_MS * 2;
        const results = await Promise.all(
            helpers.map(peer =>
                this.network.call(peer, "pingOther", { target }, timeoutMs).then(
                    reply => reply.isReachable,
                    () => undefined,
                )
            ),
        );
        // When no asked instance replied, the fault may be on this side; the target still counts as unreachable.
        const isInconclusive = helpers.length > 0 && results.every(result => result === undefined);
        return isInconclusive ? false : results.includes(true);
    }

    private async isReachable(target: string): Promise<boolean> {
        try {
            await this.network.call(target, "ping", { members: [this.selfRecord] }, PROBE_TIMEOUT_MS);
            return true;
        }
        catch {
            return false;
        }
    }

    private markSuspect(member: Member): void {
        this.merge({ ...member, state: "suspect" });
        this.register(this.clock.schedule(SUSPICION_TIMEOUT_MS, () => {
            const current = this.members.get(member.id)?.member;
            if (current?.state === "suspect" && current.start === member.start && current.seq === member.seq) {
                this.merge({ ...current, state: "dead" });
            }
        }));
    }

    private merge(update: Member): void {
        if (update.id === this.selfRecord.id) {
            this.refute(update);
            return;
        }
        const entry = this.members.get(update.id);
        if (entry !== undefined && !supersedes(update, entry.member)) {
            return;
        }
        const previous = entry?.member;
        this.members.set(update.id, { member: update, changedAt: this.clock.monotonic(), transmissions: 0 });
        this.network.setAddress(update.id, update.address);
        if (previous?.state !== update.state || previous.start !== update.start) {
            this.changed.fire({ member: update, previous: previous?.state });
        }
        else if (previous.revision !== update.revision) {
            this.changed.fire({ member: update, previous: previous.state });
        }
    }

    /** Raises the sequence number above that of a record that calls this instance suspect, dead or left. */
    private refute(update: Member): void {
        const isThisProcess = update.start === this.selfRecord.start && this.selfRecord.state === "alive";
        if (isThisProcess && update.state !== "alive" && update.seq >= this.selfRecord.seq) {
            this.selfRecord = { ...this.selfRecord, seq: update.seq + 1 };
        }
    }

    /** This instance's record, that of `peer` unless it is alive, and the least transmitted records of others. */
    private updatesFor(peer: string): Member[] {
        const maxTransmissions = RETRANSMIT_FACTOR * Math.ceil(Math.log2(this.members.size + 2));
        const others = [...this.members.values()]
            .filter(entry => entry.member.id !== peer && entry.transmissions < maxTransmissions)
            .sort((a, b) => a.transmissions - b.transmissions)
            .slice(0, MAX_UPDATES_PER_PROBE);
        for (const entry of others) {
            entry.transmissions++;
        }
        // A suspected instance must receive the suspicion to be able to refute it.
        const peerRecord = this.members.get(peer)?.member;
        const suspicion = peerRecord === undefined || peerRecord.state === "alive" ? [] : [peerRecord];
        return [this.selfRecord, ...suspicion, ...others.map(entry => entry.member)];
    }

    private evictGone(): void {
        const now = this.clock.monotonic();
        for (const [id, entry] of this.members) {
            const isGone = entry.member.state === "dead" || entry.member.state === "left";
            if (isGone && now - entry.changedAt > DEAD_RETENTION_MS) {
                this.members.delete(id);
            }
        }
    }
}

const shuffled = (items: readonly string[], random: () => number): string[] => {
    const result = [...items];
    for (let index = result.length - 1; index > 0; index--) {
        const other = Math.floor(random() * (index + 1));
        const item = result[index] ?? "";
        result[index] = result[other] ?? "";
        result[other] = item;
    }
    return result;
};
