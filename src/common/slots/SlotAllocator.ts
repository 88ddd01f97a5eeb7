/**
 * The owner's side of an upstream's slots. What is lent, together with requests that may still run under
 * a lost loan, never exceeds what the upstream bears, whoever asks and in whatever order messages arrive.
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

/** A borrower that was silent for this long has no valid grant any more, in ms. */
const HOLDER_TIMEOUT_MS = SLOT_LEASE_MS * (1 + MAX_CLOCK_DRIFT);

/** Least time between two nudges of the same borrower, in ms. */
const MIN_HINT_INTERVAL_MS = 3;

/** Asks a borrower, named by its instance and start, to renew its loan of an upstream at once. */
export type SendRenewalHint = (borrower: string, upstream: string, isContended: boolean) => void;

interface Grant {
    readonly seq: number;
    readonly granted: number;
    readonly expiresAt: number;
}

interface Lease {
    seq: number;
    /** Grants that the borrower has not applied yet. */
    grants: Grant[];
    /** Slots of the applied grant that the borrower may use. */
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
    /** Monotonic time of the borrower's last message, in ms. */
    seenAt: number;
}

interface UpstreamAllocation {
    readonly startId: string;
    readonly ramp: SlotRamp;
    readonly leases: Map<string, Lease>;
    /** Slots that may be lent in total at present. */
    allocatable: number;
    lastStepAt: number;
    completed: number;
    failed: number;
    totalMs: number;
    /** Requests that may run on the upstream although no live borrower accounts for them. */
    unattributed: number;
    unattributedSince: number;
    hasCheckedHandover: boolean;
}

/** Lends the slots of the upstreams that this instance owns. */
export class SlotAllocator {
    private readonly clock: Clock;
    private readonly registry: UpstreamRegistry;
    /** How this instance owns the upstream; undefined when it does not. */
    private readonly ownershipOf: (upstream: Upstream) => Ownership | undefined;
    private readonly sendRenewalHint: SendRenewalHint;
    private readonly allocations = new Map<string, UpstreamAllocation>();

    public constructor(
        clock: Clock,
        registry: UpstreamRegistry,
        ownershipOf: (upstream: Upstream) => Ownership | undefined,
        nudge: SendRenewalHint,
    ) {
        this.clock = clock;
        this.registry = registry;
        this.ownershipOf = ownershipOf;
        this.sendRenewalHint = nudge;
    }

    /**
     * Answers a batch of wants of one borrower, named by its instance and start. Upstreams that this
     * instance does not own are left out.
     */
    public grantSlots(borrower: string, requests: readonly SlotRequest[]): SlotGrant[] {
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
            grants.push(this.renewLease(borrower, req, upstream, ownership));
        }
        return grants;
    }

    /** Drops the loans of a borrower whose process is known to have ended; its connections ended with it. */
    public removeHolder(borrower: string): void {
        for (const book of this.allocations.values()) {
            book.leases.delete(borrower);
        }
    }

    private renewLease(borrower: string, req: SlotRequest, upstream: Upstream, ownership: Ownership): SlotGrant {
        const now = this.clock.monotonic();
        const book = this.allocationOf(upstream, now);
        const loan = updateLease(book, borrower, req, now);
        const isHandover = now < handoverEnd(upstream, ownership.since);
        if (isHandover) {
            book.ramp.adoptLimit(req.knownLimit);
        }
        else {
            this.reclaimExpired(book, upstream, now);
        }
        this.stepRamp(book, upstream, now);
        book.allocatable = Math.max(0, ownedLimit(book.ramp.limit, ownership.fraction) - book.unattributed);
        const parts = computeAllocations(book, now);
        loan.granted = isHandover ? 0 : allocate(book, borrower, parts, now);
        loan.seq++;
        loan.grants.push({ seq: loan.seq, granted: loan.granted, expiresAt: now + HOLDER_TIMEOUT_MS });
        if (!isHandover) {
            this.hintOtherHolders(book, req.upstream, borrower, parts, now);
        }
        return {
            upstream: req.upstream,
            startId: req.startId,
            seq: loan.seq,
            granted: loan.granted,
            isContended: isContended(book),
            leaseMs: SLOT_LEASE_MS,
            limit: book.ramp.limit,
        };
    }

    /** Tells borrowers in need when there is something to lend, and calls back what others hold when there is not. */
    private hintOtherHolders(
        book: UpstreamAllocation,
        upstream: string,
        borrower: string,
        parts: Map<string, Allocation>,
        now: number,
    ): void {
        let free = book.allocatable - committedToOthers(book, "", now);
        for (const [name, loan] of neediestFirst(book)) {
            const held = reserved(loan, now);
            const missing = (parts.get(name)?.needed ?? 0) - held;
            const isServed = missing > 0 && free > 0;
            const isCalled = isContended(book) && willReuse(loan, held)
                && reservedForNeedier(book, name, parts, now) > 0;
            if (name === borrower || !(isServed || isCalled) || now - loan.hintedAt < MIN_HINT_INTERVAL_MS) {
                continue;
            }
            loan.hintedAt = now;
            free -= isServed ? missing : 0;
            this.sendRenewalHint(name, upstream, isContended(book));
        }
    }

    /** Accounts for lost borrowers, and at the end of a handover for those that never came back. */
    private reclaimExpired(book: UpstreamAllocation, upstream: Upstream, now: number): void {
        if (!book.hasCheckedHandover) {
            book.hasCheckedHandover = true;
            const running = upstream.load === undefined ? 0 : upstream.load.running + upstream.load.queued;
            addUnattributed(book, Math.max(0, running - sumInUse(book, now)), now);
        }
        for (const [borrower, loan] of book.leases) {
            if (now - loan.seenAt >= HOLDER_TIMEOUT_MS) {
                book.leases.delete(borrower);
                addUnattributed(book, maxReserved(loan), now);
            }
        }
        reduceUnattributed(book, upstream, now);
    }

    private allocationOf(upstream: Upstream, now: number): UpstreamAllocation {
        const { id, startId } = upstream.announcement;
        const known = this.allocations.get(id);
        if (known?.startId === startId) {
            return known;
        }
        const book: UpstreamAllocation = {
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
        this.allocations.set(id, book);
        return book;
    }

    private stepRamp(book: UpstreamAllocation, upstream: Upstream, now: number): void {
        if (upstream.load?.isCold === true && upstream.loadAt > book.lastStepAt) {
            book.ramp.reset();
        }
        if (now - book.lastStepAt < RAMP_STEP_MS) {
            return;
        }
        book.lastStepAt = now;
        const inUse = Math.max(sumInUse(book, now), Math.min(sumDemand(book), book.ramp.limit));
        const meanMs = book.completed === 0 ? 0 : book.totalMs / book.completed;
        book.ramp.step({ inUse, completed: book.completed, failed: book.failed, meanMs }, now);
        book.completed = 0;
        book.failed = 0;
        book.totalMs = 0;
    }
}

/** An upstream that started after the ownership was settled has no loans of an earlier owner. */
const handoverEnd = (upstream: Upstream, since: number): number =>
    upstream.firstSeenAt > since + OWNER_HANDOVER_MS ? since : since + OWNER_HANDOVER_MS;

const updateLease = (book: UpstreamAllocation, borrower: string, req: SlotRequest, now: number): Lease => {
    const loan = book.leases.get(borrower) ?? newLease(req.applied, now);
    loan.seq = Math.max(loan.seq, req.applied);
    // A grant sent before the one that the borrower has applied is never applied any more.
    loan.grants = loan.grants.filter(grant => grant.seq > req.applied && now < grant.expiresAt);
    loan.usable = req.usable;
    loan.usableUntil = now + HOLDER_TIMEOUT_MS;
    loan.seenAt = now;
    loan.needs = req.needs;
    loan.demand = demandOf(req.needs);
    loan.spare = req.spare;
    loan.inUse = req.inUse;
    loan.busyUntil = now + req.busyForMs * (1 + MAX_CLOCK_DRIFT);
    book.leases.set(borrower, loan);
    book.completed += req.completed;
    book.failed += req.failed;
    book.totalMs += req.meanMs * req.completed;
    return loan;
};

const newLease = (seq: number, now: number): Lease => ({
    seq,
    grants: [],
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

/** Slots that a loan can occupy: in flight, kept of the applied grant, or granted since and not expired. */
const reserved = (loan: Lease, now: number): number => {
    const usable = now < loan.usableUntil ? Math.max(loan.usable, loan.inUse) : loan.inUse;
    return loan.grants.reduce((most, grant) => now < grant.expiresAt ? Math.max(most, grant.granted) : most, usable);
};

/** The most that a borrower can have had in flight when its last grant expired. */
const maxReserved = (loan: Lease): number =>
    Math.max(loan.usable, loan.inUse, ...loan.grants.map(grant => grant.granted));

const committedToOthers = (book: UpstreamAllocation, borrower: string, now: number): number => {
    let total = 0;
    for (const [name, loan] of book.leases) {
        total += name === borrower ? 0 : reserved(loan, now);
    }
    return total;
};

const sumInUse = (book: UpstreamAllocation, now: number): number => {
    let total = 0;
    for (const loan of book.leases.values()) {
        total += now < loan.busyUntil ? loan.inUse : 0;
    }
    return total;
};

const isContended = (book: UpstreamAllocation): boolean => sumDemand(book) > book.allocatable;

/** True when the borrower would use a slot again that its next finished request frees. */
const willReuse = (loan: Lease, held: number): boolean =>
    held > loan.inUse || (loan.granted >= loan.inUse && loan.inUse > 0);

const allocate = (book: UpstreamAllocation, borrower: string, parts: Map<string, Allocation>, now: number): number => {
    const { needed, spare } = parts.get(borrower) ?? { needed: 0, spare: 0 };
    const free = Math.max(0, book.allocatable - committedToOthers(book, borrower, now));
    const inUse = book.leases.get(borrower)?.inUse ?? 0;
    const owed = reservedForNeedier(book, borrower, parts, now);
    if (owed === 0) {
        return Math.min(needed + spare, free);
    }
    // Someone lacks its fair part: whoever of the others finishes a request first gives its slot back.
    return Math.min(needed, Math.max(0, free - owed), Math.max(0, inUse - 1));
};

/** Slots that borrowers lack whose waiting accounts have less, by weight, than those of `borrower`. */
const reservedForNeedier = (
    book: UpstreamAllocation,
    borrower: string,
    parts: Map<string, Allocation>,
    now: number,
): number => {
    const used = usedByAccount(book);
    const own = book.leases.get(borrower);
    const ownUse = own === undefined ? Infinity : leastUse(own, used);
    let owed = 0;
    for (const [name, loan] of book.leases) {
        if (name !== borrower && leastUse(loan, used) < ownUse) {
            owed += Math.max(0, (parts.get(name)?.needed ?? 0) - reserved(loan, now));
        }
    }
    return owed;
};

/** Slots in use by weight of the neediest account that waits at a borrower. */
const leastUse = (loan: Lease, used: ReadonlyMap<string, number>): number => {
    let least = Infinity;
    for (const { account, weight, waiting } of loan.needs) {
        if (waiting > 0) {
            least = Math.min(least, (used.get(account) ?? 0) / weight);
        }
    }
    return least;
};

/** What is free must not be offered to one that will not get it while a needier one waits. */
const neediestFirst = (book: UpstreamAllocation): [string, Lease][] => {
    const used = usedByAccount(book);
    return [...book.leases].sort(([, a], [, b]) => compare(leastUse(a, used), leastUse(b, used)));
};

/** Order of two numbers of which both may be infinite. */
const compare = (a: number, b: number): number => a === b ? 0 : a < b ? -1 : 1;

const usedByAccount = (book: UpstreamAllocation): Map<string, number> => {
    const used = new Map<string, number>();
    for (const loan of book.leases.values()) {
        for (const { account, inUse } of loan.needs) {
            used.set(account, (used.get(account) ?? 0) + inUse);
        }
    }
    return used;
};

const sumDemand = (book: UpstreamAllocation): number => {
    let total = 0;
    for (const loan of book.leases.values()) {
        total += loan.demand;
    }
    return total;
};

const addUnattributed = (book: UpstreamAllocation, count: number, now: number): void => {
    if (count > 0) {
        book.unattributed += count;
        book.unattributedSince = now;
    }
};

/** A load report that describes a later time shows how many of the unattributed requests still run. */
const reduceUnattributed = (book: UpstreamAllocation, upstream: Upstream, now: number): void => {
    if (book.unattributed === 0) {
        return;
    }
    if (now - book.unattributedSince > MAX_REQUEST_MS) {
        book.unattributed = 0;
        return;
    }
    if (upstream.load !== undefined && upstream.loadAt > book.unattributedSince + REPORT_LAG_MS) {
        const running = upstream.load.running + upstream.load.queued;
        book.unattributed = Math.min(book.unattributed, Math.max(0, running - sumInUse(book, now)));
    }
};

/** How often the order among equals changes, so that remainders go round, in ms. */
const ROTATION_MS = 1000;

const computeAllocations = (book: UpstreamAllocation, now: number): Map<string, Allocation> => {
    const borrowers = [...book.leases].map(([name, { needs, spare }]) => ({ name, needs, spare }));
    return divideSlots(book.allocatable, borrowers, Math.floor(now / ROTATION_MS));
};

const demandOf = (needs: readonly AccountNeed[]): number =>
    needs.reduce((sum, need) => sum + need.inUse + need.waiting, 0);
