/**
 * Builds small configuration sheets for tests, benches and the demo.
 */
import { hashKey } from "../../src/node/entry/RequestContext.ts";

/** Cells of one row, by column name. */
export type Row = Readonly<Record<string, string | number>>;

/** Returns the CSV text of a sheet with the given rows. */
export const sheetText = (number: number, rows: readonly Row[]): string => {
    const all: Row[] = [{ record: "sheet", number }, ...rows];
    const columns = [...new Set(all.flatMap(row => Object.keys(row)))];
    const lines = all.map(row => columns.map(column => row[column] ?? "").join(","));
    return [columns.join(","), ...lines].join("\n");
};

/** Row of a client account whose API key is `key-NAME`. */
export const accountRow = (name: string, weight = 1, quality = 0.8): Row => ({
    record: "account",
    name,
    weight,
    quality_target: quality,
    key_sha256: hashKey(`key-${name}`),
    max_in_flight: 1000,
});

export const domainRow = (name: string, state = "in"): Row => ({ record: "domain", name, region: "demo", state });

export const versionRow = (
    model: string,
    version: string,
    share: number,
    cost = 1,
    quality = 0.9,
    state = "active",
): Row => ({
    record: "version",
    model,
    version,
    share,
    cost,
    quality,
    state,
});

export const allowModel = (account: string, model: string, version = "*"): Row => ({
    record: "allow",
    account,
    model,
    version,
});

export const allowService = (account: string, service: string): Row => ({ record: "allow", account, service });

export const callRow = (service: string, method: string, path: string, idempotent: "yes" | "no"): Row => ({
    record: "call",
    service,
    method,
    path,
    idempotent,
});
