/**
 * Counts the tokens that each account used over the last minute. A sliding window of fixed buckets bounds the memory
 * for each account.
 */
import { type Clock } from "../time/Clock.ts";

const WINDOW_MS = 60_000;
/** Length of a bucket, by which the window advances, in ms. */
const BUCKET_MS = 2000;
const BUCKETS = WINDOW_MS / BUCKET_MS;

/** The window of one account, as a ring of buckets. */
interface AccountWindow {
    readonly buckets: number[];
    /** Number of the newest bucket, counted from the clock's zero. */
    newest: number;
}

/** Sliding windows of tokens by account. */
export class TokenWindow {
    private readonly clock: Clock;
    private readonly windows = new Map<string, AccountWindow>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public add(account: string, tokens: number): void {
        const window = this.advance(account);
        const position = window.newest % BUCKETS;
        window.buckets[position] = (window.buckets[position] ?? 0) + tokens;
    }

    /** Tokens that the account used over the last minute. */
    public sum(account: string): number {
        return this.advance(account).buckets.reduce((total, tokens) => total + tokens, 0);
    }

    /** Time within which the oldest tokens leave the window, in ms. */
    public get bucketMs(): number {
        return BUCKET_MS;
    }

    /** The account's window, advanced to the current time; buckets that are reused start empty. */
    private advance(account: string): AccountWindow {
        const currentBucket = Math.floor(this.clock.monotonic() / BUCKET_MS);
        const window = this.windows.get(account)
            ?? { buckets: new Array<number>(BUCKETS).fill(0), newest: currentBucket };
        this.windows.set(account, window);
        for (let bucket = Math.max(window.newest + 1, currentBucket - BUCKETS + 1); bucket <= currentBucket; bucket++) {
            window.buckets[bucket % BUCKETS] = 0;
        }
        window.newest = currentBucket;
        return window;
    }
}
