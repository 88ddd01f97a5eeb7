/**
 * Upstreams as this instance knows them: soft state, kept alive by announcements and dropped when they
 * stop. An upstream with a new start id is a new process and therefore cold.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Announcement, type Leaving, type LoadReport, type Target, targetsOf } from "./Upstream.ts";

/** How long an announcement is valid. Upstreams repeat it every second. */
export const UPSTREAM_LEASE_MS = 3000;
/** A heartbeat may arrive this much after it was sent, by way of other instances, in ms. */
export const HEARTBEAT_DELAY_MS = 1300;
/** How often expired announcements are looked for. */
const EXPIRY_PERIOD_MS = 250;
/** How long a start id that has left is remembered, so that a late heartbeat does not bring it back. */
const LEFT_MEMORY_MS = 60_000;

/** An upstream and what is known of its state. */
export interface Upstream {
    announcement: Announcement;
    targets: ReadonlySet<Target>;
    /** Monotonic time at which this start of the upstream was first heard of, in ms. */
    readonly since: number;
    /** Monotonic time until which the announcement is valid, in ms. */
    leaseUntil: number;
    /** Monotonic time until which heartbeats do not show that the process still runs; 0 when it is not in doubt. */
    doubtedUntil: number;
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
    private readonly leftUntil = new Map<string, number>();
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
        if ((this.leftUntil.get(startKey(announcement)) ?? 0) > now) {
            return false;
        }
        if (known !== undefined && isSameStart(known.announcement, announcement)) {
            known.leaseUntil = now + UPSTREAM_LEASE_MS;
            this.endDoubt(known, now);
            this.updateOffer(known, announcement);
            return true;
        }
        if (known !== undefined) {
            // A late heartbeat of the earlier start must not bring it back.
            this.leftUntil.set(startKey(known.announcement), now + LEFT_MEMORY_MS);
            this.remove(known, "restarted");
        }
        this.add(announcement, now);
        return true;
    }

    /**
     * Keeps new work from an upstream whose connections broke: its process may be gone, or a cold one may have
     * taken its place. A heartbeat of the same start that was sent later ends the doubt.
     */
    public doubt(upstream: Upstream): void {
        upstream.doubtedUntil = this.clock.monotonic() + HEARTBEAT_DELAY_MS;
    }

    /** Ends a doubt: a request that was sent before it was answered since. */
    public trust(upstream: Upstream): void {
        upstream.doubtedUntil = 0;
        this.changed.fire(upstream);
    }

    private endDoubt(upstream: Upstream, now: number): void {
        if (upstream.doubtedUntil > 0 && now >= upstream.doubtedUntil) {
            this.trust(upstream);
        }
    }

    public leave(leaving: Leaving): void {
        this.leftUntil.set(startKey(leaving), this.clock.monotonic() + LEFT_MEMORY_MS);
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
            since: now,
            leaseUntil: now + UPSTREAM_LEASE_MS,
            doubtedUntil: 0,
            load: undefined,
            loadAt: 0,
        };
        this.upstreams.set(announcement.id, upstream);
        this.indexTargets(upstream);
        this.added.fire(upstream);
    }

    /** A version loaded or unloaded while the process runs changes the offer and leaves the upstream warm. */
    private updateOffer(upstream: Upstream, announcement: Announcement): void {
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
        for (const [key, until] of this.leftUntil) {
            if (until <= now) {
                this.leftUntil.delete(key);
            }
        }
    }
}

const noUpstreams: readonly Upstream[] = [];

const startKey = (start: Leaving): string => `${start.id} ${start.startId}`;

const isSameStart = (a: Announcement, b: Announcement): boolean =>
    a.startId === b.startId && a.host === b.host && a.port === b.port;
