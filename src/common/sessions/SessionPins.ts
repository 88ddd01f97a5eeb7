/**
 * Which version each session keeps. A pin is agreed between the instance that serves the session and the
 * session's home instances; two pins for one session merge the same way everywhere.
 */
import { z } from "zod";

export const pinSchema = z.object({
    /** `ACCOUNT SESSION MODEL`. */
    key: z.string().max(500),
    version: z.string().max(130),
    /** Rises when the pinned version was withdrawn and the session had to move. */
    generation: z.number().int().nonnegative(),
    /** Time at which the pin was made, in ms since the Unix epoch. */
    began: z.number(),
});

/** The version that a session keeps. */
export type Pin = z.infer<typeof pinSchema>;

/** Most sessions remembered by one instance. */
const MAX_PINS = 200_000;
/** How long a session is remembered after its last request, in ms. */
const PIN_TTL_MS = 2 * 3_600_000;

/** The pin that holds when two were made: the later generation, else the earlier pin, else the first by name. */
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
    expiresAt: number;
}

/** Pins known to one instance, least recently used first out. */
export class SessionPins {
    private readonly now: () => number;
    private readonly pins = new Map<string, StoredPin>();

    /** `now` gives a monotonic time in ms. */
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

    /** Adds a pin to what is known of the session and returns the one that holds. */
    public merge(pin: Pin): Pin {
        const known = this.get(pin.key);
        const held = known === undefined ? pin : mergePins(known, pin);
        this.pins.delete(pin.key);
        this.pins.set(pin.key, { pin: held, expiresAt: this.now() + PIN_TTL_MS });
        this.evictOldest();
        return held;
    }

    /** Up to `count` pins from position `offset` on. */
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
