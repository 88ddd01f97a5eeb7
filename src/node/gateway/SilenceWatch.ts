/**
 * Notices that no upstream has sent anything for a while although requests wait for responses, as happens when this
 * instance has lost its paths and its connections are dead.
 */
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, repeatWhileBusy, type WakefulRepeat } from "../../common/time/Clock.ts";

/** How often the exchanges are checked, in ms. */
const CHECK_PERIOD_MS = 100;
/** Time without a byte from any upstream after which the paths are in doubt, in ms. */
const SILENCE_MS = 300;

/** What is watched of an exchange. */
export interface WatchedExchange {
    /** Monotonic time of the newest byte of the response, in ms; -Infinity before the first. */
    readonly lastByteAt: number;
    /** Whether it is complete or has failed. */
    readonly isOver: boolean;
}

interface Watched {
    readonly address: string;
    readonly exchange: WatchedExchange;
    readonly sentAt: number;
}

/** Watches the exchanges of one instance. */
export class SilenceWatch extends DisposableOwner {
    private readonly clock: Clock;
    private readonly onSilence: (address: string) => void;
    private readonly watched = new Set<Watched>();
    private readonly checks: WakefulRepeat;
    private lastByteAt = -Infinity;

    /** @param onSilence called with the address of an upstream that has not responded, again and again */
    public constructor(clock: Clock, onSilence: (address: string) => void) {
        super();
        this.clock = clock;
        this.onSilence = onSilence;
        this.checks = this.register(repeatWhileBusy(clock, CHECK_PERIOD_MS, () => this.check()));
    }

    /** Watches an exchange until it is over. */
    public watch(address: string, exchange: WatchedExchange): void {
        this.watched.add({ address, exchange, sentAt: this.clock.monotonic() });
        this.checks.wake();
    }

    /** Returns whether exchanges are left to watch. */
    private check(): boolean {
        const now = this.clock.monotonic();
        let silent: Watched | undefined;
        for (const item of this.watched) {
            this.lastByteAt = Math.max(this.lastByteAt, item.exchange.lastByteAt);
            if (item.exchange.isOver) {
                this.watched.delete(item);
            }
            else if (now - Math.max(item.sentAt, item.exchange.lastByteAt) > SILENCE_MS) {
                silent ??= item;
            }
        }
        if (silent !== undefined && now - this.lastByteAt > SILENCE_MS) {
            this.onSilence(silent.address);
        }
        return this.watched.size > 0;
    }
}
