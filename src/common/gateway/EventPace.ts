/**
 * The pace of a stream: the median time between its first events.
 */

/** Number of pauses between events from which the pace is determined; fewer if the stream ends sooner. */
const PACE_PAUSES = 9;
/** Least number of pauses. */
const MIN_PACE_PAUSES = 3;

/** Measures the pace of one stream. */
export class EventPace {
    private readonly onPace: (paceMs: number) => void;
    /** Undefined once the pace has been reported. */
    private pauses: number[] | undefined = [];
    private lastEventAt: number | undefined;

    /** @param onPace called once, if there are enough events */
    public constructor(onPace: (paceMs: number) => void) {
        this.onPace = onPace;
    }

    /** @param at monotonic time, in ms */
    public recordEvent(at: number): void {
        if (this.lastEventAt !== undefined) {
            this.pauses?.push(at - this.lastEventAt);
        }
        this.lastEventAt = at;
        this.report(PACE_PAUSES);
    }

    /** To be called when the stream has ended. */
    public end(): void {
        this.report(MIN_PACE_PAUSES);
    }

    private report(least: number): void {
        const { pauses } = this;
        if (pauses === undefined || pauses.length < least) {
            return;
        }
        this.pauses = undefined;
        pauses.sort((a, b) => a - b);
        this.onPace(pauses[Math.floor(pauses.length / 2)] ?? 0);
    }
}
