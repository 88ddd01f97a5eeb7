/**
 * Client of the admin API. The commands reach a running instance only through it.
 */
import { request } from "undici";
import { type Problem } from "../common/errors/Problem.ts";
import { ExitCode, fail } from "./Output.ts";

/** Environment variable with the operator key. */
export const KEY_VARIABLE = "SKYLARKTIDE_KEY";
/** Environment variable with the URL of an instance's admin listener. */
export const ADMIN_VARIABLE = "SKYLARKTIDE_ADMIN";
const DEFAULT_ADMIN = "http://127.0.0.1:8081";

/** Options that every command takes. */
export interface AdminOptions {
    readonly admin?: string;
    readonly json?: boolean;
}

const conflictCodes = new Set(["sheetConflict", "sheetOutdated"]);
const unavailableCodes = new Set(["noMajority", "stopping"]);

/** Calls a route of the admin API. Prints the reason and ends the process when the call fails. */
export const callAdmin = async <T>(
    options: AdminOptions,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<T> => {
    const base = options.admin ?? process.env[ADMIN_VARIABLE] ?? DEFAULT_ADMIN;
    const headers: Record<string, string> = { authorization: `Bearer ${process.env[KEY_VARIABLE] ?? ""}` };
    if (body !== undefined) {
        headers["content-type"] = "application/json";
    }
    let text: string;
    let status: number;
    try {
        const payload = body === undefined ? {} : { body: JSON.stringify(body) };
        const answer = await request(`${base}${path}`, { method, headers, ...payload });
        status = answer.statusCode;
        text = await answer.body.text();
    }
    catch (err) {
        return fail(`cannot reach ${base}: ${(err as Error).message}`, ExitCode.Unavailable);
    }
    if (status >= 400) {
        return failWithProblem(text);
    }
    return JSON.parse(text) as T;
};

const failWithProblem = (text: string): never => {
    const problem = JSON.parse(text) as Problem;
    const hint = problem.code === "unknownKey" ? ` (set ${KEY_VARIABLE} to an operator key)` : "";
    const retryHint = problem.run === "unknown" ? "; whether it took effect is unknown, so send it again" : "";
    return fail(`${problem.detail}${hint}${retryHint}`, exitCodeOf(problem.code));
};

const exitCodeOf = (code: string): number => {
    if (conflictCodes.has(code)) {
        return ExitCode.Conflict;
    }
    if (unavailableCodes.has(code)) {
        return ExitCode.Unavailable;
    }
    return code === "invalidSheet" || code === "malformedRequest" ? ExitCode.BadInput : ExitCode.Failed;
};
