/**
 * Directory of the upstreams that are known to an instance. Records of upstreams are merged from several sources. Every
 * change gets a sequential number, so that a follower can request only the changes that it has not received.
 */
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock } from "../time/Clock.ts";
import { addressOf, isNewerRecord, type ReceivedRecord, type UpstreamRecord } from "./UpstreamRecord.ts";

/** How long an upstream is kept without a new record, in ms. Requests to it show earlier whether it still works. */
const EVICT_AFTER_MS = 30_000;

/** By how much the ends of one cold time differ between records of an upstream, as they take time to arrive, in ms. */
const COLD_TIME_JITTER_MS = 250;

interface DirectoryEntry extends ReceivedRecord {
    /** Number of the newest change, including heartbeats. */
    readonly lastChange: number;
    /** Number of the newest change of a field other than the sequence number. */
    readonly lastContentChange: number;
}

/** A record in which only the sequence number has changed: it shows that the upstream is alive. */
export interface Heartbeat {
    readonly id: string;
    readonly start: number;
    readonly seq: number;
    /** Monotonic time at which it was received from the upstream, in ms. */
    readonly receivedAt: number;
}

/** Changes since those that a follower has received. */
export interface DirectoryDelta {
    readonly records: readonly ReceivedRecord[];
    readonly heartbeats: readonly Heartbeat[];
}

/** Event data of a change. */
export interface DirectoryChange {
    readonly record: UpstreamRecord;
    /** Whether followers must get it at once, since an upstream has arrived or is leaving, instead of in a batch. */
    readonly isUrgent: boolean;
}

/** Upstreams by id. */
export class UpstreamDirectory {
    private readonly clock: Clock;
    private readonly entries = new Map<string, DirectoryEntry>();
    private readonly byAddress = new Map<string, string>();
    private readonly changed = new Emitter<DirectoryChange>();
    private lastChange = 0;
    private lastContentChange = 0;

    public readonly onChanged = this.changed.event;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Number of the newest change in this directory. */
    public get version(): number {
        return this.lastChange;
    }

    /** Differs whenever an upstream has arrived, has left, or has changed otherwise than by a heartbeat. */
    public get contentVersion(): number {
        return this.lastContentChange;
    }

    public get(id: string): ReceivedRecord | undefined {
        return this.entries.get(id);
    }

    public all(): IterableIterator<ReceivedRecord> {
        return this.entries.values();
    }

    /** Whether an upstream of the service is ready. */
    public hasReady(service: string): boolean {
        return this.some(record => record.service === service && record.state === "ready");
    }

    /** Whether `isWanted` is true of a record, those of upstreams that are gone included. */
    public some(isWanted: (record: UpstreamRecord) => boolean): boolean {
        for (const { record } of this.entries.values()) {
            if (isWanted(record)) {
                return true;
            }
        }
        return false;
    }

    /** Record of the process that listens at the address, IP:PORT; undefined if none does, or it is gone. */
    public recordAt(address: string): UpstreamRecord | undefined {
        return this.entryAt(address, "")?.record;
    }

    /**
     * Merges a record that was received from the upstream `ageMs` ago. Returns false when it is outdated. Heartbeats
     * that another instance relayed are not relayed again, because followers get them from the instance that received
     * them from the upstream.
     */
    public merge(record: UpstreamRecord, ageMs: number, isRelayed = false): boolean {
        const current = this.entries.get(record.id);
        if (current !== undefined && !isNewerRecord(record, current.record)) {
            return false;
        }
        const address = addressOf(record);
        const other = this.entryAt(address, record.id);
        if (other !== undefined && record.state !== "gone") {
            if (other.record.start > record.start) {
                // The process of this record has ended, and its address now belongs to another process.
                return false;
            }
            // The other process gave no sign of life: its last record stays the newest one.
            const endedUnannounced = other.record.state === "ready";
            this.put({ ...other.record, state: "gone", endedUnannounced }, other.receivedAt, true);
        }
        const receivedAt = this.clock.monotonic() - ageMs;
        const isUrgent = current === undefined || current.record.state !== record.state
            || current.record.start !== record.start || isColdAgain({ record, receivedAt }, current);
        if (current !== undefined && !isUrgent && isSameContent(record, current.record)) {
            const lastChange = isRelayed ? current.lastChange : ++this.lastChange;
            this.entries.set(record.id, {
                record,
                receivedAt,
                lastChange,
                lastContentChange: current.lastContentChange,
            });
            this.changed.fire({ record, isUrgent: false });
            return true;
        }
        const isSameProcess = current?.record.start === record.start;
        this.put(record, isSameProcess ? Math.max(receivedAt, current.receivedAt) : receivedAt, isUrgent);
        return true;
    }

    /** Merges a heartbeat that another instance relayed. Does nothing when the process is unknown. */
    public mergeHeartbeat(id: string, start: number, seq: number, ageMs: number): void {
        const current = this.entries.get(id)?.record;
        if (current?.start === start) {
            this.merge({ ...current, seq }, ageMs, true);
        }
    }

    /** Marks an upstream as gone at its own request. `start` identifies its process and is undefined when not known. */
    public markGone(id: string, start: number | undefined): void {
        const current = this.entries.get(id)?.record;
        const departed: UpstreamRecord = current ?? {
            id,
            start: start ?? this.clock.now(),
            seq: 0,
            service: "",
            host: "",
            port: 0,
            domain: "",
            version: "",
            slots: 0,
            state: "gone",
            coldMs: 0,
        };
        if (start !== undefined && start < departed.start) {
            return;
        }
        this.put({ ...departed, state: "gone", endedUnannounced: false }, this.clock.monotonic(), true);
    }

    /** Returns everything that changed after change number `since`. */
    public changedSince(since: number): DirectoryDelta {
        const changed = [...this.entries.values()].filter(entry => entry.lastChange > since);
        return {
            records: changed.filter(entry => entry.lastContentChange > since),
            heartbeats: changed
                .filter(entry => entry.lastContentChange <= since)
                .map(({ record: { id, start, seq }, receivedAt }) => ({ id, start, seq, receivedAt })),
        };
    }

    /** Removes upstreams without a recent record. */
    public evictStale(): void {
        const now = this.clock.monotonic();
        for (const [id, entry] of this.entries) {
            if (now - entry.receivedAt > EVICT_AFTER_MS) {
                this.entries.delete(id);
                this.lastContentChange++;
                this.releaseAddress(entry.record);
            }
        }
    }

    /** To be called when a record isn't in use any more: its address may belong to another upstream from now on. */
    private releaseAddress(record: UpstreamRecord): void {
        const address = addressOf(record);
        if (this.byAddress.get(address) === record.id) {
            this.byAddress.delete(address);
        }
    }

    private entryAt(address: string, id: string): DirectoryEntry | undefined {
        const other = this.byAddress.get(address);
        const entry = other === undefined || other === id ? undefined : this.entries.get(other);
        return entry?.record.state === "gone" ? undefined : entry;
    }

    /** `receivedAt`: monotonic time of the newest sign of life of the process, in ms. */
    private put(record: UpstreamRecord, receivedAt: number, isUrgent: boolean): void {
        this.lastChange++;
        this.lastContentChange++;
        const previous = this.entries.get(record.id);
        this.entries.set(record.id, {
            record,
            receivedAt,
            lastChange: this.lastChange,
            lastContentChange: this.lastChange,
        });
        if (previous !== undefined) {
            this.releaseAddress(previous.record);
        }
        if (record.state !== "gone") {
            this.byAddress.set(addressOf(record), record.id);
        }
        this.changed.fire({ record, isUrgent });
    }
}

const isSameContent = (a: UpstreamRecord, b: UpstreamRecord): boolean =>
    a.state === b.state && a.start === b.start && a.coldMs === b.coldMs && a.service === b.service
    && a.host === b.host && a.port === b.port && a.version === b.version && a.slots === b.slots
    && a.domain === b.domain;

/** Whether the upstream stays cold for longer than its last record said: it has turned cold once more meanwhile. */
const isColdAgain = ({ record, receivedAt }: ReceivedRecord, current: ReceivedRecord): boolean =>
    record.coldMs > 0
    && (current.record.coldMs <= 0
        || receivedAt + record.coldMs > current.receivedAt + current.record.coldMs + COLD_TIME_JITTER_MS);
