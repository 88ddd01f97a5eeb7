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
const USED_LEASE_FRACTION = 1 - MAX_CLOCK_DRIFT;
/** Weight of the newest request in the mean request time. */
const MEAN_WEIGHT = 0.1;

/** How a request on an upstream ended. */
export interface SlotResult {
    readonly durationMs: number;
    /** True when the upstream is to blame: it crashed, refused or answered with a server error. */
    readonly isUpstreamFault: boolean;
}

/** The client account that a slot is used for. */
export interface SlotUser {
    readonly account: string;
    readonly weight: number;
}

/** Requests of a client account that wait. */
export interface WaitingCount extends SlotUser {
    readonly count: number;
}

/** Most client accounts that are told apart in one message. */
const MAX_ACCOUNTS = 32;
/** A first slot is asked for when an upstream appears, so that its first request does not wait. */
const FIRST_NEED: WaitingCount = { account: "", weight: 1, count: 1 };

/** Asks the owner for slots. Rejects or resolves with nothing when the owner cannot be reached. */
export type Borrow = (owner: string, requests: readonly SlotRequest[]) => Promise<readonly SlotGrant[]>;

interface Account {
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

/** What this instance may use of each upstream. */
export class SlotBook extends DisposableOwner {
    private readonly clock: Clock;
    private readonly ownerOf: (upstream: Upstream) => string | undefined;
    private readonly borrow: Borrow;
    /** Own failure domain. Spare slots elsewhere would be stuck when that domain is cut off. */
    private readonly domain: string;
    private readonly accounts = new Map<string, Account>();
    private readonly asking = new Set<string>();
    private readonly askAgain = new Set<string>();
    private readonly available = this.register(new Emitter<Upstream>());

    /** Slots of an upstream became free or were lent. */
    public readonly onAvailable = this.available.event;

    public constructor(
        clock: Clock,
        registry: UpstreamRegistry,
        ownerOf: (upstream: Upstream) => string | undefined,
        borrow: Borrow,
        domain: string,
    ) {
        super();
        this.clock = clock;
        this.ownerOf = ownerOf;
        this.borrow = borrow;
        this.domain = domain;
        this.register(registry.onAdded(upstream => this.open(upstream)));
        this.register(registry.onLost(loss => this.close(loss.upstream)));
        this.register(repeat(clock, SLOT_RENEWAL_MS, () => this.renewAll()));
    }

    /** Slots that can be taken now. */
    public freeSlots(upstream: Upstream): number {
        const account = this.accountOf(upstream);
        if (account === undefined || this.clock.monotonic() >= account.usableUntil) {
            return 0;
        }
        return Math.max(0, account.granted - account.inUse);
    }

    /** Slots that this instance has or can get: all of them while borrowers want no more than there are. */
    public obtainable(upstream: Upstream): number {
        const account = this.accountOf(upstream);
        if (account === undefined) {
            return 0;
        }
        return account.isContended ? Math.max(account.inUse, account.granted) : account.limit;
    }

    /** Requests of this instance in flight on the upstream. */
    public inFlight(upstream: Upstream): number {
        return this.accountOf(upstream)?.inUse ?? 0;
    }

    /** The same at the time of the newest load report. */
    public inFlightAtReport(upstream: Upstream): number {
        const account = this.accountOf(upstream);
        if (account === undefined) {
            return 0;
        }
        const seq = upstream.load?.seq ?? -1;
        if (seq !== account.reportSeq) {
            account.reportSeq = seq;
            account.inUseAtReport = account.inUse;
        }
        return account.inUseAtReport;
    }

    /** Requests that the upstream bears in total, as the owner last said. */
    public limitOf(upstream: Upstream): number {
        return this.accountOf(upstream)?.limit ?? 0;
    }

    /** Mean time of this instance's requests on the upstream, in ms, or 0. */
    public meanMs(upstream: Upstream): number {
        return this.accountOf(upstream)?.meanMs ?? 0;
    }

    /**
     * Takes a slot for a request of a client account that ends by `deadline` (monotonic, in ms). Returns false
     * when none is free.
     */
    public tryTake(upstream: Upstream, deadline: number, user: SlotUser): boolean {
        const account = this.accountOf(upstream);
        if (account === undefined || this.freeSlots(upstream) === 0) {
            return false;
        }
        account.inUse++;
        addInUse(account, user, 1);
        account.busyUntil = Math.max(account.busyUntil, deadline);
        return true;
    }

    /** Returns a slot. */
    public release(upstream: Upstream, result: SlotResult, user: SlotUser): void {
        const account = this.accountOf(upstream);
        if (account === undefined) {
            return;
        }
        account.inUse--;
        addInUse(account, user, -1);
        account.completed++;
        account.totalMs += result.durationMs;
        account.failed += result.isUpstreamFault ? 1 : 0;
        account.meanMs += (result.durationMs - account.meanMs) * (account.meanMs === 0 ? 1 : MEAN_WEIGHT);
        this.available.fire(upstream);
        this.returnUnneeded(account);
    }

    /** Renews the loan of an upstream at once, as its owner asks. */
    public onNudge(upstreamId: string, isContended: boolean): void {
        const account = this.accounts.get(upstreamId);
        const owner = account === undefined ? undefined : this.ownerOf(account.upstream);
        if (account !== undefined && owner !== undefined) {
            account.isContended = isContended;
            void this.askOwner(owner);
        }
    }

    /** Says how many requests of each client account wait for the upstream; asks its owner when slots are short. */
    public demand(upstream: Upstream, waiting: readonly WaitingCount[]): void {
        const account = this.accountOf(upstream);
        if (account === undefined) {
            return;
        }
        setWaiting(account, waiting);
        const owner = this.ownerOf(upstream);
        if (owner !== undefined && wantOf(account) > account.granted) {
            void this.askOwner(owner);
        }
    }

    /** Where others wait, a slot that is not needed here, or was called back, goes back at once. */
    private returnUnneeded(account: Account): void {
        const owner = this.ownerOf(account.upstream);
        const isReturned = wantOf(account) < account.granted || account.inUse >= account.granted;
        if (account.isContended && owner !== undefined && isReturned) {
            void this.askOwner(owner);
        }
    }

    private open(upstream: Upstream): void {
        this.accounts.set(upstream.announcement.id, {
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
        this.demand(upstream, [FIRST_NEED]);
    }

    private close(upstream: Upstream): void {
        if (this.accountOf(upstream) !== undefined) {
            this.accounts.delete(upstream.announcement.id);
        }
    }

    private accountOf(upstream: Upstream): Account | undefined {
        const account = this.accounts.get(upstream.announcement.id);
        return account?.upstream === upstream ? account : undefined;
    }

    private renewAll(): void {
        const owners = new Set<string>();
        for (const account of this.accounts.values()) {
            const owner = this.ownerOf(account.upstream);
            if (owner !== undefined) {
                owners.add(owner);
            }
        }
        for (const owner of owners) {
            void this.askOwner(owner);
        }
    }

    /** One request is under way for each owner at a time; a need that arises meanwhile is asked right after. */
    private async askOwner(owner: string): Promise<void> {
        if (this.asking.has(owner)) {
            this.askAgain.add(owner);
            return;
        }
        this.asking.add(owner);
        const sentAt = this.clock.monotonic();
        const accounts = [...this.accounts.values()].filter(account =>
            this.ownerOf(account.upstream) === owner && this.isRenewed(account)
        );
        if (accounts.length === 0) {
            this.asking.delete(owner);
            return;
        }
        try {
            const grants = await this.borrow(owner, accounts.map(account => this.toRequest(account, sentAt)));
            for (const grant of grants) {
                this.applyGrant(grant, sentAt);
            }
        }
        catch {
            // An owner that cannot be reached lends nothing; what it lent before is used until it expires.
        }
        finally {
            this.asking.delete(owner);
        }
        if (this.askAgain.delete(owner) && !this.isDisposed) {
            this.clock.schedule(ASK_AGAIN_MS, () => void this.askOwner(owner));
        }
    }

    /** Upstreams of other failure domains that are neither used nor wanted cost no messages. */
    private isRenewed(account: Account): boolean {
        const isLocal = account.upstream.announcement.domain === this.domain;
        return isLocal || wantOf(account) > 0 || account.granted > 0 || account.completed > 0;
    }

    private toRequest(account: Account, now: number): SlotRequest {
        const { id, startId } = account.upstream.announcement;
        const meanMs = account.completed === 0 ? 0 : account.totalMs / account.completed;
        const want = wantOf(account);
        const hasSpare = !account.isContended && account.upstream.announcement.domain === this.domain;
        const spare = hasSpare ? Math.max(MIN_SPARE, Math.ceil(want * SPARE_FRACTION)) : 0;
        // From here on no more than this is used of the applied grant, so the owner can lend the rest.
        account.granted = Math.min(account.granted, want + spare);
        const req = {
            upstream: id,
            startId,
            applied: account.appliedSeq,
            usable: account.granted,
            needs: [...account.needs.values()].sort((a, b) => b.waiting - a.waiting).slice(0, MAX_ACCOUNTS),
            spare,
            inUse: account.inUse,
            busyForMs: account.inUse === 0 ? 0 : Math.max(0, account.busyUntil - now),
            knownLimit: account.limit,
            meanMs,
            completed: account.completed,
            failed: account.failed,
        };
        account.completed = 0;
        account.failed = 0;
        account.totalMs = 0;
        return req;
    }

    private applyGrant(grant: SlotGrant, sentAt: number): void {
        const account = this.accounts.get(grant.upstream);
        if (account?.upstream.announcement.startId !== grant.startId || grant.seq <= account.appliedSeq) {
            return;
        }
        const isMore = grant.granted > account.granted || this.clock.monotonic() >= account.usableUntil;
        account.needs.delete(FIRST_NEED.account);
        account.granted = grant.granted;
        account.appliedSeq = grant.seq;
        account.isContended = grant.isContended;
        account.limit = grant.limit;
        account.usableUntil = sentAt + grant.leaseMs * USED_LEASE_FRACTION;
        if (isMore) {
            this.available.fire(account.upstream);
        }
    }
}

const wantOf = (account: Account): number => {
    let total = 0;
    for (const need of account.needs.values()) {
        total += need.inUse + need.waiting;
    }
    return Math.min(account.upstream.announcement.capacity, total);
};

const addInUse = (account: Account, user: SlotUser, change: number): void => {
    const need = account.needs.get(user.account);
    const next = {
        account: user.account,
        weight: user.weight,
        waiting: need?.waiting ?? 0,
        inUse: (need?.inUse ?? 0) + change,
    };
    setNeed(account, next);
};

const setWaiting = (account: Account, waiting: readonly WaitingCount[]): void => {
    for (const need of [...account.needs.values()]) {
        setNeed(account, { ...need, waiting: 0 });
    }
    for (const { account: name, weight, count } of waiting) {
        setNeed(account, { account: name, weight, inUse: account.needs.get(name)?.inUse ?? 0, waiting: count });
    }
};

const setNeed = (account: Account, need: AccountNeed): void => {
    if (need.inUse === 0 && need.waiting === 0) {
        account.needs.delete(need.account);
    }
    else {
        account.needs.set(need.account, need);
    }
};

/** Least time between two requests to the same owner, in ms. */
const ASK_AGAIN_MS = 2;
