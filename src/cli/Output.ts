/**
 * How the command line prints and ends. Exit codes are part of the public interface.
 */
import { type SheetFault } from "../common/sheet/Sheet.ts";
import { type SettingsFault } from "../node/settings/SettingsReader.ts";

/** Exit codes of every command. */
export const ExitCode = {
    Done: 0,
    /** The command ran, and what it checked is not in order. */
    Failed: 1,
    /** The input or the call has faults; nothing was changed. */
    BadInput: 2,
    /** An instance could not be reached, or the control majority is gone. */
    Unavailable: 3,
    /** The change conflicts with one in force. */
    Conflict: 4,
} as const;

/** Prints a line to standard output. */
export const print = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

/** Prints a line to standard error. */
export const printError = (line: string): void => {
    process.stderr.write(`${line}\n`);
};

/** Prints a value as one line of JSON. */
export const printJson = (value: unknown): void => print(JSON.stringify(value));

/** Prints a reason and ends the process. */
export const fail = (message: string, code: number = ExitCode.Failed): never => {
    printError(`skylarktide: ${message}`);
    process.exit(code);
};

/** Prints the faults of a settings file, one a line as `FILE:LINE: FIELD: MESSAGE`. */
export const printSettingsFaults = (faults: readonly SettingsFault[]): void => {
    faults.forEach(fault => printError(`${fault.file}:${fault.line}: ${fault.field}: ${fault.message}`));
};

/** Prints the faults of a sheet in the same form. */
export const printSheetFaults = (file: string, faults: readonly SheetFault[]): void => {
    faults.forEach(fault => printError(`${file}:${fault.line}: ${fault.column}: ${fault.message}`));
};
