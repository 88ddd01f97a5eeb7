/**
 * Forwards the messages that upstreams send to this instance to the other instances of the region. New announcements
 * and leave notices are forwarded at once and in full, heartbeats as short ids in one batch per second.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { hash32 } from "../routing/Hash.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Announcement, type CacheEvent, type LeaveNotice, type LoadReport } from "./Upstream.ts";
import { type Upstream, type UpstreamRegistry } from "./UpstreamRegistry.ts";

/** Period at which heartbeats are forwarded, in ms. */
const RENEWAL_PERIOD_MS = 1000;
/** Period at which load reports and cache events are forwarded, in ms. */
const REPORT_PERIOD_MS = 500;
const CALL_TIMEOUT_MS = 500;

/** Forwards the messages of upstreams to the other instances. */
export class UpstreamRelay extends DisposableOwner {
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly registry: UpstreamRegistry;
    private readonly onCache: (event: CacheEvent) => void;
    /** True while requests of this instance are in flight on the upstream. */
    private readonly isInUse: (upstream: Upstream) => boolean;
    private readonly announcements = new Map<string, Announcement>();
    private readonly byShortId = new Map<number, Announcement>();
    private readonly pendingRenewals = new Set<number>();
    private readonly loads = new Map<string, LoadReport>();
    private caches: CacheEvent[] = [];

    public constructor(
        clock: Clock,
        network: PeerNetwork,
        membership: Membership,
        registry: UpstreamRegistry,
        onCache: (event: CacheEvent) => void,
        isInUse: (upstream: Upstream) => boolean,
    ) {
        super();
        this.isInUse = isInUse;
        this.network = network;
        this.membership = membership;
        this.registry = registry;
        this.onCache = onCache;
        this.register(network.handle("announceUpstreams", req => this.onAnnounced(req.announcements, req.renewals)));
        this.register(network.handle("doubtUpstream", req => this.onMarkedUnconfirmed(req)));
        this.register(network.handle("fetchUpstreams", () => ({ announcements: [...this.announcements.values()] })));
        this.register(network.handle("leaveUpstream", req => this.onLeft(req)));
        this.register(network.handle("reportUpstreams", req => this.onReported(req.loads, req.caches)));
        this.register(registry.onLost(loss => this.remove(loss.upstream.announcement)));
        this.register(repeat(clock, RENEWAL_PERIOD_MS, () => this.broadcastRenewals()));
        this.register(repeat(clock, REPORT_PERIOD_MS, () => this.broadcastReports()));
    }

    /** Applies an announcement that the upstream sent to this instance. */
    public announce(announcement: Announcement): boolean {
        if (!this.registry.announce(announcement)) {
            return false;
        }
        if (this.store(announcement)) {
            this.broadcast(peer => this.sendAnnouncements(peer, [announcement], []));
        }
        this.pendingRenewals.add(shortId(announcement));
        return true;
    }

    /** Copies the upstreams of one peer, so that an instance that has just started need not wait for heartbeats. */
    public async catchUp(): Promise<void> {
        for (const member of this.membership.otherEntryInstances()) {
            try {
                const reply = await this.network.call(member.id, "fetchUpstreams", {}, CALL_TIMEOUT_MS);
                this.onAnnounced(reply.announcements, []);
                return;
            }
            catch {
                continue;
            }
        }
    }

    /** Applies a leave notice that the upstream sent to this instance. */
    public leave(notice: LeaveNotice): void {
        this.registry.leave(notice);
        this.broadcast(peer => this.network.call(peer, "leaveUpstream", notice, CALL_TIMEOUT_MS));
    }

    /** Blocks new requests to an upstream after a connection to it broke, on this and the other instances. */
    public markUnconfirmed(upstream: Upstream): void {
        const { id, startId } = upstream.announcement;
        this.registry.markUnconfirmed(upstream);
        this.broadcast(peer => this.network.call(peer, "doubtUpstream", { id, startId }, CALL_TIMEOUT_MS));
    }

    public report(report: LoadReport): void {
        this.registry.report(report);
        this.loads.set(report.id, report);
    }

    public cache(event: CacheEvent): void {
        this.onCache(event);
        this.caches.push(event);
    }

    private onAnnounced(announcements: readonly Announcement[], renewals: readonly number[]): { unknown: number[]; } {
        for (const announcement of announcements) {
            if (this.registry.announce(announcement)) {
                this.store(announcement);
            }
        }
        const unknown: number[] = [];
        for (const id of renewals) {
            const announcement = this.byShortId.get(id);
            if (announcement === undefined || !this.registry.announce(announcement)) {
                unknown.push(id);
            }
        }
        return { unknown };
    }

    private onMarkedUnconfirmed({ id, startId }: LeaveNotice): Record<string, never> {
        const upstream = this.registry.get(id);
        // Requests of this instance that are still in flight on it show that the process runs.
        if (upstream?.announcement.startId === startId && !this.isInUse(upstream)) {
            this.registry.markUnconfirmed(upstream);
        }
        return {};
    }

    private onLeft(notice: LeaveNotice): Record<string, never> {
        this.registry.leave(notice);
        return {};
    }

    private onReported(loads: readonly LoadReport[], caches: readonly CacheEvent[]): Record<string, never> {
        loads.forEach(load => this.registry.report(load));
        caches.forEach(event => this.onCache(event));
        return {};
    }

    /** Stores an announcement. Returns true when it is new or differs from the stored one. */
    private store(announcement: Announcement): boolean {
        const stored = this.announcements.get(announcement.id);
        if (stored !== undefined && JSON.stringify(stored) === JSON.stringify(announcement)) {
            return false;
        }
        this.remove(stored);
        this.announcements.set(announcement.id, announcement);
        this.byShortId.set(shortId(announcement), announcement);
        return true;
    }

    private remove(announcement: Announcement | undefined): void {
        if (announcement === undefined) {
            return;
        }
        this.byShortId.delete(shortId(announcement));
        if (this.announcements.get(announcement.id)?.startId === announcement.startId) {
            this.announcements.delete(announcement.id);
        }
    }

    private broadcastRenewals(): void {
        const renewals = [...this.pendingRenewals];
        this.pendingRenewals.clear();
        if (renewals.length > 0) {
            this.broadcast(peer => this.sendAnnouncements(peer, [], renewals));
        }
    }

    private broadcastReports(): void {
        const loads = [...this.loads.values()];
        const caches = this.caches;
        this.loads.clear();
        this.caches = [];
        if (loads.length + caches.length > 0) {
            this.broadcast(peer => this.network.call(peer, "reportUpstreams", { loads, caches }, CALL_TIMEOUT_MS));
        }
    }

    /** Sends announcements and heartbeats. The peer answers with unknown short ids, whose announcements follow. */
    private async sendAnnouncements(peer: string, announcements: Announcement[], renewals: number[]): Promise<void> {
        const reply = await this.network.call(peer, "announceUpstreams", { announcements, renewals }, CALL_TIMEOUT_MS);
        const missing = reply.unknown.map(id => this.byShortId.get(id)).filter(item => item !== undefined);
        if (missing.length > 0) {
            await this.network.call(
                peer,
                "announceUpstreams",
                { announcements: missing, renewals: [] },
                CALL_TIMEOUT_MS,
            );
        }
    }

    /** Sends to all other instances. A failure is ignored: the next heartbeat brings a peer up to date. */
    private broadcast(send: (peer: string) => Promise<unknown>): void {
        for (const member of this.membership.otherEntryInstances()) {
            send(member.id).catch(() => undefined);
        }
    }
}

/** A 32-bit hash of an announcement; it changes with the process and with what it serves. */
const shortId = (announcement: Announcement): number => hash32(JSON.stringify(announcement));
