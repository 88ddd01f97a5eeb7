/**
 * Permits of this instance to send requests to upstreams that limit them. Rendezvous hashing chooses the entry instance
 * that issues the permits for an upstream. While that one is unknown or doesn't reply, a small fixed share of the limit
 * is used, which is safe whatever the other instances do.
 */
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { hashFraction, rendezvous } from "../routing/Hash.ts";
import { type Clock } from "../time/Clock.ts";
import { type RatePermitIssuer, type RatePermitReply, type RatePermitRequest } from "./RatePermitIssuer.ts";
import { type UpstreamStatements } from "./UpstreamStatements.ts";

/** Time in which a permit must be issued, in ms. */
const ISSUE_TIMEOUT_MS = 150;
/** How long an issuer that has not replied is not asked, in ms. */
const ISSUER_PAUSE_MS = 2000;
/** Share of the limit that all instances together use without an issuer, beside those who reach it. */
const FIXED_SHARE = 0.4;
/** Shortest and longest time after which an issuer is asked again, in ms. */
const MIN_WAIT_MS = 1;
const MAX_WAIT_MS = 1000;
const MS_PER_SECOND = 1000;

/** Dependencies of the permits. */
export interface RatePermitsDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly limits: UpstreamStatements;
    /** Issues the permits for which this instance is the issuer. */
    readonly issuer: RatePermitIssuer;
    /** Ids of the entry instances, this one included; empty while they may not know each other. */
    readonly entries: () => readonly string[];
    readonly entryCount: () => number;
    /** Called when an issuer doesn't reply. */
    readonly onIssuerLost: (issuer: string, reason: string) => void;
}

/** An upstream process to which a request is to be sent. */
export interface PermitTarget {
    /** See `processName`. */
    readonly name: string;
    readonly service: string;
}

interface IssuerChoice {
    readonly members: readonly string[];
    readonly issuer: string | undefined;
}

/** Permits for the requests of one instance. */
export class RatePermits {
    private readonly deps: RatePermitsDependencies;
    private readonly choices = new Map<string, IssuerChoice>();
    /** Monotonic time before which no permit for an upstream can be had, in ms. */
    private readonly deniedUntil = new Map<string, number>();
    /** Monotonic time from which the fixed share of this instance allows the next request to an upstream, in ms. */
    private readonly fixedShareAt = new Map<string, number>();
    /** Refusals in one second that the upstreams of a service bear, by service. */
    private readonly bearableRefusals = new Map<string, number>();
    /** Monotonic time until which an upstream gets no requests without an issuer, since it has refused one, in ms. */
    private readonly refusedUntil = new Map<string, number>();
    private readonly lostUntil = new Map<string, number>();

    public constructor(deps: RatePermitsDependencies) {
        this.deps = deps;
    }

    /** Whether a request to the upstream process needs a permit. */
    public areNeeded({ name, service }: PermitTarget): boolean {
        return this.deps.limits.limitOf(name) !== undefined || this.bearableRefusals.has(service);
    }

    /**
     * Records what an upstream states in a response: the refusals in one second that it bears, if they are few. It holds
     * for all upstreams of the service, also for those that have not responded yet.
     */
    public recordBearableRefusals(service: string, perSecond: number | undefined): void {
        if (perSecond === undefined) {
            this.bearableRefusals.delete(service);
            return;
        }
        this.bearableRefusals.set(service, perSecond);
    }

    /** Records that the upstream has refused a request for want of room. */
    public async recordRefusal({ name: upstream, service }: PermitTarget): Promise<void> {
        const { clock, network, issuer: own, entryCount } = this.deps;
        const bearable = this.bearableRefusals.get(service);
        if (bearable === undefined) {
            return;
        }
        // Without an issuer, each instance may cause its share of the bearable refusals.
        const pauseMs = MS_PER_SECOND * Math.max(1, entryCount() / Math.max(1, bearable));
        this.refusedUntil.set(upstream, clock.monotonic() + pauseMs);
        const issuer = this.findIssuer(upstream);
        if (issuer === network.self) {
            own.recordRefusal(upstream);
        }
        else if (issuer !== undefined) {
            await this.call(issuer, () => network.call(issuer, "reportRefusal", { upstream }, ISSUE_TIMEOUT_MS));
        }
    }

    /** Whether it is known that no permit can be had now. */
    public areUsedUp(target: PermitTarget): boolean {
        const deniedUntil = this.deniedUntil.get(target.name) ?? -Infinity;
        return this.deps.clock.monotonic() < deniedUntil && this.areNeeded(target);
    }

    /** Takes a permit for one request; false if there is none. */
    public async take({ name: upstream, service }: PermitTarget): Promise<boolean> {
        const { clock, limits } = this.deps;
        const limit = limits.newestOf(upstream);
        const isBrittle = this.bearableRefusals.has(service);
        if (limit?.perSecond === undefined && !isBrittle) {
            return true;
        }
        const { isGranted, waitMs } = await this.ask({ upstream, limit, isBrittle })
            ?? this.takeFixedShare(upstream, limit?.perSecond);
        if (!isGranted) {
            this.deniedUntil.set(upstream, clock.monotonic() + Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, waitMs)));
        }
        return isGranted;
    }

    /** Discards what is kept about an upstream process that is gone. */
    public forget(upstream: string): void {
        this.choices.delete(upstream);
        this.deniedUntil.delete(upstream);
        this.fixedShareAt.delete(upstream);
        this.refusedUntil.delete(upstream);
    }

    /** Resolves with undefined if the issuer is not known or doesn't reply. */
    private async ask(req: RatePermitRequest): Promise<RatePermitReply | undefined> {
        const { network, issuer: own } = this.deps;
        const issuer = this.findIssuer(req.upstream);
        if (issuer === undefined) {
            return undefined;
        }
        return issuer === network.self
            ? own.issue(req)
            : this.call(issuer, () => network.call(issuer, "issueRatePermit", req, ISSUE_TIMEOUT_MS));
    }

    /** The issuer for an upstream; undefined if it is not known or has not replied lately. */
    private findIssuer(upstream: string): string | undefined {
        const issuer = this.chooseIssuer(upstream);
        const lostUntil = issuer === undefined ? Infinity : this.lostUntil.get(issuer) ?? -Infinity;
        return this.deps.clock.monotonic() < lostUntil ? undefined : issuer;
    }

    /** Resolves with undefined if the issuer doesn't reply, which leaves it out for a while. */
    private async call<T>(issuer: string, send: () => Promise<T>): Promise<T | undefined> {
        const { clock, network, onIssuerLost } = this.deps;
        try {
            network.setAddress(issuer, issuer);
            return await send();
        }
        catch (err) {
            this.lostUntil.set(issuer, clock.monotonic() + ISSUER_PAUSE_MS);
            onIssuerLost(issuer, (err as Error).message);
            return undefined;
        }
    }

    private chooseIssuer(upstream: string): string | undefined {
        const members = this.deps.entries();
        const known = this.choices.get(upstream);
        if (known?.members === members) {
            return known.issuer;
        }
        const [issuer] = rendezvous(upstream, members, id => id, 1);
        this.choices.set(upstream, { members, issuer });
        return issuer;
    }

    /**
     * Used without an issuer: a share of the limit, whose first request waits for a part of the interval that differs
     * between instances. For a brittle upstream without a limit, only the pause after a refusal holds.
     */
    private takeFixedShare(upstream: string, perSecond: number | undefined): RatePermitReply {
        const { clock, network, entryCount } = this.deps;
        const now = clock.monotonic();
        if (perSecond === undefined) {
            const waitMs = Math.max(0, (this.refusedUntil.get(upstream) ?? -Infinity) - now);
            return { isGranted: waitMs === 0, waitMs };
        }
        const intervalMs = MS_PER_SECOND * entryCount() / (perSecond * FIXED_SHARE);
        const phase = hashFraction(`${network.self}|${upstream}`);
        const nextAt = this.fixedShareAt.get(upstream) ?? now + intervalMs * phase;
        const isGranted = now >= nextAt;
        this.fixedShareAt.set(upstream, isGranted ? now + intervalMs : nextAt);
        return { isGranted, waitMs: isGranted ? 0 : nextAt - now };
    }
}
