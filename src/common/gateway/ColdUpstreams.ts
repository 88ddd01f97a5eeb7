/**
 * Cold upstreams, as this instance knows them: whether one is cold, and when it may get a request. An upstream has just
 * started or turned cold again for a while before an instance learns of it, and instances learn at different times. The
 * requests that were sent to it meanwhile are counted when the news comes: the limit over all instances holds only as
 * long as they believe the same. Where an instance has reason to think that an upstream has turned cold, it therefore
 * counts it as cold until the upstream says otherwise.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { ColdStartLimiter, type ColdStartRate } from "./ColdStartLimiter.ts";
import { type Service } from "./GatewayConfig.ts";
import { type UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type ReceivedRecord, type UpstreamRecord } from "./UpstreamRecord.ts";

/** How often what is kept about upstreams that are not known any more is discarded, in ms. */
const EVICTION_PERIOD_MS = 10_000;
/** Most requests that are remembered for one upstream. */
const MAX_REMEMBERED = 32;

/** Tolerance above the declared rate of cold upstreams; see `ColdStartRate`. */
export type ColdStartTolerance = Omit<ColdStartRate, "perSecond">;

/** A request to a cold upstream. */
export interface ColdSend {
    readonly record: UpstreamRecord;
    /** Time since this instance's previous request to it, in ms; undefined for the first. */
    readonly sinceLastMs: number | undefined;
    /** How much longer it stays cold, as far as this instance knows, in ms. */
    readonly coldLeftMs: number;
    /** Time since the upstream sent its newest record, in ms. */
    readonly recordAgeMs: number;
}

/** Requests that an upstream got while it was cold and counted as warm here. */
export interface MisjudgedSends {
    readonly record: UpstreamRecord;
    readonly requests: number;
    /** Time since the first of them, in ms. */
    readonly firstAgeMs: number;
}

/** Dependencies of `ColdUpstreams`. */
export interface ColdUpstreamsDependencies {
    readonly clock: Clock;
    readonly directory: UpstreamDirectory;
    /** Id of this instance. */
    readonly self: string;
    /** Ids of the entry instances, which share the rate of a cold upstream; empty while they may not know each other. */
    readonly entries: () => readonly string[];
    readonly tolerance: ColdStartTolerance;
    /** How long an upstream of the service stays cold after a start, in ms; 0 if that is not known. */
    readonly coldStartMs: (service: string) => number;
    /** Called for each request to an upstream that counts as cold. */
    readonly onSend: (send: ColdSend) => void;
    /** Called when a record shows that requests went to a cold upstream that counted as warm. */
    readonly onMisjudged: (sends: MisjudgedSends) => void;
}

/** What this instance knows of cold upstreams, and does about them. */
export class ColdUpstreams extends DisposableOwner {
    private readonly deps: ColdUpstreamsDependencies;
    private readonly limiter: ColdStartLimiter;
    /** Monotonic times of the newest requests to upstreams that counted as warm, in ms, by upstream id. */
    private readonly warmSends = new Map<string, number[]>();
    /** Monotonic times of the newest signs that an upstream may have turned cold, in ms, by upstream id. */
    private readonly doubtedAt = new Map<string, number>();
    private drainedDomains: readonly string[] = [];

    public constructor(deps: ColdUpstreamsDependencies) {
        super();
        this.deps = deps;
        this.limiter = new ColdStartLimiter(deps.clock, deps.self);
        this.register(repeat(deps.clock, EVICTION_PERIOD_MS, () => this.evictStale()));
        this.register(deps.directory.onChanged(({ record: { id, coldMs } }) => {
            const received = coldMs > 0 ? deps.directory.get(id) : undefined;
            if (received !== undefined) {
                this.checkSends(received);
            }
        }));
    }

    /** Whether the upstream may get a request now, as far as it is cold. */
    public maySend(service: Service, received: ReceivedRecord): boolean {
        if (this.coldLeftMs(received) <= 0 || service.coldPerSecond <= 0) {
            return true;
        }
        const rate = { perSecond: service.coldPerSecond, ...this.deps.tolerance };
        return this.limiter.maySend(received.record.id, rate, this.deps.entries());
    }

    /** Must be called for each request that is sent. */
    public recordSend(received: ReceivedRecord): void {
        const { record, receivedAt } = received;
        const now = this.deps.clock.monotonic();
        const coldLeftMs = this.coldLeftMs(received);
        // Also while it counts as warm, since it may have turned cold already, or started again under its id.
        const sinceLastMs = this.limiter.recordSend(record.id);
        if (coldLeftMs > 0) {
            this.deps.onSend({ record, sinceLastMs, coldLeftMs, recordAgeMs: now - receivedAt });
            return;
        }
        const times = this.warmSends.get(record.id) ?? [];
        times.push(now);
        if (times.length > MAX_REMEMBERED) {
            times.shift();
        }
        this.warmSends.set(record.id, times);
    }

    /**
     * Must be called when the drained domains have changed. The upstreams of a domain that is in service again may have
     * turned cold meanwhile: all instances learn of the end of the drain at once, but of each upstream by its next check-in.
     */
    public updateDrainedDomains(domains: readonly string[]): void {
        const returned = this.drainedDomains.filter(domain => !domains.includes(domain));
        this.drainedDomains = domains;
        for (const { record: { id, domain } } of this.deps.directory.all()) {
            if (returned.includes(domain)) {
                this.doubt(id);
            }
        }
    }

    /**
     * Must be called when no connection to an upstream could be made. Its process may have ended, and the next one, which
     * is cold, may be reached before it is known.
     */
    public recordUnreached(id: string): void {
        this.doubt(id);
    }

    private evictStale(): void {
        this.limiter.evictStale();
        for (const known of [this.warmSends, this.doubtedAt]) {
            for (const id of known.keys()) {
                if (this.deps.directory.get(id) === undefined) {
                    known.delete(id);
                }
            }
        }
    }

    /** Finds the requests that were sent while the upstream was cold already, by its newest record. */
    private checkSends({ record, receivedAt }: ReceivedRecord): void {
        const { clock, coldStartMs, onMisjudged } = this.deps;
        const coldSince = receivedAt + record.coldMs - coldStartMs(record.service);
        const times = this.warmSends.get(record.id)?.filter(at => at > coldSince) ?? [];
        const [first] = times;
        if (first !== undefined) {
            this.warmSends.delete(record.id);
            onMisjudged({ record, requests: times.length, firstAgeMs: clock.monotonic() - first });
        }
    }

    /** Counts the upstream as cold from now on, until it sends another record, but no longer than after a start. */
    private doubt(id: string): void {
        this.doubtedAt.set(id, this.deps.clock.monotonic());
    }

    /** How much longer the upstream counts as cold, in ms; 0 or less if it counts as warm. */
    private coldLeftMs({ record, receivedAt }: ReceivedRecord): number {
        const { clock, coldStartMs } = this.deps;
        const doubtedAt = this.doubtedAt.get(record.id) ?? -Infinity;
        const isDoubted = doubtedAt > receivedAt;
        // Nearly all upstreams are warm, and each request compares many.
        if (!isDoubted && record.coldMs <= 0) {
            return 0;
        }
        const doubtedUntil = isDoubted ? doubtedAt + coldStartMs(record.service) : -Infinity;
        return Math.max(doubtedUntil, receivedAt + record.coldMs) - clock.monotonic();
    }
}
