/**
 * `skylarktide settings explain`: prints the keys of the settings file as the schema describes them.
 */
import type * as z from "zod";
import { nearestName, shapeOf } from "../node/settings/SettingsReader.ts";
import { settingsSchema } from "../node/settings/SettingsSchema.ts";
import { ExitCode, fail, print } from "./Output.ts";

/** A key with its description and default. */
interface KeyInfo {
    readonly key: string;
    readonly description: string;
    readonly defaultValue: string | undefined;
}

/** Prints one key, or all of them. */
export const explainSettings = (key: string | undefined): void => {
    const all = listKeys();
    const wanted = key === undefined ? all : all.filter(item => item.key === key);
    if (wanted.length === 0) {
        const nearest = nearestName(key ?? "", all.map(item => item.key));
        fail(`unknown key "${key}"${nearest === undefined ? "" : `; did you mean "${nearest}"?`}`, ExitCode.BadInput);
    }
    for (const { key: name, description, defaultValue } of wanted) {
        print(`${name}${defaultValue === undefined ? "" : ` (default ${defaultValue})`}\n    ${description}`);
    }
};

const listKeys = (): KeyInfo[] =>
    Object.entries(settingsSchema.shape).flatMap(([section, schema]) => {
        const keys = shapeOf(schema);
        if (keys === undefined) {
            return [{ key: `${section}.ID`, description: describe(schema), defaultValue: undefined }];
        }
        return Object.entries(keys).map(([key, value]) => ({
            key: `${section}.${key}`,
            description: describe(value),
            defaultValue: defaultOf(value),
        }));
    });

const describe = (schema: z.ZodType): string => schema.description ?? "(no description)";

const defaultOf = (schema: z.ZodType): string | undefined => {
    const result = schema.safeParse(undefined);
    return result.success && result.data !== undefined ? JSON.stringify(result.data) : undefined;
};
