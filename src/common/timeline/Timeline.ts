/**
 * The recent events of one process, in bounded memory.
 */
import { type HybridClock } from "./HybridClock.ts";
import { type EventDetails, type EventKind, type TimelineEvent } from "./TimelineEvent.ts";

/** Events kept by one process. */
export const TIMELINE_LENGTH = 20_000;

/** Selects events. Fields that are set must match. */
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
    private readonly hybrid: HybridClock;
    private readonly capacity: number;
    private readonly ring: TimelineEvent[] = [];
    private next = 0;

    public constructor(instance: string, hybrid: HybridClock, capacity = TIMELINE_LENGTH) {
        this.instance = instance;
        this.hybrid = hybrid;
        this.capacity = capacity;
    }

    public record(kind: EventKind, message: string, details: EventDetails = {}): void {
        this.ring[this.next] = { stamp: this.hybrid.next(), instance: this.instance, kind, message, ...details };
        this.next = (this.next + 1) % this.capacity;
    }

    /** Events that match, oldest first, the newest `limit` of them. */
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
