/**
 * Upstreams as this instance knows them: soft state, kept alive by announcements and dropped when they
 * stop. An upstream with a new start id is a new process and therefore cold.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Announcement, type LeaveNotice, type LoadReport, type Target, targetsOf } from "./Upstream.ts";

/** How long an announcement is valid. Upstreams repeat it every second. */
export const UPSTREAM_LEASE_MS = 3000;
/** A heartbeat may arrive this much after it was sent, by way of other instances, in ms. */
export const MAX_HEARTBEAT_DELAY_MS = 1300;
/** How often expired announcements are looked for. */
const EXPIRY_PERIOD_MS = 250;
/** How long a start id that has left is remembered, so that a late heartbeat does not bring it back. */
const TOMBSTONE_TTL_MS = 60_000;

/** An upstream and what is known of its state. */
export interface Upstream {
    announcement: Announcement;
    targets: ReadonlySet<Target>;
    /** Monotonic time at which this start of the upstream was first heard of, in ms. */
    readonly firstSeenAt: number;
    /** Monotonic time until which the announcement is valid, in ms. */
    leaseUntil: number;
    /** Monotonic time until which heartbeats do not show that the process still runs; 0 when it is not in doubt. */
    unconfirmedUntil: number;
    load: LoadReport | undefined;
    /** Monotonic time at which `load` arrived, in ms. */
    loadAt: number;
}

/** Why an upstream was dropped. */
export type LossReason = "left" | "expired" | "restarted";

/** An upstream that no longer receives work. */
export interface UpstreamLoss {
    readonly upstream: Upstream;
    readonly reason: LossReason;
}

/** The set of live upstreams. */
export class UpstreamRegistry extends DisposableOwner {
    private readonly clock: Clock;
    private readonly upstreams = new Map<string, Upstream>();
    private readonly byTarget = new Map<Target, Upstream[]>();
    private readonly tombstones = new Map<string, number>();
    private readonly added = this.register(new Emitter<Upstream>());
    private readonly changed = this.register(new Emitter<Upstream>());
    private readonly lost = this.register(new Emitter<UpstreamLoss>());

    /** An upstream was announced for the first time, or again after a restart. */
    public readonly onAdded = this.added.event;
    /** An upstream offers other targets or another capacity than before. */
    public readonly onChanged = this.changed.event;
    public readonly onLost = this.lost.event;

    public constructor(clock: Clock) {
        super();
        this.clock = clock;
        this.register(repeat(clock, EXPIRY_PERIOD_MS, () => this.expire()));
    }

    /** Takes an announcement or heartbeat. Returns false when that start of the upstream has left already. */
    public announce(announcement: Announcement): boolean {
        const now = this.clock.monotonic();
        const known = this.upstreams.get(announcement.id);
        if ((this.tombstones.get(startKey(announcement)) ?? 0) > now) {
            return false;
        }
        if (known !== undefined && isSameStart(known.announcement, announcement)) {
            known.leaseUntil = now + UPSTREAM_LEASE_MS;
            this.confirmOnHeartbeat(known, now);
            this.updateTargets(known, announcement);
            return true;
        }
        if (known !== undefined) {
            // A late heartbeat of the earlier start must not bring it back.
            this.tombstones.set(startKey(known.announcement), now + TOMBSTONE_TTL_MS);
            this.remove(known, "restarted");
        }
        this.add(announcement, now);
        return true;
    }

    /**
     * Keeps new work from an upstream whose connections broke: its process may be gone, or a cold one may have
     * taken its place. A heartbeat of the same start that was sent later ends the doubt.
     */
    public markUnconfirmed(upstream: Upstream): void {
        upstream.unconfirmedUntil = this.clock.monotonic() + MAX_HEARTBEAT_DELAY_MS;
    }

    /** Ends a doubt: a request that was sent before it was answered since. */
    public confirmAlive(upstream: Upstream): void {
        upstream.unconfirmedUntil = 0;
        this.changed.fire(upstream);
    }

    private confirmOnHeartbeat(upstream: Upstream, now: number): void {
        if (upstream.unconfirmedUntil > 0 && now >= upstream.unconfirmedUntil) {
            this.confirmAlive(upstream);
        }
    }

    public leave(leaving: LeaveNotice): void {
        this.tombstones.set(startKey(leaving), this.clock.monotonic() + TOMBSTONE_TTL_MS);
        const known = this.upstreams.get(leaving.id);
        if (known?.announcement.startId === leaving.startId) {
            this.remove(known, "left");
        }
    }

    /** Takes a load report. One of another start or out of order is ignored. */
    public report(report: LoadReport): void {
        const known = this.upstreams.get(report.id);
        if (known === undefined || known.announcement.startId !== report.startId) {
            return;
        }
        if (known.load !== undefined && known.load.seq >= report.seq) {
            return;
        }
        known.load = report;
        known.loadAt = this.clock.monotonic();
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

    /** A version loaded or unloaded while the process runs changes the offer and leaves the upstream warm. */
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
            const rest = this.serving(target).filter(item => item !== upstream);
            if (rest.length === 0) {
                this.byTarget.delete(target);
            }
            else {
                this.byTarget.set(target, rest);
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

const startKey = (start: LeaveNotice): string => `${start.id} ${start.startId}`;

const isSameStart = (a: Announcement, b: Announcement): boolean =>
    a.startId === b.startId && a.host === b.host && a.port === b.port;
