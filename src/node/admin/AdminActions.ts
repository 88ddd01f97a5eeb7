/**
 * What the routes of the admin API do.
 */
import { type Bill } from "../../common/billing/Bill.ts";
import { BillingLedger } from "../../common/billing/BillingLedger.ts";
import { type Change, type DrainTarget } from "../../common/configuration/Change.ts";
import { type ChangeOutcome } from "../../common/configuration/Configuration.ts";
import { VOTERS_COMMAND } from "../../common/control/EntryLog.ts";
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

/** Time in which a change must be committed, in ms. */
const CHANGE_TIMEOUT_MS = 5000;
/** Time in which another instance must answer a read, in ms. */
const READ_TIMEOUT_MS = 1500;

/** What the actions work with. */
export interface AdminActionDependencies {
    readonly core: InstanceCore;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly log: Log;
    /** Bills on this instance's disk. */
    readonly selectBills: (from: number, to: number) => Promise<readonly Bill[]>;
    readonly inFlight: () => number;
}

type Actions = { [K in AdminRouteName]: (params: AdminParams<K>, operator: string) => Promise<object>; };

/** Creates the actions of the admin API. */
export const createAdminActions = (parts: AdminActionDependencies): Actions => {
    const { core, clock } = parts;
    const origin = (by: string, reason: string): { by: string; reason: string; at: number; } => ({
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
            submit({ kind, target: params.target, name: params.name, ...origin(by, params.reason) });
    const versionChange =
        (kind: "withdraw" | "restore") => (params: { model: string; version: string; reason: string; }, by: string) =>
            submit({ kind, model: params.model, version: params.version, ...origin(by, params.reason) });

    return {
        status: () => readStatus(parts),
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
                ...origin(by, reason),
            });
            core.timeline.record("sheetAnswered", `sheet ${sheet.number} by ${by}`);
            return { number: sheet.number, sha256, ...result };
        },
        sheetDiff: async ({ text }) => ({ changes: diffSheets(core.follower.configuration.sheet, requireSheet(text)) }),
        sheetHistory: async () => {
            const { history } = await configurationWithHistory(parts);
            return { sheets: history.map(({ text, ...item }) => ({ ...item, bytes: Buffer.byteLength(text) })) };
        },
        sheetShow: async ({ number }) => {
            const { history } = await configurationWithHistory(parts);
            const found = number === undefined ? history.at(-1) : history.find(item => item.number === number);
            if (found === undefined) {
                throw routerError("no such sheet in the history", { code: "notFound", step: "show sheet" });
            }
            return found;
        },
        drain: drainChange("drain"),
        undrain: drainChange("undrain"),
        withdraw: versionChange("withdraw"),
        restore: versionChange("restore"),
        release: ({ fingerprint, reason }, by) => submit({ kind: "release", fingerprint, ...origin(by, reason) }),
        control: async () => ({
            ...(core.control?.status ?? { role: "none" }),
            contactAgeMs: finiteOrUndefined(core.follower.confirmationAgeMs),
        }),
        controlVoters: async ({ change, instance }) => {
            const voters = await currentVoters(parts);
            const next = change === "add" ? [...voters, instance] : voters.filter(voter => voter !== instance);
            const { index } = await core.client.submit({ kind: VOTERS_COMMAND, voters: next }, CHANGE_TIMEOUT_MS);
            return { voters: next, index };
        },
        billing: ({ from, to }) => exportBills(parts, from, to),
        timeline: ({ limit, ...filter }) => mergeTimelines(parts, filter, limit),
        logLevel: async ({ level }) => {
            parts.log.setLevel(level);
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
            const message = `sheet ${outcome.number} is in force, which is higher`;
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

/** JSON has no infinity; an instance that never was in contact has no age. */
export const finiteOrUndefined = (value: number): number | undefined =>
    Number.isFinite(value) ? Math.round(value) : undefined;

/** The configuration with its history, which only control instances hold whole. */
const configurationWithHistory = async (
    parts: AdminActionDependencies,
): Promise<InstanceCore["follower"]["configuration"]> => {
    const { core } = parts;
    if (core.controlState !== undefined) {
        return core.controlState.configuration;
    }
    for (const member of core.membership.alive().filter(item => item.roles.includes("control"))) {
        try {
            const state = await parts.network.call(member.id, "readState", {}, READ_TIMEOUT_MS);
            const history = state["history"] as InstanceCore["follower"]["configuration"]["history"];
            return { ...core.follower.configuration, history };
        }
        catch {
            continue;
        }
    }
    return core.follower.configuration;
};

const currentVoters = async (parts: AdminActionDependencies): Promise<readonly string[]> => {
    const { core, network } = parts;
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

/** Asks every other instance that `isAsked` and adds up what they answer. */
const collectFromPeers = async <T>(
    parts: AdminActionDependencies,
    isAsked: (roles: readonly string[]) => boolean,
    ask: (peer: string) => Promise<readonly T[]>,
): Promise<PeerResults<T>> => {
    const { membership } = parts.core;
    const others = membership.all().filter(member =>
        member.id !== membership.self.id && member.state !== "left" && isAsked(member.roles)
    );
    const unreachable: string[] = [];
    const answers = await Promise.all(others.map(member =>
        ask(member.id).catch((): readonly T[] => {
            unreachable.push(member.id);
            return [];
        })
    ));
    return { items: answers.flat(), unreachable };
};

const exportBills = async (parts: AdminActionDependencies, from: number, to: number): Promise<object> => {
    const own = await parts.selectBills(from, to);
    const ask = async (peer: string): Promise<readonly Bill[]> => {
        const reply: PeerReply<"selectBills"> = await parts.network.call(
            peer,
            "selectBills",
            { from, to },
            READ_TIMEOUT_MS,
        );
        return reply.bills;
    };
    const others = await collectFromPeers(parts, roles => roles.includes("control"), ask);
    const ledger = new BillingLedger();
    [...own, ...others.items].forEach(bill => ledger.add(bill));
    const bills = [...ledger.all()].sort((a, b) => a.at - b.at);
    return { bills, totals: ledger.accountTotals(), unreachable: others.unreachable };
};

const mergeTimelines = async (parts: AdminActionDependencies, filter: object, limit: number): Promise<object> => {
    const wanted = Object.fromEntries(Object.entries(filter).filter(([, value]) => value !== undefined)) as Record<
        string,
        string
    >;
    const own = parts.core.timeline.select(wanted, limit);
    const ask = async (peer: string): Promise<readonly TimelineEvent[]> => {
        const reply = await parts.network.call(peer, "selectEvents", { filter: wanted, limit }, READ_TIMEOUT_MS);
        return reply.events;
    };
    const others = await collectFromPeers(parts, () => true, ask);
    const events = [...own, ...others.items].sort((a, b) => (a.stamp < b.stamp ? -1 : 1)).slice(-limit);
    return { events, unreachable: others.unreachable };
};
