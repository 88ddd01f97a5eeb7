/**
 * Tokens that accounts used over the last minute, in bounded memory.
 */
import { type Clock } from "../time/Clock.ts";

const WINDOW_MS = 60_000;
/** The window moves on in steps of this length, in ms. */
const STEP_MS = 2000;
const STEPS = WINDOW_MS / STEP_MS;

interface Usage {
    readonly steps: number[];
    /** Number of the newest step, counted from the clock's zero. */
    newest: number;
}

/** Sliding window of tokens by account. */
export class TokenWindow {
    private readonly clock: Clock;
    private readonly usages = new Map<string, Usage>();

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    public add(account: string, tokens: number): void {
        const usage = this.current(account);
        const position = usage.newest % STEPS;
        usage.steps[position] = (usage.steps[position] ?? 0) + tokens;
    }

    /** Tokens of the account over the last minute. */
    public sum(account: string): number {
        return this.current(account).steps.reduce((total, tokens) => total + tokens, 0);
    }

    /** Time until some of the tokens leave the window, in ms. */
    public get stepMs(): number {
        return STEP_MS;
    }

    private current(account: string): Usage {
        const now = Math.floor(this.clock.monotonic() / STEP_MS);
        const usage = this.usages.get(account) ?? { steps: new Array<number>(STEPS).fill(0), newest: now };
        this.usages.set(account, usage);
        for (let step = Math.max(usage.newest + 1, now - STEPS + 1); step <= now; step++) {
            usage.steps[step % STEPS] = 0;
        }
        usage.newest = now;
        return usage;
    }
}
