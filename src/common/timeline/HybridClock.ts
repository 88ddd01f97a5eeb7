/**
 * A hybrid logical clock: close to wall-clock time, and always later than every stamp observed before.
 */
import { type Clock } from "../time/Clock.ts";

/** Digits of the wall-clock part, in ms, enough until the year 2286. */
const WALL_DIGITS = 13;
const COUNTER_DIGITS = 5;
const MAX_COUNTER = 10 ** COUNTER_DIGITS - 1;
/** Stamps this far ahead of the local clock are ignored, so that one wrong clock does not move all, in ms. */
const MAX_AHEAD_MS = 60_000;

/** Creates stamps whose text order is consistent with causality. */
export class HybridClock {
    private readonly clock: Clock;
    private wall = 0;
    /** Cached text of the wall-clock part, because many stamps fall into the same ms. */
    private wallText = "";
    private textWall = -1;
    private counter = 0;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Returns a stamp later than all stamps created or observed before. */
    public next(): string {
        const now = Math.floor(this.clock.now());
        if (now > this.wall) {
            this.wall = now;
            this.counter = 0;
        }
        else {
            this.counter++;
        }
        if (this.counter > MAX_COUNTER) {
            this.wall++;
            this.counter = 0;
        }
        if (this.wall !== this.textWall) {
            this.textWall = this.wall;
            this.wallText = pad(this.wall, WALL_DIGITS);
        }
        return `${this.wallText}.${pad(this.counter, COUNTER_DIGITS)}`;
    }

    /** Makes later stamps follow a stamp of another process. */
    public observe(stamp: string): void {
        const [wallText = "", counterText = ""] = stamp.split(".");
        const wall = Number(wallText);
        const counter = Number(counterText);
        const isValid = Number.isSafeInteger(wall) && Number.isSafeInteger(counter);
        if (!isValid || wall > this.clock.now() + MAX_AHEAD_MS) {
            return;
        }
        if (wall > this.wall || (wall === this.wall && counter > this.counter)) {
            this.wall = wall;
            this.counter = counter;
        }
    }
}

/** Wall-clock time of a stamp, in ms since the Unix epoch. */
export const stampTime = (stamp: string): number => Number(stamp.slice(0, WALL_DIGITS));

const pad = (value: number, digits: number): string => String(value).padStart(digits, "0");
