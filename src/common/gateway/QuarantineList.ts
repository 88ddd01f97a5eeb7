/**
 * What requests have in common that no upstream may run any more, because it crashes upstreams. Control instances decide
 * on it; every instance keeps the list and passes it on, so that it outlives the restart of each.
 */
import * as z from "zod";
import { type Clock } from "../time/Clock.ts";
import { type CallKeys, hasKey } from "./CallKeys.ts";

/** How long a quarantine lasts after the last crash, in ms. */
const QUARANTINE_MS = 300_000;
/** Renewals by less than this, in ms, are not passed on. */
const RENEWAL_STEP_MS = 10_000;
/** Most quarantines that are kept, those that are over included. */
const MAX_QUARANTINES = 200;

export const quarantineSchema = z.object({
    /** Requests with all of these keys are quarantined; see `CallKeys`. */
    keys: z.array(z.string()),
    /** Time since the last crash, in ms. */
    ageMs: z.number(),
    /** Time since the quarantine was lifted because the keys turned out to be sound, in ms. */
    liftedAgeMs: z.number().optional(),
});

/** A quarantine, as instances tell it to each other. */
export type Quarantine = z.infer<typeof quarantineSchema>;

interface QuarantineEntry {
    readonly keys: readonly string[];
    /** Monotonic time of the last crash, in ms. */
    readonly crashedAt: number;
    /** Monotonic time at which it was lifted, in ms; -Infinity if it was not. A later crash puts it in force again. */
    readonly liftedAt: number;
}

/** Quarantines, those that are over, and those that were lifted. */
export class QuarantineList {
    private readonly clock: Clock;
    private readonly entries = new Map<string, QuarantineEntry>();
    private changes = 0;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Number of changes that others should know of. */
    public get version(): number {
        return this.changes;
    }

    /** All entries, to be passed on. */
    public get all(): Quarantine[] {
        const now = this.clock.monotonic();
        return [...this.entries.values()].map(({ keys, crashedAt, liftedAt }) => ({
            keys: [...keys],
            ageMs: now - crashedAt,
            ...(liftedAt === -Infinity ? {} : { liftedAgeMs: now - liftedAt }),
        }));
    }

    /** The keys of quarantines that were not lifted. One that is over is renewed by a single further crash. */
    public get known(): (readonly string[])[] {
        return [...this.entries.values()].filter(entry => !isLifted(entry)).map(({ keys }) => keys);
    }

    /** Monotonic time of the last crash for which a quarantine is in force, in ms; -Infinity if none is. */
    public get lastCrashAt(): number {
        return Math.max(
            ...[...this.entries.values()].filter(entry => this.isInForce(entry)).map(entry => entry.crashedAt),
        );
    }

    /** Whether a quarantine in force covers the request. */
    public covers(call: CallKeys): boolean {
        for (const entry of this.entries.values()) {
            if (this.isInForce(entry) && entry.keys.every(key => hasKey(call, key))) {
                return true;
            }
        }
        return false;
    }

    /** Merges what another instance knows, or a verdict. */
    public merge({ keys, ageMs, liftedAgeMs = Infinity }: Quarantine): void {
        const name = [...keys].sort().join(" ");
        const now = this.clock.monotonic();
        const previous = this.entries.get(name) ?? { keys, crashedAt: -Infinity, liftedAt: -Infinity };
        const merged = {
            keys,
            crashedAt: Math.max(previous.crashedAt, now - ageMs),
            liftedAt: Math.max(previous.liftedAt, now - liftedAgeMs),
        };
        this.entries.set(name, merged);
        if (this.entries.size > MAX_QUARANTINES) {
            const [oldest] = [...this.entries].sort(([, a], [, b]) => a.crashedAt - b.crashedAt);
            this.entries.delete(oldest?.[0] ?? name);
        }
        const isRenewed = merged.crashedAt - previous.crashedAt > RENEWAL_STEP_MS;
        if (isRenewed || isLifted(merged) !== isLifted(previous)) {
            this.changes++;
        }
    }

    /** Lifts the quarantines of keys that turned out to be sound. `isSound` gets a key and the time of the last crash. */
    public liftSound(isSound: (key: string, crashedAt: number) => boolean): Quarantine[] {
        const lifted = [...this.entries.values()].filter(entry =>
            this.isInForce(entry) && entry.keys.every(key => isSound(key, entry.crashedAt))
        );
        return lifted.map(({ keys, crashedAt }) => {
            const quarantine = { keys: [...keys], ageMs: this.clock.monotonic() - crashedAt, liftedAgeMs: 0 };
            this.merge(quarantine);
            return quarantine;
        });
    }

    private isInForce(entry: QuarantineEntry): boolean {
        return !isLifted(entry) && this.clock.monotonic() - entry.crashedAt < QUARANTINE_MS;
    }
}

const isLifted = ({ crashedAt, liftedAt }: QuarantineEntry): boolean => liftedAt >= crashedAt;
