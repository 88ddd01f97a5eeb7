/**
 * Bills. Each request has one bill under its billing id, with every attempt as an item; recording the same id
 * again has no effect.
 */
import * as z from "zod";

export const billSchema = z.object({
    /** Id of the request, unique over all instances. */
    id: z.string().max(300),
    account: z.string(),
    /** `model@version` or `service NAME` that gave the answer. */
    target: z.string(),
    /** Wall-clock time of the answer's end, in ms since the Unix epoch. */
    at: z.number(),
    promptTokens: z.number().int().nonnegative(),
    completionTokens: z.number().int().nonnegative(),
    /** Cost over all attempts, in the sheet's unit. */
    cost: z.number().nonnegative(),
    items: z.array(z.object({ target: z.string(), upstream: z.string(), tokens: z.number(), cost: z.number() })),
    /** False when the answer was cut off. */
    isComplete: z.boolean(),
});

/** One bill. */
export type Bill = z.infer<typeof billSchema>;
/** What one attempt cost. */
export type BillItem = Bill["items"][number];

/** Makes a bill durable. Rejects when it could not be recorded in time. */
export type RecordBill = (bill: Bill) => Promise<void>;

/** Number of tokens to which a version's cost refers. */
export const TOKENS_PER_COST_UNIT = 1000;

/** Cost of `tokens` at a version's `cost` per 1,000 tokens. */
export const tokenCost = (tokens: number, cost: number): number => tokens * cost / TOKENS_PER_COST_UNIT;
