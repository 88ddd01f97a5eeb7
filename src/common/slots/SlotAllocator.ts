/**
 * The owner's side of an upstream's slots. The granted slots plus the requests that may still run under a lost
 * lease never exceed the upstream's limit, whichever holders request slots and in whatever order messages arrive.
 */
import { type Clock } from "../time/Clock.ts";
import { type Upstream, type UpstreamRegistry } from "../upstreams/UpstreamRegistry.ts";
import { type Allocation, divideSlots } from "./FairAllocation.ts";
import { ownedLimit, type Ownership } from "./OwnerTable.ts";
import { RAMP_STEP_MS, SlotRamp } from "./SlotRamp.ts";
import {
    type AccountNeed,
    MAX_CLOCK_DRIFT,
    MAX_REQUEST_MS,
    OWNER_HANDOVER_MS,
    REPORT_LAG_MS,
    SLOT_LEASE_MS,
    type SlotGrant,
    type SlotRequest,
} from "./SlotTypes.ts";

/** Time after a holder's last request at which all of its grants have expired, in ms. */
const HOLDER_TIMEOUT_MS = SLOT_LEASE_MS * (1 + MAX_CLOCK_DRIFT);

/** Minimum time between two renewal hints to the same holder, in ms. */
const MIN_HINT_INTERVAL_MS = 3;

/** Asks a holder, identified by its instance and start, to renew its lease on an upstream at once. */
export type SendRenewalHint = (holder: string, upstream: string, isContended: boolean) => void;

interface Grant {
    readonly seq: number;
    readonly granted: number;
    readonly expiresAt: number;
}

/** The lease of one holder on one upstream. */
interface Lease {
    seq: number;
    /** Grants that the holder has not applied yet. */
    grants: Grant[];
    /** Sequence number of the newest grant that the holder has applied. */
    applied: number;
    /** Slots of the applied grant that the holder may use. */
    usable: number;
    usableUntil: number;
    hintedAt: number;
    needs: readonly AccountNeed[];
    demand: number;
    spare: number;
    /** Slots of the newest grant. */
    granted: number;
    inUse: number;
    busyUntil: number;
    /** Monotonic time of the holder's last request, in ms. */
    seenAt: number;
}

/** The leases on one upstream, and what their holders reported since the last step of the ramp. */
interface UpstreamAllocation {
    readonly startId: string;
    readonly ramp: SlotRamp;
    readonly leases: Map<string, Lease>;
    /** Slots that may be granted in total at present. */
    allocatable: number;
    lastStepAt: number;
    completed: number;
    failed: number;
    totalMs: number;
    /** Requests that may still run on the upstream but belong to no current holder. */
    unattributed: number;
    unattributedSince: number;
    hasCheckedHandover: boolean;
}

/** Grants leases on the slots of the upstreams that this instance owns. */
export class SlotAllocator {
    private readonly clock: Clock;
    private readonly registry: UpstreamRegistry;
    /** This instance's ownership of the upstream; undefined when it has none. */
    private readonly ownershipOf: (upstream: Upstream) => Ownership | undefined;
    private readonly sendRenewalHint: SendRenewalHint;
    private readonly allocations = new Map<string, UpstreamAllocation>();

    public constructor(
        clock: Clock,
        registry: UpstreamRegistry,
        ownershipOf: (upstream: Upstream) => Ownership | undefined,
        sendRenewalHint: SendRenewalHint,
    ) {
        this.clock = clock;
        this.registry = registry;
        this.ownershipOf = ownershipOf;
        this.sendRenewalHint = sendRenewalHint;
    }

    /**
     * Answers a batch of slot requests of one holder, identified by its instance and start. Leaves out
     * upstreams that this instance does not own.
     */
    public grantSlots(holder: string, requests: readonly SlotRequest[]): SlotGrant[] {
        const grants: SlotGrant[] = [];
        for (const req of requests) {
            const upstream = this.registry.get(req.upstream);
            if (upstream?.announcement.startId !== req.startId) {
                continue;
            }
            const ownership = this.ownershipOf(upstream);
            if (ownership === undefined) {
                this.allocations.delete(req.upstream);
                continue;
            }
            grants.push(this.renewLease(holder, req, upstream, ownership));
        }
        return grants;
    }

    /** Drops the leases of a holder whose process is known to have ended; its connections ended with it. */
    public removeHolder(holder: string): void {
        for (const allocation of this.allocations.values()) {
            allocation.leases.delete(holder);
        }
    }

    private renewLease(holder: string, req: SlotRequest, upstream: Upstream, ownership: Ownership): SlotGrant {
        const now = this.clock.monotonic();
        const allocation = this.allocationOf(upstream, now);
        const lease = updateLease(allocation, holder, req, now);
        const isHandover = now < handoverEnd(upstream, ownership.since);
        if (isHandover) {
            allocation.ramp.adoptLimit(req.knownLimit);
        }
        else {
            this.reclaimExpired(allocation, upstream, now);
        }
        this.stepRamp(allocation, upstream, now);
        allocation.allocatable = Math.max(
            0,
            ownedLimit(allocation.ramp.limit, ownership.fraction) - allocation.unattributed,
        );
        const shares = computeAllocations(allocation, now);
        lease.granted = isHandover ? 0 : allocate(allocation, holder, shares, now);
        lease.seq++;
        lease.grants.push({ seq: lease.seq, granted: lease.granted, expiresAt: now + HOLDER_TIMEOUT_MS });
        if (!isHandover) {
            this.hintOtherHolders(allocation, req.upstream, holder, shares, now);
        }
        return {
            upstream: req.upstream,
            startId: req.startId,
            seq: lease.seq,
            granted: lease.granted,
            isContended: isContended(allocation),
            leaseMs: SLOT_LEASE_MS,
            limit: allocation.ramp.limit,
        };
    }

    /**
     * Sends renewal hints to holders that lack slots when some are free, and to holders that must return slots
     * to needier ones.
     */
    private hintOtherHolders(
        allocation: UpstreamAllocation,
        upstream: string,
        holder: string,
        shares: Map<string, Allocation>,
        now: number,
    ): void {
        let free = allocation.allocatable - committedToOthers(allocation, "", now);
        for (const [name, lease] of neediestFirst(allocation)) {
            const reservedSlots = reserved(lease, now);
            const shortfall = (shares.get(name)?.needed ?? 0) - reservedSlots;
            const canReceive = shortfall > 0 && free > 0;
            const mustReturn = isContended(allocation) && willReuse(lease, reservedSlots)
                && reservedForNeedier(allocation, name, shares, now) > 0;
            if (name === holder || !(canReceive || mustReturn) || now - lease.hintedAt < MIN_HINT_INTERVAL_MS) {
                continue;
            }
            lease.hintedAt = now;
            free -= canReceive ? shortfall : 0;
            this.sendRenewalHint(name, upstream, isContended(allocation));
        }
    }

    /**
     * Drops the leases of holders that timed out and counts their slots as unattributed. At the end of a
     * handover, also counts running requests that no holder has reported to this owner.
     */
    private reclaimExpired(allocation: UpstreamAllocation, upstream: Upstream, now: number): void {
        if (!allocation.hasCheckedHandover) {
            allocation.hasCheckedHandover = true;
            const running = upstream.load === undefined ? 0 : upstream.load.running + upstream.load.queued;
            addUnattributed(allocation, Math.max(0, running - sumInUse(allocation, now)), now);
        }
        for (const [holder, lease] of allocation.leases) {
            if (now - lease.seenAt >= HOLDER_TIMEOUT_MS) {
                allocation.leases.delete(holder);
                addUnattributed(allocation, maxReserved(lease), now);
            }
        }
        reduceUnattributed(allocation, upstream, now);
    }

    private allocationOf(upstream: Upstream, now: number): UpstreamAllocation {
        const { id, startId } = upstream.announcement;
        const current = this.allocations.get(id);
        if (current?.startId === startId) {
            return current;
        }
        const allocation: UpstreamAllocation = {
            startId,
            ramp: new SlotRamp(upstream.announcement, now),
            leases: new Map(),
            allocatable: 0,
            lastStepAt: now,
            completed: 0,
            failed: 0,
            totalMs: 0,
            unattributed: 0,
            unattributedSince: now,
            hasCheckedHandover: false,
        };
        this.allocations.set(id, allocation);
        return allocation;
    }

    private stepRamp(allocation: UpstreamAllocation, upstream: Upstream, now: number): void {
        if (upstream.load?.isCold === true && upstream.loadAt > allocation.lastStepAt) {
            allocation.ramp.reset();
        }
        if (now - allocation.lastStepAt < RAMP_STEP_MS) {
            return;
        }
        allocation.lastStepAt = now;
        const inUse = Math.max(sumInUse(allocation, now), Math.min(sumDemand(allocation), allocation.ramp.limit));
        const meanMs = allocation.completed === 0 ? 0 : allocation.totalMs / allocation.completed;
        allocation.ramp.step({ inUse, completed: allocation.completed, failed: allocation.failed, meanMs }, now);
        allocation.completed = 0;
        allocation.failed = 0;
        allocation.totalMs = 0;
    }
}

/** Time until which leases of an earlier owner may be valid. An upstream that appeared after the handover has none. */
const handoverEnd = (upstream: Upstream, since: number): number =>
    upstream.firstSeenAt > since + OWNER_HANDOVER_MS ? since : since + OWNER_HANDOVER_MS;

const updateLease = (allocation: UpstreamAllocation, holder: string, req: SlotRequest, now: number): Lease => {
    const lease = allocation.leases.get(holder) ?? newLease(req.applied, now);
    if (req.applied < lease.applied) {
        // A later request has overtaken this one, which was held up.
        return lease;
    }
    lease.applied = req.applied;
    lease.seq = Math.max(lease.seq, req.applied);
    // The holder ignores grants that are older than the one it has applied.
    lease.grants = lease.grants.filter(grant => grant.seq > req.applied && now < grant.expiresAt);
    lease.usable = req.usable;
    lease.usableUntil = now + HOLDER_TIMEOUT_MS;
    lease.seenAt = now;
    lease.needs = req.needs;
    lease.demand = demandOf(req.needs);
    lease.spare = req.spare;
    lease.inUse = req.inUse;
    lease.busyUntil = now + req.busyForMs * (1 + MAX_CLOCK_DRIFT);
    allocation.leases.set(holder, lease);
    allocation.completed += req.completed;
    allocation.failed += req.failed;
    allocation.totalMs += req.meanMs * req.completed;
    return lease;
};

const newLease = (seq: number, now: number): Lease => ({
    seq,
    grants: [],
    applied: seq,
    usable: 0,
    usableUntil: now,
    hintedAt: -Infinity,
    needs: [],
    demand: 0,
    spare: 0,
    granted: 0,
    inUse: 0,
    busyUntil: 0,
    seenAt: now,
});

/** Slots that a lease can occupy: in flight, kept from the applied grant, or granted since and not expired. */
const reserved = (lease: Lease, now: number): number => {
    const usable = now < lease.usableUntil ? Math.max(lease.usable, lease.inUse) : lease.inUse;
    return lease.grants.reduce((most, grant) => now < grant.expiresAt ? Math.max(most, grant.granted) : most, usable);
};

/** The most that a holder can have had in flight when its last grant expired. */
const maxReserved = (lease: Lease): number =>
    Math.max(lease.usable, lease.inUse, ...lease.grants.map(grant => grant.granted));

const committedToOthers = (allocation: UpstreamAllocation, holder: string, now: number): number => {
    let total = 0;
    for (const [name, lease] of allocation.leases) {
        total += name === holder ? 0 : reserved(lease, now);
    }
    return total;
};

const sumInUse = (allocation: UpstreamAllocation, now: number): number => {
    let total = 0;
    for (const lease of allocation.leases.values()) {
        total += now < lease.busyUntil ? lease.inUse : 0;
    }
    return total;
};

const isContended = (allocation: UpstreamAllocation): boolean => sumDemand(allocation) > allocation.allocatable;

/** True when the holder would reuse the slot that its next finished request frees. */
const willReuse = (lease: Lease, reservedSlots: number): boolean =>
    reservedSlots > lease.inUse || (lease.granted >= lease.inUse && lease.inUse > 0);

const allocate = (
    allocation: UpstreamAllocation,
    holder: string,
    shares: Map<string, Allocation>,
    now: number,
): number => {
    const { needed, spare } = shares.get(holder) ?? { needed: 0, spare: 0 };
    const free = Math.max(0, allocation.allocatable - committedToOthers(allocation, holder, now));
    const inUse = allocation.leases.get(holder)?.inUse ?? 0;
    const needierShare = reservedForNeedier(allocation, holder, shares, now);
    if (needierShare === 0) {
        return Math.min(needed + spare, free);
    }
    // A needier holder has less than its fair share. Each of the others gets one slot less than it has in use, so
    // that the first one to finish a request returns the slot.
    return Math.min(needed, Math.max(0, free - needierShare), Math.max(0, inUse - 1));
};

/** Slots that needier holders lack of their fair shares: their waiting accounts use less, by weight, than `holder`'s. */
const reservedForNeedier = (
    allocation: UpstreamAllocation,
    holder: string,
    shares: Map<string, Allocation>,
    now: number,
): number => {
    const used = usedByAccount(allocation);
    const holderLease = allocation.leases.get(holder);
    const holderUse = holderLease === undefined ? Infinity : leastUse(holderLease, used);
    let needierShare = 0;
    for (const [name, lease] of allocation.leases) {
        if (name !== holder && leastUse(lease, used) < holderUse) {
            needierShare += Math.max(0, (shares.get(name)?.needed ?? 0) - reserved(lease, now));
        }
    }
    return needierShare;
};

/** Least weighted slot use among the holder's waiting accounts, Infinity when none waits. */
const leastUse = (lease: Lease, used: ReadonlyMap<string, number>): number => {
    let least = Infinity;
    for (const { account, weight, waiting } of lease.needs) {
        if (waiting > 0) {
            least = Math.min(least, (used.get(account) ?? 0) / weight);
        }
    }
    return least;
};

/** Orders leases by need: a free slot offered to a holder is refused to it while a needier one waits. */
const neediestFirst = (allocation: UpstreamAllocation): [string, Lease][] => {
    const used = usedByAccount(allocation);
    return [...allocation.leases].sort(([, a], [, b]) => compare(leastUse(a, used), leastUse(b, used)));
};

/** Compares two numbers whose difference may be NaN because both are infinite. */
const compare = (a: number, b: number): number => a === b ? 0 : a < b ? -1 : 1;

const usedByAccount = (allocation: UpstreamAllocation): Map<string, number> => {
    const used = new Map<string, number>();
    for (const lease of allocation.leases.values()) {
        for (const { account, inUse } of lease.needs) {
            used.set(account, (used.get(account) ?? 0) + inUse);
        }
    }
    return used;
};

const sumDemand = (allocation: UpstreamAllocation): number => {
    let total = 0;
    for (const lease of allocation.leases.values()) {
        total += lease.demand;
    }
    return total;
};

const addUnattributed = (allocation: UpstreamAllocation, count: number, now: number): void => {
    if (count > 0) {
        allocation.unattributed += count;
        allocation.unattributedSince = now;
    }
};

/** A load report that describes a later time shows how many of the unattributed requests still run. */
const reduceUnattributed = (allocation: UpstreamAllocation, upstream: Upstream, now: number): void => {
    if (allocation.unattributed === 0) {
        return;
    }
    if (now - allocation.unattributedSince > MAX_REQUEST_MS) {
        allocation.unattributed = 0;
        return;
    }
    if (upstream.load !== undefined && upstream.loadAt > allocation.unattributedSince + REPORT_LAG_MS) {
        const running = upstream.load.running + upstream.load.queued;
        allocation.unattributed = Math.min(allocation.unattributed, Math.max(0, running - sumInUse(allocation, now)));
    }
};

/** Period after which the order among equals changes, so that remainders rotate, in ms. */
const ROTATION_MS = 1000;

const computeAllocations = (allocation: UpstreamAllocation, now: number): Map<string, Allocation> => {
    const holders = [...allocation.leases].map(([name, { needs, spare }]) => ({ name, needs, spare }));
    return divideSlots(allocation.allocatable, holders, Math.floor(now / ROTATION_MS));
};

const demandOf = (needs: readonly AccountNeed[]): number =>
    needs.reduce((sum, need) => sum + need.inUse + need.waiting, 0);
