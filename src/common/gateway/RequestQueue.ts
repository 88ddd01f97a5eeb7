/**
 * The requests for one service that wait at this instance until an upstream has room, and the decision which of them is
 * refused. Load that this addresses: more requests than the upstreams take, by a burst, by one account, or after a part
 * of the upstreams has been lost.
 *
 * Order: priority; then requests that have waited before, here or at a caller that was told to return; then fair queueing between accounts, by a virtual time that advances by the work of the account's
 * served requests; then the latest time at which the request must start to meet its objective. A request is refused as
 * soon as those ahead of it are expected to take longer than it may wait.
 */
import { type Clock } from "../time/Clock.ts";
import { ArrivalRates } from "./ArrivalRates.ts";
import { DepartureRate } from "./DepartureRate.ts";
import { ReturningRequests } from "./ReturningRequests.ts";

/** Most waiting requests, and most bytes of their bodies. */
const MAX_REQUESTS = 256;
const MAX_BYTES = 8 * 1024 * 1024;
/** Share of the objective for which a request waits if its caller has time for a useful repeat. */
const WAIT_SHARE = 1 / 4;
/** Share of the objective, or of the allowed waiting time if that is shorter, after which a request is raised. */
const RAISE_SHARE = 1 / 2;
/** Factor by which the work on a request may exceed its estimate, when the latest start before its deadline is set. */
const WORK_MARGIN = 1.5;
/** No request is sent with less time than this until its deadline, in ms. */
const MIN_ATTEMPT_MS = 10;
/**
 * Counts as the number of requests ahead of the first one: with departures at random times, it is sent in time in a fifth
 * of all cases even if the mean time between departures is four times what it may wait.
 */
const FIRST_IN_LINE = 1 / 4;
/**
 * Time after which a request must be expected to be sent within half of the time for which it may still wait, in ms.
 * Before that, it is refused only if it is very unlikely to be sent; after it, a refusal would come late: callers are to be
 * refused within 50 ms. Half, as requests that come later go ahead of some of those that wait.
 */
const DECISION_MS = 35;
const ADMISSION_SHARE = 1 / 2;
/** Bound of the share of departures that more urgent requests take, as requests that wait for long are raised. */
const MAX_OVERTAKING = 0.9;
/** Requests that can't be sent at the moment and are tried in one pass; the others wait for the next pass. */
const MAX_HELD = 4;

/** A request that waits. */
export interface WaitingRequest {
    /** Name of its account; requests without one share the empty name. */
    readonly account: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Work that it causes at an upstream, in ms. */
    readonly cost: number;
    /** Size of its body. */
    readonly bytes: number;
    readonly objectiveMs: number;
    /** Expected time from its start at an upstream until its answer begins, in ms. */
    readonly workMs: number;
    /** Boot time at which it arrived at this instance, in ms. */
    readonly arrivedAt: number;
    /** Boot time from which it waits, in ms. */
    readonly waitsSince: number;
    readonly deadlineAt: number;
    /** Whether an earlier attempt has failed: it has waited before, and goes ahead of new requests. */
    readonly isRepeat: boolean;
    /** Whether an attempt may have run: a refusal then doesn't let the caller repeat the request. */
    readonly mayHaveRun?: boolean;
    /** Whether it waits while it can begin within its objective: the deadline of a stream is many times that. */
    readonly isStream?: boolean;
    /** Same for a caller's repeat of the same request. */
    readonly key: () => string;
}

/**
 * Why a request no longer waits without having been sent. `deadline`: it can't be answered before its deadline.
 * `estimate`: those ahead of it are expected to take too long. `full`: the queue is full. `waited`: there was no room in
 * the time for which it may wait.
 */
export type QueueRefusalReason = "deadline" | "estimate" | "full" | "waited";

/** Refusal of a request. */
export interface QueueRefusal<T> {
    readonly req: T;
    readonly reason: QueueRefusalReason;
    /** Requests that would have been sent before it. */
    readonly ahead: number;
    /** Expected time until it would have been sent, in ms. */
    readonly estimateMs: number;
    /** Expected time until a request like this one is admitted, in ms. */
    readonly roomInMs: number;
}

/**
 * Result of an attempt to send a request: `sent`, `held` because no upstream has room for it, or `left` because it has
 * ended for another reason.
 */
export type StartResult = "sent" | "held" | "left";

interface Entry<T> {
    readonly req: T;
    /** Boot time until which it may wait, in ms. */
    readonly waitUntil: number;
    /** False if it has waited before, here or at its caller; such requests go ahead of new ones of their level. */
    readonly isNew: boolean;
    /** Virtual time and level by which it is ordered, as of the newest pass. */
    tag: number;
    level: number;
    isLate: boolean;
    /** Whether it was expected to be sent in time at `DECISION_MS`. */
    isAdmitted: boolean;
    isOverShare: boolean;
}

interface AccountState<T> {
    readonly entries: Set<Entry<T>>;
    /** Virtual time at which its next request starts. */
    virtualTime: number;
}

/** Queue of one service. */
export class RequestQueue<T extends WaitingRequest> {
    private readonly clock: Clock;
    private readonly isOverShare: (account: string) => boolean;
    private readonly entries = new Map<T, Entry<T>>();
    private readonly accounts = new Map<string, AccountState<T>>();
    private readonly departures: DepartureRate;
    private readonly returning: ReturningRequests;
    private readonly arrivals: ArrivalRates;
    private bytes = 0;
    /** Largest virtual time at which a request has started. */
    private virtualTime = 0;
    /** Counts passes, so that the requests behind those that are held are tried in turn. */
    private passes = 0;

    /** @param isOverShare whether an account sends more than its share */
    public constructor(clock: Clock, isOverShare: (account: string) => boolean) {
        this.clock = clock;
        this.isOverShare = isOverShare;
        this.departures = new DepartureRate(clock);
        this.returning = new ReturningRequests(clock);
        this.arrivals = new ArrivalRates(clock);
    }

    public get length(): number {
        return this.entries.size;
    }

    /** Whether less than the fraction of its capacity is used, by number and by size. */
    public isShorterThan(fraction: number): boolean {
        return this.entries.size < MAX_REQUESTS * fraction && this.bytes < MAX_BYTES * fraction;
    }

    public add(req: T): void {
        const account = this.activate(req.account);
        this.arrivals.record(req.priority);
        const isReturning = !req.isRepeat && !this.isOverShare(req.account) && this.returning.take(req.key);
        const entry: Entry<T> = {
            req,
            waitUntil: waitUntilOf(req),
            isNew: !req.isRepeat && !isReturning,
            tag: 0,
            level: 0,
            isLate: false,
            isAdmitted: false,
            isOverShare: false,
        };
        account.entries.add(entry);
        this.entries.set(req, entry);
        this.bytes += req.bytes;
    }

    /** Removes a request that no longer waits; without effect if it doesn't. */
    public remove(req: T): void {
        const entry = this.entries.get(req);
        if (entry !== undefined) {
            this.drop(entry);
            this.departures.setWaiting(this.entries.size > 0);
        }
    }

    /**
     * Calls `start` for the waiting requests in their order while upstreams have room, and returns those to be refused.
     * Requests whose deadline has passed, as after a freeze of the process, are not started.
     */
    public advance(start: (req: T) => StartResult): QueueRefusal<T>[] {
        const refusals = this.takeHopeless();
        const order = this.order();
        const firstInTurn = MAX_HELD - 1
            + (order.length > MAX_HELD ? this.passes++ % (order.length - MAX_HELD + 1) : 0);
        let held = 0;
        let isOverShareHeld = false;
        for (const [index, entry] of order.entries()) {
            const isOutOfTurn = held >= MAX_HELD - 1 && index < firstInTurn;
            if (isOutOfTurn || (isOverShareHeld && entry.isOverShare)) {
                continue;
            }
            const result = start(entry.req);
            if (result === "held") {
                isOverShareHeld ||= entry.isOverShare;
                if (++held >= MAX_HELD) {
                    break;
                }
                continue;
            }
            if (result === "sent") {
                this.recordStart(entry);
            }
            this.drop(entry);
        }
        this.departures.setWaiting(this.entries.size > 0);
        return [...refusals, ...this.takeRefusals(order.filter(({ req }) => this.entries.has(req)))];
    }

    private takeHopeless(): QueueRefusal<T>[] {
        const now = this.clock.boottime();
        const hopeless = [...this.entries.values()].filter(({ req }) => now > req.deadlineAt - MIN_ATTEMPT_MS);
        return hopeless.map(entry => this.refuse(entry, "deadline", 0));
    }

    /** The requests that are to be refused, among those that no upstream has room for. */
    private takeRefusals(order: readonly Entry<T>[]): QueueRefusal<T>[] {
        const now = this.clock.boottime();
        const meanMs = order.length === 0 ? 0 : this.departures.meanMs;
        const refusals: QueueRefusal<T>[] = [];
        let ahead = 0;
        for (const entry of order) {
            const isExpired = now >= entry.waitUntil;
            if (isExpired || this.isHopeless(entry, ahead, meanMs)) {
                refusals.push(this.refuse(entry, isExpired ? "waited" : "estimate", ahead));
            }
            else {
                ahead++;
            }
        }
        for (let index = order.length - 1; index > 0 && this.isTooLong(); index--) {
            const entry = order[index];
            if (entry !== undefined && this.entries.has(entry.req)) {
                refusals.push(this.refuse(entry, "full", --ahead));
            }
        }
        return refusals;
    }

    /** Whether a waiting request is not expected to be sent in time. */
    private isHopeless(entry: Entry<T>, ahead: number, meanMs: number): boolean {
        const { req, waitUntil, isAdmitted } = entry;
        const now = this.clock.boottime();
        const isJudged = !isAdmitted && now - req.waitsSince >= DECISION_MS;
        entry.isAdmitted ||= isJudged;
        const departures = Math.max(ahead, isJudged ? 1 : FIRST_IN_LINE);
        const queueMs = departures * meanMs / (1 - this.overtakingShare(req.priority, meanMs));
        return queueMs > (waitUntil - now) * (isJudged ? ADMISSION_SHARE : 1);
    }

    /** Share of the departures that go to more urgent requests, which arrive while one of this priority waits. */
    private overtakingShare(priority: number, meanMs: number): number {
        return Math.min(MAX_OVERTAKING, this.arrivals.perMsAbove(priority) * meanMs);
    }

    private isTooLong(): boolean {
        return this.entries.size > MAX_REQUESTS || this.bytes > MAX_BYTES;
    }

    private refuse(entry: Entry<T>, reason: QueueRefusalReason, ahead: number): QueueRefusal<T> {
        const { meanMs } = this.departures;
        const estimateMs = (ahead + 1) * meanMs;
        const allowedMs = entry.req.objectiveMs * WAIT_SHARE;
        this.drop(entry);
        return { req: entry.req, reason, ahead, estimateMs, roomInMs: Math.max(meanMs, estimateMs - allowedMs) };
    }

    /** Lets a request wait again that was taken out to be sent, because the chosen upstream may not get it. */
    public putBack(req: T): void {
        const account = this.accounts.get(req.account);
        if (account !== undefined) {
            account.virtualTime -= req.cost;
        }
        this.departures.cancelDeparture();
        this.add(req);
    }

    /** Remembers a refused request until the time at which its caller was told to return, and some seconds longer. */
    public recordRefusal(req: T, retryAfterMs: number): void {
        this.returning.add(req.key(), retryAfterMs);
    }

    private recordStart({ req, tag }: Entry<T>): void {
        const account = this.activate(req.account);
        this.virtualTime = Math.max(this.virtualTime, Math.min(tag, account.virtualTime));
        account.virtualTime += req.cost;
        this.departures.recordDeparture();
    }

    private drop(entry: Entry<T>): void {
        const account = this.accounts.get(entry.req.account);
        account?.entries.delete(entry);
        if (this.entries.delete(entry.req)) {
            this.bytes -= entry.req.bytes;
        }
        if (this.entries.size === 0) {
            this.evictAccounts();
        }
    }

    /** Drops the accounts that a new one would equal. */
    private evictAccounts(): void {
        for (const [name, { virtualTime, entries }] of this.accounts) {
            if (entries.size === 0 && virtualTime <= this.virtualTime) {
                this.accounts.delete(name);
            }
        }
    }

    /** An account that was idle resumes at the virtual time of the others: idleness gives no credit. */
    private activate(name: string): AccountState<T> {
        const known = this.accounts.get(name);
        if (known !== undefined) {
            if (known.entries.size === 0) {
                known.virtualTime = Math.max(known.virtualTime, this.virtualTime);
            }
            return known;
        }
        const created = { entries: new Set<Entry<T>>(), virtualTime: this.virtualTime };
        this.accounts.set(name, created);
        return created;
    }

    /** All requests, the next first. */
    private order(): Entry<T>[] {
        for (const [name, { entries, virtualTime }] of this.accounts) {
            if (entries.size > 0) {
                this.tag([...entries], virtualTime, this.isOverShare(name));
            }
        }
        return [...this.entries.values()].sort((a, b) => compareRanks(a, b) || a.tag - b.tag || compareStarts(a, b));
    }

    /**
     * Sets the level and the virtual time of the requests of one account. Those of an account above its share aren't
     * raised: most of them wait for long, and would go ahead of those of the others.
     */
    private tag(entries: Entry<T>[], virtualTime: number, isOverShare: boolean): void {
        const now = this.clock.boottime();
        for (const entry of entries) {
            const { req, waitUntil } = entry;
            const raiseMs = RAISE_SHARE * Math.min(req.objectiveMs, waitUntil - req.waitsSince);
            const isRaised = !isOverShare && now - req.waitsSince >= raiseMs;
            entry.isOverShare = isOverShare;
            entry.level = req.priority - (isRaised ? 1 : 0);
            entry.isLate = now > startByOf(req);
        }
        entries.sort((a, b) => compareRanks(a, b) || compareStarts(a, b));
        let tag = virtualTime;
        for (const entry of entries) {
            entry.tag = tag;
            tag += entry.req.cost;
        }
    }
}

/** Latest time at which the request must start to meet its objective. */
const startByOf = ({ arrivedAt, objectiveMs, workMs }: WaitingRequest): number => arrivedAt + objectiveMs - workMs;

const compareRanks = <T>(a: Entry<T>, b: Entry<T>): number => a.level - b.level || Number(a.isNew) - Number(b.isNew);

/** Those that can still meet their objective come first, the most urgent of them first. */
const compareStarts = <T extends WaitingRequest>(a: Entry<T>, b: Entry<T>): number =>
    Number(a.isLate) - Number(b.isLate) || startByOf(a.req) - startByOf(b.req) || a.req.waitsSince - b.req.waitsSince;

/**
 * A caller that is refused after a quarter of the objective can repeat its request and still meet the objective, if its
 * deadline leaves time for that; all others lose nothing by waiting as long as they can be served.
 */
const waitUntilOf = (req: WaitingRequest): number => {
    const latest = req.deadlineAt - req.workMs * WORK_MARGIN;
    if (req.mayHaveRun === true) {
        return latest;
    }
    const shareEnd = Math.max(
        req.waitsSince + req.objectiveMs * WAIT_SHARE,
        req.isStream === true ? startByOf(req) : -Infinity,
    );
    return req.deadlineAt - shareEnd >= req.objectiveMs ? Math.min(latest, shareEnd) : latest;
};
