/**
 * Serves operators and the deployment platform: the admin API, liveness, readiness and metrics. Each API request
 * calls an action of the local broker.
 */
import { type ServiceBroker } from "moleculer";
import { createHash } from "node:crypto";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Configuration } from "../../common/configuration/Configuration.ts";
import { routerError, toRouterError } from "../../common/errors/RouterError.ts";
import { bearerKey, hashKey } from "../entry/RequestContext.ts";
import { parseJson, readBody, sendJson, sendProblem } from "../http/HttpBody.ts";
import { type AdminRoute, adminRoutes, describeAdminApi, type Role } from "./AdminRoutes.ts";

/** Largest request body, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** Name under which changes are recorded that were submitted with the key in the settings. */
const SETTINGS_OPERATOR = "settings";

/** An authenticated operator. */
export interface Operator {
    readonly name: string;
    readonly role: Role;
}

/** Dependencies of the admin server. */
export interface AdminServerDependencies {
    readonly broker: ServiceBroker;
    readonly version: string;
    readonly configuration: () => Configuration;
    /** SHA-256 of the key in the settings. It always has the role `operate`, so that it can submit the first sheet. */
    readonly keyHash: string | undefined;
    /** Why the instance is not ready; undefined when it is ready. */
    readonly notReadyReason: () => string | undefined;
    readonly metrics: () => Promise<string>;
}

/** Authenticates and answers the requests of operators and of the platform's probes. */
export class AdminServer {
    private readonly deps: AdminServerDependencies;

    public constructor(deps: AdminServerDependencies) {
        this.deps = deps;
    }

    public readonly handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        try {
            await this.answer(req, res);
        }
        catch (err) {
            sendProblem(req, res, toRouterError(err, { code: "internal", run: "unknown", step: "admin request" }));
        }
    };

    private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = new URL(req.url ?? "/", "http://admin");
        switch (url.pathname) {
            case "/live":
                sendJson(res, 200, { state: "live" });
                return;
            case "/ready": {
                const reason = this.deps.notReadyReason();
                sendJson(res, reason === undefined ? 200 : 503, {
                    state: reason === undefined ? "ready" : "not ready",
                    reason,
                });
                return;
            }
            case "/metrics":
                res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
                res.end(await this.deps.metrics());
                return;
            case "/admin/v1/openapi.json":
                sendJson(res, 200, describeAdminApi(this.deps.version));
                return;
            default:
                await this.call(req, res, url);
        }
    }

    private async call(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        const [name, route] = findRoute(req.method ?? "GET", url.pathname);
        const operator = this.authenticate(req, route.role);
        const input = route.method === "GET"
            ? Object.fromEntries(url.searchParams)
            : parseJson(await readBody(req, MAX_BODY_BYTES));
        const params = checkParams(route, input);
        const result: unknown = await this.deps.broker.call(`admin.${name}`, params, {
            meta: { operator: operator.name },
        });
        sendJson(res, 200, result);
    }

    private authenticate(req: IncomingMessage, role: Role): Operator {
        const key = bearerKey(req.headers);
        if (key === undefined) {
            throw routerError("the request has no \"Authorization: Bearer\" key", {
                code: "unknownKey",
                step: "authenticate",
            });
        }
        const operator = this.operatorOf(hashKey(key));
        if (operator === undefined) {
            throw routerError("the operator key is unknown", { code: "unknownKey", step: "authenticate" });
        }
        if (role === "operate" && operator.role !== "operate") {
            const message = `operator "${operator.name}" does not have the role "operate"`;
            throw routerError(message, { code: "notAllowed", step: "authenticate" });
        }
        return operator;
    }

    private operatorOf(hash: string): Operator | undefined {
        if (hash === this.deps.keyHash) {
            return { name: SETTINGS_OPERATOR, role: "operate" };
        }
        return this.deps.configuration().sheet?.operators.find(operator => operator.key_sha256 === hash);
    }
}

const findRoute = (method: string, path: string): [string, AdminRoute] => {
    const onPath = (Object.entries(adminRoutes) as [string, AdminRoute][]).filter(([, route]) => route.path === path);
    const found = onPath.find(([, route]) => route.method === method);
    if (found !== undefined) {
        return found;
    }
    if (onPath.length > 0) {
        throw routerError(`the resource does not support ${method}`, {
            code: "methodNotAllowed",
            step: "admin request",
        });
    }
    throw routerError(`no resource at "${path.slice(0, 100)}"`, { code: "notFound", step: "admin request" });
};

const checkParams = (route: AdminRoute, input: unknown): object => {
    const result = route.params.safeParse(input);
    if (!result.success) {
        const faults = result.error.issues.map(issue => `field "${issue.path.join(".")}": ${issue.message}`);
        throw routerError(faults.join("; "), { code: "malformedRequest", step: "admin request" });
    }
    return result.data as object;
};

/** Identifies the content of a sheet: the SHA-256 of its text, in hex. */
export const sheetHash = (text: string): string => createHash("sha256").update(text).digest("hex");
