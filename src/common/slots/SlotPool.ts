/**
 * The holder's side of slots: how many requests this instance may have in flight on each upstream. Leases are
 * renewed in one batch for each owner; an expired lease admits no new request.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Upstream, type UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { type AccountNeed, MAX_CLOCK_DRIFT, SLOT_RENEWAL_MS, type SlotGrant, type SlotRequest } from "./SlotTypes.ts";

/** Spare slots requested beyond the demand, as a fraction of it, so that a burst finds free slots. */
const SPARE_FRACTION = 0.25;
/** Minimum number of spare slots requested. */
const MIN_SPARE = 1;
/** Fraction of a lease's validity for which it is used; the rest allows for a local clock that runs slow. */
const USABLE_LEASE_FRACTION = 1 - MAX_CLOCK_DRIFT;
/** Weight of the newest request in the moving mean of the request time. */
const MEAN_WEIGHT = 0.1;

/** How a request on an upstream ended. */
export interface SlotResult {
    readonly durationMs: number;
    /** True when the upstream is at fault: it crashed, refused or answered with a server error. */
    readonly isUpstreamFault: boolean;
}

/** The client account that a slot is used for. */
export interface SlotAccount {
    readonly account: string;
    readonly weight: number;
}

/** Requests of a client account that wait. */
export interface WaitingCount extends SlotAccount {
    readonly count: number;
}

/** Maximum number of client accounts listed in one slot request. */
const MAX_ACCOUNTS = 32;
/** Demand assumed when an upstream appears, so that its first request does not wait for a slot. */
const INITIAL_DEMAND: WaitingCount = { account: "", weight: 1, count: 1 };

/** Requests slots from the owner. Rejects or resolves with no grants when the owner is unreachable. */
export type RequestSlots = (owner: string, requests: readonly SlotRequest[]) => Promise<readonly SlotGrant[]>;

/** This instance's lease on one upstream. */
interface HeldLease {
    readonly upstream: Upstream;
    granted: number;
    appliedSeq: number;
    isContended: boolean;
    usableUntil: number;
    inUse: number;
    /** Requests in flight and waiting, by client account. */
    readonly needs: Map<string, AccountNeed>;
    inUseAtReport: number;
    reportSeq: number;
    limit: number;
    /** Latest monotonic time at which a request in flight must have ended, in ms. */
    busyUntil: number;
    meanMs: number;
    completed: number;
    failed: number;
    totalMs: number;
}

/** The slots that this instance may use on each upstream. */
export class SlotPool extends DisposableOwner {
    private readonly clock: Clock;
    private readonly ownerOf: (upstream: Upstream) => string | undefined;
    private readonly requestSlots: RequestSlots;
    /** Failure domain of this instance. Spare slots in another one would be stuck if that domain were cut off. */
    private readonly domain: string;
    private readonly leases = new Map<string, HeldLease>();
    /** Number of slot requests without a reply yet, by owner. */
    private readonly pendingRequests = new Map<string, number>();
    /** Owners that are sent another request after one of their replies has arrived. */
    private readonly deferredOwners = new Set<string>();
    private readonly available = this.register(new Emitter<Upstream>());

    /** Fires when slots of an upstream are released or granted. */
    public readonly onAvailable = this.available.event;

    public constructor(
        clock: Clock,
        registry: UpstreamRegistry,
        ownerOf: (upstream: Upstream) => string | undefined,
        requestSlots: RequestSlots,
        domain: string,
    ) {
        super();
        this.clock = clock;
        this.ownerOf = ownerOf;
        this.requestSlots = requestSlots;
        this.domain = domain;
        this.register(registry.onAdded(upstream => this.addLease(upstream)));
        this.register(registry.onLost(loss => this.removeLease(loss.upstream)));
        this.register(repeat(clock, SLOT_RENEWAL_MS, () => this.renewAll()));
    }

    /** Slots that can be acquired now. */
    public freeSlots(upstream: Upstream): number {
        const lease = this.leaseOf(upstream);
        if (lease === undefined || this.clock.boottime() >= lease.usableUntil) {
            return 0;
        }
        return Math.max(0, lease.granted - lease.inUse);
    }

    /** Slots that this instance has or can get: the upstream's limit unless holders contend for slots. */
    public obtainableSlots(upstream: Upstream): number {
        const lease = this.leaseOf(upstream);
        if (lease === undefined) {
            return 0;
        }
        return lease.isContended ? Math.max(lease.inUse, lease.granted) : lease.limit;
    }

    /** Requests of this instance in flight on the upstream. */
    public inFlight(upstream: Upstream): number {
        return this.leaseOf(upstream)?.inUse ?? 0;
    }

    /** Requests of this instance that were in flight when the newest load report was first seen here. */
    public inFlightAtReport(upstream: Upstream): number {
        const lease = this.leaseOf(upstream);
        if (lease === undefined) {
            return 0;
        }
        const seq = upstream.load?.seq ?? -1;
        if (seq !== lease.reportSeq) {
            lease.reportSeq = seq;
            lease.inUseAtReport = lease.inUse;
        }
        return lease.inUseAtReport;
    }

    /** Limit of concurrent requests on the upstream over all instances, from its owner's newest grant. */
    public limitOf(upstream: Upstream): number {
        return this.leaseOf(upstream)?.limit ?? 0;
    }

    /** Mean time of this instance's requests on the upstream, in ms, 0 without any. */
    public meanMs(upstream: Upstream): number {
        return this.leaseOf(upstream)?.meanMs ?? 0;
    }

    /**
     * Acquires a slot for a request of a client account that ends by `deadline` (monotonic, in ms). Returns
     * false when none is free.
     */
    public tryAcquire(upstream: Upstream, deadline: number, user: SlotAccount): boolean {
        const lease = this.leaseOf(upstream);
        if (lease === undefined || this.freeSlots(upstream) === 0) {
            return false;
        }
        lease.inUse++;
        addInUse(lease, user, 1);
        lease.busyUntil = Math.max(lease.busyUntil, deadline);
        return true;
    }

    /** Releases a slot. */
    public release(upstream: Upstream, result: SlotResult, user: SlotAccount): void {
        const lease = this.leaseOf(upstream);
        if (lease === undefined) {
            return;
        }
        lease.inUse--;
        addInUse(lease, user, -1);
        lease.completed++;
        lease.totalMs += result.durationMs;
        lease.failed += result.isUpstreamFault ? 1 : 0;
        lease.meanMs += (result.durationMs - lease.meanMs) * (lease.meanMs === 0 ? 1 : MEAN_WEIGHT);
        this.available.fire(upstream);
        this.returnUnneeded(lease);
    }

    /** Renews the lease on an upstream at once, on a hint from its owner. */
    public onRenewalHint(upstreamId: string, isContended: boolean): void {
        const lease = this.leases.get(upstreamId);
        const owner = lease === undefined ? undefined : this.ownerOf(lease.upstream);
        if (lease !== undefined && owner !== undefined) {
            lease.isContended = isContended;
            void this.requestFrom(owner);
        }
    }

    /** Sets how many requests of each client account wait for the upstream; requests slots when they are short. */
    public reportDemand(upstream: Upstream, waiting: readonly WaitingCount[]): void {
        const lease = this.leaseOf(upstream);
        if (lease === undefined) {
            return;
        }
        setWaiting(lease, waiting);
        const owner = this.ownerOf(upstream);
        if (owner !== undefined && demandOf(lease) > lease.granted) {
            void this.requestFrom(owner);
        }
    }

    /**
     * While holders contend for slots, reports to the owner at once that a slot is not needed here, or that a request
     * beyond the granted number has ended.
     */
    private returnUnneeded(lease: HeldLease): void {
        const owner = this.ownerOf(lease.upstream);
        const canReturn = demandOf(lease) < lease.granted || lease.inUse >= lease.granted;
        if (lease.isContended && owner !== undefined && canReturn) {
            void this.requestFrom(owner);
        }
    }

    private addLease(upstream: Upstream): void {
        this.leases.set(upstream.announcement.id, {
            upstream,
            granted: 0,
            appliedSeq: 0,
            isContended: false,
            usableUntil: 0,
            inUse: 0,
            needs: new Map(),
            inUseAtReport: 0,
            reportSeq: -1,
            limit: upstream.announcement.coldCapacity,
            busyUntil: 0,
            meanMs: 0,
            completed: 0,
            failed: 0,
            totalMs: 0,
        });
        this.reportDemand(upstream, [INITIAL_DEMAND]);
    }

    private removeLease(upstream: Upstream): void {
        if (this.leaseOf(upstream) !== undefined) {
            this.leases.delete(upstream.announcement.id);
        }
    }

    private leaseOf(upstream: Upstream): HeldLease | undefined {
        const lease = this.leases.get(upstream.announcement.id);
        return lease?.upstream === upstream ? lease : undefined;
    }

    private renewAll(): void {
        const owners = new Set<string>();
        for (const lease of this.leases.values()) {
            const owner = this.ownerOf(lease.upstream);
            if (owner !== undefined) {
                owners.add(owner);
            }
        }
        for (const owner of owners) {
            void this.requestFrom(owner);
        }
    }

    /** Sends a slot request, or defers it until a reply arrives when the owner already has enough pending ones. */
    private async requestFrom(owner: string): Promise<void> {
        const pending = this.pendingRequests.get(owner) ?? 0;
        if (pending >= MAX_PENDING_REQUESTS) {
            this.deferredOwners.add(owner);
            return;
        }
        const sentAt = this.clock.boottime();
        const leases = [...this.leases.values()].filter(lease =>
            this.ownerOf(lease.upstream) === owner && this.isRenewed(lease)
        );
        if (leases.length === 0) {
            return;
        }
        this.pendingRequests.set(owner, pending + 1);
        try {
            const grants = await this.requestSlots(
                owner,
                leases.map(lease => this.toRequest(lease, this.clock.monotonic())),
            );
            for (const grant of grants) {
                this.applyGrant(grant, sentAt);
            }
        }
        catch {
            // An unreachable owner grants nothing; its earlier grants are used until they expire.
        }
        finally {
            this.pendingRequests.set(owner, (this.pendingRequests.get(owner) ?? 1) - 1);
        }
        if (this.deferredOwners.delete(owner) && !this.isDisposed) {
            this.clock.schedule(DEFERRED_REQUEST_DELAY_MS, () => void this.requestFrom(owner));
        }
    }

    /** Leases in other failure domains that are neither used nor needed are not renewed, to save messages. */
    private isRenewed(lease: HeldLease): boolean {
        const isLocal = lease.upstream.announcement.domain === this.domain;
        return isLocal || demandOf(lease) > 0 || lease.granted > 0 || lease.completed > 0;
    }

    private toRequest(lease: HeldLease, now: number): SlotRequest {
        const { id, startId } = lease.upstream.announcement;
        const meanMs = lease.completed === 0 ? 0 : lease.totalMs / lease.completed;
        const demand = demandOf(lease);
        const mayHoldSpare = !lease.isContended && lease.upstream.announcement.domain === this.domain;
        const spare = mayHoldSpare ? Math.max(MIN_SPARE, Math.ceil(demand * SPARE_FRACTION)) : 0;
        // From here on no more than this is used of the applied grant, so the owner can grant the rest to others.
        lease.granted = Math.min(lease.granted, demand + spare);
        const req = {
            upstream: id,
            startId,
            applied: lease.appliedSeq,
            usable: lease.granted,
            needs: [...lease.needs.values()].sort((a, b) => b.waiting - a.waiting).slice(0, MAX_ACCOUNTS),
            spare,
            inUse: lease.inUse,
            busyForMs: lease.inUse === 0 ? 0 : Math.max(0, lease.busyUntil - now),
            knownLimit: lease.limit,
            meanMs,
            completed: lease.completed,
            failed: lease.failed,
        };
        lease.completed = 0;
        lease.failed = 0;
        lease.totalMs = 0;
        return req;
    }

    private applyGrant(grant: SlotGrant, sentAt: number): void {
        const lease = this.leases.get(grant.upstream);
        if (lease?.upstream.announcement.startId !== grant.startId || grant.seq <= lease.appliedSeq) {
            return;
        }
        const hasNewSlots = grant.granted > lease.granted || this.clock.boottime() >= lease.usableUntil;
        lease.needs.delete(INITIAL_DEMAND.account);
        lease.granted = grant.granted;
        lease.appliedSeq = grant.seq;
        lease.isContended = grant.isContended;
        lease.limit = grant.limit;
        lease.usableUntil = sentAt + grant.leaseMs * USABLE_LEASE_FRACTION;
        if (hasNewSlots) {
            this.available.fire(lease.upstream);
        }
    }
}

const demandOf = (lease: HeldLease): number => {
    let total = 0;
    for (const need of lease.needs.values()) {
        total += need.inUse + need.waiting;
    }
    return Math.min(lease.upstream.announcement.capacity, total);
};

const addInUse = (lease: HeldLease, user: SlotAccount, change: number): void => {
    const need = lease.needs.get(user.account);
    const next = {
        account: user.account,
        weight: user.weight,
        waiting: need?.waiting ?? 0,
        inUse: (need?.inUse ?? 0) + change,
    };
    setNeed(lease, next);
};

const setWaiting = (lease: HeldLease, waiting: readonly WaitingCount[]): void => {
    for (const need of [...lease.needs.values()]) {
        setNeed(lease, { ...need, waiting: 0 });
    }
    for (const { account, weight, count } of waiting) {
        setNeed(lease, { account, weight, inUse: lease.needs.get(account)?.inUse ?? 0, waiting: count });
    }
};

const setNeed = (lease: HeldLease, need: AccountNeed): void => {
    if (need.inUse === 0 && need.waiting === 0) {
        lease.needs.delete(need.account);
    }
    else {
        lease.needs.set(need.account, need);
    }
};

/** Maximum number of pending requests to one owner; above one, so that a returned slot need not wait for a reply. */
const MAX_PENDING_REQUESTS = 3;
/** Time between a reply and the request that was deferred until it, in ms. */
const DEFERRED_REQUEST_DELAY_MS = 2;
