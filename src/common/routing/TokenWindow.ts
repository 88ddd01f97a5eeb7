/**
 * Tokens that accounts used over the last minute, in bounded memory.
 */
import { type Clock } from "../time/Clock.ts";

const WINDOW_MS = 60_000;
/** The window moves on in steps of this length, in ms. */
const BUCKET_MS = 2000;
const BUCKETS = WINDOW_MS / BUCKET_MS;

interface AccountWindow {
    readonly buckets: number[];
    /** Number of the newest step, counted from the clock's zero. */
    newest: number;
}

/** Sliding window of tokens by account. */
export class TokenWindow {
    private readonly clock: Clock;
    private readonly usages = new Map<string, AccountWindow>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public add(account: string, tokens: number): void {
        const usage = this.advance(account);
        const position = usage.newest % BUCKETS;
        usage.buckets[position] = (usage.buckets[position] ?? 0) + tokens;
    }

    /** Tokens of the account over the last minute. */
    public sum(account: string): number {
        return this.advance(account).buckets.reduce((total, tokens) => total + tokens, 0);
    }

    /** Time until some of the tokens leave the window, in ms. */
    public get bucketMs(): number {
        return BUCKET_MS;
    }

    private advance(account: string): AccountWindow {
        const now = Math.floor(this.clock.monotonic() / BUCKET_MS);
        const usage = this.usages.get(account) ?? { buckets: new Array<number>(BUCKETS).fill(0), newest: now };
        this.usages.set(account, usage);
        for (let step = Math.max(usage.newest + 1, now - BUCKETS + 1); step <= now; step++) {
            usage.buckets[step % BUCKETS] = 0;
        }
        usage.newest = now;
        return usage;
    }
}
