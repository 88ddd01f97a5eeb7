/**
 * The routes of the admin API, each with its method, path, required role and parameter schema. Request validation
 * and the OpenAPI description are both derived from this table.
 */
import * as z from "zod";
import { drainTargets } from "../../common/configuration/Change.ts";

const reason = z.string().max(512).default("");
const version = z.object({ model: z.string().min(1), version: z.string().min(1), reason });
const drain = z.object({ target: z.enum(drainTargets), name: z.string().min(1).max(128), reason });
const empty = z.object({});
const sheetText = z.object({ text: z.string(), reason });

/** Role of an operator. `operate` includes `read`. */
export type Role = "read" | "operate";

/** A route of the admin API. */
export interface AdminRoute {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly role: Role;
    readonly summary: string;
    /** Schema of the body of a POST or of the query of a GET. */
    readonly params: z.ZodType;
}

export const adminRoutes = {
    status: {
        method: "GET",
        path: "/admin/v1/status",
        role: "read",
        summary: "What is wrong, and the state of every part.",
        params: empty,
    },
    instances: {
        method: "GET",
        path: "/admin/v1/instances",
        role: "read",
        summary: "Every instance with the age of its configuration.",
        params: empty,
    },
    upstreams: {
        method: "GET",
        path: "/admin/v1/upstreams",
        role: "read",
        summary: "Every upstream with load and slots.",
        params: empty,
    },
    sheetSubmit: {
        method: "POST",
        path: "/admin/v1/sheets",
        role: "operate",
        summary: "Submits a sheet.",
        params: sheetText,
    },
    sheetDiff: {
        method: "POST",
        path: "/admin/v1/sheets/diff",
        role: "read",
        summary: "What a sheet would change; nothing is applied.",
        params: sheetText,
    },
    sheetHistory: {
        method: "GET",
        path: "/admin/v1/sheets",
        role: "read",
        summary: "Accepted sheets, newest last.",
        params: empty,
    },
    sheetShow: {
        method: "GET",
        path: "/admin/v1/sheets/text",
        role: "read",
        summary: "Text of an accepted sheet, the one in force by default.",
        params: z.object({ number: z.coerce.number().int().optional() }),
    },
    drain: {
        method: "POST",
        path: "/admin/v1/drains",
        role: "operate",
        summary: "Takes a failure domain, upstream or instance out.",
        params: drain,
    },
    undrain: {
        method: "POST",
        path: "/admin/v1/drains/end",
        role: "operate",
        summary: "Brings it back.",
        params: drain,
    },
    withdraw: {
        method: "POST",
        path: "/admin/v1/withdrawals",
        role: "operate",
        summary: "Withdraws a version at once.",
        params: version,
    },
    restore: {
        method: "POST",
        path: "/admin/v1/withdrawals/end",
        role: "operate",
        summary: "Ends a withdrawal.",
        params: version,
    },
    release: {
        method: "POST",
        path: "/admin/v1/quarantine/release",
        role: "operate",
        summary: "Releases a quarantined request.",
        params: z.object({ fingerprint: z.string().min(1), reason }),
    },
    control: {
        method: "GET",
        path: "/admin/v1/control",
        role: "read",
        summary: "State of the control log on this instance.",
        params: empty,
    },
    controlVoters: {
        method: "POST",
        path: "/admin/v1/control/voters",
        role: "operate",
        summary: "Adds or removes one voter.",
        params: z.object({ change: z.enum(["add", "remove"]), instance: z.string().min(1), reason }),
    },
    billing: {
        method: "GET",
        path: "/admin/v1/billing",
        role: "read",
        summary: "Bills of a time span from all control instances, with totals by client account.",
        params: z.object({
            from: z.coerce.number().default(0),
            to: z.coerce.number().default(Number.MAX_SAFE_INTEGER),
        }),
    },
    timeline: {
        method: "GET",
        path: "/admin/v1/timeline",
        role: "read",
        summary: "Events of all instances, oldest first.",
        params: z.object({
            request: z.string().optional(),
            session: z.string().optional(),
            account: z.string().optional(),
            version: z.string().optional(),
            upstream: z.string().optional(),
            domain: z.string().optional(),
            since: z.string().optional(),
            until: z.string().optional(),
            limit: z.coerce.number().int().min(1).max(20_000).default(1000),
        }),
    },
    logLevel: {
        method: "POST",
        path: "/admin/v1/log-level",
        role: "operate",
        summary: "Changes the log level of this instance.",
        params: z.object({ level: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]) }),
    },
} as const satisfies Record<string, AdminRoute>;

/** Name of a route, which is also the name of its action on the broker. */
export type AdminRouteName = keyof typeof adminRoutes;
/** Validated parameters of a route. */
export type AdminParams<K extends AdminRouteName> = z.output<(typeof adminRoutes)[K]["params"]>;

/** The OpenAPI description of the admin API. */
export const describeAdminApi = (version: string): object => {
    const paths: Record<string, Record<string, object>> = {};
    for (const [name, route] of Object.entries(adminRoutes) as [string, AdminRoute][]) {
        const methods = paths[route.path] ?? {};
        methods[route.method.toLowerCase()] = describeRoute(name, route);
        paths[route.path] = methods;
    }
    return {
        openapi: "3.1.0",
        info: { title: "skylarktide admin API", version },
        components: { securitySchemes: { operatorKey: { type: "http", scheme: "bearer" } } },
        security: [{ operatorKey: [] }],
        paths,
    };
};

const describeRoute = (operationId: string, route: AdminRoute): object => {
    const schema = z.toJSONSchema(route.params, { io: "input" });
    const answers = { "200": { description: "Done." }, default: { description: "A problem (RFC 9457)." } };
    const base = { operationId, summary: route.summary, "x-role": route.role, responses: answers };
    if (route.method === "POST") {
        return { ...base, requestBody: { content: { "application/json": { schema } } } };
    }
    const properties = Object.entries(schema.properties ?? {});
    return { ...base, parameters: properties.map(([name, property]) => ({ name, in: "query", schema: property })) };
};
