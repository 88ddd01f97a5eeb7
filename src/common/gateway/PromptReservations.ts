/**
 * Reservations of engine memory for the requests of this instance. It addresses long prompts of many instances, which
 * together would exceed the memory of an engine, which crashes it, or queue there behind each other.
 *
 * A part of the memory is divided between the instances: each uses its share without asking, which suffices for short
 * and medium prompts. Another part is lent by the engine's issuer (`PromptReservationIssuer`).
 */
import { type Disposable, DisposableOwner, toDisposable } from "../lifecycle/Disposable.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { type Clock, repeatWhileBusy, type WakefulRepeat } from "../time/Clock.ts";
import { type Prompt } from "./ExchangeCodec.ts";
import { type Service } from "./GatewayConfig.ts";
import { READ_TOKENS_PER_MS } from "./Placement.ts";
import { MEMORY_PARTS, type PromptReservationIssuer } from "./PromptReservationIssuer.ts";
import {
    type IssuerProcess,
    type LentReservation,
    ReservationIssuers,
    type ReservationReply,
} from "./ReservationIssuers.ts";
import { type UpstreamStatistics } from "./UpstreamStatistics.ts";

/** How long an engine whose issuer has denied a reservation is not asked for again, in ms. */
const DENIAL_MS = 100;
/** How often the holder looks for issuers that have changed, while it holds reservations, in ms. */
const REGISTRATION_PERIOD_MS = 500;
/** Added to the time until the deadline of a request, at which its engine ends it by itself, in ms. */
export const TTL_MARGIN_MS = 1000;
/** Delay of the release of an aborted attempt, in ms: its engine notices the closed connection at its next chunk. */
const ABORT_DELAY_MS = 500;
/** Part of the latency objective for which reserved prompts may keep an engine reading. */
const UNREAD_FRACTION = 1 / 4;
/** Size assumed for a request that states none, before any has stated one. */
const INITIAL_MEAN_TOKENS = 1000;
/** Weight of a new request in the moving average of the size. */
const MEAN_WEIGHT = 0.02;
/**
 * Number of entry instances that a new one assumes at least: the count may still be too low, and requests of instances
 * that it replaces, or whose shares become smaller by it, may still run.
 */
const MIN_ENTRIES_OF_NEW = 64;
/** Age of the load report up to which it shows that an engine is nearly idle, in ms. */
const IDLE_REPORT_MS = 1000;
/** Part of its slots that a nearly idle engine runs at most. */
const IDLE_SLOTS_FRACTION = 1 / 4;

/** Dependencies of the reservations. */
export interface PromptReservationsDependencies {
    readonly clock: Clock;
    readonly network: PeerNetwork;
    readonly upstreamStats: UpstreamStatistics;
    /** Issues the reservations for which this instance is the issuer. */
    readonly issuer: PromptReservationIssuer;
    /** Ids of the entry instances, this one included; empty while they may not know each other, or without a lease. */
    readonly entries: () => readonly string[];
    /** Ids of the entry instances that are listed now, also while some may be missing; `entries` by default. */
    readonly listedEntries?: () => readonly string[];
    readonly entryCount: () => number;
    /** Longest time to live of any reservation, in ms. */
    readonly longestTtlMs: () => number;
    /** Called when an issuer doesn't reply, and not again until it has replied. */
    readonly onIssuerLost: (issuer: string, reason: string) => void;
}

/** A request for which engine memory is to be reserved. */
export interface ReservationRequest {
    readonly service: Service;
    readonly prompt: Prompt | undefined;
    readonly objectiveMs: number;
    /** Time until the deadline of the request, in ms. */
    readonly remainingMs: number;
}

/** The engine at which memory is to be reserved. */
export interface ReservationTarget {
    /** See `processName`. */
    readonly name: string;
    readonly slots: number;
}

/**
 * How an attempt ended. `complete`: the engine has ended the request. `aborted`: its connection was closed. `silent`: it
 * was closed, but the engine may not know, because nothing has come from it lately.
 */
export type AttemptEnd = "complete" | "aborted" | "silent";

/** Memory reserved for one attempt. */
export interface PromptReservation {
    /** To be called when the first event has arrived: the engine has read the prompt. */
    recordRead(): void;
    /** Ends the reservation once the engine has freed the memory. Further calls have no effect. */
    end(how: AttemptEnd): void;
}

/** Numbers of operations, for metrics. */
export interface ReservationCounts {
    granted: number;
    denied: number;
    issuersLost: number;
    /** Reservations taken without an issuer. */
    withoutIssuer: number;
}

/** Reservations at an engine, according to the newest reply of its issuer. */
export interface ReservationFigures {
    readonly heldTokens: number;
    readonly unreadTokens: number;
    /** Monotonic time of the reply, in ms. */
    readonly at: number;
}

/** A reservation of the lent part. */
interface Loan extends LentReservation {
    unreadTokens: number;
    /** The issuer that knows of it; undefined if none is known to. */
    holder: IssuerProcess | undefined;
    isRegistering: boolean;
    readonly isWithoutIssuer: boolean;
}

const noReservation: PromptReservation = { recordRead: () => undefined, end: () => undefined };

/** Reservations of one instance. */
export class PromptReservations extends DisposableOwner {
    public readonly counts: ReservationCounts = { granted: 0, denied: 0, issuersLost: 0, withoutIssuer: 0 };
    private readonly deps: PromptReservationsDependencies;
    /** Tokens of unfinished requests in the divided part, by upstream process. */
    private readonly shares = new Map<string, number>();
    private readonly loans = new Map<string, Loan>();
    /** Monotonic time until which no issuer is asked for an upstream process, since it has denied, in ms. */
    private readonly deniedUntil = new Map<string, number>();
    private readonly figures = new Map<string, ReservationFigures>();
    /** Releases that are delayed. */
    private readonly timers = new Set<Disposable>();
    private readonly issuers: ReservationIssuers;
    /** Mean size of the requests by service, in tokens. */
    private readonly meanTokens = new Map<string, number>();
    private readonly process: string;
    private readonly startedAt: number;
    private requests = 0;
    private readonly registrations: WakefulRepeat;

    public constructor(deps: PromptReservationsDependencies) {
        super();
        this.deps = deps;
        const { onIssuerLost } = deps;
        this.issuers = new ReservationIssuers({
            ...deps,
            onIssuerLost: (issuer, reason) => {
                this.counts.issuersLost++;
                onIssuerLost(issuer, reason);
            },
        });
        this.startedAt = deps.clock.monotonic();
        this.process = `${deps.network.self} ${deps.clock.now()}`;
        this.register(toDisposable(() => this.timers.forEach(timer => timer.dispose())));
        this.registrations = this.register(repeatWhileBusy(deps.clock, REGISTRATION_PERIOD_MS, () => {
            this.registerLoans();
            return this.loans.size > 0;
        }));
    }

    /** Number of reservations of the lent part that this instance holds. */
    public get held(): number {
        return this.loans.size;
    }

    /** Adds to `excluded` the upstream processes that are known to have no memory for the request at the moment. */
    public exclude(req: ReservationRequest, excluded: ReadonlySet<string>): ReadonlySet<string> {
        const { clock, upstreamStats } = this.deps;
        const { memoryTokens, name } = req.service;
        const full = req.prompt === undefined ? this.shares : this.deniedUntil;
        if (memoryTokens === undefined || full.size === 0 || !upstreamStats.statesSlowdown(name)) {
            return excluded;
        }
        const result = new Set(excluded);
        const now = clock.monotonic();
        for (const [upstream, until] of this.deniedUntil) {
            if (until <= now) {
                this.deniedUntil.delete(upstream);
            }
        }
        for (const upstream of full.keys()) {
            if (!this.fitsShare(upstream, memoryTokens, this.sizeOf(req, memoryTokens))) {
                result.add(upstream);
            }
        }
        return result;
    }

    /** Reserves memory from the share of this instance, without asking; undefined if it doesn't suffice. */
    public takeShare({ name: upstream }: ReservationTarget, req: ReservationRequest): PromptReservation | undefined {
        const { memoryTokens, name } = req.service;
        if (memoryTokens === undefined) {
            return noReservation;
        }
        this.updateMean(req);
        const tokens = this.sizeOf(req, memoryTokens);
        if (this.deps.upstreamStats.statesSlowdown(name) && !this.fitsShare(upstream, memoryTokens, tokens)) {
            return undefined;
        }
        this.shares.set(upstream, (this.shares.get(upstream) ?? 0) + tokens);
        return this.toReservation(req.remainingMs, () => undefined, () => {
            const rest = (this.shares.get(upstream) ?? 0) - tokens;
            if (rest > 0) {
                this.shares.set(upstream, rest);
            }
            else {
                this.shares.delete(upstream);
            }
        });
    }

    /** Asks the issuer for a reservation of the lent part; resolves with undefined if there is none. */
    public async borrow(target: ReservationTarget, req: ReservationRequest): Promise<PromptReservation | undefined> {
        const { memoryTokens } = req.service;
        // A request that states no size is only served from the share, which counts a mean size for it.
        if (memoryTokens === undefined || req.prompt === undefined || this.isDenied(target.name)) {
            return undefined;
        }
        const loan = this.createLoan(target.name, req, memoryTokens, false);
        if (loan.tokens > memoryTokens * MEMORY_PARTS.lent) {
            this.counts.denied++;
            return undefined;
        }
        const issuer = this.issuers.find(target.name, this.deps.listedEntries?.());
        const reply = issuer === undefined ? undefined : await this.ask(issuer, loan, req);
        if (issuer === undefined || reply === undefined) {
            return this.borrowWithoutIssuer(target, req, memoryTokens);
        }
        const { heldTokens, unreadTokens } = reply;
        this.figures.set(target.name, { heldTokens, unreadTokens, at: this.deps.clock.monotonic() });
        if (!reply.isGranted) {
            this.deny(target.name);
            return undefined;
        }
        loan.holder = { issuer, epoch: reply.epoch };
        this.counts.granted++;
        return this.hold(loan);
    }

    /** The newest figures of the issuer for an upstream process; undefined if it has not been asked. */
    public figuresOf(upstream: string): ReservationFigures | undefined {
        return this.figures.get(upstream);
    }

    /** Discards what is kept about an upstream process that is gone. */
    public forget(upstream: string): void {
        this.issuers.forget(upstream);
        this.deniedUntil.delete(upstream);
        this.figures.delete(upstream);
    }

    private borrowWithoutIssuer(
        target: ReservationTarget,
        req: ReservationRequest,
        memoryTokens: number,
    ): PromptReservation | undefined {
        const loan = this.createLoan(target.name, req, memoryTokens, true);
        const isTaken = [...this.loans.values()].some(other => other.isWithoutIssuer && other.upstream === target.name);
        // Only one instance for each engine, since all may have lost the issuer at the same time.
        const isDeputy = this.issuers.isDeputyFor(target.name);
        const fits = loan.tokens <= memoryTokens * MEMORY_PARTS.withoutIssuer;
        if (isTaken || !isDeputy || !fits || !this.isNearlyIdle(target)) {
            this.deny(target.name);
            return undefined;
        }
        this.counts.withoutIssuer++;
        return this.hold(loan);
    }

    private isNearlyIdle({ name, slots }: ReservationTarget): boolean {
        const { clock, upstreamStats } = this.deps;
        const stats = upstreamStats.statsOf(name);
        const running = stats.inFlight + stats.otherInstancesLoad - stats.waiting;
        return clock.monotonic() - stats.loadReportedAt < IDLE_REPORT_MS
            && stats.waiting === 0 && running <= slots * IDLE_SLOTS_FRACTION;
    }

    private deny(upstream: string): void {
        this.counts.denied++;
        this.deniedUntil.set(upstream, this.deps.clock.monotonic() + DENIAL_MS);
    }

    private isDenied(upstream: string): boolean {
        return this.deps.clock.monotonic() < (this.deniedUntil.get(upstream) ?? -Infinity);
    }

    private createLoan(
        upstream: string,
        req: ReservationRequest,
        memoryTokens: number,
        isWithoutIssuer: boolean,
    ): Loan {
        return {
            upstream,
            request: `${this.process} ${++this.requests}`,
            tokens: this.sizeOf(req, memoryTokens),
            unreadTokens: req.prompt?.tokens ?? 0,
            memoryTokens,
            expiresAt: this.deps.clock.monotonic() + req.remainingMs + TTL_MARGIN_MS,
            holder: undefined,
            isRegistering: false,
            isWithoutIssuer,
        };
    }

    private hold(loan: Loan): PromptReservation {
        const { clock } = this.deps;
        this.loans.set(loan.request, loan);
        this.registrations.wake();
        const recordRead = (): void => {
            if (loan.unreadTokens > 0) {
                loan.unreadTokens = 0;
                void this.release(loan, true);
            }
        };
        const release = (): void => {
            this.loans.delete(loan.request);
            void this.release(loan, false);
        };
        return this.toReservation(loan.expiresAt - TTL_MARGIN_MS - clock.monotonic(), recordRead, release);
    }

    private toReservation(remainingMs: number, recordRead: () => void, release: () => void): PromptReservation {
        const { clock } = this.deps;
        const expiresAt = clock.monotonic() + remainingMs + TTL_MARGIN_MS;
        let hasEnded = false;
        return {
            recordRead,
            end: how => {
                if (hasEnded) {
                    return;
                }
                hasEnded = true;
                if (how === "complete") {
                    release();
                    return;
                }
                const untilExpiryMs = expiresAt - clock.monotonic();
                const delayMs = how === "silent" ? untilExpiryMs : Math.min(ABORT_DELAY_MS, untilExpiryMs);
                this.releaseLater(Math.max(0, delayMs), release);
            },
        };
    }

    private releaseLater(delayMs: number, release: () => void): void {
        const timer = this.deps.clock.schedule(delayMs, () => {
            this.timers.delete(timer);
            release();
        });
        this.timers.add(timer);
    }

    private async release(loan: Loan, isRead: boolean): Promise<void> {
        if (loan.holder !== undefined) {
            await this.issuers.release(loan.holder.issuer, loan, isRead);
        }
    }

    private async ask(issuer: string, loan: Loan, req: ReservationRequest): Promise<ReservationReply | undefined> {
        const maxUnreadTokens = req.objectiveMs * UNREAD_FRACTION * READ_TOKENS_PER_MS;
        const reply = await this.issuers.reserve(issuer, loan, maxUnreadTokens, false);
        if (reply === undefined) {
            // The call may still arrive, and be granted.
            void this.issuers.release(issuer, loan, false);
        }
        return reply;
    }

    /** Registers the reservations whose issuer has changed or has restarted. */
    private registerLoans(): void {
        for (const loan of this.loans.values()) {
            const issuer = this.issuers.find(loan.upstream);
            const { holder } = loan;
            const isKnown = holder !== undefined && holder.issuer === issuer && this.issuers.isCurrent(holder);
            if (issuer !== undefined && !isKnown && !loan.isRegistering) {
                void this.registerLoan(loan, issuer);
            }
        }
    }

    private async registerLoan(loan: Loan, issuer: string): Promise<void> {
        loan.isRegistering = true;
        const reply = await this.issuers.reserve(issuer, loan, 0, true);
        loan.isRegistering = false;
        if (reply === undefined) {
            return;
        }
        loan.holder = { issuer, epoch: reply.epoch };
        if (!this.loans.has(loan.request)) {
            // It has ended meanwhile.
            await this.release(loan, false);
        }
    }

    /** Tokens that the request may take at the engine. */
    private sizeOf({ prompt, service }: ReservationRequest, memoryTokens: number): number {
        return prompt === undefined
            ? Math.floor(
                Math.min(this.meanTokens.get(service.name) ?? INITIAL_MEAN_TOKENS, this.shareTokens(memoryTokens)),
            )
            : prompt.tokens + prompt.maxOutput;
    }

    private updateMean({ prompt, service }: ReservationRequest): void {
        if (prompt !== undefined) {
            const tokens = prompt.tokens + prompt.maxOutput;
            const mean = this.meanTokens.get(service.name) ?? tokens;
            this.meanTokens.set(service.name, mean + MEAN_WEIGHT * (tokens - mean));
        }
    }

    private fitsShare(upstream: string, memoryTokens: number, tokens: number): boolean {
        return (this.shares.get(upstream) ?? 0) + tokens <= this.shareTokens(memoryTokens);
    }

    private shareTokens(memoryTokens: number): number {
        const { clock, entries, entryCount, longestTtlMs } = this.deps;
        const { length } = entries();
        const isNew = length === 0 || clock.monotonic() - this.startedAt < longestTtlMs();
        return memoryTokens * MEMORY_PARTS.divided / Math.max(isNew ? MIN_ENTRIES_OF_NEW : 1, length, entryCount());
    }
}
