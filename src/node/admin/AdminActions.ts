/**
 * Implements the routes of the admin API.
 */
import { type Bill } from "../../common/billing/Bill.ts";
import { BillingLedger } from "../../common/billing/BillingLedger.ts";
import { type Change, type DrainTarget } from "../../common/configuration/Change.ts";
import { type ChangeOutcome } from "../../common/configuration/Configuration.ts";
import { votersCommand } from "../../common/control/EntryLog.ts";
import { type Command } from "../../common/control/LogStore.ts";
import { routerError } from "../../common/errors/RouterError.ts";
import { type InstanceCore } from "../../common/instance/InstanceCore.ts";
import { type PeerReply } from "../../common/peers/PeerCalls.ts";
import { type PeerNetwork } from "../../common/peers/PeerNetwork.ts";
import { type Sheet } from "../../common/sheet/Sheet.ts";
import { diffSheets } from "../../common/sheet/SheetDiff.ts";
import { readSheet } from "../../common/sheet/SheetReader.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { type TimelineEvent } from "../../common/timeline/TimelineEvent.ts";
import { type Log } from "../log/Log.ts";
import { type AdminParams, type AdminRouteName } from "./AdminRoutes.ts";
import { sheetHash } from "./AdminServer.ts";
import { readStatus } from "./Status.ts";

/** Time limit for the commit of a change, in ms. */
const CHANGE_TIMEOUT_MS = 5000;
/** Time limit for a read from another instance, in ms. */
const READ_TIMEOUT_MS = 1500;

/** Dependencies of the actions. */
export interface AdminActionDependencies {
    readonly core: InstanceCore;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly log: Log;
    /** Reads the bills of a time span from this instance's disk; `from` and `to` are Unix times in ms. */
    readonly selectBills: (from: number, to: number) => Promise<readonly Bill[]>;
    /** Number of callers' requests in flight on this instance. */
    readonly inFlight: () => number;
}

type Actions = { [K in AdminRouteName]: (params: AdminParams<K>, operator: string) => Promise<object>; };

/** Creates the actions of the admin API, one for each route. */
export const createAdminActions = (deps: AdminActionDependencies): Actions => {
    const { core, clock } = deps;
    const auditFields = (by: string, reason: string): { by: string; reason: string; at: number; } => ({
        by,
        reason,
        at: clock.now(),
    });

    const submit = async (change: Change): Promise<object> => {
        const { outcome } = await core.client.submit(change as Command, CHANGE_TIMEOUT_MS);
        return requireAccepted(outcome as ChangeOutcome);
    };
    const drainChange =
        (kind: "drain" | "undrain") => (params: { target: DrainTarget; name: string; reason: string; }, by: string) =>
            submit({ kind, target: params.target, name: params.name, ...auditFields(by, params.reason) });
    const versionChange =
        (kind: "withdraw" | "restore") => (params: { model: string; version: string; reason: string; }, by: string) =>
            submit({ kind, model: params.model, version: params.version, ...auditFields(by, params.reason) });

    return {
        status: () => readStatus(deps),
        instances: async () => ({ instances: core.membership.all() }),
        upstreams: async () => ({ upstreams: core.registry.all().map(upstream => describeUpstream(core, upstream)) }),
        sheetSubmit: async ({ text, reason }, by) => {
            const sheet = requireSheet(text);
            const sha256 = sheetHash(text);
            const result = await submit({
                kind: "submitSheet",
                number: sheet.number,
                text,
                sha256,
                sheet: { ...sheet },
                ...auditFields(by, reason),
            });
            core.timeline.record("sheetAnswered", `sheet ${sheet.number} by ${by}`);
            return { number: sheet.number, sha256, ...result };
        },
        sheetDiff: async ({ text }) => ({ changes: diffSheets(core.follower.configuration.sheet, requireSheet(text)) }),
        sheetHistory: async () => {
            const { history } = await configurationWithHistory(deps);
            return { sheets: history.map(({ text, ...item }) => ({ ...item, bytes: Buffer.byteLength(text) })) };
        },
        sheetShow: async ({ number }) => {
            const { history } = await configurationWithHistory(deps);
            const found = number === undefined ? history.at(-1) : history.find(item => item.number === number);
            if (found === undefined) {
                throw routerError("the history does not contain this sheet", { code: "notFound", step: "show sheet" });
            }
            return found;
        },
        drain: drainChange("drain"),
        undrain: drainChange("undrain"),
        withdraw: versionChange("withdraw"),
        restore: versionChange("restore"),
        release: ({ fingerprint, reason }, by) => submit({ kind: "release", fingerprint, ...auditFields(by, reason) }),
        control: async () => ({
            ...(core.control?.status ?? { role: "none" }),
            contactAgeMs: finiteOrUndefined(core.follower.confirmationAgeMs),
        }),
        controlVoters: async ({ change, instance }) => {
            const voters = await currentVoters(deps);
            const next = change === "add" ? [...voters, instance] : voters.filter(voter => voter !== instance);
            const { index } = await core.client.submit(votersCommand(next), CHANGE_TIMEOUT_MS);
            return { voters: next, index };
        },
        billing: ({ from, to }) => exportBills(deps, from, to),
        timeline: ({ limit, ...filter }) => mergeTimelines(deps, filter, limit),
        logLevel: async ({ level }) => {
            deps.log.setLevel(level);
            return { level };
        },
    };
};

const requireAccepted = (outcome: ChangeOutcome): object => {
    switch (outcome.kind) {
        case "accepted":
        case "repeated":
            return { state: outcome.kind, revision: outcome.revision };
        case "conflict": {
            const message =
                `sheet ${outcome.number} is in force with other content (sha256 ${outcome.sha256}, by ${outcome.by})`;
            throw routerError(message, { code: "sheetConflict", step: "submit sheet" });
        }
        case "outdated": {
            const message = `sheet ${outcome.number} is in force and has a higher number`;
            throw routerError(message, { code: "sheetOutdated", step: "submit sheet" });
        }
    }
};

const requireSheet = (text: string): Sheet => {
    const { sheet, faults } = readSheet(text);
    if (sheet !== undefined) {
        return sheet;
    }
    const lines = faults.map(fault => `line ${fault.line}, column "${fault.column}": ${fault.message}`);
    throw routerError(lines.join("\n"), { code: "invalidSheet", step: "read sheet" });
};

const describeUpstream = (
    core: InstanceCore,
    upstream: ReturnType<InstanceCore["registry"]["all"]>[number],
): object => {
    const { id, startId, domain, host, port, capacity } = upstream.announcement;
    return {
        id,
        startId,
        domain,
        address: `${host}:${port}`,
        targets: [...upstream.targets],
        capacity,
        limit: core.slots.limitOf(upstream),
        owner: core.owners.ownershipOf(upstream)?.owner,
        inFlightHere: core.slots.inFlight(upstream),
        running: upstream.load?.running,
    };
};

/**
 * Rounds `value`. Undefined for infinity, the confirmation age of an instance that has never had quorum contact,
 * because JSON cannot represent it.
 */
export const finiteOrUndefined = (value: number): number | undefined =>
    Number.isFinite(value) ? Math.round(value) : undefined;

/**
 * The configuration with the history of all stored sheets. Only control instances hold it, so other instances read
 * it from one of them; while none can be reached, the history has at most the newest sheet.
 */
const configurationWithHistory = async (
    deps: AdminActionDependencies,
): Promise<InstanceCore["follower"]["configuration"]> => {
    const { core } = deps;
    if (core.controlState !== undefined) {
        return core.controlState.configuration;
    }
    for (const member of core.membership.alive().filter(item => item.roles.includes("control"))) {
        try {
            const state = await deps.network.call(member.id, "readState", {}, READ_TIMEOUT_MS);
            const history = state["history"] as InstanceCore["follower"]["configuration"]["history"];
            return { ...core.follower.configuration, history };
        }
        catch {
            continue;
        }
    }
    return core.follower.configuration;
};

const currentVoters = async (deps: AdminActionDependencies): Promise<readonly string[]> => {
    const { core, network } = deps;
    if (core.control !== undefined) {
        return core.control.status.voters;
    }
    for (const member of core.membership.alive().filter(item => item.roles.includes("control"))) {
        const state = await network.call(member.id, "readState", {}, READ_TIMEOUT_MS).catch(() => undefined);
        if (state !== undefined) {
            return state["voters"] as string[];
        }
    }
    throw routerError("no control instance can be reached", { code: "noMajority", step: "read voters" });
};

interface PeerResults<T> {
    readonly items: readonly T[];
    readonly unreachable: readonly string[];
}

/** Queries all other instances whose roles satisfy `matchesRoles`. Those that do not answer are `unreachable`. */
const collectFromPeers = async <T>(
    deps: AdminActionDependencies,
    matchesRoles: (roles: readonly string[]) => boolean,
    query: (peer: string) => Promise<readonly T[]>,
): Promise<PeerResults<T>> => {
    const { membership } = deps.core;
    const others = membership.all().filter(member =>
        member.id !== membership.self.id && member.state !== "left" && matchesRoles(member.roles)
    );
    const unreachable: string[] = [];
    const answers = await Promise.all(others.map(member =>
        query(member.id).catch((): readonly T[] => {
            unreachable.push(member.id);
            return [];
        })
    ));
    return { items: answers.flat(), unreachable };
};

const exportBills = async (deps: AdminActionDependencies, from: number, to: number): Promise<object> => {
    const localBills = await deps.selectBills(from, to);
    const query = async (peer: string): Promise<readonly Bill[]> => {
        const reply: PeerReply<"selectBills"> = await deps.network.call(
            peer,
            "selectBills",
            { from, to },
            READ_TIMEOUT_MS,
        );
        return reply.bills;
    };
    const others = await collectFromPeers(deps, roles => roles.includes("control"), query);
    const ledger = new BillingLedger();
    [...localBills, ...others.items].forEach(bill => ledger.add(bill));
    const bills = [...ledger.all()].sort((a, b) => a.at - b.at);
    return { bills, totals: ledger.accountTotals(), unreachable: others.unreachable };
};

const mergeTimelines = async (deps: AdminActionDependencies, filter: object, limit: number): Promise<object> => {
    const definedFilters = Object.fromEntries(
        Object.entries(filter).filter(([, value]) => value !== undefined),
    ) as Record<
        string,
        string
    >;
    const localEvents = deps.core.timeline.select(definedFilters, limit);
    const query = async (peer: string): Promise<readonly TimelineEvent[]> => {
        const reply = await deps.network.call(peer, "selectEvents", { filter: definedFilters, limit }, READ_TIMEOUT_MS);
        return reply.events;
    };
    const others = await collectFromPeers(deps, () => true, query);
    const events = [...localEvents, ...others.items].sort((a, b) => (a.stamp < b.stamp ? -1 : 1)).slice(-limit);
    return { events, unreachable: others.unreachable };
};
