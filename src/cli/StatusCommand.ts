/**
 * `skylarktide status`: prints the current problems, what the system does about each and what the operator can do.
 */
import { type StatusProblem } from "../node/admin/Status.ts";
import { type AdminOptions, callAdmin } from "./AdminClient.ts";
import { ExitCode, print, printJson } from "./Output.ts";

const WATCH_PERIOD_MS = 2000;
const CLEAR_SCREEN = "\u001b[2J\u001b[H";

interface StatusOptions extends AdminOptions {
    readonly watch?: boolean;
}

interface StatusReport {
    readonly instance: string;
    readonly isHealthy: boolean;
    readonly problems: readonly StatusProblem[];
    readonly sheet?: number;
    readonly revision: number;
    readonly configurationAgeMs?: number;
    readonly inForceEverywhere: boolean;
    readonly instances: readonly {
        readonly id: string;
        readonly state: string;
        readonly domain: string;
        readonly revision: number;
    }[];
    readonly domains: readonly { readonly name: string; readonly isInService: boolean; readonly upstreams: number; }[];
    readonly drains: readonly {
        readonly target: string;
        readonly name: string;
        readonly by: string;
        readonly reason: string;
    }[];
    readonly withdrawals: readonly {
        readonly model: string;
        readonly version: string;
        readonly by: string;
        readonly reason: string;
    }[];
    readonly inFlight: number;
    readonly queued: number;
    readonly billsHeld: number;
}

/** Prints the status. The exit code is 0 when there are no problems, otherwise 1. */
export const showStatus = async (options: StatusOptions): Promise<void> => {
    for (;;) {
        const report = await callAdmin<StatusReport>(options, "GET", "/admin/v1/status");
        if (options.watch === true) {
            process.stdout.write(CLEAR_SCREEN);
        }
        if (options.json === true) {
            printJson(report);
        }
        else {
            printReport(report);
        }
        if (options.watch !== true) {
            process.exitCode = report.isHealthy ? ExitCode.Done : ExitCode.Failed;
            return;
        }
        await new Promise(resolve => setTimeout(resolve, WATCH_PERIOD_MS));
    }
};

const printReport = (report: StatusReport): void => {
    print(report.isHealthy ? "All is well." : `${report.problems.length} problem(s):`);
    for (const problem of report.problems) {
        print(`  ${problem.severity.toUpperCase()}  ${problem.summary}`);
        print(`      the system: ${problem.systemDoes}`);
        print(`      you may:    ${problem.operatorMay}`);
        print(`      read:       docs/operators/${problem.page}`);
    }
    const where = report.inForceEverywhere ? "in force everywhere" : "not yet in force everywhere";
    print(`sheet ${report.sheet ?? "(none)"}, revision ${report.revision}, ${where}; seen by ${report.instance}`);
    print(
        `configuration confirmed ${
            report.configurationAgeMs ?? "never"
        } ms ago; ${report.inFlight} requests in flight here, ${report.queued} queued`,
    );
    report.domains.forEach(item =>
        print(
            `  ${item.name.padEnd(14)} ${item.isInService ? "in service " : "out        "} ${item.upstreams} upstreams`,
        )
    );
    report.instances.forEach(item =>
        print(`  ${item.id.padEnd(18)} ${item.state.padEnd(8)} ${item.domain.padEnd(14)} revision ${item.revision}`)
    );
    report.drains.forEach(item => print(`  drained: ${item.target} ${item.name} by ${item.by} ${item.reason}`));
    report.withdrawals.forEach(item =>
        print(`  withdrawn: ${item.model}@${item.version} by ${item.by} ${item.reason}`)
    );
};
