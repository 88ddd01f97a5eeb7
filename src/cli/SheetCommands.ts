/**
 * `skylarktide sheet ...`: submits, compares and shows sheets.
 */
import { type SheetChange } from "../common/sheet/SheetDiff.ts";
import { type AdminOptions, callAdmin } from "./AdminClient.ts";
import { readText } from "./Check.ts";
import { print, printJson } from "./Output.ts";

interface SubmitOptions extends AdminOptions {
    readonly reason?: string;
}

interface SheetEntry {
    readonly number: number;
    readonly sha256: string;
    readonly by: string;
    readonly reason: string;
    readonly at: number;
    readonly revision: number;
}

interface SheetStatus {
    readonly sheet?: number;
    readonly revision: number;
    readonly inForceEverywhere: boolean;
    readonly instances: readonly { readonly id: string; readonly state: string; readonly revision: number; }[];
}

/** Submits a sheet and prints the result. */
export const submitSheet = async (file: string, options: SubmitOptions): Promise<void> => {
    const body = { text: readText(file), reason: options.reason ?? "" };
    const result = await callAdmin<{ number: number; state: string; revision: number; }>(
        options,
        "POST",
        "/admin/v1/sheets",
        body,
    );
    if (options.json === true) {
        printJson(result);
        return;
    }
    const outcome = result.state === "repeated" ? "was accepted before" : "is accepted";
    print(`sheet ${result.number} ${outcome}, revision ${result.revision}`);
};

/** Prints what a sheet would change. */
export const diffSheet = async (file: string, options: AdminOptions): Promise<void> => {
    const body = { text: readText(file), reason: "" };
    const { changes } = await callAdmin<{ changes: SheetChange[]; }>(options, "POST", "/admin/v1/sheets/diff", body);
    if (options.json === true) {
        printJson(changes);
        return;
    }
    if (changes.length === 0) {
        print("no change");
    }
    for (const { change, record, name, cells } of changes) {
        print(`${change.padEnd(8)} ${record} ${name}${cells.length > 0 ? `  ${cells.join(", ")}` : ""}`);
    }
};

/** Prints the text of an accepted sheet, by default the one in force. */
export const showSheet = async (number: string | undefined, options: AdminOptions): Promise<void> => {
    const query = number === undefined ? "" : `?number=${encodeURIComponent(number)}`;
    const sheet = await callAdmin<SheetEntry & { text: string; }>(options, "GET", `/admin/v1/sheets/text${query}`);
    if (options.json === true) {
        printJson(sheet);
        return;
    }
    process.stdout.write(sheet.text);
};

/** Prints the accepted sheets, oldest first. */
export const listSheets = async (options: AdminOptions): Promise<void> => {
    const { sheets } = await callAdmin<{ sheets: SheetEntry[]; }>(options, "GET", "/admin/v1/sheets");
    if (options.json === true) {
        printJson(sheets);
        return;
    }
    for (const { number, by, at, revision, reason } of sheets) {
        print(`${number}  revision ${revision}  ${new Date(at).toISOString()}  by ${by}  ${reason}`);
    }
};

/** Prints on which instances the newest configuration is in force. */
export const sheetStatus = async (options: AdminOptions): Promise<void> => {
    const status = await callAdmin<SheetStatus>(options, "GET", "/admin/v1/status");
    if (options.json === true) {
        const { sheet, revision, inForceEverywhere, instances } = status;
        printJson({ sheet, revision, inForceEverywhere, instances });
        return;
    }
    const where = status.inForceEverywhere ? "in force on every live instance" : "not yet in force everywhere";
    print(`sheet ${status.sheet ?? "(none)"}, revision ${status.revision}: ${where}`);
    status.instances.forEach(item =>
        print(`  ${item.id.padEnd(20)} ${item.state.padEnd(8)} revision ${item.revision}`)
    );
};
