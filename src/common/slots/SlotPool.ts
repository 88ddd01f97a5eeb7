/**
 * The borrower's side of slots: what this instance may have in flight on each upstream. Loans are renewed
 * in one batch for each owner; an expired loan allows no new request.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Upstream, type UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { type AccountNeed, MAX_CLOCK_DRIFT, SLOT_RENEWAL_MS, type SlotGrant, type SlotRequest } from "./SlotTypes.ts";

/** Spare slots asked for beyond those in use, as a fraction, so that a burst finds some at hand. */
const SPARE_FRACTION = 0.25;
/** Fewest spare slots asked for. */
const MIN_SPARE = 1;
/** Part of a loan's validity after which it is no longer used, for clocks that run slow. */
const USABLE_LEASE_FRACTION = 1 - MAX_CLOCK_DRIFT;
/** Weight of the newest request in the mean request time. */
const MEAN_WEIGHT = 0.1;

/** How a request on an upstream ended. */
export interface SlotResult {
    readonly durationMs: number;
    /** True when the upstream is to blame: it crashed, refused or answered with a server error. */
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

/** Most client accounts that are told apart in one message. */
const MAX_ACCOUNTS = 32;
/** A first slot is asked for when an upstream appears, so that its first request does not wait. */
const INITIAL_DEMAND: WaitingCount = { account: "", weight: 1, count: 1 };

/** Asks the owner for slots. Rejects or resolves with nothing when the owner cannot be reached. */
export type RequestSlots = (owner: string, requests: readonly SlotRequest[]) => Promise<readonly SlotGrant[]>;

interface HeldLease {
    readonly upstream: Upstream;
    granted: number;
    appliedSeq: number;
    isContended: boolean;
    usableUntil: number;
    inUse: number;
    /** Requests in flight and waiting, by client holding. */
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

/** What this instance may use of each upstream. */
export class SlotPool extends DisposableOwner {
    private readonly clock: Clock;
    private readonly ownerOf: (upstream: Upstream) => string | undefined;
    private readonly requestSlots: RequestSlots;
    /** Own failure domain. Spare slots elsewhere would be stuck when that domain is cut off. */
    private readonly domain: string;
    private readonly leases = new Map<string, HeldLease>();
    /** Requests under way by owner. */
    private readonly pendingRequests = new Map<string, number>();
    private readonly deferredOwners = new Set<string>();
    private readonly available = this.register(new Emitter<Upstream>());

    /** Slots of an upstream became free or were lent. */
    public readonly onAvailable = this.available.event;

    public constructor(
        clock: Clock,
        registry: UpstreamRegistry,
        ownerOf: (upstream: Upstream) => string | undefined,
        borrow: RequestSlots,
        domain: string,
    ) {
        super();
        this.clock = clock;
        this.ownerOf = ownerOf;
        this.requestSlots = borrow;
        this.domain = domain;
        this.register(registry.onAdded(upstream => this.addLease(upstream)));
        this.register(registry.onLost(loss => this.removeLease(loss.upstream)));
        this.register(repeat(clock, SLOT_RENEWAL_MS, () => this.renewAll()));
    }

    /** Slots that can be taken now. */
    public freeSlots(upstream: Upstream): number {
        const holding = this.leaseOf(upstream);
        if (holding === undefined || this.clock.monotonic() >= holding.usableUntil) {
            return 0;
        }
        return Math.max(0, holding.granted - holding.inUse);
    }

    /** Slots that this instance has or can get: all of them while borrowers want no more than there are. */
    public obtainableSlots(upstream: Upstream): number {
        const holding = this.leaseOf(upstream);
        if (holding === undefined) {
            return 0;
        }
        return holding.isContended ? Math.max(holding.inUse, holding.granted) : holding.limit;
    }

    /** Requests of this instance in flight on the upstream. */
    public inFlight(upstream: Upstream): number {
        return this.leaseOf(upstream)?.inUse ?? 0;
    }

    /** The same at the time of the newest load report. */
    public inFlightAtReport(upstream: Upstream): number {
        const holding = this.leaseOf(upstream);
        if (holding === undefined) {
            return 0;
        }
        const seq = upstream.load?.seq ?? -1;
        if (seq !== holding.reportSeq) {
            holding.reportSeq = seq;
            holding.inUseAtReport = holding.inUse;
        }
        return holding.inUseAtReport;
    }

    /** Requests that the upstream bears in total, as the owner last said. */
    public limitOf(upstream: Upstream): number {
        return this.leaseOf(upstream)?.limit ?? 0;
    }

    /** Mean time of this instance's requests on the upstream, in ms, or 0. */
    public meanMs(upstream: Upstream): number {
        return this.leaseOf(upstream)?.meanMs ?? 0;
    }

    /**
     * Takes a slot for a request of a client account that ends by `deadline` (monotonic, in ms). Returns false
     * when none is free.
     */
    public tryAcquire(upstream: Upstream, deadline: number, user: SlotAccount): boolean {
        const holding = this.leaseOf(upstream);
        if (holding === undefined || this.freeSlots(upstream) === 0) {
            return false;
        }
        holding.inUse++;
        addInUse(holding, user, 1);
        holding.busyUntil = Math.max(holding.busyUntil, deadline);
        return true;
    }

    /** Returns a slot. */
    public release(upstream: Upstream, result: SlotResult, user: SlotAccount): void {
        const holding = this.leaseOf(upstream);
        if (holding === undefined) {
            return;
        }
        holding.inUse--;
        addInUse(holding, user, -1);
        holding.completed++;
        holding.totalMs += result.durationMs;
        holding.failed += result.isUpstreamFault ? 1 : 0;
        holding.meanMs += (result.durationMs - holding.meanMs) * (holding.meanMs === 0 ? 1 : MEAN_WEIGHT);
        this.available.fire(upstream);
        this.returnUnneeded(holding);
    }

    /** Renews the loan of an upstream at once, as its owner asks. */
    public onRenewalHint(upstreamId: string, isContended: boolean): void {
        const holding = this.leases.get(upstreamId);
        const owner = holding === undefined ? undefined : this.ownerOf(holding.upstream);
        if (holding !== undefined && owner !== undefined) {
            holding.isContended = isContended;
            void this.requestFrom(owner);
        }
    }

    /** Says how many requests of each client account wait for the upstream; asks its owner when slots are short. */
    public reportDemand(upstream: Upstream, waiting: readonly WaitingCount[]): void {
        const holding = this.leaseOf(upstream);
        if (holding === undefined) {
            return;
        }
        setWaiting(holding, waiting);
        const owner = this.ownerOf(upstream);
        if (owner !== undefined && demandOf(holding) > holding.granted) {
            void this.requestFrom(owner);
        }
    }

    /** Where others wait, a slot that is not needed here, or was called back, goes back at once. */
    private returnUnneeded(holding: HeldLease): void {
        const owner = this.ownerOf(holding.upstream);
        const isReturned = demandOf(holding) < holding.granted || holding.inUse >= holding.granted;
        if (holding.isContended && owner !== undefined && isReturned) {
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
        const holding = this.leases.get(upstream.announcement.id);
        return holding?.upstream === upstream ? holding : undefined;
    }

    private renewAll(): void {
        const owners = new Set<string>();
        for (const holding of this.leases.values()) {
            const owner = this.ownerOf(holding.upstream);
            if (owner !== undefined) {
                owners.add(owner);
            }
        }
        for (const owner of owners) {
            void this.requestFrom(owner);
        }
    }

    /** A few requests may be under way for each owner; a need that arises beyond them is asked right after. */
    private async requestFrom(owner: string): Promise<void> {
        const underWay = this.pendingRequests.get(owner) ?? 0;
        if (underWay >= MAX_PENDING_REQUESTS) {
            this.deferredOwners.add(owner);
            return;
        }
        const sentAt = this.clock.monotonic();
        const holdings = [...this.leases.values()].filter(holding =>
            this.ownerOf(holding.upstream) === owner && this.isRenewed(holding)
        );
        if (holdings.length === 0) {
            return;
        }
        this.pendingRequests.set(owner, underWay + 1);
        try {
            const grants = await this.requestSlots(owner, holdings.map(holding => this.toRequest(holding, sentAt)));
            for (const grant of grants) {
                this.applyGrant(grant, sentAt);
            }
        }
        catch {
            // An owner that cannot be reached lends nothing; what it lent before is used until it expires.
        }
        finally {
            this.pendingRequests.set(owner, (this.pendingRequests.get(owner) ?? 1) - 1);
        }
        if (this.deferredOwners.delete(owner) && !this.isDisposed) {
            this.clock.schedule(MIN_REQUEST_INTERVAL_MS, () => void this.requestFrom(owner));
        }
    }

    /** Upstreams of other failure domains that are neither used nor wanted cost no messages. */
    private isRenewed(holding: HeldLease): boolean {
        const isLocal = holding.upstream.announcement.domain === this.domain;
        return isLocal || demandOf(holding) > 0 || holding.granted > 0 || holding.completed > 0;
    }

    private toRequest(holding: HeldLease, now: number): SlotRequest {
        const { id, startId } = holding.upstream.announcement;
        const meanMs = holding.completed === 0 ? 0 : holding.totalMs / holding.completed;
        const want = demandOf(holding);
        const hasSpare = !holding.isContended && holding.upstream.announcement.domain === this.domain;
        const spare = hasSpare ? Math.max(MIN_SPARE, Math.ceil(want * SPARE_FRACTION)) : 0;
        // From here on no more than this is used of the applied grant, so the owner can lend the rest.
        holding.granted = Math.min(holding.granted, want + spare);
        const req = {
            upstream: id,
            startId,
            applied: holding.appliedSeq,
            usable: holding.granted,
            needs: [...holding.needs.values()].sort((a, b) => b.waiting - a.waiting).slice(0, MAX_ACCOUNTS),
            spare,
            inUse: holding.inUse,
            busyForMs: holding.inUse === 0 ? 0 : Math.max(0, holding.busyUntil - now),
            knownLimit: holding.limit,
            meanMs,
            completed: holding.completed,
            failed: holding.failed,
        };
        holding.completed = 0;
        holding.failed = 0;
        holding.totalMs = 0;
        return req;
    }

    private applyGrant(grant: SlotGrant, sentAt: number): void {
        const holding = this.leases.get(grant.upstream);
        if (holding?.upstream.announcement.startId !== grant.startId || grant.seq <= holding.appliedSeq) {
            return;
        }
        const isMore = grant.granted > holding.granted || this.clock.monotonic() >= holding.usableUntil;
        holding.needs.delete(INITIAL_DEMAND.account);
        holding.granted = grant.granted;
        holding.appliedSeq = grant.seq;
        holding.isContended = grant.isContended;
        holding.limit = grant.limit;
        holding.usableUntil = sentAt + grant.leaseMs * USABLE_LEASE_FRACTION;
        if (isMore) {
            this.available.fire(holding.upstream);
        }
    }
}

const demandOf = (holding: HeldLease): number => {
    let total = 0;
    for (const need of holding.needs.values()) {
        total += need.inUse + need.waiting;
    }
    return Math.min(holding.upstream.announcement.capacity, total);
};

const addInUse = (holding: HeldLease, user: SlotAccount, change: number): void => {
    const need = holding.needs.get(user.account);
    const next = {
        account: user.account,
        weight: user.weight,
        waiting: need?.waiting ?? 0,
        inUse: (need?.inUse ?? 0) + change,
    };
    setNeed(holding, next);
};

const setWaiting = (holding: HeldLease, waiting: readonly WaitingCount[]): void => {
    for (const need of [...holding.needs.values()]) {
        setNeed(holding, { ...need, waiting: 0 });
    }
    for (const { account: name, weight, count } of waiting) {
        setNeed(holding, { account: name, weight, inUse: holding.needs.get(name)?.inUse ?? 0, waiting: count });
    }
};

const setNeed = (holding: HeldLease, need: AccountNeed): void => {
    if (need.inUse === 0 && need.waiting === 0) {
        holding.needs.delete(need.account);
    }
    else {
        holding.needs.set(need.account, need);
    }
};

/** Requests to one owner that may be under way at a time; a returned slot does not wait for an earlier reply. */
const MAX_PENDING_REQUESTS = 3;
/** Least time between two requests to the same owner, in ms. */
const MIN_REQUEST_INTERVAL_MS = 2;
