/**
 * Compares two sheets: one change for each record that was added, removed or altered.
 */
import * as z from "zod";
import { type Sheet } from "./Sheet.ts";

export const sheetChangeSchema = z.object({
    change: z.enum(["added", "removed", "altered"]),
    record: z.string(),
    name: z.string(),
    /** Altered cells, as `cell: old -> new`; of `key_sha256` only the name. */
    cells: z.array(z.string()),
});

/** A change of one record between two sheets. */
export type SheetChange = z.infer<typeof sheetChangeSchema>;

type Cells = Readonly<Record<string, unknown>>;

/** Columns that identify a record, for each group of records in a sheet. */
const keyColumns = {
    domains: ["name"],
    accounts: ["name"],
    allows: ["account", "model", "version", "service"],
    versions: ["model", "version"],
    services: ["name"],
    calls: ["service", "method", "path"],
    upstreams: ["domain", "model", "version", "service"],
    operators: ["name"],
} as const;

/** The changes from `before` to `after`. Without `before`, every record is added. */
export const diffSheets = (before: Sheet | undefined, after: Sheet): SheetChange[] => {
    const changes: SheetChange[] = [];
    for (const [group, columns] of Object.entries(keyColumns)) {
        const record = group.replace(/s$/, "");
        const old = indexRows(before, group as keyof typeof keyColumns, columns);
        const next = indexRows(after, group as keyof typeof keyColumns, columns);
        for (const [name, row] of next) {
            const previous = old.get(name);
            if (previous === undefined) {
                changes.push({ change: "added", record, name, cells: [] });
                continue;
            }
            const altered = alteredCells(previous, row);
            if (altered.length > 0) {
                changes.push({ change: "altered", record, name, cells: altered });
            }
        }
        for (const name of old.keys()) {
            if (!next.has(name)) {
                changes.push({ change: "removed", record, name, cells: [] });
            }
        }
    }
    return changes;
};

/** The rows of a group by their key, which joins the values of the key columns. */
const indexRows = (
    sheet: Sheet | undefined,
    group: keyof typeof keyColumns,
    columns: readonly string[],
): Map<string, Cells> => {
    const rows = (sheet?.[group] ?? []) as readonly Cells[];
    return new Map(
        rows.map(row => [columns.map(column => row[column]).filter(value => value !== undefined).join(" "), row]),
    );
};

const alteredCells = (before: Cells, after: Cells): string[] => {
    const names = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...names]
        .filter(name => before[name] !== after[name])
        .map(name =>
            name === "key_sha256" ? "key_sha256" : `${name}: ${formatCell(before[name])} -> ${formatCell(after[name])}`
        );
};

const formatCell = (value: unknown): string => value === undefined ? "(none)" : String(value);
