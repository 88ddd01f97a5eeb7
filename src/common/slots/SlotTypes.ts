/**
 * Messages between an instance that uses an upstream and the instance that owns it. The owner lends slots;
 * a slot is the right to have one request in flight on that upstream. Schemas are the format on the wire.
 */
import { z } from "zod";

const accountNeedSchema = z.object({
    account: z.string(),
    weight: z.number().positive(),
    /** Requests of the account in flight on the upstream. */
    inUse: z.number().int().nonnegative(),
    /** Requests of the account that wait and could run there. */
    waiting: z.number().int().nonnegative(),
});

/** What one client account needs of an upstream at one borrower. */
export type AccountNeed = z.infer<typeof accountNeedSchema>;

export const slotRequestSchema = z.object({
    upstream: z.string(),
    startId: z.string(),
    /** Sequence number of the newest grant that the borrower has applied, 0 for none. */
    applied: z.number().int().nonnegative(),
    /** Slots of the applied grant that the borrower keeps; it uses no more until a newer grant arrives. */
    usable: z.number().int().nonnegative(),
    /** What it could use now, by client account. */
    needs: z.array(accountNeedSchema),
    /** Slots that it would like at hand beyond those, when nobody else needs them. */
    spare: z.number().int().nonnegative(),
    /** Requests that the borrower has in flight. */
    inUse: z.number().int().nonnegative(),
    /** Time until the last of them must have ended, in ms. */
    busyForMs: z.number().nonnegative(),
    /** Limit that the borrower last heard of, for an owner that has just taken over. */
    knownLimit: z.number().int().nonnegative(),
    /** Mean time of the borrower's requests since its last message in ms, 0 without any. */
    meanMs: z.number().nonnegative(),
    completed: z.number().int().nonnegative(),
    /** Requests that failed in a way that blames the upstream. */
    failed: z.number().int().nonnegative(),
});

/** What one borrower wants of one upstream. */
export type SlotRequest = z.infer<typeof slotRequestSchema>;

export const slotGrantSchema = z.object({
    upstream: z.string(),
    startId: z.string(),
    /** Rises with every grant to the same borrower. */
    seq: z.number().int().positive(),
    granted: z.number().int().nonnegative(),
    /** True when borrowers want more than there is, so that nobody should hold what it does not need. */
    isContended: z.boolean(),
    /** Validity of the grant in ms, counted from when the borrower sent its request. */
    leaseMs: z.number().nonnegative(),
    /** Slots that the upstream bears in total at present. */
    limit: z.number().int().nonnegative(),
});

/** What the owner lends in answer to a `SlotRequest`. */
export type SlotGrant = z.infer<typeof slotGrantSchema>;

/** Validity of a loan, in ms. */
export const SLOT_LEASE_MS = 2000;
/** How often a borrower renews its loans, in ms. */
export const SLOT_RENEWAL_MS = 500;
/** Rate by which two clocks may differ, as a fraction. */
export const MAX_CLOCK_DRIFT = 0.05;
/** Longest time for which a request may run, in ms; every deadline is cut to it. */
export const MAX_REQUEST_MS = 120_000;
/** How late a load report may describe an upstream, in ms. */
export const REPORT_LAG_MS = 1000;
/** How long a new owner waits until every loan of an earlier owner has expired, in ms. */
export const OWNER_HANDOVER_MS = SLOT_LEASE_MS * (1 + 2 * MAX_CLOCK_DRIFT);
