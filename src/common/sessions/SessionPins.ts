/**
 * The versions to which sessions are pinned. The instance that serves a session exchanges its pin with the session's
 * home instances, and every instance merges two pins of one session in the same way.
 */
import * as z from "zod";

export const pinSchema = z.object({
    /** `ACCOUNT SESSION MODEL`. */
    key: z.string().max(500),
    version: z.string().max(130),
    /** Incremented when the session moves because its version was withdrawn or is no longer allowed. */
    generation: z.number().int().nonnegative(),
    /** Time at which the pin was created, in ms since the Unix epoch. */
    began: z.number(),
});

/** The pin of a session to a version. */
export type Pin = z.infer<typeof pinSchema>;

/** Maximum number of pins stored on one instance. */
const MAX_PINS = 200_000;
/** Time after a session's last request at which its pin expires, in ms. */
const PIN_TTL_MS = 2 * 3_600_000;

/** Resolves a conflict of two pins: the later generation, else the earlier pin, else the first version by name. */
export const mergePins = (a: Pin, b: Pin): Pin => {
    if (a.generation !== b.generation) {
        return a.generation > b.generation ? a : b;
    }
    if (a.began !== b.began) {
        return a.began < b.began ? a : b;
    }
    return a.version <= b.version ? a : b;
};

interface StoredPin {
    pin: Pin;
    /** Monotonic time, in ms. */
    expiresAt: number;
}

/** The pins stored on one instance. When there are too many, the least recently used is evicted. */
export class SessionPins {
    private readonly now: () => number;
    private readonly pins = new Map<string, StoredPin>();

    /** `now` returns the monotonic time, in ms. */
    public constructor(now: () => number) {
        this.now = now;
    }

    public get size(): number {
        return this.pins.size;
    }

    public get(key: string): Pin | undefined {
        const stored = this.pins.get(key);
        if (stored === undefined || stored.expiresAt <= this.now()) {
            return undefined;
        }
        return stored.pin;
    }

    /** Merges a pin with the session's stored one, stores the result and returns it. */
    public merge(pin: Pin): Pin {
        const stored = this.get(pin.key);
        const merged = stored === undefined ? pin : mergePins(stored, pin);
        this.pins.delete(pin.key);
        this.pins.set(pin.key, { pin: merged, expiresAt: this.now() + PIN_TTL_MS });
        this.evictOldest();
        return merged;
    }

    /** Up to `count` pins, starting at position `offset`. */
    public page(offset: number, count: number): Pin[] {
        return this.pins.values().drop(offset).take(count).map(stored => stored.pin).toArray();
    }

    private evictOldest(): void {
        if (this.pins.size <= MAX_PINS) {
            return;
        }
        const oldest = this.pins.keys().next();
        if (!oldest.done) {
            this.pins.delete(oldest.value);
        }
    }
}
