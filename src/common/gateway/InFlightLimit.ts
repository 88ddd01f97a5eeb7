/**
 * Number of requests that this instance has at the engines of a service while they are full. Load that this addresses:
 * sixty instances and a hundred engines, where an instance hears of one engine every few seconds, which says nothing about
 * its queue any more. The share of responses that report a queue is known much sooner: the limit shrinks with each that
 * reports one, and grows with each that doesn't, so that all instances together keep the queues short.
 */

/** Growth of the limit by a response without a queue, in requests. */
const INCREASE = 0.5;
/** Factor by which a response with a queue shrinks the limit. */
const DECREASE = 0.95;
const MIN_LIMIT = 1;
/** The limit is at most this multiple of the requests in flight, plus a constant: growth beyond proves nothing. */
const MAX_FACTOR = 2;
const MAX_EXCESS = 4;

/** Limit of one service. */
export class InFlightLimit {
    private limit = Infinity;
    private inFlight = 0;

    public get hasRoom(): boolean {
        return this.inFlight < this.limit;
    }

    public begin(): void {
        this.inFlight++;
    }

    public end(): void {
        this.inFlight--;
    }

    /** Records a response, and whether its upstream reported more waiting requests than it should have. */
    public recordResponse(isQueueLong: boolean): void {
        const bound = this.inFlight * MAX_FACTOR + MAX_EXCESS;
        if (isQueueLong) {
            this.limit = Math.max(MIN_LIMIT, Math.min(this.limit, this.inFlight) * DECREASE);
        }
        else if (this.limit !== Infinity) {
            this.limit = Math.max(this.limit, Math.min(bound, this.limit + INCREASE));
        }
    }
}
