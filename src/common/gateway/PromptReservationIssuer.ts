/**
 * Issues reservations of engine memory for prompts that exceed the divided part of an instance (`PromptReservations`).
 * It addresses long prompts of many instances, which together would exceed the memory of an engine or queue there
 * behind each other. For each engine, all entry instances ask the same issuer.
 *
 * An issuer that has been chosen recently doesn't know what its predecessor has lent. Until every reservation of the
 * predecessor has ended, its own grants stay within a part of the memory that is kept free for this.
 */
import { type Disposable, DisposableOwner, toDisposable } from "../lifecycle/Disposable.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { IssuerChoices } from "./IssuerChoices.ts";

/**
 * Parts of an engine's memory. They add up to less than 1: what all instances use without asking, what a settled issuer
 * lends, what a new issuer lends beside its predecessor, and what a deputy uses while it can't reach the issuer.
 */
export const MEMORY_PARTS = { divided: 0.45, lent: 0.36, newIssuer: 0.125, withoutIssuer: 0.04 } as const;

/** How often the roster is checked, in ms. An instance that leaves or joins changes it for at least 4 s. */
const ROSTER_PERIOD_MS = 1000;
/** How long a release is kept whose reservation has not arrived, in ms; calls are given up after 150 ms. */
const EARLY_RELEASE_MS = 3000;

/** Dependencies of the issuer. */
export interface PromptReservationIssuerDependencies {
    readonly clock: Clock;
    /** Id of this instance among `entries`. */
    readonly self: string;
    /** Ids of the entry instances, this one included; empty while they may not know each other, or without a lease. */
    readonly entries: () => readonly string[];
    /** Longest time to live of any reservation, in ms. */
    readonly longestTtlMs: () => number;
}

interface IssuedReservation {
    readonly tokens: number;
    unreadTokens: number;
    readonly expiresAt: number;
    /** Monotonic time at which this issuer granted it, in ms; undefined if it was registered by its holder. */
    readonly grantedAt: number | undefined;
}

interface Roster {
    readonly members: readonly string[];
    /** Monotonic time since which it is in force, in ms. */
    readonly since: number;
}

interface IssuerPeriod {
    readonly roster: Roster;
    /** Monotonic time since which this instance is the issuer, in ms; undefined if it is not. */
    readonly since: number | undefined;
}

const noMembers: readonly string[] = [];

/** Reservations that this instance has issued, by upstream process. */
export class PromptReservationIssuer extends DisposableOwner {
    private readonly deps: PromptReservationIssuerDependencies;
    private readonly epoch: string;
    private readonly issued = new Map<string, Map<string, IssuedReservation>>();
    private readonly choices = new IssuerChoices();
    private readonly periods = new Map<string, IssuerPeriod>();
    /** The newest rosters, oldest first, as far back as the longest time to live. */
    private readonly rosters: Roster[] = [];
    /** Monotonic time until which a release that came before its reservation is kept, in ms, by request. */
    private readonly earlyReleases = new Map<string, number>();

    public constructor(deps: PromptReservationIssuerDependencies) {
        super();
        this.deps = deps;
        this.epoch = `${deps.self} ${deps.clock.now()}`;
        this.updateRoster();
        this.register(repeat(deps.clock, ROSTER_PERIOD_MS, () => {
            this.updateRoster();
            this.evict();
        }));
    }

    /** Answers the calls of other instances. */
    public serve(network: PeerNetwork): Disposable {
        const handlers = [
            network.handle("reservePrompt", req => this.reserve(req)),
            network.handle("releasePrompt", req => this.release(req)),
        ];
        return toDisposable(() => handlers.forEach(handler => handler.dispose()));
    }

    /** Grants a reservation if the engine has room for it. A reservation that its holder registers is always kept. */
    public reserve(req: PeerRequest<"reservePrompt">): PeerReply<"reservePrompt"> {
        const now = this.deps.clock.monotonic();
        const since = this.issuerSince(req.upstream);
        const reservations = this.reservationsOf(req.upstream);
        const isReleased = this.earlyReleases.has(req.request);
        const isGranted = !isReleased
            && (req.isHeld || (since !== undefined && this.hasRoom(req, [...reservations.values()], since)));
        if (isGranted) {
            reservations.set(req.request, {
                tokens: req.tokens,
                unreadTokens: req.unreadTokens,
                expiresAt: now + req.ttlMs,
                grantedAt: req.isHeld ? undefined : now,
            });
        }
        const all = [...reservations.values()];
        return { isGranted, heldTokens: sumTokens(all), unreadTokens: sumUnreadTokens(all), epoch: this.epoch };
    }

    /** Ends a reservation, or only its unread part. */
    public release({ upstream, request, isRead }: PeerRequest<"releasePrompt">): PeerReply<"releasePrompt"> {
        const reservations = this.issued.get(upstream);
        const reservation = reservations?.get(request);
        if (isRead) {
            if (reservation !== undefined) {
                reservation.unreadTokens = 0;
            }
        }
        else if (reservations?.delete(request) !== true) {
            this.earlyReleases.set(request, this.deps.clock.monotonic() + EARLY_RELEASE_MS);
        }
        return { epoch: this.epoch };
    }

    /** Tokens of all reservations for an upstream process. */
    public heldTokens(upstream: string): number {
        return sumTokens([...this.reservationsOf(upstream).values()]);
    }

    private hasRoom(
        { tokens, unreadTokens, memoryTokens, maxUnreadTokens }: PeerRequest<"reservePrompt">,
        reservations: readonly IssuedReservation[],
        since: number,
    ): boolean {
        if (sumTokens(reservations) + tokens > memoryTokens * MEMORY_PARTS.lent) {
            return false;
        }
        const isNewIssuer = this.deps.clock.monotonic() - since < this.deps.longestTtlMs();
        const granted = reservations.filter(({ grantedAt }) => grantedAt !== undefined && grantedAt >= since);
        if (isNewIssuer && sumTokens(granted) + tokens > memoryTokens * MEMORY_PARTS.newIssuer) {
            return false;
        }
        // One prompt is always admitted, or the longest ones would never be.
        const unread = sumUnreadTokens(reservations);
        return unread === 0 || unread + unreadTokens <= maxUnreadTokens;
    }

    /** The reservations for an upstream process that have not expired. */
    private reservationsOf(upstream: string): Map<string, IssuedReservation> {
        const now = this.deps.clock.monotonic();
        const reservations = this.issued.get(upstream) ?? new Map<string, IssuedReservation>();
        this.issued.set(upstream, reservations);
        for (const [request, { expiresAt }] of reservations) {
            if (expiresAt <= now) {
                reservations.delete(request);
            }
        }
        return reservations;
    }

    /** Monotonic time since which this instance is the issuer by its own roster, in ms; undefined if it is not. */
    private issuerSince(upstream: string): number | undefined {
        const roster = this.updateRoster();
        const known = this.periods.get(upstream);
        if (known?.roster === roster) {
            return known.since;
        }
        const since = this.findIssuerSince(upstream);
        this.periods.set(upstream, { roster, since });
        return since;
    }

    private findIssuerSince(upstream: string): number | undefined {
        let found: number | undefined;
        for (const { members, since } of this.rosters.toReversed()) {
            if (this.choices.choose(upstream, members).issuer !== this.deps.self) {
                break;
            }
            found = since;
        }
        return found;
    }

    private updateRoster(): Roster {
        const now = this.deps.clock.monotonic();
        const listed = this.deps.entries();
        const members = listed.length === 0 ? noMembers : listed;
        const newest = this.rosters.at(-1);
        if (newest?.members === members) {
            return newest;
        }
        const roster = { members, since: now };
        this.rosters.push(roster);
        while ((this.rosters[1]?.since ?? Infinity) <= now - this.deps.longestTtlMs()) {
            this.rosters.shift();
        }
        return roster;
    }

    private evict(): void {
        const now = this.deps.clock.monotonic();
        for (const upstream of this.issued.keys()) {
            if (this.reservationsOf(upstream).size === 0) {
                this.issued.delete(upstream);
                this.periods.delete(upstream);
                this.choices.forget(upstream);
            }
        }
        for (const [request, until] of this.earlyReleases) {
            if (until <= now) {
                this.earlyReleases.delete(request);
            }
        }
    }
}

const sumTokens = (reservations: readonly IssuedReservation[]): number =>
    reservations.reduce((sum, { tokens }) => sum + tokens, 0);

const sumUnreadTokens = (reservations: readonly IssuedReservation[]): number =>
    reservations.reduce((sum, { unreadTokens }) => sum + unreadTokens, 0);
