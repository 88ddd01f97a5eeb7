/**
 * Replicates the pins of sessions that began on this instance to the other instances of the region, in batches. An
 * instance that is cut off later then still knows the version of every session that began before.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type SessionDirectory } from "./SessionDirectory.ts";
import { type Pin, type SessionPins } from "./SessionPins.ts";

/** Period at which new pins are sent, in ms. */
const REPLICATION_PERIOD_MS = 250;
/** Maximum number of pins in one message. */
const MAX_BATCH = 1000;
const CALL_TIMEOUT_MS = 500;
/** Maximum number of pins queued for a peer; the oldest are dropped first. */
const MAX_BACKLOG = 20_000;

/** Replicates pins to the instances of the region. */
export class PinReplicator extends DisposableOwner {
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly pins: SessionPins;
    /** Pins that are still to be sent to each peer. */
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

    /** Copies the pins of one peer, so that an instance that has just started knows the active sessions. */
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

    /** Merges pins and returns, for those that lost a conflict, the pins that apply instead. */
    private receive(pins: readonly Pin[]): Pin[] {
        return pins.map(pin => this.pins.merge(pin)).filter((merged, index) => merged.version !== pins[index]?.version);
    }

    private add(pin: Pin): void {
        const { self } = this.membership;
        for (const member of this.membership.all()) {
            const isRecipient = member.id !== self.id && member.region === self.region && member.state !== "left";
            if (!isRecipient || !member.roles.includes("entry")) {
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

    /** Sends pins to a peer. If it does not confirm them they are sent again later, also after a partition. */
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
