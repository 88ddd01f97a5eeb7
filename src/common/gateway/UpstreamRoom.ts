/**
 * Whether an upstream has room for a request now. Load that this addresses: more requests than the upstreams can run at
 * once. A request that is sent waits at the upstream, out of the order that this instance keeps, and is lost there if the
 * upstream ends; one that is held back may leave a slot idle, as reports of load are old when they arrive.
 */

/**
 * Requests that may wait at an engine, and slots that an account above its share leaves free for the others, as a
 * fraction of all slots; at least one. With all slots taken, requests of light accounts took 1.6 times as long as alone.
 */
const SMALL_FRACTION = 1 / 8;
/**
 * Share of the objective after which a request of such an account may take any free slot. Without this, 18 % of all
 * requests were refused at a load of 0.95 with 60 instances, as each knows only an old number of free slots.
 */
const PATIENT_SHARE = 1 / 8;
/**
 * Share of the objective that waiting and work at an upstream other than an engine may take, by whether its report is
 * younger than the mean work. A quarter of the objective is for waiting at this instance. A queue of which an old report
 * tells has probably become shorter; with the lower share for all, 60 instances lost 5 % of the goodput at a load of 1.
 */
const FRESH_SHARE = 0.44;
const OLD_SHARE = 0.52;
/** Age up to which a report tells how many requests wait at an engine, in ms: some requests start in that time. */
const MAX_REPORT_AGE_MS = 500;
/**
 * Share of the objective after which a request goes to an engine whose queue isn't known, rather than to be refused a
 * little later while there may be room.
 */
const LAST_CHANCE_SHARE = 3 / 16;
/** Factor by which the work on a request may exceed the mean, when the time left is compared with it. */
const WORK_MARGIN = 1.5;

/** Requests at an upstream. */
export interface UpstreamOccupancy {
    readonly isEngine: boolean;
    readonly slots: number;
    /** Requests that run or wait there, from all instances. */
    readonly present: number;
    /** Requests that wait there according to the upstream. */
    readonly waiting: number;
    /** Age of its newest report, in ms; Infinity if there is none. */
    readonly reportAgeMs: number;
}

/** A request that asks for room. */
export interface RoomRequest {
    readonly objectiveMs: number;
    /** Time until its deadline, in ms. */
    readonly timeLeftMs: number;
    /** Time that it has waited at this instance, in ms. */
    readonly waitedMs: number;
    /** Mean time that an upstream works on a request of the service, in ms. */
    readonly workMs: number;
    /** Whether its account sends more than its share, so that it must leave slots to the others. */
    readonly isOverShare: boolean;
    /** Whether this instance may have one more request at the engines; see `InFlightLimit`. */
    readonly isWithinLimit: boolean;
}

/** Whether more requests wait at an engine than should, by its own report. */
export const isQueueLong = ({ waiting, slots }: { readonly waiting: number; readonly slots: number; }): boolean =>
    waiting > Math.max(1, slots * SMALL_FRACTION);

/** Whether the request should be sent to the upstream now, rather than wait at this instance. */
export const hasRoom = (req: RoomRequest, upstream: UpstreamOccupancy): boolean => {
    const slots = Math.max(1, upstream.slots);
    const ahead = Math.max(0, upstream.present + 1 - slots);
    const smallNumber = Math.max(1, slots * SMALL_FRACTION);
    if (req.isOverShare) {
        const isPatient = req.waitedMs >= req.objectiveMs * PATIENT_SHARE;
        return (req.isWithinLimit || !upstream.isEngine)
            && upstream.present + 1 <= (isPatient ? slots : Math.max(1, slots - smallNumber));
    }
    if (upstream.isEngine) {
        const isQueueShort = Math.max(upstream.waiting, ahead) <= smallNumber;
        const isKnown = upstream.reportAgeMs <= MAX_REPORT_AGE_MS;
        const isLastChance = req.waitedMs >= req.objectiveMs * LAST_CHANCE_SHARE;
        return isKnown ? isQueueShort && (req.isWithinLimit || ahead <= 0) : req.isWithinLimit || isLastChance;
    }
    const waitMs = ahead / slots * req.workMs;
    const allowedMs = Math.min(
        req.objectiveMs * (upstream.reportAgeMs <= req.workMs ? FRESH_SHARE : OLD_SHARE) - req.workMs,
        req.timeLeftMs - req.workMs * WORK_MARGIN,
    );
    return ahead <= 0 || waitMs <= allowedMs;
};
