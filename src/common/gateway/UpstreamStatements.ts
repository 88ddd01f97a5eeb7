/**
 * What upstreams state about themselves in their responses: a limit of requests per second, and that they are leaving.
 * Instances pass the statements on to each other, so that one that has had no response of an upstream yet, or has
 * started again, knows them too.
 */
import * as z from "zod";
import { type Clock } from "../time/Clock.ts";

/** How long a statement holds if no later one arrives, in ms. */
const RETENTION_MS = 300_000;
/** A statement that repeats the known one is passed on only if it is later by this time, in ms. */
const RENEWAL_STEP_MS = 60_000;
/**
 * How long an upstream that has told this instance that it leaves gets no requests, in ms. It outlasts every planned
 * stop, and bounds the memory.
 */
const LEAVING_RETENTION_MS = 3_600_000;
/**
 * How long another instance's word that an upstream leaves holds, in ms. It may be wrong or old, so the upstream is
 * asked again; if it does leave, its response then says so.
 */
const HEARD_LEAVING_MS = 15_000;
/** A word that an upstream still leaves is passed on only if it is later by this time, in ms. */
const LEAVING_RENEWAL_STEP_MS = 5000;

export const upstreamStatementSchema = z.object({
    /** Name of the upstream process; see `processName`. */
    upstream: z.string(),
    /** Requests per second from all instances together; undefined if the upstream names no limit any more. */
    perSecond: z.number().nonnegative().optional(),
    /** Time since the upstream stated the limit, in ms. */
    ageMs: z.number(),
    /** Time since the upstream stated that it is leaving, in ms; undefined if it has not. */
    leavingAgeMs: z.number().optional(),
});

/** What an upstream has stated in its responses. */
export type UpstreamStatement = z.infer<typeof upstreamStatementSchema>;

interface Statement {
    readonly perSecond: number | undefined;
    /** Monotonic time, in ms. */
    readonly statedAt: number;
    /** Monotonic time at which the upstream stated that it is leaving, in ms; undefined if it has not. */
    readonly leavingAt: number | undefined;
    /** Whether it stated that in a response to this instance. */
    readonly isLeavingSeen: boolean;
    /** Number of the change by which others learn of it, and the times that they learn, in ms. */
    readonly change: number;
    readonly announcedAt: number;
    readonly announcedLeavingAt: number | undefined;
}

/** Newest statements of each upstream process that has named a limit or is leaving. */
export class UpstreamStatements {
    private readonly clock: Clock;
    private readonly statements = new Map<string, Statement>();
    private lastChange = 0;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Number of the newest change. */
    public get version(): number {
        return this.lastChange;
    }

    /** Limit in force of an upstream process, in requests per second; undefined if it has none. */
    public limitOf(upstream: string): number | undefined {
        const statement = this.statements.get(upstream);
        return statement === undefined || this.isOutdated(statement) ? undefined : statement.perSecond;
    }

    /** Whether an upstream process is known to leave, so that it must not get requests. */
    public isLeaving(upstream: string): boolean {
        const { leavingAt, isLeavingSeen = false } = this.statements.get(upstream) ?? {};
        const ageMs = this.clock.monotonic() - (leavingAt ?? -Infinity);
        return ageMs < (isLeavingSeen ? LEAVING_RETENTION_MS : HEARD_LEAVING_MS);
    }

    /** The newest statement of an upstream process, to be passed on. */
    public newestOf(upstream: string): UpstreamStatement | undefined {
        const statement = this.statements.get(upstream);
        return statement === undefined ? undefined : this.toUpstreamStatement(upstream, statement);
    }

    /** Records a response to this instance. Returns whether the limit has changed. */
    public recordResponse(upstream: string, perSecond: number | undefined, isLeaving: boolean): boolean {
        const known = this.statements.get(upstream);
        if (isLeaving) {
            this.recordLeaving(upstream);
        }
        else if (known?.leavingAt !== undefined && !known.isLeavingSeen) {
            // An upstream that leaves says so in all its responses, so the other instance's word was wrong.
            this.statements.set(upstream, { ...known, leavingAt: undefined });
        }
        return this.merge({ upstream, ...(perSecond === undefined ? {} : { perSecond }), ageMs: 0 });
    }

    /** Records that a response, which this instance got or relayed, states that the upstream is leaving. */
    public recordLeaving(upstream: string): void {
        const now = this.clock.monotonic();
        // Nothing is known of a limit, which is passed on as a statement older than any that holds.
        const statedAt = now - RETENTION_MS;
        const known = this.statements.get(upstream)
            ?? { perSecond: undefined, statedAt, change: 0, announcedAt: statedAt, announcedLeavingAt: undefined };
        this.put(upstream, { ...known, leavingAt: now, isLeavingSeen: true }, false);
    }

    /** Merges a statement; what is older than the known one is ignored. Returns whether the limit has changed. */
    public merge({ upstream, perSecond, ageMs, leavingAgeMs }: UpstreamStatement): boolean {
        const now = this.clock.monotonic();
        const statedAt = now - ageMs;
        const heardAt = leavingAgeMs === undefined ? undefined : now - leavingAgeMs;
        const known = this.statements.get(upstream);
        if (known === undefined && perSecond === undefined && heardAt === undefined) {
            return false;
        }
        const isLater = known === undefined || statedAt >= known.statedAt;
        const hasChanged = isLater && known?.perSecond !== perSecond;
        const isRenewed = isLater && known !== undefined && statedAt - known.announcedAt > RENEWAL_STEP_MS;
        this.put(upstream, {
            perSecond: isLater ? perSecond : known.perSecond,
            statedAt: isLater ? statedAt : known.statedAt,
            leavingAt: latestOf(known?.leavingAt, heardAt),
            isLeavingSeen: known?.isLeavingSeen ?? false,
            change: known?.change ?? 0,
            announcedAt: known?.announcedAt ?? statedAt,
            announcedLeavingAt: known?.announcedLeavingAt,
        }, known === undefined || hasChanged || isRenewed);
        return hasChanged;
    }

    /** The statements that have come or changed after change number `since`. */
    public changedSince(since: number): UpstreamStatement[] {
        return [...this.statements]
            .filter(([, { change }]) => change > since)
            .map(([upstream, statement]) => this.toUpstreamStatement(upstream, statement));
    }

    /** Removes what no longer holds. To be called now and then. */
    public evictStale(): void {
        for (const [upstream, statement] of this.statements) {
            if (this.isOutdated(statement) && !this.isLeaving(upstream)) {
                this.statements.delete(upstream);
            }
        }
    }

    /** Stores a statement under a new change number if others must learn of it. */
    private put(upstream: string, statement: Statement, isNews: boolean): void {
        const { leavingAt, announcedLeavingAt = -Infinity, statedAt } = statement;
        const isLeavingNews = leavingAt !== undefined && leavingAt - announcedLeavingAt > LEAVING_RENEWAL_STEP_MS;
        this.statements.set(
            upstream,
            isNews || isLeavingNews
                ? { ...statement, change: ++this.lastChange, announcedAt: statedAt, announcedLeavingAt: leavingAt }
                : statement,
        );
    }

    private toUpstreamStatement(upstream: string, { perSecond, statedAt, leavingAt }: Statement): UpstreamStatement {
        const now = this.clock.monotonic();
        return {
            upstream,
            ...(perSecond === undefined ? {} : { perSecond }),
            ageMs: now - statedAt,
            ...(leavingAt === undefined ? {} : { leavingAgeMs: now - leavingAt }),
        };
    }

    private isOutdated({ statedAt }: Statement): boolean {
        return this.clock.monotonic() - statedAt > RETENTION_MS;
    }
}

const latestOf = (a: number | undefined, b: number | undefined): number | undefined =>
    a === undefined || b === undefined ? a ?? b : Math.max(a, b);
