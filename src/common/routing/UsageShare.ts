/**
 * Makes fairness span instances: each tells the others what accounts have used on it, and they charge it to
 * the accounts' virtual time as if it had been used there.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerRequest } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Target } from "../upstreams/Upstream.ts";

/** How often usage is told, in ms. */
const SHARE_PERIOD_MS = 500;
const CALL_TIMEOUT_MS = 500;

type Usage = PeerRequest<"shareUsage">["usages"][number];

/** Charges usage of other instances to an account here. */
export type ChargeUsage = (target: Target, account: string, weight: number, cost: number) => void;

interface RemoteCount {
    readonly count: number;
    /** Monotonic time from which on the count is not used any more, in ms. */
    readonly expiresAt: number;
}

/** Usage of accounts over all instances. */
export class UsageShare extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly charge: ChargeUsage;
    private readonly used = new Map<string, Usage>();
    private readonly inFlight = new Map<string, number>();
    /** Account to peer to its count. */
    private readonly remote = new Map<string, Map<string, RemoteCount>>();

    public constructor(clock: Clock, network: PeerNetwork, membership: Membership, charge: ChargeUsage) {
        super();
        this.clock = clock;
        this.network = network;
        this.membership = membership;
        this.charge = charge;
        this.register(network.handle("shareUsage", (req, from) => this.onShared(req, from)));
        this.register(repeat(clock, SHARE_PERIOD_MS, () => this.tell()));
    }

    /** Notes work of an account on this instance. */
    public note(target: Target, account: string, weight: number, cost: number): void {
        const key = `${target} ${account}`;
        const known = this.used.get(key);
        this.used.set(key, { target, account, weight, cost: (known?.cost ?? 0) + cost });
    }

    /** Requests of the account in flight on all instances, as far as known. */
    public inFlightOf(account: string): number {
        const now = this.clock.monotonic();
        let total = this.inFlight.get(account) ?? 0;
        for (const remote of this.remote.get(account)?.values() ?? []) {
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

    private onShared(req: PeerRequest<"shareUsage">, from: string): Record<string, never> {
        for (const usage of req.usages) {
            this.charge(usage.target, usage.account, usage.weight, usage.cost);
        }
        const expiresAt = this.clock.monotonic() + SHARE_PERIOD_MS * 3;
        for (const { account, count } of req.inFlight) {
            const byPeer = this.remote.get(account) ?? new Map<string, RemoteCount>();
            byPeer.set(from, { count, expiresAt });
            this.remote.set(account, byPeer);
        }
        return {};
    }

    private tell(): void {
        const usages = [...this.used.values()];
        const inFlight = [...this.inFlight].map(([account, count]) => ({ account, count }));
        this.used.clear();
        if (usages.length === 0 && inFlight.length === 0) {
            return;
        }
        this.dropIdle();
        const { self } = this.membership;
        for (const member of this.membership.alive()) {
            if (member.id !== self.id && member.region === self.region && member.roles.includes("entry")) {
                this.network.call(member.id, "shareUsage", { usages, inFlight }, CALL_TIMEOUT_MS).catch(() =>
                    undefined
                );
            }
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
