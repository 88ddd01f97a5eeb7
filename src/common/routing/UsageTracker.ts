/**
 * Extends fairness and the limits of accounts to all instances. Each instance broadcasts what accounts have used on it,
 * and the others charge it to the accounts' virtual time as if it had been used there.
 */
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerRequest } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Target } from "../upstreams/Upstream.ts";
import { TokenWindow } from "./TokenWindow.ts";

/** Period at which usage is broadcast, in ms. */
const BROADCAST_PERIOD_MS = 500;
const CALL_TIMEOUT_MS = 500;

type Usage = PeerRequest<"shareUsage">["usages"][number];

/** Charges an account on this instance for its usage on another one; `cost` is in tokens. */
export type ChargeUsage = (target: Target, account: string, weight: number, cost: number) => void;

/** Limits of a client account, as given in the sheet. */
export interface AccountLimits {
    readonly name: string;
    readonly max_in_flight?: number | undefined;
    readonly tokens_per_minute?: number | undefined;
}

/** Time after which a caller may retry when its account is at its limit of requests in flight, in ms. */
const IN_FLIGHT_RETRY_MS = 500;

const limitError = (message: string, retryAfterMs: number): Error =>
    routerError(message, { code: "tooManyRequests", step: "admit request", retryAfterMs });

/** Requests of an account in flight on another instance, as last reported. */
interface RemoteCount {
    readonly count: number;
    /** Monotonic time from which the count is ignored, in ms. */
    readonly expiresAt: number;
}

/** Tracks the usage of accounts over all instances and enforces their limits. */
export class UsageTracker extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly charge: ChargeUsage;
    private readonly tokens: TokenWindow;
    /** Usage since the last broadcast, by target and account. */
    private readonly unsentUsage = new Map<string, Usage>();
    /** Requests in flight on this instance, by account. */
    private readonly inFlight = new Map<string, number>();
    /** Requests in flight on other instances, by account and instance. */
    private readonly remoteInFlight = new Map<string, Map<string, RemoteCount>>();

    public constructor(clock: Clock, network: PeerNetwork, membership: Membership, charge: ChargeUsage) {
        super();
        this.clock = clock;
        this.network = network;
        this.membership = membership;
        this.charge = charge;
        this.tokens = new TokenWindow(clock);
        this.register(network.handle("shareUsage", (req, from) => this.onUsageReceived(req, from)));
        this.register(repeat(clock, BROADCAST_PERIOD_MS, () => this.broadcast()));
    }

    /** Records usage of an account on this instance; `cost` is in tokens. */
    public record(target: Target, account: string, weight: number, cost: number): void {
        const key = `${target} ${account}`;
        const unsent = this.unsentUsage.get(key);
        this.unsentUsage.set(key, { target, account, weight, cost: (unsent?.cost ?? 0) + cost });
        this.tokens.add(account, cost);
    }

    /** Throws `tooManyRequests` when the account's usage over all instances has reached a limit of the sheet. */
    public requireWithinLimits(account: AccountLimits): void {
        this.requireInFlightLimit(account.name, account.max_in_flight);
        this.requireTokenLimit(account.name, account.tokens_per_minute);
    }

    private requireInFlightLimit(account: string, limit: number | undefined): void {
        if (limit === undefined) {
            return;
        }
        const inFlight = this.inFlightOf(account);
        if (inFlight >= limit) {
            const message = `account "${account}" has ${inFlight} requests in flight; its limit is ${limit}`;
            throw limitError(message, IN_FLIGHT_RETRY_MS);
        }
    }

    private requireTokenLimit(account: string, limit: number | undefined): void {
        if (limit === undefined) {
            return;
        }
        const tokens = this.tokens.sum(account);
        if (tokens >= limit) {
            const message = `account "${account}" used ${tokens} tokens in the last minute; its limit is ${limit}`;
            throw limitError(message, this.tokens.bucketMs);
        }
    }

    /** Requests of the account in flight on all instances, as last reported by the others. */
    public inFlightOf(account: string): number {
        const now = this.clock.monotonic();
        let total = this.inFlight.get(account) ?? 0;
        for (const remote of this.remoteInFlight.get(account)?.values() ?? []) {
            total += now < remote.expiresAt ? remote.count : 0;
        }
        return total;
    }

    public onStarted(account: string): void {
        this.inFlight.set(account, (this.inFlight.get(account) ?? 0) + 1);
    }

    public onEnded(account: string): void {
        this.inFlight.set(account, (this.inFlight.get(account) ?? 1) - 1);
    }

    private onUsageReceived(req: PeerRequest<"shareUsage">, from: string): Record<string, never> {
        for (const usage of req.usages) {
            this.charge(usage.target, usage.account, usage.weight, usage.cost);
            this.tokens.add(usage.account, usage.cost);
        }
        const expiresAt = this.clock.monotonic() + BROADCAST_PERIOD_MS * 3;
        for (const { account, count } of req.inFlight) {
            const byPeer = this.remoteInFlight.get(account) ?? new Map<string, RemoteCount>();
            byPeer.set(from, { count, expiresAt });
            this.remoteInFlight.set(account, byPeer);
        }
        return {};
    }

    private broadcast(): void {
        const usages = [...this.unsentUsage.values()];
        const inFlight = [...this.inFlight].map(([account, count]) => ({ account, count }));
        this.unsentUsage.clear();
        if (usages.length === 0 && inFlight.length === 0) {
            return;
        }
        this.dropIdle();
        for (const member of this.membership.otherEntryInstances()) {
            this.network.call(member.id, "shareUsage", { usages, inFlight }, CALL_TIMEOUT_MS).catch(() => undefined);
        }
    }

    /** Drops accounts without requests, after their count of zero has been put into this broadcast. */
    private dropIdle(): void {
        for (const [account, count] of this.inFlight) {
            if (count === 0) {
                this.inFlight.delete(account);
            }
        }
    }
}
