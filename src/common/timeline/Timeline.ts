/**
 * The recent events of one process, in bounded memory.
 */
import { type HybridClock } from "./HybridClock.ts";
import { type EventDetails, type EventKind, type TimelineEvent } from "./TimelineEvent.ts";

/** Maximum number of events kept by one process. */
export const TIMELINE_LENGTH = 20_000;

/** Selects the events that match every field that is set. */
export interface TimelineFilter {
    readonly request?: string;
    readonly session?: string;
    readonly account?: string;
    readonly version?: string;
    readonly upstream?: string;
    readonly domain?: string;
    /** Earliest stamp. */
    readonly since?: string;
    /** Latest stamp. */
    readonly until?: string;
}

/** Ring buffer of events. */
export class Timeline {
    private readonly instance: string;
    private readonly hybridClock: HybridClock;
    private readonly capacity: number;
    private readonly ring: TimelineEvent[] = [];
    private next = 0;

    public constructor(instance: string, hybridClock: HybridClock, capacity = TIMELINE_LENGTH) {
        this.instance = instance;
        this.hybridClock = hybridClock;
        this.capacity = capacity;
    }

    public record(kind: EventKind, message: string, details: EventDetails = {}): void {
        this.ring[this.next] = { stamp: this.hybridClock.next(), instance: this.instance, kind, message, ...details };
        this.next = (this.next + 1) % this.capacity;
    }

    /** The newest `limit` events that match, oldest first. */
    public select(filter: TimelineFilter, limit: number): TimelineEvent[] {
        const ordered = [...this.ring.slice(this.next), ...this.ring.slice(0, this.next)];
        return ordered.filter(event => matches(event, filter)).slice(-limit);
    }
}

const fields = ["request", "session", "account", "version", "upstream", "domain"] as const;

/** True when every field of the filter that is set matches the event. */
export const matches = (event: TimelineEvent, filter: TimelineFilter): boolean =>
    fields.every(field => filter[field] === undefined || event[field] === filter[field])
    && (filter.since === undefined || event.stamp >= filter.since)
    && (filter.until === undefined || event.stamp <= filter.until);
