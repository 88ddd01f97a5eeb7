/**
 * The command line of skylarktide. Everything but `serve`, `check`, `settings`, `replay` and `demo` goes
 * through the admin API of an instance.
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

// A reader such as `head` that closes its end early is no fault.
process.stdout.on(
    "error",
    (err: NodeJS.ErrnoException) => process.exit(err.code === "EPIPE" ? ExitCode.Done : ExitCode.Failed),
);

const program = sade("skylarktide").version(VERSION);

program.option("--admin", "Admin door of an instance; else SKYLARKTIDE_ADMIN, else http://127.0.0.1:8081");
program.option("--json", "Print JSON");

program
    .command("serve")
    .describe("Run an instance until SIGTERM asks for a planned stop.")
    .option("--config", "Settings file (INI)")
    .example("serve --config examples/kitahama/sapporo-a-1.ini")
    .action(async (options: { config: string; }) => (await import("./Serve.ts")).serve(options.config));

program
    .command("check <file>")
    .describe("Check a settings file (.ini) or a sheet (.csv) without any effect.")
    .example("check examples/kitahama/sheet.csv")
    .action((file: string) => check(file));

program
    .command("settings explain [key]")
    .describe("Explain one settings key, or all.")
    .example("settings explain limits.max_body_bytes")
    .action((key: string | undefined) => explainSettings(key));

program
    .command("status")
    .describe("Is anything wrong, what does the system do about it, what may you do. Exit code 1 when something is.")
    .option("--watch", "Repeat every 2 s")
    .example("status --watch")
    .action((options: AdminOptions) => showStatus(options));

program
    .command("sheet submit <file>")
    .describe("Submit a sheet. Exit code 2 when it has faults, 4 when its number conflicts.")
    .option("--reason", "Why, for the history")
    .example("sheet submit examples/orchard/sheet.csv --reason \"morning plan\"")
    .action((file: string, options: ReasonOptions) => submitSheet(file, options));

program
    .command("sheet diff <file>")
    .describe("Show what a sheet would change; nothing is applied.")
    .action((file: string, options: AdminOptions) => diffSheet(file, options));

program
    .command("sheet show [number]")
    .describe("Print the text of an accepted sheet, the one in force by default.")
    .action((number: string | undefined, options: AdminOptions) => showSheet(number, options));

program
    .command("sheet history")
    .describe("List the accepted sheets.")
    .action((options: AdminOptions) => listSheets(options));

program
    .command("sheet status")
    .describe("Show where the newest sheet is in force.")
    .action((options: AdminOptions) => sheetStatus(options));

/** A command that asks for one change and prints what became of it. */
const addChangeCommand = (
    usage: string,
    description: string,
    path: string,
    toBody: (...args: string[]) => object,
): void => {
    program
        .command(usage)
        .describe(description)
        .option("--reason", "Why, for the audit")
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
    "Take a domain, upstream or instance out.",
    "/admin/v1/drains",
    (target, name) => ({ target, name }),
);
addChangeCommand(
    "undrain <target> <name>",
    "Bring it back.",
    "/admin/v1/drains/end",
    (target, name) => ({ target, name }),
);
addChangeCommand(
    "withdraw <model> <version>",
    "Withdraw a version at once.",
    "/admin/v1/withdrawals",
    (model, version) => ({ model, version }),
);
addChangeCommand(
    "restore <model> <version>",
    "End a withdrawal.",
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
    "Add a voter.",
    "/admin/v1/control/voters",
    instance => ({ change: "add", instance }),
);
addChangeCommand(
    "control remove <instance>",
    "Remove a voter.",
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
    .describe("The majority is lost for good: make this stopped instance the only voter.")
    .option("--config", "Settings file of the stopped instance")
    .option("--confirm", "Name of the deployment, to do it")
    .action(async (options: { config: string; confirm?: string; }) =>
        (await import("./RecoverCommand.ts")).recoverControl(options)
    );

program
    .command("billing export")
    .describe("Totals by client account, or every bill with --json.")
    .option("--from", "Earliest time, such as 2026-12-04")
    .option("--to", "Time before which")
    .action((options: AdminOptions) => exportBilling(options));

program
    .command("timeline")
    .describe("Events of all instances in order.")
    .option("--request", "Only this request")
    .option("--session", "Only this session")
    .option("--account", "Only this client account")
    .option("--upstream", "Only this upstream")
    .option("--domain", "Only this failure domain")
    .option("--limit", "Most events", 1000)
    .option("--html", "Write a page to this file")
    .example("timeline --session s-42 --html timeline.html")
    .action((options: AdminOptions) => showTimeline(options));

program
    .command("replay <trace>")
    .describe("Replay recorded events against their stated outcomes. Exit code 1 on a mismatch.")
    .example("replay traces/session-keeps-version.jsonl")
    .action(async (file: string, options: AdminOptions) =>
        (await import("./Replay.ts")).replay(file, options.json === true)
    );

program
    .command("demo")
    .describe("Run a small deployment with fakes on loopback and tell what happens.")
    .action(async () => (await import("./Demo.ts")).demo());

program.parse(process.argv);
