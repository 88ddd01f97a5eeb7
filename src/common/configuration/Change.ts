/**
 * Changes of configuration, as commands of the control log. The schema is also the format on disk and between
 * instances, so fields may be added but must never change their meaning.
 */
import * as z from "zod";

const origin = {
    /** Operator or policy that requested the change. */
    by: z.string().max(128),
    reason: z.string().max(512).default(""),
    /** Wall-clock time of the proposal, in ms since the Unix epoch. */
    at: z.number(),
};

/** A validated sheet as stored in the log: its values are typed already, so its cells are not parsed again. */
const sheetSchema = z.looseObject({ number: z.number().int() });

/** Kinds of targets that can be drained, that is, taken out of service. */
export const drainTargets = ["domain", "upstream", "instance"] as const;
/** Kind of a target that can be drained. */
export type DrainTarget = (typeof drainTargets)[number];

export const changeSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("submitSheet"),
        number: z.number().int().positive(),
        text: z.string(),
        sha256: z.string(),
        sheet: sheetSchema,
        ...origin,
    }),
    z.object({ kind: z.literal("drain"), target: z.enum(drainTargets), name: z.string().max(128), ...origin }),
    z.object({ kind: z.literal("undrain"), target: z.enum(drainTargets), name: z.string().max(128), ...origin }),
    z.object({ kind: z.literal("withdraw"), model: z.string(), version: z.string(), ...origin }),
    z.object({ kind: z.literal("restore"), model: z.string(), version: z.string(), ...origin }),
    z.object({ kind: z.literal("quarantine"), fingerprint: z.string(), until: z.number(), ...origin }),
    z.object({ kind: z.literal("release"), fingerprint: z.string(), ...origin }),
]);

/** A change of configuration. */
export type Change = z.infer<typeof changeSchema>;
/** The change that submits a sheet. */
export type SubmitSheet = Extract<Change, { kind: "submitSheet"; }>;
