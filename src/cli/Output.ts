/**
 * Output and exit codes of the command line. The exit codes are part of the public interface.
 */
import { type SheetFault } from "../common/sheet/Sheet.ts";
import { type SettingsFault } from "../node/settings/SettingsReader.ts";

/** Exit codes of every command. */
export const ExitCode = {
    Done: 0,
    /** The command failed, or it ran and found a problem. */
    Failed: 1,
    /** The input or the arguments are invalid; nothing was changed. */
    BadInput: 2,
    /** An instance could not be reached or is stopping, or there is no control majority. */
    Unavailable: 3,
    /** The change conflicts with one that is in force. */
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

/** Prints an error message and ends the process. */
export const fail = (message: string, code: number = ExitCode.Failed): never => {
    printError(`skylarktide: ${message}`);
    process.exit(code);
};

/** Prints the faults of a settings file, one per line as `FILE:LINE: FIELD: MESSAGE`. */
export const printSettingsFaults = (faults: readonly SettingsFault[]): void => {
    faults.forEach(fault => printError(`${fault.file}:${fault.line}: ${fault.field}: ${fault.message}`));
};

/** Prints the faults of a sheet, one per line as `FILE:LINE: COLUMN: MESSAGE`. */
export const printSheetFaults = (file: string, faults: readonly SheetFault[]): void => {
    faults.forEach(fault => printError(`${file}:${fault.line}: ${fault.column}: ${fault.message}`));
};
