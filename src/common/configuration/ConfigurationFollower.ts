/**
 * Keeps an instance on the newest configuration. It asks two sources, control instances first and any other
 * instance when none can be reached; a revision never goes back. The age of the newest proof of the control
 * majority travels along, so that an instance knows when it is cut off.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerReply } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { rendezvous } from "../routing/Hash.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Configuration, configurationSchema, emptyConfiguration } from "./Configuration.ts";
import { RoutingTable } from "./RoutingTable.ts";

/** How often sources are asked, in ms. */
export const FETCH_PERIOD_MS = 400;
/** Time in which a source must answer, in ms. */
const FETCH_TIMEOUT_MS = 1000;
/** Sources that are asked each time. */
const SOURCES_PER_FETCH = 2;
/** Without proof of the control majority for this long an instance holds itself to be cut off, in ms. */
export const QUORUM_CONTACT_TIMEOUT_MS = 3000;

/** Control state of this very instance, when it has the role. */
export interface LocalControl {
    readonly configuration: Configuration;
    readonly confirmationAgeMs: number;
}

/** The configuration in force on one instance. */
export class ConfigurationFollower extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly localControl: LocalControl | undefined;
    private readonly changed = this.register(new Emitter<RoutingTable>());
    private readonly quorumContactChanged = this.register(new Emitter<boolean>());
    private current: Configuration = emptyConfiguration;
    private currentTable = new RoutingTable(emptyConfiguration);
    private confirmedAt = -Infinity;
    private hadQuorumContact = false;

    /** A newer configuration came into force here. */
    public readonly onChanged = this.changed.event;
    /** This instance came into contact with the control majority, or lost it. */
    public readonly onQuorumContactChanged = this.quorumContactChanged.event;

    public constructor(clock: Clock, network: PeerNetwork, membership: Membership, local: LocalControl | undefined) {
        super();
        this.clock = clock;
        this.network = network;
        this.membership = membership;
        this.localControl = local;
        this.register(network.handle("fetchConfiguration", req => this.onFetchConfiguration(req.revision)));
        this.register(repeat(clock, FETCH_PERIOD_MS, () => void this.refresh()));
    }

    public get configuration(): Configuration {
        return this.current;
    }

    public get table(): RoutingTable {
        return this.currentTable;
    }

    /** Age of the newest proof that the control majority held this configuration, in ms. */
    public get confirmationAgeMs(): number {
        return Math.min(this.localControl?.confirmationAgeMs ?? Infinity, this.clock.monotonic() - this.confirmedAt);
    }

    /** False when a change may be in force elsewhere that this instance cannot know of. */
    public get hasQuorumContact(): boolean {
        return this.confirmationAgeMs <= QUORUM_CONTACT_TIMEOUT_MS;
    }

    /** Takes a configuration when it is newer than the one in force. */
    public applyIfNewer(configuration: Configuration): void {
        if (configuration.revision <= this.current.revision) {
            return;
        }
        this.current = configuration;
        this.currentTable = new RoutingTable(configuration);
        this.membership.setRevision(configuration.revision);
        this.changed.fire(this.currentTable);
    }

    /** Takes the state of the own control log, once that is known to hold all that was committed. */
    public applyLocal(): void {
        if (this.localControl !== undefined && this.localControl.confirmationAgeMs <= QUORUM_CONTACT_TIMEOUT_MS) {
            this.applyIfNewer(this.localControl.configuration);
        }
    }

    /** Asks the sources once. */
    public async refresh(): Promise<void> {
        this.applyLocal();
        if (this.localControl === undefined || this.localControl.confirmationAgeMs > QUORUM_CONTACT_TIMEOUT_MS) {
            const answers = await Promise.all(this.controlSources().map(source => this.fetch(source)));
            // Without an answer from any control instance the others are asked, one of which may know more.
            if (answers.every(isAnswered => !isAnswered)) {
                await Promise.all(this.fallbackSources().map(source => this.fetch(source)));
            }
        }
        this.updateQuorumContact();
    }

    private controlSources(): string[] {
        const controllers = this.membership.alive().filter(member => member.roles.includes("control"));
        return this.selectSources(controllers.map(member => member.id));
    }

    private fallbackSources(): string[] {
        const known = this.membership.alive().map(member => member.id);
        return this.selectSources(known.length > 1 ? known : this.network.configuredPeers);
    }

    private selectSources(ids: readonly string[]): string[] {
        const others = ids.filter(id => id !== this.network.self);
        // The choice moves on with time, so that two silent sources are not asked for ever.
        const turn = Math.floor(this.clock.monotonic() / QUORUM_CONTACT_TIMEOUT_MS);
        return rendezvous(`${this.network.self} ${turn}`, others, id => id, SOURCES_PER_FETCH);
    }

    private async fetch(source: string): Promise<boolean> {
        const askedAt = this.clock.monotonic();
        try {
            const req = { revision: this.current.revision };
            const reply = await this.network.call(source, "fetchConfiguration", req, FETCH_TIMEOUT_MS);
            this.applyReply(reply, askedAt);
            return true;
        }
        catch {
            return false;
        }
    }

    private applyReply(reply: PeerReply<"fetchConfiguration">, askedAt: number): void {
        if (reply.configuration !== undefined) {
            const result = configurationSchema.safeParse(reply.configuration);
            if (result.success) {
                this.applyIfNewer(result.data);
            }
        }
        if (this.current.revision >= reply.revision) {
            this.confirmedAt = Math.max(this.confirmedAt, askedAt - reply.contactAgeMs);
        }
    }

    private onFetchConfiguration(revision: number): PeerReply<"fetchConfiguration"> {
        const { current } = this;
        const contactAgeMs = Math.min(this.confirmationAgeMs, NEVER_CONFIRMED_MS);
        if (current.revision <= revision) {
            return { revision: current.revision, contactAgeMs };
        }
        // Only control instances need the history; for the others it would be most of the bytes.
        return {
            revision: current.revision,
            contactAgeMs,
            configuration: { ...current, history: current.history.slice(-1) },
        };
    }

    private updateQuorumContact(): void {
        if (this.hasQuorumContact !== this.hadQuorumContact) {
            this.hadQuorumContact = this.hasQuorumContact;
            this.quorumContactChanged.fire(this.hadQuorumContact);
        }
    }
}

/** Age that stands for "never", in ms. */
const NEVER_CONFIRMED_MS = 1e12;
