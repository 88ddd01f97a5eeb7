/**
 * Keeps an instance on the newest configuration. It fetches from two control instances, or from any two instances
 * when no control instance answers; the revision never decreases. Replies carry the age of the newest quorum
 * confirmation, so that an instance can tell when it is cut off from control.
 */
import { NEVER_CONFIRMED_MS } from "../control/ControlTypes.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerReply } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { rendezvous } from "../routing/Hash.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Configuration, configurationSchema, emptyConfiguration } from "./Configuration.ts";
import { RoutingTable } from "./RoutingTable.ts";

/** How often the configuration is fetched, in ms. */
export const FETCH_PERIOD_MS = 400;
/** Time limit for the reply of a source, in ms. */
const FETCH_TIMEOUT_MS = 1000;
/** Number of sources asked in each period. */
const SOURCES_PER_FETCH = 2;
/** Age of the newest quorum confirmation above which an instance counts as cut off from control, in ms. */
export const QUORUM_CONTACT_TIMEOUT_MS = 3000;

/** Control state of this instance, when it has the control role. */
export interface LocalControl {
    readonly configuration: Configuration;
    /** Age of the newest quorum confirmation of the local control log, in ms. */
    readonly confirmationAgeMs: number;
}

/** Holds the configuration in force on this instance and keeps it up to date. */
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

    /** Fires when a newer configuration has come into force here. */
    public readonly onChanged = this.changed.event;
    /** Fires with the new value when `hasQuorumContact` has changed. */
    public readonly onQuorumContactChanged = this.quorumContactChanged.event;

    public constructor(
        clock: Clock,
        network: PeerNetwork,
        membership: Membership,
        localControl: LocalControl | undefined,
    ) {
        super();
        this.clock = clock;
        this.network = network;
        this.membership = membership;
        this.localControl = localControl;
        this.register(network.handle("fetchConfiguration", req => this.onFetchConfiguration(req.revision)));
        this.register(repeat(clock, FETCH_PERIOD_MS, () => void this.refresh()));
    }

    public get configuration(): Configuration {
        return this.current;
    }

    public get table(): RoutingTable {
        return this.currentTable;
    }

    /** Age of the newest confirmation by the control majority that this configuration is current, in ms. */
    public get confirmationAgeMs(): number {
        return Math.min(this.localControl?.confirmationAgeMs ?? Infinity, this.clock.boottime() - this.confirmedAt);
    }

    /** Whether the newest quorum confirmation is recent. If not, other instances may have a later configuration. */
    public get hasQuorumContact(): boolean {
        return this.confirmationAgeMs <= QUORUM_CONTACT_TIMEOUT_MS;
    }

    /** Puts a configuration in force if it is newer than the current one. */
    public applyIfNewer(configuration: Configuration): void {
        if (configuration.revision <= this.current.revision) {
            return;
        }
        this.current = configuration;
        this.currentTable = new RoutingTable(configuration);
        this.membership.setRevision(configuration.revision);
        this.changed.fire(this.currentTable);
    }

    /** Applies the configuration of the local control log if that recently contained all committed changes. */
    public applyLocal(): void {
        if (this.localControl !== undefined && this.localControl.confirmationAgeMs <= QUORUM_CONTACT_TIMEOUT_MS) {
            this.applyIfNewer(this.localControl.configuration);
        }
    }

    /** Fetches the configuration once. */
    public async refresh(): Promise<void> {
        this.applyLocal();
        if (this.localControl === undefined || this.localControl.confirmationAgeMs > QUORUM_CONTACT_TIMEOUT_MS) {
            const results = await Promise.all(this.controlSources().map(source => this.fetch(source)));
            // When no control instance answers, another instance may have a newer configuration.
            if (results.every(isAnswered => !isAnswered)) {
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
        const aliveIds = this.membership.alive().map(member => member.id);
        return this.selectSources(aliveIds.length > 1 ? aliveIds : this.network.configuredPeers);
    }

    private selectSources(ids: readonly string[]): string[] {
        const others = ids.filter(id => id !== this.network.self);
        // The selection changes over time, so that two sources that do not answer are not asked forever.
        const rotation = Math.floor(this.clock.monotonic() / QUORUM_CONTACT_TIMEOUT_MS);
        return rendezvous(`${this.network.self} ${rotation}`, others, id => id, SOURCES_PER_FETCH);
    }

    /** Returns whether the source replied. */
    private async fetch(source: string): Promise<boolean> {
        const sentAt = this.clock.boottime();
        try {
            const req = { revision: this.current.revision };
            const reply = await this.network.call(source, "fetchConfiguration", req, FETCH_TIMEOUT_MS);
            this.applyReply(reply, sentAt);
            return true;
        }
        catch {
            return false;
        }
    }

    private applyReply(reply: PeerReply<"fetchConfiguration">, sentAt: number): void {
        if (reply.configuration !== undefined) {
            const result = configurationSchema.safeParse(reply.configuration);
            if (result.success) {
                this.applyIfNewer(result.data);
            }
        }
        if (this.current.revision >= reply.revision) {
            this.confirmedAt = Math.max(this.confirmedAt, sentAt - reply.contactAgeMs);
        }
    }

    private onFetchConfiguration(revision: number): PeerReply<"fetchConfiguration"> {
        const { current } = this;
        const contactAgeMs = Math.min(this.confirmationAgeMs, NEVER_CONFIRMED_MS);
        if (current.revision <= revision) {
            return { revision: current.revision, contactAgeMs };
        }
        // Only control instances need the full history, which would be most of the reply's bytes.
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
