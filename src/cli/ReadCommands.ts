/**
 * Commands that read the timeline, the bills and the state of the control log from the admin API.
 */
import { writeFileSync } from "node:fs";
import { type Bill } from "../common/billing/Bill.ts";
import { type AccountTotal } from "../common/billing/BillingLedger.ts";
import { stampTime } from "../common/timeline/HybridClock.ts";
import { type TimelineEvent } from "../common/timeline/TimelineEvent.ts";
import { type AdminOptions, callAdmin } from "./AdminClient.ts";
import { print, printError, printJson } from "./Output.ts";
import { timelinePage } from "./TimelinePage.ts";

interface TimelineOptions extends AdminOptions {
    readonly html?: string;
    readonly limit?: string | number;
    readonly request?: string;
    readonly session?: string;
    readonly account?: string;
    readonly version?: string;
    readonly upstream?: string;
    readonly domain?: string;
}

interface BillingOptions extends AdminOptions {
    readonly from?: string;
    readonly to?: string;
}

const queryOptions = ["request", "session", "account", "upstream", "domain", "limit"] as const;

/** Prints the merged events of all instances. */
export const showTimeline = async (options: TimelineOptions): Promise<void> => {
    const query = new URLSearchParams();
    for (const name of queryOptions) {
        const value = options[name];
        if (value !== undefined) {
            query.set(name, String(value));
        }
    }
    const path = `/admin/v1/timeline?${query.toString()}`;
    const { events, unreachable } = await callAdmin<{ events: TimelineEvent[]; unreachable: string[]; }>(
        options,
        "GET",
        path,
    );
    if (unreachable.length > 0) {
        printError(`not reached, so their events are missing: ${unreachable.join(", ")}`);
    }
    if (options.html !== undefined) {
        writeFileSync(options.html, timelinePage(events, unreachable));
        print(`wrote ${events.length} events to ${options.html}`);
        return;
    }
    events.forEach(event => options.json === true ? printJson(event) : print(formatEvent(event)));
};

/** One event as a line of text. */
export const formatEvent = (event: TimelineEvent): string => {
    const time = new Date(stampTime(event.stamp)).toISOString();
    const ids = [event.request, event.session, event.upstream, event.domain].filter(id => id !== undefined);
    return `${time} ${event.instance.padEnd(16)} ${event.kind.padEnd(20)} ${event.message}  ${ids.join(" ")}`.trimEnd();
};

/** Prints the totals of a time range by client account, or with --json all its bills. */
export const exportBilling = async (options: BillingOptions): Promise<void> => {
    const query = new URLSearchParams();
    if (options.from !== undefined) {
        query.set("from", String(Date.parse(options.from)));
    }
    if (options.to !== undefined) {
        query.set("to", String(Date.parse(options.to)));
    }
    interface Export {
        readonly bills: Bill[];
        readonly totals: AccountTotal[];
        readonly unreachable: string[];
    }
    const { bills, totals, unreachable } = await callAdmin<Export>(
        options,
        "GET",
        `/admin/v1/billing?${query.toString()}`,
    );
    if (unreachable.length > 0) {
        printError(`not reached, so bills that only they hold are missing: ${unreachable.join(", ")}`);
    }
    if (options.json === true) {
        bills.forEach(bill => printJson(bill));
        return;
    }
    print("account,bills,tokens,cost");
    totals.forEach(total => print(`${total.account},${total.bills},${total.tokens},${total.cost.toFixed(6)}`));
};

/** Prints the state of the control log. */
export const showControl = async (options: AdminOptions): Promise<void> => {
    const status = await callAdmin<Record<string, unknown>>(options, "GET", "/admin/v1/control");
    if (options.json === true) {
        printJson(status);
        return;
    }
    for (const [name, value] of Object.entries(status)) {
        print(`${name.padEnd(14)} ${Array.isArray(value) ? value.join(", ") : String(value)}`);
    }
};
