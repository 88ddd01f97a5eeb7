/**
 * The command line of skylarktide. All commands except `serve`, `check`, `settings`, `control recover`, `replay` and
 * `demo` use the admin API of an instance.
 */
import sade from "sade";
import { VERSION } from "../node/Version.ts";
import { type AdminOptions, callAdmin } from "./AdminClient.ts";
import { check } from "./Check.ts";
import { ExitCode, print, printJson } from "./Output.ts";
import { exportBilling, showControl, showTimeline } from "./ReadCommands.ts";
import { explainSettings } from "./SettingsCommand.ts";
import { diffSheet, listSheets, sheetStatus, showSheet, submitSheet } from "./SheetCommands.ts";
import { showStatus } from "./StatusCommand.ts";

interface ReasonOptions extends AdminOptions {
    readonly reason?: string;
}

// A reader such as `head` may close its end early; this is not an error.
process.stdout.on(
    "error",
    (err: NodeJS.ErrnoException) => process.exit(err.code === "EPIPE" ? ExitCode.Done : ExitCode.Failed),
);

const program = sade("skylarktide").version(VERSION);

program.option("--admin", "URL of an instance's admin listener (default: SKYLARKTIDE_ADMIN, or http://127.0.0.1:8081)");
program.option("--json", "Print JSON");

program
    .command("serve")
    .describe("Run an instance until SIGTERM or SIGINT starts a planned stop.")
    .option("--config", "Settings file (INI)")
    .example("serve --config examples/kitahama/sapporo-a-1.ini")
    .action(async (options: { config: string; }) => (await import("./Serve.ts")).serve(options.config));

program
    .command("check <file>")
    .describe("Validate a settings file (.ini) or a sheet (.csv) without applying it.")
    .example("check examples/kitahama/sheet.csv")
    .action((file: string) => check(file));

program
    .command("settings explain [key]")
    .describe("Describe one settings key, or all of them.")
    .example("settings explain limits.max_body_bytes")
    .action((key: string | undefined) => explainSettings(key));

program
    .command("status")
    .describe("Show problems, what the system does about them and what you can do. Exit code 1 when there are any.")
    .option("--watch", "Repeat every 2 s")
    .example("status --watch")
    .action((options: AdminOptions) => showStatus(options));

program
    .command("sheet submit <file>")
    .describe("Submit a sheet. Exit code 2 when it has faults, 4 when its number conflicts.")
    .option("--reason", "Reason, recorded in the history")
    .example("sheet submit examples/orchard/sheet.csv --reason \"morning plan\"")
    .action((file: string, options: ReasonOptions) => submitSheet(file, options));

program
    .command("sheet diff <file>")
    .describe("Show what a sheet would change, without applying it.")
    .action((file: string, options: AdminOptions) => diffSheet(file, options));

program
    .command("sheet show [number]")
    .describe("Print the text of an accepted sheet, by default the one in force.")
    .action((number: string | undefined, options: AdminOptions) => showSheet(number, options));

program
    .command("sheet history")
    .describe("List the accepted sheets.")
    .action((options: AdminOptions) => listSheets(options));

program
    .command("sheet status")
    .describe("Show on which instances the newest sheet is in force.")
    .action((options: AdminOptions) => sheetStatus(options));

/** Adds a command that requests a change through the admin API and prints the result. */
const addChangeCommand = (
    usage: string,
    description: string,
    path: string,
    toBody: (...args: string[]) => object,
): void => {
    program
        .command(usage)
        .describe(description)
        .option("--reason", "Reason, recorded with the change")
        .action(async (...args: unknown[]) => {
            const options = args.at(-1) as ReasonOptions;
            const positional = args.slice(0, -1) as string[];
            const body = { ...toBody(...positional), reason: options.reason ?? "" };
            const result = await callAdmin<{ state?: string; revision?: number; }>(options, "POST", path, body);
            if (options.json === true) {
                printJson(result);
                return;
            }
            print(`done${result.revision === undefined ? "" : `, revision ${result.revision}`}`);
        });
};

addChangeCommand(
    "drain <target> <name>",
    "Drain a domain, upstream or instance.",
    "/admin/v1/drains",
    (target, name) => ({ target, name }),
);
addChangeCommand(
    "undrain <target> <name>",
    "End the drain of a domain, upstream or instance.",
    "/admin/v1/drains/end",
    (target, name) => ({ target, name }),
);
addChangeCommand(
    "withdraw <model> <version>",
    "Withdraw a model version immediately.",
    "/admin/v1/withdrawals",
    (model, version) => ({ model, version }),
);
addChangeCommand(
    "restore <model> <version>",
    "End the withdrawal of a model version.",
    "/admin/v1/withdrawals/end",
    (model, version) => ({ model, version }),
);
addChangeCommand(
    "release <fingerprint>",
    "Release a quarantined request.",
    "/admin/v1/quarantine/release",
    fingerprint => ({ fingerprint }),
);
addChangeCommand(
    "control add <instance>",
    "Add a voter to the control log.",
    "/admin/v1/control/voters",
    instance => ({ change: "add", instance }),
);
addChangeCommand(
    "control remove <instance>",
    "Remove a voter from the control log.",
    "/admin/v1/control/voters",
    instance => ({ change: "remove", instance }),
);
addChangeCommand(
    "log-level <level>",
    "Change the log level of an instance.",
    "/admin/v1/log-level",
    level => ({ level }),
);

program
    .command("control status")
    .describe("Show the control log of an instance.")
    .action((options: AdminOptions) => showControl(options));

program
    .command("control recover")
    .describe("Make a stopped instance the only voter, after the permanent loss of the majority.")
    .option("--config", "Settings file of the stopped instance")
    .option("--confirm", "Name of the deployment; without it nothing is changed")
    .action(async (options: { config: string; confirm?: string; }) =>
        (await import("./RecoverCommand.ts")).recoverControl(options)
    );

program
    .command("billing export")
    .describe("Print totals by client account, or every bill with --json.")
    .option("--from", "Start of the time range, inclusive, such as 2026-12-04")
    .option("--to", "End of the time range, exclusive")
    .action((options: AdminOptions) => exportBilling(options));

program
    .command("timeline")
    .describe("Show the events of all instances in chronological order.")
    .option("--request", "Only events of this request")
    .option("--session", "Only events of this session")
    .option("--account", "Only events of this client account")
    .option("--upstream", "Only events of this upstream")
    .option("--domain", "Only events of this failure domain")
    .option("--limit", "Largest number of events", 1000)
    .option("--html", "Write an HTML page to this file")
    .example("timeline --session s-42 --html timeline.html")
    .action((options: AdminOptions) => showTimeline(options));

program
    .command("replay <trace>")
    .describe("Replay recorded events and compare the outcomes with the expected ones. Exit code 1 on a mismatch.")
    .example("replay traces/session-keeps-version.jsonl")
    .action(async (file: string, options: AdminOptions) =>
        (await import("./Replay.ts")).replay(file, options.json === true)
    );

program
    .command("demo")
    .describe("Run a small deployment with fake upstreams on loopback and print what happens.")
    .action(async () => (await import("./Demo.ts")).demo());

program.parse(process.argv);
