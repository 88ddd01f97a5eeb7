/**
 * What requests have in common that no upstream may run any more, because it crashes upstreams. Control instances decide
 * on it; every instance keeps the list and passes it on, so that it outlives the restart of each.
 */
import { z } from "zod";
import { type Clock } from "../time/Clock.ts";
import { type CallKeys, hasKey } from "./CallKeys.ts";

/** How long a quarantine lasts after the last crash, in ms. */
const QUARANTINE_MS = 600_000;
/** Most quarantines that are kept, those that are over included. */
const MAX_QUARANTINES = 200;

export const quarantineSchema = z.object({
    /** Requests with all of these keys are quarantined; see `CallKeys`. */
    keys: z.array(z.string()),
    /** Time since the last crash, in ms. */
    ageMs: z.number(),
});

/** A quarantine, as instances tell it to each other. */
export type Quarantine = z.infer<typeof quarantineSchema>;

interface QuarantineEntry {
    readonly keys: readonly string[];
    /** Monotonic time of the last crash, in ms. */
    readonly crashedAt: number;
}

/** Quarantines, and those that are over: a single further crash renews them. */
export class QuarantineList {
    private readonly clock: Clock;
    private readonly entries = new Map<string, QuarantineEntry>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** The quarantines in force. */
    public get active(): Quarantine[] {
        const now = this.clock.monotonic();
        return [...this.entries.values()]
            .map(({ keys, crashedAt }) => ({ keys: [...keys], ageMs: now - crashedAt }))
            .filter(({ ageMs }) => ageMs < QUARANTINE_MS);
    }

    /** The keys of all quarantines, those that are over included. */
    public get known(): (readonly string[])[] {
        return [...this.entries.values()].map(({ keys }) => keys);
    }

    /** Whether a quarantine in force covers the request. */
    public covers(call: CallKeys): boolean {
        const now = this.clock.monotonic();
        for (const { keys, crashedAt } of this.entries.values()) {
            if (now - crashedAt < QUARANTINE_MS && keys.every(key => hasKey(call, key))) {
                return true;
            }
        }
        return false;
    }

    /** Adds or renews a quarantine; returns whether it was not in force before. */
    public merge({ keys, ageMs }: Quarantine): boolean {
        const name = [...keys].sort().join(" ");
        const now = this.clock.monotonic();
        const previousAt = this.entries.get(name)?.crashedAt ?? -Infinity;
        const crashedAt = Math.max(previousAt, now - ageMs);
        this.entries.set(name, { keys, crashedAt });
        if (this.entries.size > MAX_QUARANTINES) {
            const [oldest] = [...this.entries].sort(([, a], [, b]) => a.crashedAt - b.crashedAt);
            this.entries.delete(oldest?.[0] ?? name);
        }
        return now - previousAt >= QUARANTINE_MS && now - crashedAt < QUARANTINE_MS;
    }
}
