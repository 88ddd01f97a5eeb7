/**
 * Messages between an instance that uses an upstream (the holder of a lease) and the instance that owns it. The
 * owner grants slots; a slot is the right to have one request in flight on that upstream. The schemas define the
 * wire format.
 */
import * as z from "zod";

const accountNeedSchema = z.object({
    account: z.string(),
    weight: z.number().positive(),
    /** Requests of the account in flight on the upstream. */
    inUse: z.number().int().nonnegative(),
    /** Requests of the account that wait and could run there. */
    waiting: z.number().int().nonnegative(),
});

/** Slots of an upstream that one client account needs at one holder. */
export type AccountNeed = z.infer<typeof accountNeedSchema>;

export const slotRequestSchema = z.object({
    upstream: z.string(),
    startId: z.string(),
    /** Sequence number of the newest grant that the holder has applied, 0 for none. */
    applied: z.number().int().nonnegative(),
    /** Slots of the applied grant that the holder keeps; it uses no more until a newer grant arrives. */
    usable: z.number().int().nonnegative(),
    /** Slots that the holder could use now, by client account. */
    needs: z.array(accountNeedSchema),
    /** Slots requested beyond those, as a reserve, when no other holder needs them. */
    spare: z.number().int().nonnegative(),
    /** Requests that the holder has in flight. */
    inUse: z.number().int().nonnegative(),
    /** Time until the last of them must have ended, in ms. */
    busyForMs: z.number().nonnegative(),
    /** Limit last known to the holder, from which an owner that has just taken over continues. */
    knownLimit: z.number().int().nonnegative(),
    /** Mean time of the requests that completed since the holder's last slot request, in ms, 0 without any. */
    meanMs: z.number().nonnegative(),
    /** Requests that completed since the holder's last slot request. */
    completed: z.number().int().nonnegative(),
    /** Those of them that failed through the fault of the upstream. */
    failed: z.number().int().nonnegative(),
});

/** One holder's request for slots of one upstream. */
export type SlotRequest = z.infer<typeof slotRequestSchema>;

export const slotGrantSchema = z.object({
    upstream: z.string(),
    startId: z.string(),
    /** Increases with every grant to the same holder. */
    seq: z.number().int().positive(),
    granted: z.number().int().nonnegative(),
    /** True when the demand exceeds the slots, so that holders must return slots that they do not need. */
    isContended: z.boolean(),
    /** Validity of the grant in ms, counted from when the holder sent its request. */
    leaseMs: z.number().nonnegative(),
    /** Limit of concurrent requests on the upstream at present, over all holders. */
    limit: z.number().int().nonnegative(),
});

/** The owner's answer to a `SlotRequest`. */
export type SlotGrant = z.infer<typeof slotGrantSchema>;

/** Validity of a lease, in ms. */
export const SLOT_LEASE_MS = 2000;
/** How often a holder renews its leases, in ms. */
export const SLOT_RENEWAL_MS = 500;
/** Maximum difference between the rates of two clocks, as a fraction. */
export const MAX_CLOCK_DRIFT = 0.05;
/** Longest time for which a request may run, in ms; later deadlines are capped to it. */
export const MAX_REQUEST_MS = 120_000;
/** Maximum time between the state that a load report describes and its arrival, in ms. */
export const REPORT_LAG_MS = 1000;
/** How long a new owner waits, so that every lease of an earlier owner has expired, in ms. */
export const OWNER_HANDOVER_MS = SLOT_LEASE_MS * (1 + 2 * MAX_CLOCK_DRIFT);
