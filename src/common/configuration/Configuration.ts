/**
 * The configuration: the accepted sheet together with drains, withdrawals and quarantines. `applyChange` is
 * deterministic, so all instances that have applied the same log prefix have the same configuration. Values are
 * never modified in place.
 */
import * as z from "zod";
import { FULL_SHARE_PERCENT, type Sheet } from "../sheet/Sheet.ts";
import { type Change, type DrainTarget, drainTargets, type SubmitSheet } from "./Change.ts";

/** Number of accepted sheets whose text is kept for history, diff and rollback. */
export const SHEET_HISTORY_LENGTH = 60;
/** Maximum number of quarantined fingerprints; beyond it the oldest are dropped. */
const MAX_QUARANTINED = 10_000;

const origin = { by: z.string(), reason: z.string(), at: z.number() };

const acceptedSheetSchema = z.object({
    number: z.number(),
    sha256: z.string(),
    text: z.string(),
    /** Revision at which it came into force. */
    revision: z.number(),
    ...origin,
});

/** An accepted sheet in the history, with the operator, reason and time of its proposal. */
export type AcceptedSheet = z.infer<typeof acceptedSheetSchema>;

const drainSchema = z.object({ target: z.enum(drainTargets), name: z.string(), ...origin });

/** A failure domain, upstream or instance that operators have taken out of service. */
export type Drain = z.infer<typeof drainSchema>;

const withdrawalSchema = z.object({ model: z.string(), version: z.string(), ...origin });

/** A version that an operator or a policy has withdrawn, independently of the sheet. */
export type Withdrawal = z.infer<typeof withdrawalSchema>;

const quarantineSchema = z.object({
    fingerprint: z.string(),
    /** Wall-clock time at which the quarantine ends, in ms since the Unix epoch. */
    until: z.number(),
    ...origin,
});

/** A fingerprint whose requests are not run because they crashed upstreams. */
export type Quarantine = z.infer<typeof quarantineSchema>;

export const configurationSchema = z.object({
    /** Index in the control log of the newest change that is included. */
    revision: z.number(),
    sheet: z.custom<Sheet>(value => typeof value === "object").optional(),
    /**
     * For each model, the version that an instance falls back on when it is cut off from control: the last one that
     * received all of the model's requests or, when that is not active, the one with the largest share.
     */
    settled: z.record(z.string(), z.string()).default({}),
    history: z.array(acceptedSheetSchema),
    drains: z.array(drainSchema),
    withdrawals: z.array(withdrawalSchema),
    quarantines: z.array(quarantineSchema),
});

/** All settings that operators and policies have put in force through the control log. */
export type Configuration = Readonly<z.infer<typeof configurationSchema>>;

/** The configuration before the first change. */
export const emptyConfiguration: Configuration = {
    revision: 0,
    settled: {},
    history: [],
    drains: [],
    withdrawals: [],
    quarantines: [],
};

/** Result of a change. */
export type ChangeOutcome =
    | { readonly kind: "accepted"; readonly revision: number; }
    /** The same change was accepted before, at `revision`. */
    | { readonly kind: "repeated"; readonly revision: number; }
    /** Another accepted sheet has the number; `sha256` is its hash and `by` who submitted it. */
    | { readonly kind: "conflict"; readonly number: number; readonly sha256: string; readonly by: string; }
    /** A sheet with a higher number is in force. */
    | { readonly kind: "outdated"; readonly number: number; };

/** The next configuration and the result of the change. */
export interface AppliedChange {
    readonly configuration: Configuration;
    readonly outcome: ChangeOutcome;
}

/** Applies the change at log index `revision`. A refused change alters only the revision. */
export const applyChange = (current: Configuration, change: Change, revision: number): AppliedChange => {
    const cfg = { ...current, revision };
    switch (change.kind) {
        case "submitSheet":
            return applySheet(cfg, change, revision);
        case "drain": {
            const others = cfg.drains.filter(drain => !isSameTarget(drain, change));
            return accepted({
                ...cfg,
                drains: [...others, { ...pickOrigin(change), target: change.target, name: change.name }],
            });
        }
        case "undrain":
            return accepted({ ...cfg, drains: cfg.drains.filter(drain => !isSameTarget(drain, change)) });
        case "withdraw": {
            const others = cfg.withdrawals.filter(item => !isSameVersion(item, change));
            const added = { ...pickOrigin(change), model: change.model, version: change.version };
            return accepted({ ...cfg, withdrawals: [...others, added] });
        }
        case "restore":
            return accepted({ ...cfg, withdrawals: cfg.withdrawals.filter(item => !isSameVersion(item, change)) });
        case "quarantine": {
            const others = cfg.quarantines.filter(item =>
                item.fingerprint !== change.fingerprint && item.until > change.at
            );
            const added = { ...pickOrigin(change), fingerprint: change.fingerprint, until: change.until };
            return accepted({ ...cfg, quarantines: [...others, added].slice(-MAX_QUARANTINED) });
        }
        case "release":
            return accepted({
                ...cfg,
                quarantines: cfg.quarantines.filter(item => item.fingerprint !== change.fingerprint),
            });
    }
};

const accepted = (configuration: Configuration): AppliedChange => ({
    configuration,
    outcome: { kind: "accepted", revision: configuration.revision },
});

const applySheet = (cfg: Configuration, change: SubmitSheet, revision: number): AppliedChange => {
    const same = cfg.history.find(item => item.number === change.number);
    if (same !== undefined) {
        const outcome: ChangeOutcome = same.sha256 === change.sha256
            ? { kind: "repeated", revision: same.revision }
            : { kind: "conflict", number: same.number, sha256: same.sha256, by: same.by };
        return { configuration: cfg, outcome };
    }
    const newest = cfg.sheet?.number ?? 0;
    if (change.number < newest) {
        return { configuration: cfg, outcome: { kind: "outdated", number: newest } };
    }
    const { number, sha256, text } = change;
    const entry: AcceptedSheet = { ...pickOrigin(change), number, sha256, text, revision };
    const history = [...cfg.history, entry].slice(-SHEET_HISTORY_LENGTH);
    const sheet = change.sheet as unknown as Sheet;
    return accepted({ ...cfg, sheet, settled: nextSettledVersions(cfg.settled, sheet), history });
};

const nextSettledVersions = (previous: Configuration["settled"], sheet: Sheet): Configuration["settled"] => {
    const settled: Record<string, string> = {};
    const active = sheet.versions.filter(version => version.state === "active");
    for (const [model, siblings] of Map.groupBy(active, version => version.model)) {
        const full = siblings.find(version => version.share === FULL_SHARE_PERCENT);
        const previouslySettled = siblings.find(version => version.version === previous[model]);
        const largest = siblings.reduce((best, version) => version.share > best.share ? version : best);
        settled[model] = (full ?? previouslySettled ?? largest).version;
    }
    return settled;
};

const pickOrigin = (change: Change): { by: string; reason: string; at: number; } => ({
    by: change.by,
    reason: change.reason,
    at: change.at,
});

const isSameTarget = (drain: Drain, change: { target: DrainTarget; name: string; }): boolean =>
    drain.target === change.target && drain.name === change.name;

const isSameVersion = (item: Withdrawal, change: { model: string; version: string; }): boolean =>
    item.model === change.model && item.version === change.version;
