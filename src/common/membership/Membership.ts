/**
 * Which instances are there. Each instance probes one other at a time; one that does not answer is only
 * suspected when nobody asked for a second opinion reaches it either, and has time to refute that. News
 * travels with the probes, so the bytes a second do not grow with the number of instances.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Member, type MemberState, supersedes } from "./Member.ts";

/** Time between two probes of an instance, in ms. */
export const PROBE_PERIOD_MS = 400;
/** Time in which a probe must be answered, in ms. */
const PROBE_TIMEOUT_MS = 300;
/** Instances that are asked for a second opinion. */
const INDIRECT_PROBES = 3;
/** Time in which a suspected instance can refute, in ms. */
const SUSPICION_TIMEOUT_MS = 1500;
/** How long a dead or departed instance is remembered, in ms. */
const DEAD_RETENTION_MS = 600_000;
/** Most records that travel with one probe beside the sender's own. */
const MAX_UPDATES_PER_PROBE = 12;
/** A record is told this often for each doubling of the number of instances, which reaches all of them. */
const RETRANSMIT_FACTOR = 4;
/** Every so many probes, one goes to an instance that is thought dead or was never met. */
const PROBES_PER_RECONNECT = 3;
/** Without a word from anybody for this long, an instance holds itself to be isolated, in ms. */
export const ISOLATION_TIMEOUT_MS = 1500;

/** Something that drew this instance's attention to another. */
export interface MemberChange {
    readonly member: Member;
    readonly previous: MemberState | undefined;
}

interface MemberEntry {
    member: Member;
    /** Monotonic time of the last change of state, in ms. */
    changedAt: number;
    /** Probes that have carried the newest record. */
    transmissions: number;
}

/** The membership as this instance sees it. */
export class Membership extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly random: () => number;
    private readonly members = new Map<string, MemberEntry>();
    private readonly changed = this.register(new Emitter<MemberChange>());
    private own: Member;
    private probeCount = 0;
    private probeOrder: string[] = [];
    private lastReceivedAt: number;

    /** An instance was met, changed its state, or started again. */
    public readonly onChanged = this.changed.event;

    public constructor(clock: Clock, network: PeerNetwork, own: Member, random: () => number) {
        super();
        this.clock = clock;
        this.network = network;
        this.own = own;
        this.random = random;
        this.lastReceivedAt = clock.monotonic();
        this.register(network.handle("ping", (req, from) => this.onPing(req.members, from)));
        this.register(network.handle("pingOther", async req => ({ isReachable: await this.isReachable(req.target) })));
        this.register(repeat(clock, PROBE_PERIOD_MS, () => {
            void this.probe(this.nextTarget());
            // Whether the own failure domain is cut off or only this instance is known by its neighbours.
            void this.probe(this.nextDomainTarget());
        }));
    }

    public get self(): Member {
        return this.own;
    }

    /** True when other instances were met but none has been heard of for a while. */
    public get isIsolated(): boolean {
        return this.members.size > 0 && this.clock.monotonic() - this.lastReceivedAt > ISOLATION_TIMEOUT_MS;
    }

    /** All instances that are not known to be gone, this one included. A suspected one still counts. */
    public alive(): Member[] {
        const others = [...this.members.values()].map(known => known.member);
        return [this.own, ...others.filter(member => member.state === "alive" || member.state === "suspect")];
    }

    /** The other entry instances of this region that are not known to be gone; soft state is shared with them. */
    public otherEntryInstances(): Member[] {
        return this.alive().filter(member =>
            member.id !== this.own.id && member.region === this.own.region && member.roles.includes("entry")
        );
    }

    /** Every instance that was met, this one included. */
    public all(): Member[] {
        return [this.own, ...[...this.members.values()].map(known => known.member)];
    }

    public get(id: string): Member | undefined {
        return id === this.own.id ? this.own : this.members.get(id)?.member;
    }

    /** Publishes the revision of the configuration that is in force here. */
    public setRevision(revision: number): void {
        this.own = { ...this.own, revision, seq: this.own.seq + 1 };
    }

    /** Probes the instances of the settings at once, so that a new instance meets the others without delay. */
    public async join(): Promise<void> {
        await Promise.all(this.network.configuredPeers.map(peer => this.ping(peer)));
    }

    /** Tells the others that this instance leaves. */
    public async leave(): Promise<void> {
        this.own = { ...this.own, state: "left", seq: this.own.seq + 1 };
        const others = this.alive().filter(member => member.id !== this.own.id);
        await Promise.all(others.map(member => this.ping(member.id)));
    }

    private async probe(target: string | undefined): Promise<void> {
        this.evictGone();
        const startedAt = this.clock.monotonic();
        if (target === undefined || await this.ping(target) || this.isDisposed) {
            return;
        }
        const known = this.members.get(target);
        if (known === undefined || known.member.state !== "alive") {
            return;
        }
        const isReachable = await this.probeIndirectly(target);
        // A process that was paused missed the answers itself, so what it saw says nothing about the other.
        const wasPaused = this.clock.monotonic() - startedAt > (PROBE_TIMEOUT_MS + PROBE_PERIOD_MS) * 2;
        if (!isReachable && !wasPaused && !this.isDisposed) {
            this.suspect(known.member);
        }
    }

    private nextDomainTarget(): string | undefined {
        const neighbours = this.alive().slice(1).filter(member => member.domain === this.own.domain);
        return neighbours[Math.floor(this.random() * neighbours.length)]?.id;
    }

    private nextTarget(): string | undefined {
        this.probeCount++;
        if (this.probeCount % PROBES_PER_RECONNECT === 0) {
            const lost = this.reconnectTargets();
            if (lost.length > 0) {
                return lost[Math.floor(this.random() * lost.length)];
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
        const dead = [...this.members.values()].filter(known => known.member.state === "dead");
        const strangers = this.network.configuredPeers.filter(peer => !this.members.has(peer));
        return [...dead.map(known => known.member.id), ...strangers];
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
        const wasKnown = this.members.get(from)?.member.state === "alive";
        this.mergeAll(members);
        return { members: wasKnown ? this.updatesFor(from) : this.all() };
    }

    private mergeAll(members: readonly Member[]): void {
        this.lastReceivedAt = this.clock.monotonic();
        for (const member of members) {
            this.merge(member);
        }
    }

    private async probeIndirectly(target: string): Promise<boolean> {
        const others = this.alive().slice(1).filter(member => member.id !== target).map(member => member.id);
        const asked = shuffled(others, this.random).slice(0, INDIRECT_PROBES);
        const timeoutMs = PROBE_TIMEOUT_MS * 2;
        const opinions = await Promise.all(
            asked.map(peer =>
                this.network.call(peer, "pingOther", { target }, timeoutMs).then(
                    reply => reply.isReachable,
                    () => undefined,
                )
            ),
        );
        // With others around but none of them answering, the fault may well be on this side.
        const isUndecided = asked.length > 0 && opinions.every(opinion => opinion === undefined);
        return isUndecided ? false : opinions.includes(true);
    }

    private async isReachable(target: string): Promise<boolean> {
        try {
            await this.network.call(target, "ping", { members: [this.own] }, PROBE_TIMEOUT_MS);
            return true;
        }
        catch {
            return false;
        }
    }

    private suspect(member: Member): void {
        this.merge({ ...member, state: "suspect" });
        this.register(this.clock.schedule(SUSPICION_TIMEOUT_MS, () => {
            const now = this.members.get(member.id)?.member;
            if (now?.state === "suspect" && now.start === member.start && now.seq === member.seq) {
                this.merge({ ...now, state: "dead" });
            }
        }));
    }

    private merge(news: Member): void {
        if (news.id === this.own.id) {
            this.refute(news);
            return;
        }
        const known = this.members.get(news.id);
        if (known !== undefined && !supersedes(news, known.member)) {
            return;
        }
        const previous = known?.member;
        this.members.set(news.id, { member: news, changedAt: this.clock.monotonic(), transmissions: 0 });
        this.network.setAddress(news.id, news.address);
        if (previous?.state !== news.state || previous.start !== news.start) {
            this.changed.fire({ member: news, previous: previous?.state });
        }
        else if (previous.revision !== news.revision) {
            this.changed.fire({ member: news, previous: previous.state });
        }
    }

    private refute(news: Member): void {
        const isAboutThisStart = news.start === this.own.start && this.own.state === "alive";
        if (isAboutThisStart && news.state !== "alive" && news.seq >= this.own.seq) {
            this.own = { ...this.own, seq: news.seq + 1 };
        }
    }

    /** Own record, a suspicion of `peer`, and the least told news of others. */
    private updatesFor(peer: string): Member[] {
        const enough = RETRANSMIT_FACTOR * Math.ceil(Math.log2(this.members.size + 2));
        const others = [...this.members.values()]
            .filter(known => known.member.id !== peer && known.transmissions < enough)
            .sort((a, b) => a.transmissions - b.transmissions)
            .slice(0, MAX_UPDATES_PER_PROBE);
        for (const known of others) {
            known.transmissions++;
        }
        // An instance that is suspected must hear of it to refute it.
        const about = this.members.get(peer)?.member;
        const suspicion = about === undefined || about.state === "alive" ? [] : [about];
        return [this.own, ...suspicion, ...others.map(known => known.member)];
    }

    private evictGone(): void {
        const now = this.clock.monotonic();
        for (const [id, known] of this.members) {
            const isGone = known.member.state === "dead" || known.member.state === "left";
            if (isGone && now - known.changedAt > DEAD_RETENTION_MS) {
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
