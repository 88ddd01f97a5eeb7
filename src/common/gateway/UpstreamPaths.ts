/**
 * Chooses the path of each new connection to an upstream: directly, or through another entry instance if this one has
 * lost its paths. A direct attempt has a head start; a connection through another instance that succeeds where the
 * direct one fails shows that the path is lost, and not the upstream.
 */
import { rendezvous } from "../routing/Hash.ts";
import { type Clock, sleep } from "../time/Clock.ts";

/** Head start of a direct connection before one through another instance is tried, in ms. */
const HEAD_START_MS = 150;
/** How long a path that was lost is not tried, in ms. */
const LOST_MS = 3000;
/** Number of upstreams with lost paths from which all paths count as lost. */
const MANY_LOST = 2;
/** Most instances through which one connection is tried. */
const MAX_RELAYS = 4;
/** How long an instance that relayed no connection is left out, in ms. */
const RELAY_PAUSE_MS = 2000;
/** How long no other instance is tried for an upstream that counts as down, in ms. */
const DOWN_MS = 1000;
/** Least time between two checks of the paths, in ms. */
const CHECK_PAUSE_MS = 500;

/** Error of a relay that could have been reached, but can't reach the upstream. */
export class UpstreamUnreachableError extends Error {}

/** A connection, and the instance through which it goes; undefined if it is direct. */
export interface DialedConnection<C> {
    readonly connection: C;
    readonly relay: string | undefined;
}

/** Dependencies of the paths; `C` is the type of a connection. */
export interface UpstreamPathsDependencies<C> {
    readonly clock: Clock;
    readonly self: string;
    /** Ids of the entry instances; empty while they may not know each other. */
    readonly entries: () => readonly string[];
    readonly dialDirect: (address: string) => Promise<C>;
    /** Rejects with `UpstreamUnreachableError` if the relay works, but can't reach the upstream. */
    readonly dialThrough: (relay: string, address: string) => Promise<C>;
    readonly discard: (connection: C) => void;
    /** Called when the path to an upstream is lost, or all paths: open connections may be dead. */
    readonly onLost: (address: string | undefined) => void;
    /** Called when a relay failed; it may not be needed after all. */
    readonly onRelayFailed: (relay: string, address: string, reason: string) => void;
}

/** Paths of one instance to all upstreams. */
export class UpstreamPaths<C> {
    private readonly deps: UpstreamPathsDependencies<C>;
    /** Monotonic time at which the path to each address was lost, in ms. */
    private readonly lostAt = new Map<string, number>();
    private allLostAt = -Infinity;
    private readonly pausedRelays = new Map<string, number>();
    private readonly downUntil = new Map<string, number>();
    private checkedAt = -Infinity;

    public constructor(deps: UpstreamPathsDependencies<C>) {
        this.deps = deps;
    }

    /** Whether this instance has lately lost its paths, so that it can't relay for others. */
    public get areLost(): boolean {
        return this.deps.clock.monotonic() - this.allLostAt < LOST_MS;
    }

    /** Opens a connection. Rejects with the error of the direct attempt. */
    public async dial(address: string): Promise<DialedConnection<C>> {
        if (this.isLost(address)) {
            const relayed = await this.dialRelays(address);
            if (relayed !== undefined) {
                return relayed;
            }
        }
        return this.dialWithHeadStart(address, false);
    }

    /** Checks the paths when no upstream has sent anything for a while, with a new connection to one of them. */
    public async check(address: string): Promise<void> {
        const { clock, discard } = this.deps;
        if (clock.monotonic() - this.checkedAt < CHECK_PAUSE_MS) {
            return;
        }
        this.checkedAt = clock.monotonic();
        try {
            discard((await this.dialWithHeadStart(address, true)).connection);
        }
        catch {
            // The upstream is down: that says nothing of the paths.
        }
    }

    private async dialWithHeadStart(address: string, areSilent: boolean): Promise<DialedConnection<C>> {
        const { clock, dialDirect, discard } = this.deps;
        const dial = (): Promise<DialedConnection<C>> =>
            dialDirect(address).then(connection => ({ connection, relay: undefined }));
        const direct = dial();
        const outcome = await Promise.race([
            direct.then(dialed => dialed, (err: unknown) => toError(err)),
            sleep(clock, HEAD_START_MS),
        ]);
        if (outcome !== undefined && !(outcome instanceof Error)) {
            return outcome;
        }
        // The operating system repeats an unanswered attempt after about a second. If the upstream accepts connections again
        // before, one of another instance would seem to show that the path is lost.
        const repeated = outcome === undefined ? [dial()] : [];
        const relayed = this.dialRelays(address).then(dialed => dialed ?? Promise.reject(new Error("no relay")));
        const attempts = [direct, ...repeated, relayed];
        const winner = await Promise.race([Promise.any(attempts), Promise.any([direct, relayed])])
            .catch(() => undefined);
        for (const attempt of attempts) {
            attempt.then(dialed => dialed === winner ? undefined : discard(dialed.connection), ignore);
        }
        if (winner === undefined) {
            // Only rejects: the direct attempt has failed.
            return direct;
        }
        if (winner.relay !== undefined) {
            this.recordLoss(address, areSilent);
        }
        return winner;
    }

    /** Tries some instances, one after the other, until one is connected or reports that the upstream is down. */
    private async dialRelays(address: string): Promise<DialedConnection<C> | undefined> {
        const { clock, dialThrough, onRelayFailed } = this.deps;
        for (const relay of this.chooseRelays(address)) {
            try {
                return { connection: await dialThrough(relay, address), relay };
            }
            catch (err) {
                onRelayFailed(relay, address, (err as Error).message);
                if (err instanceof UpstreamUnreachableError) {
                    this.downUntil.set(address, clock.monotonic() + DOWN_MS);
                    return undefined;
                }
                this.pausedRelays.set(relay, clock.monotonic() + RELAY_PAUSE_MS);
            }
        }
        return undefined;
    }

    private chooseRelays(address: string): string[] {
        const { clock, self, entries } = this.deps;
        const now = clock.monotonic();
        if (now < (this.downUntil.get(address) ?? -Infinity)) {
            return [];
        }
        const usable = entries().filter(id => id !== self && now >= (this.pausedRelays.get(id) ?? -Infinity));
        return rendezvous(`${self}|${address}`, usable, id => id, MAX_RELAYS);
    }

    private isLost(address: string): boolean {
        return this.areLost || this.deps.clock.monotonic() - (this.lostAt.get(address) ?? -Infinity) < LOST_MS;
    }

    private recordLoss(address: string, areSilent: boolean): void {
        const now = this.deps.clock.monotonic();
        for (const [other, at] of this.lostAt) {
            if (now - at >= LOST_MS) {
                this.lostAt.delete(other);
            }
        }
        this.lostAt.set(address, now);
        const isManyLost = areSilent || this.lostAt.size >= MANY_LOST;
        if (isManyLost) {
            this.allLostAt = now;
        }
        this.deps.onLost(isManyLost ? undefined : address);
    }
}

const toError = (err: unknown): Error => err instanceof Error ? err : new Error(String(err));

/** Errors of an attempt that is not waited for any more concern nobody. */
const ignore = (): void => undefined;
