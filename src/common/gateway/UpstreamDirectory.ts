/**
 * The upstreams that an instance knows. Statements of upstreams are merged from several sources; every change gets
 * a number, so that a follower asks only for what is new.
 */
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock } from "../time/Clock.ts";
import { addressOf, isNewerRecord, type ReceivedRecord, type UpstreamRecord } from "./UpstreamRecord.ts";

/** How long an upstream is kept without a statement, in ms; its own traffic tells sooner whether it lives. */
const FORGET_AFTER_MS = 30_000;

interface DirectoryEntry extends ReceivedRecord {
    /** Number of the newest change, renewals included. */
    readonly lastChange: number;
    /** Number of the newest change of anything but the sequence number. */
    readonly lastContentChange: number;
}

/** A statement that says nothing new but that its upstream lives. */
export interface Heartbeat {
    readonly id: string;
    readonly start: number;
    readonly seq: number;
    /** Monotonic time at which it was heard, in ms. */
    readonly receivedAt: number;
}

/** What changed for a follower. */
export interface DirectoryDelta {
    readonly records: readonly ReceivedRecord[];
    readonly heartbeats: readonly Heartbeat[];
}

/** A change that followers must learn of. */
export interface DirectoryChange {
    readonly record: UpstreamRecord;
    /** Whether it can't wait for the next batch: an upstream leaves, or has just come. */
    readonly isUrgent: boolean;
}

/** Upstreams by id. */
export class UpstreamDirectory {
    private readonly clock: Clock;
    private readonly entries = new Map<string, DirectoryEntry>();
    private readonly byAddress = new Map<string, string>();
    private readonly changed = new Emitter<DirectoryChange>();
    private lastChange = 0;

    public readonly onChanged = this.changed.event;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Number of the newest change. */
    public get version(): number {
        return this.lastChange;
    }

    public get(id: string): ReceivedRecord | undefined {
        return this.entries.get(id);
    }

    public all(): IterableIterator<ReceivedRecord> {
        return this.entries.values();
    }

    /**
     * Takes a statement that was made `ageMs` ago. False when it is not news. Renewals that another instance passed on
     * are not passed on again: followers hear them from the instance at which the upstream checked in.
     */
    public merge(record: UpstreamRecord, ageMs: number, isRelayed = false): boolean {
        const known = this.entries.get(record.id);
        if (known !== undefined && !isNewerRecord(record, known.record)) {
            return false;
        }
        const address = addressOf(record);
        const holder = this.entryAt(address, record.id);
        if (holder !== undefined && record.state !== "gone") {
            if (holder.record.start > record.start) {
                // The sender has ended and its address belongs to another process by now.
                return false;
            }
            this.put({ ...holder.record, state: "gone" }, ageMs, true);
        }
        const isUrgent = known === undefined || known.record.state !== record.state
            || known.record.start !== record.start || isColdAgain(record, known.record);
        if (known !== undefined && !isUrgent && isSameContent(record, known.record)) {
            const change = isRelayed ? known.lastChange : ++this.lastChange;
            const heardAt = this.clock.monotonic() - ageMs;
            this.entries.set(record.id, {
                record,
                receivedAt: heardAt,
                lastChange: change,
                lastContentChange: known.lastContentChange,
            });
            this.changed.fire({ record, isUrgent: false });
            return true;
        }
        this.put(record, ageMs, isUrgent);
        return true;
    }

    /** Takes the renewal of a known upstream that another instance passed on. */
    public mergeHeartbeat(id: string, start: number, seq: number, ageMs: number): void {
        const known = this.entries.get(id)?.record;
        if (known?.start === start) {
            this.merge({ ...known, seq }, ageMs, true);
        }
    }

    /** Marks an upstream that says it leaves. `start` is its process, when that is known. */
    public markGone(id: string, start: number | undefined): void {
        const known = this.entries.get(id)?.record;
        const leaving: UpstreamRecord = known ?? {
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
        if (start !== undefined && start < leaving.start) {
            return;
        }
        this.put({ ...leaving, state: "gone" }, 0, true);
    }

    /** Everything that changed after change number `since`. */
    public changedSince(since: number): DirectoryDelta {
        const changed = [...this.entries.values()].filter(entry => entry.lastChange > since);
        return {
            records: changed.filter(entry => entry.lastContentChange > since),
            heartbeats: changed
                .filter(entry => entry.lastContentChange <= since)
                .map(({ record: { id, start, seq }, receivedAt: receivedAt }) => ({
                    id,
                    start,
                    seq,
                    receivedAt: receivedAt,
                })),
        };
    }

    /** Drops what has not been heard of for long. */
    public evictStale(): void {
        const now = this.clock.monotonic();
        for (const [id, entry] of this.entries) {
            if (now - entry.receivedAt > FORGET_AFTER_MS) {
                this.entries.delete(id);
                const address = addressOf(entry.record);
                if (this.byAddress.get(address) === id) {
                    this.byAddress.delete(address);
                }
            }
        }
    }

    private entryAt(address: string, id: string): DirectoryEntry | undefined {
        const holder = this.byAddress.get(address);
        const entry = holder === undefined || holder === id ? undefined : this.entries.get(holder);
        return entry?.record.state === "gone" ? undefined : entry;
    }

    private put(record: UpstreamRecord, ageMs: number, isUrgent: boolean): void {
        this.lastChange++;
        this.entries.set(record.id, {
            record,
            receivedAt: this.clock.monotonic() - ageMs,
            lastChange: this.lastChange,
            lastContentChange: this.lastChange,
        });
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

const isColdAgain = (record: UpstreamRecord, known: UpstreamRecord): boolean => record.coldMs > 0 && known.coldMs <= 0;
