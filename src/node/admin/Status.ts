/**
 * The status report of an instance: the current problems, each with what the router does about it, what the
 * operator can do and which page to read, and the state of the deployment as this instance sees it.
 */
import { type InstanceCore } from "../../common/instance/InstanceCore.ts";
import { type AdminActionDependencies, finiteOrUndefined } from "./AdminActions.ts";

/** A problem that needs the operator's attention. */
export interface StatusProblem {
    readonly severity: "warning" | "critical";
    readonly summary: string;
    /** What the router does about it without an operator. */
    readonly systemDoes: string;
    /** What the operator can do. */
    readonly operatorMay: string;
    /** File name of the page about the problem in `docs/operators`. */
    readonly page: string;
}

/** Builds the status report of this instance. */
export const readStatus = async (deps: AdminActionDependencies): Promise<object> => {
    const { core } = deps;
    const { configuration, confirmationAgeMs, hasQuorumContact } = core.follower;
    const problems = findProblems(core);
    return {
        instance: core.membership.self.id,
        isHealthy: problems.length === 0,
        problems,
        sheet: configuration.sheet?.number,
        revision: configuration.revision,
        configurationAgeMs: finiteOrUndefined(confirmationAgeMs),
        isInContact: hasQuorumContact,
        inForceEverywhere: core.membership.alive().every(member => member.revision >= configuration.revision),
        instances: core.membership.all().map(({ id, state, domain, roles, revision }) => ({
            id,
            state,
            domain,
            roles,
            revision,
        })),
        domains: domainsOf(core),
        drains: configuration.drains,
        withdrawals: configuration.withdrawals,
        quarantines: configuration.quarantines.length,
        inFlight: deps.inFlight(),
        queued: core.dispatcher.queueLength,
        billsHeld: core.bills.heldCount,
    };
};

const findProblems = (core: InstanceCore): StatusProblem[] => [
    ...controlProblems(core),
    ...instanceProblems(core),
    ...upstreamProblems(core),
    ...policyProblems(core),
    ...billProblems(core),
];

const controlProblems = (core: InstanceCore): StatusProblem[] => {
    const failure = core.control?.status.failure;
    const problems: StatusProblem[] = [];
    if (failure !== undefined) {
        problems.push({
            severity: "critical",
            summary: `the control log of this instance stopped: ${failure}`,
            systemDoes: "the other voters go on while a majority of them is there",
            operatorMay: "free or replace the disk, then start the instance again",
            page: "disk-full.md",
        });
    }
    if (!core.follower.hasQuorumContact) {
        problems.push({
            severity: "critical",
            summary: "this instance has no contact to the control majority",
            systemDoes: "it serves settled versions by its last configuration and accepts no change",
            operatorMay: "see whether voters are lost or the network is cut",
            page: "isolated-instance.md",
        });
    }
    if (core.follower.configuration.sheet === undefined) {
        problems.push({
            severity: "critical",
            summary: "no sheet is in force",
            systemDoes: "it refuses all requests of callers as \"not run\"",
            operatorMay: "submit the first sheet",
            page: "first-day.md",
        });
    }
    return problems;
};

const instanceProblems = (core: InstanceCore): StatusProblem[] =>
    core.membership.all()
        .filter(member => member.state === "dead" || member.state === "suspect")
        .map(member => ({
            severity: "warning" as const,
            summary: `instance ${member.id} in ${member.domain} is ${
                member.state === "dead" ? "lost" : "not answering"
            }`,
            systemDoes: "its upstreams get another owner, callers reach the other instances",
            operatorMay: "start it again; replace it if it is a voter and will not return",
            page: "lost-instance.md",
        }));

const upstreamProblems = (core: InstanceCore): StatusProblem[] => {
    const { sheet } = core.follower.configuration;
    const { table } = core.follower;
    const problems: StatusProblem[] = [];
    for (const row of sheet?.upstreams ?? []) {
        if (!table.isDomainInService(row.domain)) {
            continue;
        }
        const found = core.registry.all().filter(upstream =>
            upstream.announcement.domain === row.domain && servesRow(upstream.targets, row)
        );
        if (found.length < row.count) {
            const target = row.service ?? `${row.model ?? ""}${row.version === undefined ? "" : `@${row.version}`}`;
            problems.push({
                severity: found.length === 0 ? "critical" : "warning",
                summary: `${found.length} of ${row.count} upstreams for ${target} are announced in ${row.domain}`,
                systemDoes: "the others carry the load, and other failure domains help",
                operatorMay: "see why the upstreams do not announce themselves",
                page: "missing-upstreams.md",
            });
        }
    }
    return problems;
};

interface ExpectedRow {
    readonly model?: string | undefined;
    readonly version?: string | undefined;
    readonly service?: string | undefined;
}

const servesRow = (targets: ReadonlySet<string>, row: ExpectedRow): boolean =>
    [...targets].some(target => {
        if (row.service !== undefined) {
            return target === `service ${row.service}`;
        }
        return row.version === undefined
            ? target.startsWith(`${row.model}@`)
            : target === `${row.model}@${row.version}`;
    });

const policyProblems = (core: InstanceCore): StatusProblem[] =>
    core.follower.configuration.withdrawals
        .filter(item => item.by.startsWith("policy"))
        .map(item => ({
            severity: "warning" as const,
            summary: `version ${item.model}@${item.version} was withdrawn by the system: ${item.reason}`,
            systemDoes: "the settled version carries its share",
            operatorMay: "mend the version, then end the withdrawal",
            page: "bad-version.md",
        }));

const billProblems = (core: InstanceCore): StatusProblem[] => {
    const billCount = core.bills.heldCount;
    if (billCount < HELD_BILLS_THRESHOLD) {
        return [];
    }
    return [{
        severity: "warning",
        summary: `${billCount} bills are only in memory`,
        systemDoes: "it keeps trying to bring them to two disks",
        operatorMay: "bring the control instances back before stopping this one",
        page: "bills-held.md",
    }];
};

/** Number of bills only in memory from which the status reports a problem. Fewer are normal while they are stored. */
const HELD_BILLS_THRESHOLD = 100;

const domainsOf = (core: InstanceCore): object[] =>
    (core.follower.configuration.sheet?.domains ?? []).map(({ name, region }) => ({
        name,
        region,
        isInService: core.follower.table.isDomainInService(name),
        upstreams: core.registry.all().filter(upstream => upstream.announcement.domain === name).length,
    }));
