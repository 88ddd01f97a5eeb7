/**
 * `skylarktide check`: validates a settings file or a sheet without applying it.
 */
import { readFileSync } from "node:fs";
import { readSheet } from "../common/sheet/SheetReader.ts";
import { readSettings } from "../node/settings/SettingsReader.ts";
import { ExitCode, fail, print, printSettingsFaults, printSheetFaults } from "./Output.ts";

/** Validates `file` by its extension: `.csv` is a sheet, everything else a settings file. */
export const check = (file: string): void => {
    const isValid = file.endsWith(".csv") ? checkSheetFile(file) : checkSettingsFile(file);
    if (!isValid) {
        process.exit(ExitCode.BadInput);
    }
    print(`${file}: in order`);
};

const checkSheetFile = (file: string): boolean => {
    const { faults } = readSheet(readText(file));
    printSheetFaults(file, faults);
    return faults.length === 0;
};

const checkSettingsFile = (file: string): boolean => {
    const { faults } = readSettings(file, process.env);
    printSettingsFaults(faults);
    return faults.length === 0;
};

/** Text of a file. Prints the reason and ends the process when it cannot be read. */
export const readText = (file: string): string => {
    try {
        return readFileSync(file, "utf8");
    }
    catch (err) {
        return fail((err as Error).message, ExitCode.BadInput);
    }
};
