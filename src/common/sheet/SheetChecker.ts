/**
 * Checks the rules that span rows: names are unique, references name a record of the same sheet, and the shares of a
 * model's active versions add up to 100 %.
 */
import {
    type AccountRecord,
    type AllowRecord,
    type CallRecord,
    type DomainRecord,
    FULL_SHARE_PERCENT,
    type OperatorRecord,
    type RecordKind,
    type ServiceRecord,
    type SheetFault,
    type UpstreamsRecord,
    type VersionRecord,
} from "./Sheet.ts";
import { type SheetResult, type SheetRow } from "./SheetReader.ts";

/** Allowed difference of a sum of shares from 100 %, as for three shares of 33.33, in percentage points. */
const SHARE_TOLERANCE_PERCENT = 0.05;

/** A typed record and the line that contains it. */
interface Located<T> {
    readonly line: number;
    readonly value: T;
}

/** Builds the sheet from rows that are valid on their own, or returns all faults, with those of `rowFaults`. */
export const checkSheet = (rows: readonly SheetRow[], rowFaults: readonly SheetFault[]): SheetResult => {
    const faults = [...rowFaults];
    const pick = <T>(kind: RecordKind): Located<T>[] =>
        rows.filter(row => row.kind === kind).map(row => ({ line: row.line, value: row.cells as T }));
    const sheetRecords = pick<{ number: number; }>("sheet");
    const domains = pick<DomainRecord>("domain");
    const accounts = pick<AccountRecord>("account");
    const allows = pick<AllowRecord>("allow");
    const versions = pick<VersionRecord>("version");
    const services = pick<ServiceRecord>("service");
    const calls = pick<CallRecord>("call");
    const upstreams = pick<UpstreamsRecord>("upstreams");
    const operators = pick<OperatorRecord>("operator");

    checkSheetRecord(sheetRecords, faults);
    checkUnique(domains, "name", domain => domain.name, faults);
    checkUnique(accounts, "name", account => account.name, faults);
    checkUnique(accounts, "key_sha256", account => account.key_sha256, faults);
    checkUnique(versions, "version", version => `${version.model}@${version.version}`, faults);
    checkUnique(services, "name", service => service.name, faults);
    checkUnique(operators, "name", operator => operator.name, faults);
    checkUnique(calls, "path", call => `${call.service} ${call.method} ${call.path}`, faults);
    checkShares(versions, faults);

    const defined = {
        account: new Set(accounts.map(item => item.value.name)),
        domain: new Set(domains.map(item => item.value.name)),
        model: new Set(versions.map(item => item.value.model)),
        version: new Set(versions.map(item => `${item.value.model}@${item.value.version}`)),
        service: new Set(services.map(item => item.value.name)),
    };
    // An invalid row may define a name that is missing here, so references are only checked if all rows are valid.
    if (rowFaults.length === 0) {
        checkReferences(allows, ["account", "model", "service"], defined, faults);
        checkReferences(calls, ["service"], defined, faults);
        checkReferences(upstreams, ["domain", "model", "service"], defined, faults);
        checkTargets([...allows, ...upstreams], defined.version, faults);
    }
    if (faults.length > 0) {
        return { sheet: undefined, faults: faults.sort((a, b) => a.line - b.line) };
    }
    const values = <T>(records: readonly Located<T>[]): T[] => records.map(item => item.value);
    return {
        sheet: {
            number: sheetRecords[0]?.value.number ?? 0,
            domains: values(domains),
            accounts: values(accounts),
            allows: values(allows),
            versions: values(versions),
            services: values(services),
            calls: values(calls),
            upstreams: values(upstreams),
            operators: values(operators),
        },
        faults: [],
    };
};

const checkSheetRecord = (sheetRecords: readonly Located<unknown>[], faults: SheetFault[]): void => {
    if (sheetRecords.length === 0 && !faults.some(fault => fault.column === "number")) {
        faults.push({ line: 1, column: "record", message: "no row with record \"sheet\" gives the sheet's number" });
    }
    for (const extra of sheetRecords.slice(1)) {
        faults.push({ line: extra.line, column: "record", message: "record \"sheet\" appears more than once" });
    }
};

const checkUnique = <T>(
    records: readonly Located<T>[],
    column: string,
    keyOf: (value: T) => string,
    faults: SheetFault[],
): void => {
    const firstLines = new Map<string, number>();
    for (const item of records) {
        const key = keyOf(item.value);
        const firstLine = firstLines.get(key);
        if (firstLine === undefined) {
            firstLines.set(key, item.line);
            continue;
        }
        faults.push({ line: item.line, column, message: `"${key}" is already defined on line ${firstLine}` });
    }
};

const checkShares = (versions: readonly Located<VersionRecord>[], faults: SheetFault[]): void => {
    const models = Map.groupBy(versions, item => item.value.model);
    for (const [model, items] of models) {
        const active = items.filter(item => item.value.state === "active");
        const total = active.reduce((sum, item) => sum + item.value.share, 0);
        const line = items[0]?.line ?? 1;
        if (active.length > 0 && Math.abs(total - FULL_SHARE_PERCENT) > SHARE_TOLERANCE_PERCENT) {
            const message = `shares of the active versions of "${model}" add up to ${total}, not ${FULL_SHARE_PERCENT}`;
            faults.push({ line, column: "share", message });
        }
    }
};

type Reference = "account" | "domain" | "model" | "service";

const checkReferences = <T extends object>(
    records: readonly Located<T>[],
    columns: readonly Reference[],
    defined: Record<Reference, ReadonlySet<string>>,
    faults: SheetFault[],
): void => {
    for (const item of records) {
        for (const column of columns) {
            const name = (item.value as Partial<Record<Reference, string>>)[column];
            if (name !== undefined && !defined[column].has(name)) {
                faults.push({ line: item.line, column, message: `no row of this sheet defines "${name}"` });
            }
        }
    }
};

interface Target {
    readonly model?: string;
    readonly version?: string;
    readonly service?: string;
}

const checkTargets = (
    records: readonly Located<Target>[],
    versions: ReadonlySet<string>,
    faults: SheetFault[],
): void => {
    for (const { line, value } of records) {
        if ((value.model === undefined) === (value.service === undefined)) {
            faults.push({ line, column: "model", message: "the row must name either a model or a service" });
        }
        if (value.model === undefined && value.version !== undefined) {
            faults.push({ line, column: "version", message: "a version is given without its model" });
        }
        if (value.model === undefined || value.version === undefined || value.version === "*") {
            continue;
        }
        if (!versions.has(`${value.model}@${value.version}`)) {
            const message = `no row of this sheet defines version "${value.version}" of "${value.model}"`;
            faults.push({ line, column: "version", message });
        }
    }
};
