/**
 * Determines which instance owns the slots of an upstream: one entry instance of the upstream's failure domain,
 * by rendezvous hashing over those that are alive. Where two instances could both assume ownership because they
 * cannot reach each other, each owns only half of the slots.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Member } from "../membership/Member.ts";
import { type Membership } from "../membership/Membership.ts";
import { rendezvous } from "../routing/Hash.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Upstream, type UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";

/** How often owners are determined again, because no event reports isolation, in ms. */
const REEVALUATION_PERIOD_MS = 250;

/** The owner of an upstream from the point of view of this instance. */
export interface Ownership {
    /** Undefined when no instance may grant slots. */
    readonly owner: string | undefined;
    /** Part of the upstream's limit that the owner may grant. */
    readonly fraction: OwnedFraction;
    /** Monotonic time since which owner and fraction have been unchanged, in ms. */
    readonly since: number;
}

/** All slots, or half of them rounded up or down where another instance may be granting the other half. */
export type OwnedFraction = "whole" | "halfUp" | "halfDown";

/** The part of `limit` that an owner may grant. */
export const ownedLimit = (limit: number, fraction: OwnedFraction): number => {
    switch (fraction) {
        case "whole":
            return limit;
        case "halfUp":
            return Math.ceil(limit / 2);
        case "halfDown":
            return Math.floor(limit / 2);
    }
};

/** Owners of all upstreams. */
export class OwnerTable extends DisposableOwner {
    private readonly clock: Clock;
    private readonly membership: Membership;
    private readonly registry: UpstreamRegistry;
    private readonly owners = new Map<string, Ownership>();
    private readonly changed = this.register(new Emitter<Upstream>());
    private readonly startedAt: number;

    /** Fires when the owner of an upstream, or the fraction that it owns, has changed. */
    public readonly onChanged = this.changed.event;

    public constructor(clock: Clock, membership: Membership, registry: UpstreamRegistry) {
        super();
        this.clock = clock;
        this.membership = membership;
        this.registry = registry;
        this.startedAt = clock.monotonic();
        this.register(membership.onChanged(() => this.updateAll()));
        this.register(registry.onAdded(upstream => this.update(upstream)));
        this.register(registry.onLost(loss => this.owners.delete(loss.upstream.announcement.id)));
        this.register(repeat(clock, REEVALUATION_PERIOD_MS, () => this.updateAll()));
    }

    public ownershipOf(upstream: Upstream): Ownership | undefined {
        return this.owners.get(upstream.announcement.id);
    }

    private updateAll(): void {
        for (const upstream of this.registry.all()) {
            this.update(upstream);
        }
    }

    private update(upstream: Upstream): void {
        const { id } = upstream.announcement;
        const previous = this.owners.get(id);
        const next = this.computeOwnership(upstream);
        if (previous !== undefined && previous.owner === next.owner && previous.fraction === next.fraction) {
            return;
        }
        this.owners.set(id, { ...next, since: this.sinceOf(previous) });
        this.changed.fire(upstream);
    }

    /** The first ownership counts from the start of the process: no change of owner was seen since. */
    private sinceOf(previous: Ownership | undefined): number {
        return previous === undefined ? this.startedAt : this.clock.monotonic();
    }

    private computeOwnership(upstream: Upstream): OwnerAndFraction {
        const { id, domain } = upstream.announcement;
        const { self } = this.membership;
        const locals = this.membership.all().filter(member => isEntry(member) && member.domain === domain);
        const alive = locals.filter(isAlive);
        if (this.membership.isIsolated) {
            // Other instances of the domain may be granting slots; only its sole entry instance may continue alone.
            const isSole = locals.length === 1 && locals[0]?.id === self.id;
            return { owner: isSole ? self.id : undefined, fraction: "halfDown" };
        }
        if (alive.length > 0) {
            return this.pick(id, alive, "whole");
        }
        const others = this.membership.alive().filter(member => isEntry(member));
        return this.pick(id, others, "halfUp");
    }

    private pick(upstreamId: string, members: readonly Member[], fraction: OwnedFraction): OwnerAndFraction {
        const owner = rendezvous(upstreamId, members, member => member.id, 1)[0];
        return { owner: owner?.id, fraction };
    }
}

type OwnerAndFraction = Pick<Ownership, "owner" | "fraction">;

const isEntry = (member: Member): boolean => member.roles.includes("entry") && member.state !== "left";

const isAlive = (member: Member): boolean => member.state === "alive" || member.state === "suspect";
