/**
 * Tells the other instances of the region which sessions began here, in batches. An instance that is cut off
 * later then still knows the version of every session that began before.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type SessionDirectory } from "./SessionDirectory.ts";
import { type Pin, type SessionPins } from "./SessionPins.ts";

/** How often new pins are told, in ms. */
const REPLICATION_PERIOD_MS = 250;
/** Most pins in one message. */
const MAX_BATCH = 1000;
const CALL_TIMEOUT_MS = 500;
/** Times that pins are kept for a peer that did not answer. */
const MAX_BACKLOG = 20_000;

/** Spreads pins over the region. */
export class PinReplicator extends DisposableOwner {
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly pins: SessionPins;
    /** Pins that each peer has not confirmed. */
    private readonly backlogs = new Map<string, Pin[]>();

    public constructor(
        clock: Clock,
        network: PeerNetwork,
        membership: Membership,
        pins: SessionPins,
        sessions: SessionDirectory,
    ) {
        super();
        this.pins = pins;
        this.network = network;
        this.membership = membership;
        this.register(network.handle("spreadPins", req => ({ pins: this.receive(req.pins) })));
        this.register(network.handle("fetchPins", req => this.page(req.offset)));
        this.register(sessions.onPinned(pin => this.add(pin)));
        this.register(repeat(clock, REPLICATION_PERIOD_MS, () => this.sendBacklogs()));
    }

    /** Learns the pins of a peer, so that an instance which has just started knows the sessions under way. */
    public async catchUp(): Promise<void> {
        for (const member of this.membership.alive()) {
            if (member.id !== this.network.self && await this.copyFrom(member.id)) {
                return;
            }
        }
    }

    private async copyFrom(peer: string): Promise<boolean> {
        try {
            for (let offset = 0;; offset += MAX_BATCH) {
                const reply = await this.network.call(peer, "fetchPins", { offset }, CALL_TIMEOUT_MS);
                this.receive(reply.pins);
                if (reply.isLast) {
                    return true;
                }
            }
        }
        catch {
            return false;
        }
    }

    private page(offset: number): { pins: Pin[]; isLast: boolean; } {
        const pins = this.pins.page(offset, MAX_BATCH);
        return { pins, isLast: pins.length < MAX_BATCH };
    }

    /** Takes pins and returns those that hold here instead. */
    private receive(pins: readonly Pin[]): Pin[] {
        return pins.map(pin => this.pins.merge(pin)).filter((held, index) => held.version !== pins[index]?.version);
    }

    private add(pin: Pin): void {
        const { self } = this.membership;
        for (const member of this.membership.all()) {
            const isTold = member.id !== self.id && member.region === self.region && member.state !== "left";
            if (!isTold || !member.roles.includes("entry")) {
                continue;
            }
            const backlog = this.backlogs.get(member.id) ?? [];
            backlog.push(pin);
            this.backlogs.set(member.id, backlog.slice(-MAX_BACKLOG));
        }
    }

    private sendBacklogs(): void {
        for (const [peer, backlog] of this.backlogs) {
            const state = this.membership.get(peer)?.state;
            if (state === undefined || state === "left") {
                this.backlogs.delete(peer);
            }
            else if (backlog.length > 0 && state !== "dead") {
                void this.sendPins(peer, backlog.splice(0, MAX_BATCH));
            }
        }
    }

    /** Pins that a peer did not confirm are told again, also after a partition. */
    private async sendPins(peer: string, pins: Pin[]): Promise<void> {
        try {
            const reply = await this.network.call(peer, "spreadPins", { pins }, CALL_TIMEOUT_MS);
            this.receive(reply.pins);
        }
        catch {
            this.backlogs.get(peer)?.unshift(...pins);
        }
    }
}
