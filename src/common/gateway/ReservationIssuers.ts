/**
 * Calls to the issuers of prompt reservations: finds the issuer for an engine, leaves out one that doesn't reply, and
 * notices when an issuer has restarted.
 */
import { type PeerReply } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock } from "../time/Clock.ts";
import { IssuerChoices } from "./IssuerChoices.ts";
import { type PromptReservationIssuer } from "./PromptReservationIssuer.ts";

/** Time in which the issuer must reply, in ms. */
const CALL_TIMEOUT_MS = 150;
/** How long an issuer that has not replied is not asked, in ms. */
const ISSUER_PAUSE_MS = 2000;

/** Dependencies of the calls. */
export interface ReservationIssuersDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    /** Issues the reservations for which this instance is the issuer. */
    readonly issuer: PromptReservationIssuer;
    /** Ids of the entry instances, this one included; empty while they may not know each other, or without a lease. */
    readonly entries: () => readonly string[];
    /** Called when an issuer doesn't reply, and not again until it has replied. */
    readonly onIssuerLost: (issuer: string, reason: string) => void;
}

/** A reservation that an issuer grants or that is registered there. */
export interface LentReservation {
    readonly upstream: string;
    /** Identifies the attempt for which it is made. */
    readonly request: string;
    readonly tokens: number;
    readonly unreadTokens: number;
    readonly memoryTokens: number;
    /** Monotonic time at which it ends by itself, in ms. */
    readonly expiresAt: number;
}

/** A process of an issuer; it doesn't have the reservations of another one. */
export interface IssuerProcess {
    readonly issuer: string;
    readonly epoch: string;
}

/** Reply of an issuer to a reservation. */
export type ReservationReply = PeerReply<"reservePrompt">;

/** The issuers as one instance sees them. */
export class ReservationIssuers {
    private readonly deps: ReservationIssuersDependencies;
    private readonly choices = new IssuerChoices();
    private readonly lostUntil = new Map<string, number>();
    /** The newest process of each issuer. */
    private readonly epochs = new Map<string, string>();

    public constructor(deps: ReservationIssuersDependencies) {
        this.deps = deps;
    }

    /**
     * The issuer for an upstream process among the members; undefined if it is not known or has not replied lately. An
     * issuer grants only by its own roster, so it does no harm to ask another one.
     */
    public find(upstream: string, members = this.deps.entries()): string | undefined {
        const { issuer } = this.choices.choose(upstream, members);
        const lostUntil = issuer === undefined ? Infinity : this.lostUntil.get(issuer) ?? -Infinity;
        return this.deps.clock.monotonic() < lostUntil ? undefined : issuer;
    }

    /** Whether this instance is the one that may use an engine whose issuer is lost. */
    public isDeputyFor(upstream: string): boolean {
        return this.choices.choose(upstream, this.deps.entries()).deputy === this.deps.network.self;
    }

    /** Whether no later process of the issuer is known. */
    public isCurrent({ issuer, epoch }: IssuerProcess): boolean {
        return (this.epochs.get(issuer) ?? epoch) === epoch;
    }

    /** Resolves with undefined if the issuer doesn't reply. `isHeld` registers a reservation that exists already. */
    public async reserve(
        issuer: string,
        { upstream, request, tokens, unreadTokens, memoryTokens, expiresAt }: LentReservation,
        maxUnreadTokens: number,
        isHeld: boolean,
    ): Promise<ReservationReply | undefined> {
        const { clock, network, issuer: own } = this.deps;
        const ttlMs = Math.max(0, expiresAt - clock.monotonic());
        const req = { upstream, request, tokens, unreadTokens, ttlMs, memoryTokens, maxUnreadTokens, isHeld };
        if (issuer === network.self) {
            return own.reserve(req);
        }
        return this.call(issuer, () => network.call(issuer, "reservePrompt", req, CALL_TIMEOUT_MS));
    }

    /** Releases a reservation, or only its unread part. */
    public async release(issuer: string, { upstream, request }: LentReservation, isRead: boolean): Promise<void> {
        const { network, issuer: own } = this.deps;
        const req = { upstream, request, isRead };
        if (issuer === network.self) {
            own.release(req);
            return;
        }
        await this.call(issuer, () => network.call(issuer, "releasePrompt", req, CALL_TIMEOUT_MS));
    }

    /** Discards what is kept about an upstream process that is gone. */
    public forget(upstream: string): void {
        this.choices.forget(upstream);
    }

    /** Resolves with undefined if the issuer doesn't reply, which leaves it out for a while. */
    private async call<T extends { readonly epoch: string; }>(
        issuer: string,
        send: () => Promise<T>,
    ): Promise<T | undefined> {
        const { clock, network, onIssuerLost } = this.deps;
        try {
            network.setAddress(issuer, issuer);
            const reply = await send();
            this.lostUntil.delete(issuer);
            this.epochs.set(issuer, reply.epoch);
            return reply;
        }
        catch (err) {
            if (!this.lostUntil.has(issuer)) {
                onIssuerLost(issuer, (err as Error).message);
            }
            this.lostUntil.set(issuer, clock.monotonic() + ISSUER_PAUSE_MS);
            return undefined;
        }
    }
}
