/**
 * The command line of skylarktide.
 */
import sade from "sade";
import { VERSION } from "../node/Version.ts";
import { check } from "./Check.ts";
import { serve } from "./Serve.ts";

const program = sade("skylarktide").version(VERSION);

program
    .command("serve")
    .describe("Run an instance.")
    .option("--config", "Settings file (INI)")
    .example("serve --config examples/kitahama/sapporo-a-1.ini")
    .action((options: { config: string; }) => serve(options.config));

program
    .command("check <file>")
    .describe("Check a settings file (.ini) or a sheet (.csv) without any effect.")
    .example("check examples/kitahama/sheet.csv")
    .action((file: string) => check(file));

program.parse(process.argv);
