/**
 * Reads a sheet from CSV as spreadsheets export it: UTF-8 with or without a byte order mark, separated by commas or
 * semicolons, with CRLF or LF line ends. All faults of the file are reported together; a file with a fault yields no
 * sheet.
 */
import { parse } from "csv-parse/sync";
import { type RecordKind, recordSchemas, type Sheet, type SheetFault } from "./Sheet.ts";
import { checkSheet } from "./SheetChecker.ts";

/** Maximum length of a sheet, in characters. */
export const MAX_SHEET_CHARS = 4_000_000;

/** Result of reading a sheet: the sheet, or all faults that were found. */
export type SheetResult =
    | { readonly sheet: Sheet; readonly faults: readonly []; }
    | { readonly sheet: undefined; readonly faults: readonly SheetFault[]; };

interface CsvRow {
    readonly record: readonly string[];
    readonly info: { readonly lines: number; };
}

/** A record with the line that contains it. */
export interface SheetRow {
    readonly kind: RecordKind;
    readonly line: number;
    readonly cells: Record<string, unknown>;
}

/** Parses and validates the text of a sheet. */
export const readSheet = (text: string): SheetResult => {
    if (text.length > MAX_SHEET_CHARS) {
        return failed([{ line: 1, column: "", message: `the sheet is longer than ${MAX_SHEET_CHARS} characters` }]);
    }
    const delimiter = findDelimiter(text);
    const csvRows = parseCsv(text, delimiter);
    if (!Array.isArray(csvRows)) {
        return failed([csvRows as SheetFault]);
    }
    const header = csvRows[0];
    if (header === undefined) {
        return failed([{ line: 1, column: "", message: "the sheet is empty" }]);
    }
    const columns = header.record.map(cell => cell.trim().toLowerCase());
    const faults = checkHeader(columns, header.info.lines);
    if (faults.length > 0) {
        return failed(faults);
    }
    const rows: SheetRow[] = [];
    for (const csvRow of csvRows.slice(1)) {
        const row = readRow(csvRow, columns, delimiter, faults);
        if (row !== undefined) {
            rows.push(row);
        }
    }
    return checkSheet(rows, faults);
};

const failed = (faults: readonly SheetFault[]): SheetResult => ({ sheet: undefined, faults });

const findDelimiter = (text: string): string => {
    const firstLine = text.slice(0, text.search(/[\r\n]|$/));
    const semicolons = firstLine.split(";").length;
    return semicolons > firstLine.split(",").length ? ";" : ",";
};

const parseCsv = (text: string, delimiter: string): CsvRow[] | SheetFault => {
    try {
        return parse(text, {
            bom: true,
            delimiter,
            info: true,
            relax_column_count: true,
            skip_empty_lines: true,
            trim: true,
        }) as unknown as CsvRow[];
    }
    catch (err) {
        const line = (err as { lines?: number; }).lines ?? 1;
        return { line, column: "", message: (err as Error).message };
    }
};

const knownColumns = new Set(["record", ...Object.values(recordSchemas).flatMap(schema => Object.keys(schema.shape))]);

const checkHeader = (columns: readonly string[], line: number): SheetFault[] => {
    const faults: SheetFault[] = [];
    if (!columns.includes("record")) {
        faults.push({
            line,
            column: "record",
            message: "the first line must name the columns, one of them \"record\"",
        });
    }
    for (const [index, column] of columns.entries()) {
        if (column !== "" && !knownColumns.has(column)) {
            faults.push({ line, column, message: `unknown column "${column}"` });
        }
        if (column !== "" && columns.indexOf(column) !== index) {
            faults.push({ line, column, message: `column "${column}" appears more than once` });
        }
    }
    return faults;
};

const readRow = (
    row: CsvRow,
    columns: readonly string[],
    delimiter: string,
    faults: SheetFault[],
): SheetRow | undefined => {
    const line = row.info.lines;
    const cells = collectCells(row, columns, faults);
    const kind = cells["record"];
    delete cells["record"];
    if (kind === undefined) {
        if (Object.keys(cells).length > 0) {
            faults.push({ line, column: "record", message: "the row has no record kind" });
        }
        return undefined;
    }
    if (!Object.hasOwn(recordSchemas, kind)) {
        const kinds = Object.keys(recordSchemas).join(", ");
        faults.push({ line, column: "record", message: `unknown record "${kind}"; must be one of ${kinds}` });
        return undefined;
    }
    if (delimiter === ";") {
        normalizeDecimals(cells);
    }
    const result = recordSchemas[kind as RecordKind].safeParse(cells);
    if (result.success) {
        return { kind: kind as RecordKind, line, cells: result.data };
    }
    for (const issue of result.error.issues) {
        faults.push(...toFaults(issue, kind, line, cells));
    }
    return undefined;
};

const collectCells = (row: CsvRow, columns: readonly string[], faults: SheetFault[]): Record<string, string> => {
    const cells: Record<string, string> = {};
    for (const [index, cell] of row.record.entries()) {
        const column = columns[index] ?? "";
        if (cell === "") {
            continue;
        }
        if (column === "") {
            faults.push({
                line: row.info.lines,
                column: `${index + 1}`,
                message: "the column of this cell has no name",
            });
            continue;
        }
        cells[column] = cell;
    }
    return cells;
};

/** Spreadsheets that separate cells with semicolons write decimals with a comma. */
const normalizeDecimals = (cells: Record<string, string>): void => {
    for (const [column, cell] of Object.entries(cells)) {
        if (/^-?\d+,\d+$/.test(cell)) {
            cells[column] = cell.replace(",", ".");
        }
    }
};

interface SchemaIssue {
    readonly code?: string;
    readonly path: readonly PropertyKey[];
    readonly message: string;
    readonly keys?: readonly string[];
}

const toFaults = (
    issue: SchemaIssue,
    kind: string,
    line: number,
    cells: Record<string, string>,
): SheetFault[] => {
    if (issue.code === "unrecognized_keys") {
        return (issue.keys ?? []).map(column => ({
            line,
            column,
            message: `record "${kind}" has no column "${column}"`,
        }));
    }
    const column = String(issue.path[0] ?? "");
    const cell = cells[column];
    const message = cell === undefined ? "the cell is missing" : `"${cell}" ${issue.message}`;
    return [{ line, column, message }];
};
