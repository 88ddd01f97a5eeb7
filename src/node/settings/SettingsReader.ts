/**
 * Reads and validates a settings file. All faults are reported together, each with file, line and key; for an unknown
 * key the most similar known one is suggested.
 */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import type * as z from "zod";
import { type Settings, settingsSchema } from "./SettingsSchema.ts";

/** Environment variable that overrides `control.secret`. */
export const SECRET_VARIABLE = "SKYLARKTIDE_SECRET";

/** A fault of a settings file. */
export interface SettingsFault {
    readonly file: string;
    /** Line number from 1; the line of the section when the key is missing; 0 when the file cannot be read. */
    readonly line: number;
    /** `section.key`; empty when the file cannot be read. */
    readonly field: string;
    readonly message: string;
}

/** Validated settings, or all faults of the file. */
export type SettingsResult =
    | { readonly settings: Settings; readonly faults: readonly []; }
    | { readonly settings: undefined; readonly faults: readonly SettingsFault[]; };

type Sections = Record<string, Record<string, unknown>>;

/** Reads and validates `file`. */
export const readSettings = (file: string, env: NodeJS.ProcessEnv): SettingsResult => {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (err) {
        return failed([{ file, line: 0, field: "", message: (err as Error).message }]);
    }
    return parseSettings(file, text, env);
};

/** Validates the text of a settings file. */
export const parseSettings = (file: string, text: string, env: NodeJS.ProcessEnv): SettingsResult => {
    const sections = parse(text) as Sections;
    const secret = env[SECRET_VARIABLE];
    if (secret !== undefined) {
        sections["control"] = { ...sections["control"], secret };
    }
    const result = settingsSchema.safeParse(sections);
    if (!result.success) {
        return failed(result.error.issues.flatMap(issue => toFaults(file, text, issue)));
    }
    const faults = checkDependentKeys(file, text, result.data);
    return faults.length > 0 ? failed(faults) : { settings: result.data, faults: [] };
};

const failed = (faults: readonly SettingsFault[]): SettingsResult => ({ settings: undefined, faults });

const toFaults = (file: string, text: string, issue: z.core.$ZodIssue): SettingsFault[] => {
    const path = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => unknownKey(file, text, [...path, key]));
    }
    const isMissing = issue.code === "invalid_type" && issue.message.includes("undefined");
    const message = isMissing ? "the key is missing" : issue.message;
    return [{ file, line: lineOf(text, path), field: path.join("."), message }];
};

const unknownKey = (file: string, text: string, path: readonly string[]): SettingsFault => {
    const [section, key] = path;
    const candidates = key === undefined ? Object.keys(settingsSchema.shape) : keysOf(section ?? "");
    const nearest = nearestName(key ?? section ?? "", candidates);
    const hint = nearest === undefined ? "" : `; did you mean "${nearest}"?`;
    const kind = key === undefined ? "section" : "key";
    return { file, line: lineOf(text, path), field: path.join("."), message: `unknown ${kind}${hint}` };
};

const keysOf = (section: string): string[] => {
    const value: unknown = Reflect.get(settingsSchema.shape, section);
    const schema = shapeOf(value);
    return schema === undefined ? [] : Object.keys(schema);
};

/** Keys of a section's schema, also when the schema is wrapped by a default; undefined if it has no fixed keys. */
export const shapeOf = (value: unknown): Record<string, z.ZodType> | undefined => {
    const schema = value as { shape?: Record<string, z.ZodType>; unwrap?: () => unknown; } | undefined;
    if (schema?.shape !== undefined) {
        return schema.shape;
    }
    return schema?.unwrap === undefined ? undefined : shapeOf(schema.unwrap());
};

const checkDependentKeys = (file: string, text: string, settings: Settings): SettingsFault[] => {
    const { instance, doors, control, peers } = settings;
    const faults: SettingsFault[] = [];
    const requireKey = (isMissing: boolean, field: string, reason: string): void => {
        if (isMissing) {
            faults.push({
                file,
                line: lineOf(text, field.split(".")),
                field,
                message: `the key is missing; ${reason}`,
            });
        }
    };
    const isEntry = instance.roles.includes("entry");
    const isControl = instance.roles.includes("control");
    requireKey(isEntry && doors.callers === undefined, "doors.callers", "the role entry needs it");
    requireKey(isEntry && doors.upstreams === undefined, "doors.upstreams", "the role entry needs it");
    requireKey(isControl && instance.data === undefined, "instance.data", "the role control needs it");
    const hasPeers = Object.keys(peers).length > 0;
    requireKey(hasPeers && doors.peers === undefined, "doors.peers", "there are other instances");
    requireKey(
        hasPeers && control.secret === undefined,
        "control.secret",
        `set it or ${SECRET_VARIABLE}; there are other instances`,
    );
    const { cert, key } = settings.tls;
    requireKey(cert !== undefined && key === undefined, "tls.key", "tls.cert is set");
    requireKey(key !== undefined && cert === undefined, "tls.cert", "tls.key is set");
    for (const voter of control.voters) {
        if (voter !== instance.id && peers[voter] === undefined) {
            const field = "control.voters";
            faults.push({
                file,
                line: lineOf(text, field.split(".")),
                field,
                message: `no peer has the id "${voter}"`,
            });
        }
    }
    return faults;
};

/** Line of a key, or of its section when the file lacks the key; 1 when it lacks both. */
export const lineOf = (text: string, path: readonly string[]): number => {
    const [section, key] = path;
    let current = "";
    let sectionLine = 1;
    for (const [index, line] of text.split(/\r?\n/).entries()) {
        const header = /^\s*\[([^\]]+)\]/.exec(line);
        if (header) {
            current = header[1] ?? "";
            sectionLine = current === section ? index + 1 : sectionLine;
        }
        else if (current === section && key !== undefined && line.split("=")[0]?.trim() === key) {
            return index + 1;
        }
    }
    return sectionLine;
};

/** The candidate with the smallest edit distance to `text`, if that is at most 2 or a third of the length of `text`. */
export const nearestName = (text: string, candidates: readonly string[]): string | undefined => {
    const ranked = candidates
        .map(name => ({ name, distance: editDistance(text, name) }))
        .sort((a, b) => a.distance - b.distance);
    const best = ranked[0];
    return best !== undefined && best.distance <= Math.max(2, text.length / 3) ? best.name : undefined;
};

const editDistance = (a: string, b: string): number => {
    let row = [...Array(b.length + 1).keys()];
    for (let i = 1; i <= a.length; i++) {
        const next = [i];
        for (let j = 1; j <= b.length; j++) {
            const replaceCost = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
            next.push(Math.min(replaceCost, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1));
        }
        row = next;
    }
    return row[b.length] ?? 0;
};
