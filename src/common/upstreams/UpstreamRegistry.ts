/**
 * The upstreams that this instance knows. An entry is soft state: heartbeats renew its lease, and it is removed when
 * they stop. An upstream with a new start id is a new process and therefore cold.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Announcement, type LeaveNotice, type LoadReport, type Target, targetsOf } from "./Upstream.ts";

/** Time for which an announcement is valid, in ms. Upstreams repeat it every second. */
export const UPSTREAM_LEASE_MS = 3000;
/** Longest time between sending and arrival of a heartbeat that other instances pass on, in ms. */
export const MAX_HEARTBEAT_DELAY_MS = 1300;
/** Period at which expired announcements are removed, in ms. */
const EXPIRY_PERIOD_MS = 250;
/** Time for which the start id of a process that has left is kept, so that a late heartbeat does not add it, in ms. */
const TOMBSTONE_TTL_MS = 60_000;

/** An upstream and its last known state. */
export interface Upstream {
    announcement: Announcement;
    targets: ReadonlySet<Target>;
    /** Monotonic time at which this process of the upstream was first announced, in ms. */
    readonly firstSeenAt: number;
    /** Monotonic time until which the announcement is valid, in ms. */
    leaseUntil: number;
    /**
     * Monotonic time from which a heartbeat confirms that the process still runs, in ms: earlier ones may have been
     * sent before a connection failed. 0 when no failure is suspected.
     */
    unconfirmedUntil: number;
    load: LoadReport | undefined;
    /** Monotonic time at which `load` arrived, in ms. */
    loadAt: number;
}

/** Why an upstream was removed. */
export type LossReason = "left" | "expired" | "restarted";

/** An upstream that was removed, and why. */
export interface UpstreamLoss {
    readonly upstream: Upstream;
    readonly reason: LossReason;
}

/** The set of live upstreams, with passive health checks. */
export class UpstreamRegistry extends DisposableOwner {
    private readonly clock: Clock;
    private readonly upstreams = new Map<string, Upstream>();
    private readonly byTarget = new Map<Target, Upstream[]>();
    /** Monotonic time until which heartbeats of a process that has left or was replaced are rejected, in ms. */
    private readonly tombstones = new Map<string, number>();
    private readonly added = this.register(new Emitter<Upstream>());
    private readonly changed = this.register(new Emitter<Upstream>());
    private readonly lost = this.register(new Emitter<UpstreamLoss>());

    /** Fires when an upstream is announced for the first time, or again after a restart. */
    public readonly onAdded = this.added.event;
    /** Fires when an upstream's targets or capacity have changed, or its process is confirmed to run. */
    public readonly onChanged = this.changed.event;
    /** Fires when an upstream has left, expired or restarted. */
    public readonly onLost = this.lost.event;

    public constructor(clock: Clock) {
        super();
        this.clock = clock;
        this.register(repeat(clock, EXPIRY_PERIOD_MS, () => this.expire()));
    }

    /** Applies an announcement or heartbeat. Returns false when that process has already left or been replaced. */
    public announce(announcement: Announcement): boolean {
        const now = this.clock.monotonic();
        const upstream = this.upstreams.get(announcement.id);
        if ((this.tombstones.get(startKey(announcement)) ?? 0) > now) {
            return false;
        }
        if (upstream !== undefined && isSameStart(upstream.announcement, announcement)) {
            upstream.leaseUntil = now + UPSTREAM_LEASE_MS;
            this.confirmOnHeartbeat(upstream, now);
            this.updateTargets(upstream, announcement);
            return true;
        }
        if (upstream !== undefined) {
            // A late heartbeat of the replaced process must not add it again.
            this.tombstones.set(startKey(upstream.announcement), now + TOMBSTONE_TTL_MS);
            this.remove(upstream, "restarted");
        }
        this.add(announcement, now);
        return true;
    }

    /**
     * Blocks new requests to an upstream after a connection to it failed: its process may have ended, or a cold one may
     * have replaced it. A heartbeat of the same process that was sent after the failure ends this.
     */
    public markUnconfirmed(upstream: Upstream): void {
        upstream.unconfirmedUntil = this.clock.monotonic() + MAX_HEARTBEAT_DELAY_MS;
    }

    /** Reverts `markUnconfirmed`, after a later heartbeat or the answer to a request sent before the failure. */
    public confirmAlive(upstream: Upstream): void {
        upstream.unconfirmedUntil = 0;
        this.changed.fire(upstream);
    }

    private confirmOnHeartbeat(upstream: Upstream, now: number): void {
        if (upstream.unconfirmedUntil > 0 && now >= upstream.unconfirmedUntil) {
            this.confirmAlive(upstream);
        }
    }

    /** Removes an upstream that leaves. */
    public leave(notice: LeaveNotice): void {
        this.tombstones.set(startKey(notice), this.clock.monotonic() + TOMBSTONE_TTL_MS);
        const upstream = this.upstreams.get(notice.id);
        if (upstream?.announcement.startId === notice.startId) {
            this.remove(upstream, "left");
        }
    }

    /** Applies a load report. Reports of another process or out of order are ignored. */
    public report(report: LoadReport): void {
        const upstream = this.upstreams.get(report.id);
        if (upstream === undefined || upstream.announcement.startId !== report.startId) {
            return;
        }
        if (upstream.load !== undefined && upstream.load.seq >= report.seq) {
            return;
        }
        upstream.load = report;
        upstream.loadAt = this.clock.monotonic();
    }

    public get(id: string): Upstream | undefined {
        return this.upstreams.get(id);
    }

    /** Live upstreams that serve `target`. The array must not be modified. */
    public serving(target: Target): readonly Upstream[] {
        return this.byTarget.get(target) ?? noUpstreams;
    }

    public all(): readonly Upstream[] {
        return [...this.upstreams.values()];
    }

    private add(announcement: Announcement, now: number): void {
        const upstream: Upstream = {
            announcement,
            targets: new Set(targetsOf(announcement)),
            firstSeenAt: now,
            leaseUntil: now + UPSTREAM_LEASE_MS,
            unconfirmedUntil: 0,
            load: undefined,
            loadAt: 0,
        };
        this.upstreams.set(announcement.id, upstream);
        this.indexTargets(upstream);
        this.added.fire(upstream);
    }

    /** Updates targets and capacity. A process that loads or unloads a version stays warm. */
    private updateTargets(upstream: Upstream, announcement: Announcement): void {
        const isUnchanged = targetsOf(announcement).join() === [...upstream.targets].join();
        if (isUnchanged && announcement.capacity === upstream.announcement.capacity) {
            return;
        }
        this.unindexTargets(upstream);
        upstream.announcement = announcement;
        upstream.targets = new Set(targetsOf(announcement));
        this.indexTargets(upstream);
        this.changed.fire(upstream);
    }

    private remove(upstream: Upstream, reason: LossReason): void {
        this.upstreams.delete(upstream.announcement.id);
        this.unindexTargets(upstream);
        this.lost.fire({ upstream, reason });
    }

    private indexTargets(upstream: Upstream): void {
        for (const target of upstream.targets) {
            this.byTarget.set(target, [...this.serving(target), upstream]);
        }
    }

    private unindexTargets(upstream: Upstream): void {
        for (const target of upstream.targets) {
            const others = this.serving(target).filter(item => item !== upstream);
            if (others.length === 0) {
                this.byTarget.delete(target);
            }
            else {
                this.byTarget.set(target, others);
            }
        }
    }

    private expire(): void {
        const now = this.clock.monotonic();
        for (const upstream of [...this.upstreams.values()]) {
            if (upstream.leaseUntil <= now) {
                this.remove(upstream, "expired");
            }
        }
        for (const [key, until] of this.tombstones) {
            if (until <= now) {
                this.tombstones.delete(key);
            }
        }
    }
}

const noUpstreams: readonly Upstream[] = [];

/** Key of one process of an upstream. */
const startKey = (start: LeaveNotice): string => `${start.id} ${start.startId}`;

const isSameStart = (a: Announcement, b: Announcement): boolean =>
    a.startId === b.startId && a.host === b.host && a.port === b.port;
