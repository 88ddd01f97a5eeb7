/**
 * Settings of a gateway process, read from an INI file. The type is inferred from the schema.
 */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import * as z from "zod";
import { lineOf, type SettingsFault } from "../settings/SettingsReader.ts";

const address = z.string()
    .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be IP:PORT, such as 127.0.0.1:8080")
    .transform(text => {
        const colon = text.lastIndexOf(":");
        return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
    });

const optionalAddress = z.union([z.literal("").transform(() => undefined), address]).optional();
const list = z.string().transform(text => text.split(",").map(item => item.trim()).filter(item => item !== ""));
/** A key without a value has its default: templates leave it empty where the platform has no value. */
/** A number from `min` to `max`. Where the platform has no value for it, its template leaves it empty. */
const number = (min: number, defaultValue: number, max = Number.MAX_VALUE) =>
    z.preprocess(
        text => text === "" ? undefined : text,
        z.coerce.number("must be a number").min(min).max(max).default(defaultValue),
    );
const flag = z.union([z.boolean(), z.enum(["true", "false", ""]).transform(text => text === "true")]);
const optionalText = z.string().optional().transform(text => text === "" ? undefined : text);

const gatewaySettingsSchema = z.object({
    instance: z.object({
        name: z.string().min(1).describe("Name of this instance, for logs."),
        roles: list.pipe(z.array(z.enum(["entry", "control"], "must be entry, control, or both")).min(1)),
        domain: z.string().min(1).describe("Failure domain in which this instance runs."),
        region: z.string().default("").describe("Region of the failure domain."),
        data: optionalText.describe("Data folder; needed with the role control."),
        bootstrap: flag.default(false).describe("Whether the system as a whole starts for the first time."),
        warm_up_ms: number(0, 0).describe(
            "Longest time for which a new process sends itself requests, so that its code is compiled before callers come; 0 for none, in ms.",
        ),
    }),
    doors: z.object({
        callers: optionalAddress.describe("Address for callers; needed with the role entry."),
        readiness: optionalAddress.describe("Address for readiness; needed with the role entry."),
        control: optionalAddress.describe("Address for operators and upstreams; needed with the role control."),
        peers: address.describe("Address for the other instances; its port is the same on all."),
        relay: optionalAddress.describe(
            "Address on which an entry instance relays connections of others; its port is the same on all.",
        ),
        metrics: optionalAddress.describe("Address for metrics."),
    }),
    control: z.object({
        seeds: list.describe("Control addresses of some control instances, IP:PORT."),
        secret: z.string().min(16, "must have at least 16 characters"),
    }),
    bounds: z.object({
        stop_grace_s: number(0, 8).describe("Time between SIGTERM and SIGKILL, in s."),
        revoke_ms: number(0, 5000).describe(
            "Time within which a removed key must stop working on every instance, in ms.",
        ),
        session_s: number(0, 5).describe(
            "Longest pause of a session, from a response to the next request, in s.",
        ),
        cold_excess: number(0, 1.5).describe(
            "Factor by which the request rate of a cold upstream may exceed its capacity.",
        ),
        cold_slack: number(0, 5).describe("Additional requests to a cold upstream, per second."),
        retry_ratio: number(0, 0.9).describe("Retries per request, over all instances together."),
        retry_slack: number(0, 50).describe("Additional retries in a window."),
        rollout_exposure: number(0, 0.15, 1).describe(
            "Largest share of a service's requests that a bad version may get during a roll-out.",
        ),
        order_repeat_ms: number(0, 4000).describe(
            "Longest time for which an operator sends an order again while its confirmation is missing, in ms.",
        ),
        retry_window_s: number(0.1, 10).describe("Length of the retry window, in s."),
    }).prefault({}),
    log: z.object({
        level: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
    }).prefault({}),
});

/** Validated settings of a gateway process. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;

/** Validated settings, or all faults of the file. */
export type GatewaySettingsResult =
    | { readonly settings: GatewaySettings; readonly faults: readonly []; }
    | { readonly settings: undefined; readonly faults: readonly SettingsFault[]; };

/** Reads and validates a settings file. A file that can't be read or parsed is reported as a fault. */
export const readGatewaySettings = (file: string): GatewaySettingsResult => {
    try {
        return parseGatewaySettings(file, readFileSync(file, "utf8"));
    }
    catch (err) {
        return invalid([{ file, line: 1, field: "", message: (err as Error).message }]);
    }
};

/** Parses and validates the text of a settings file; `file` is only named in the faults. */
export const parseGatewaySettings = (file: string, text: string): GatewaySettingsResult => {
    const result = gatewaySettingsSchema.safeParse(parse(text));
    if (!result.success) {
        return invalid(result.error.issues.map(issue => {
            const path = issue.path.map(String);
            return { file, line: lineOf(text, path), field: path.join("."), message: issue.message };
        }));
    }
    const faults = findRoleFaults(result.data).map(([field, message]) => ({
        file,
        line: lineOf(text, field.split(".")),
        field,
        message,
    }));
    return faults.length > 0 ? invalid(faults) : { settings: result.data, faults: [] };
};

const invalid = (faults: readonly SettingsFault[]): GatewaySettingsResult => ({ settings: undefined, faults });

const findRoleFaults = ({ instance, doors }: GatewaySettings): [string, string][] => {
    const faults: [string, string][] = [];
    const requireKey = (role: "entry" | "control", field: string, value: unknown): void => {
        if (instance.roles.includes(role) && value === undefined) {
            faults.push([field, `the key is missing; the role ${role} needs it`]);
        }
    };
    requireKey("entry", "doors.callers", doors.callers);
    requireKey("entry", "doors.readiness", doors.readiness);
    requireKey("control", "doors.control", doors.control);
    requireKey("control", "instance.data", instance.data);
    return faults;
};
