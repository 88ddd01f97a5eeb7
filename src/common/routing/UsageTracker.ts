/**
 * Makes fairness span instances: each tells the others what accounts have used on it, and they charge it to
 * the accounts' virtual time as if it had been used there.
 */
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerRequest } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Target } from "../upstreams/Upstream.ts";
import { TokenWindow } from "./TokenWindow.ts";

/** How often usage is told, in ms. */
const BROADCAST_PERIOD_MS = 500;
const CALL_TIMEOUT_MS = 500;

type Usage = PeerRequest<"shareUsage">["usages"][number];

/** Charges usage of other instances to an account here. */
export type ChargeUsage = (target: Target, account: string, weight: number, cost: number) => void;

/** Limits of a client account, as in the sheet. */
export interface AccountLimits {
    readonly name: string;
    readonly max_in_flight?: number | undefined;
    readonly tokens_per_minute?: number | undefined;
}

/** When a place among the requests in flight may be free again, in ms. */
const IN_FLIGHT_RETRY_MS = 500;

const limitError = (message: string, retryAfterMs: number): Error =>
    routerError(message, { code: "tooManyRequests", step: "admit request", retryAfterMs });

interface RemoteCount {
    readonly count: number;
    /** Monotonic time from which on the count is not used any more, in ms. */
    readonly expiresAt: number;
}

/** Usage of accounts over all instances. */
export class UsageTracker extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly charge: ChargeUsage;
    private readonly tokens: TokenWindow;
    private readonly unsentUsage = new Map<string, Usage>();
    private readonly inFlight = new Map<string, number>();
    /** Account to peer to its count. */
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

    /** Notes work of an account on this instance. */
    public record(target: Target, account: string, weight: number, cost: number): void {
        const key = `${target} ${account}`;
        const known = this.unsentUsage.get(key);
        this.unsentUsage.set(key, { target, account, weight, cost: (known?.cost ?? 0) + cost });
        this.tokens.add(account, cost);
    }

    /** Throws `tooManyRequests` when the account is at a limit of the sheet, over all instances. */
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
            const message = `account "${account}" has ${inFlight} requests in flight, of at most ${limit}`;
            throw limitError(message, IN_FLIGHT_RETRY_MS);
        }
    }

    private requireTokenLimit(account: string, limit: number | undefined): void {
        if (limit === undefined) {
            return;
        }
        const tokens = this.tokens.sum(account);
        if (tokens >= limit) {
            const message = `account "${account}" used ${tokens} tokens in a minute, of at most ${limit}`;
            throw limitError(message, this.tokens.bucketMs);
        }
    }

    /** Requests of the account in flight on all instances, as far as known. */
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

    /** Accounts without requests are told once more, with a count of zero. */
    private dropIdle(): void {
        for (const [account, count] of this.inFlight) {
            if (count === 0) {
                this.inFlight.delete(account);
            }
        }
    }
}
