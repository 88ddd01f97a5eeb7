/**
 * The requests that no upstream may run any more, because they crash upstreams. Control instances decide on them; every
 * instance keeps the list and passes it on, so that it outlives the restart of each.
 */
import { z } from "zod";
import { type Clock } from "../time/Clock.ts";

/** How long a quarantine lasts after the last crash, in ms. */
const QUARANTINE_MS = 600_000;
/** Most keys that are kept, those whose quarantine is over included. */
const MAX_KEYS = 200;

export const quarantineSchema = z.object({
    /** What the quarantined requests have in common; see `CallKeys`. */
    key: z.string(),
    /** Time since the last crash, in ms. */
    ageMs: z.number(),
});

/** A quarantine, as instances tell it to each other. */
export type Quarantine = z.infer<typeof quarantineSchema>;

/** Quarantined keys. */
export class QuarantineList {
    private readonly clock: Clock;
    /** Monotonic time of the last crash by key, in ms. */
    private readonly crashedAt = new Map<string, number>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** The quarantines in force. */
    public get active(): Quarantine[] {
        const now = this.clock.monotonic();
        return [...this.crashedAt]
            .map(([key, at]) => ({ key, ageMs: now - at }))
            .filter(({ ageMs }) => ageMs < QUARANTINE_MS);
    }

    public get isEmpty(): boolean {
        return this.crashedAt.size === 0;
    }

    public has(key: string): boolean {
        return this.clock.monotonic() - (this.crashedAt.get(key) ?? -Infinity) < QUARANTINE_MS;
    }

    /** Whether the key is, or has been, quarantined. A single further crash then renews the quarantine. */
    public isKnown(key: string): boolean {
        return this.crashedAt.has(key);
    }

    /** Adds or renews a quarantine; returns whether it was not in force before. */
    public merge({ key, ageMs }: Quarantine): boolean {
        const wasActive = this.has(key);
        const at = Math.max(this.crashedAt.get(key) ?? -Infinity, this.clock.monotonic() - ageMs);
        this.crashedAt.set(key, at);
        if (this.crashedAt.size > MAX_KEYS) {
            const [oldest] = [...this.crashedAt].sort(([, a], [, b]) => a - b);
            this.crashedAt.delete(oldest?.[0] ?? key);
        }
        return !wasActive && this.has(key);
    }
}
