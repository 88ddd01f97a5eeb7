/**
 * Settings of a gateway process, read from INI. The type is inferred from the schema.
 */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { lineOf, type SettingsFault } from "../settings/SettingsReader.ts";

const address = z.string()
    .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be IP:PORT, such as 127.0.0.1:8080")
    .transform(text => {
        const colon = text.lastIndexOf(":");
        return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
    });

const optionalAddress = z.union([z.literal("").transform(() => undefined), address]).optional();
const list = z.string().transform(text => text.split(",").map(item => item.trim()).filter(item => item !== ""));
const number = z.coerce.number("must be a number");
const flag = z.union([z.boolean(), z.enum(["true", "false", ""]).transform(text => text === "true")]);
const optionalText = z.string().optional().transform(text => text === "" ? undefined : text);

const gatewaySettingsSchema = z.object({
    instance: z.object({
        name: z.string().min(1).describe("Name of this instance, for logs."),
        roles: list.pipe(z.array(z.enum(["entry", "control"], "must be entry, control, or both")).min(1)),
        domain: z.string().min(1).describe("Failure domain in which this instance runs."),
        region: z.string().default("").describe("Region of the failure domain."),
        data: optionalText.describe("Data folder; needed with the role control."),
        bootstrap: flag.default(false).describe("Whether the whole system starts for the first time."),
    }),
    doors: z.object({
        callers: optionalAddress.describe("Address for callers; needed with the role entry."),
        readiness: optionalAddress.describe("Address for readiness; needed with the role entry."),
        control: optionalAddress.describe("Address for operators and upstreams; needed with the role control."),
        peers: address.describe("Address for the other instances; its port is the same on all."),
        metrics: optionalAddress.describe("Address for metrics."),
    }),
    control: z.object({
        seeds: list.describe("Control doors of some control instances, IP:PORT."),
        secret: z.string().min(16, "must have at least 16 characters"),
    }),
    bounds: z.object({
        stop_grace_s: number.min(0).default(8).describe("Time between SIGTERM and SIGKILL, in s."),
        revoke_ms: number.min(0).default(5000).describe(
            "Time after which a removed key must not work anywhere, in ms.",
        ),
        session_s: number.min(0).default(5).describe("Longest pause within a session, in s."),
        cold_excess: number.min(0).default(1.5).describe("Factor on the rate that a cold upstream bears."),
        cold_slack: number.min(0).default(5).describe("Requests a second beyond that."),
        retry_ratio: number.min(0).default(0.9).describe("Repeats a request, summed over all instances."),
        retry_slack: number.min(0).default(50).describe("Repeats in a window beyond that share."),
        rollout_exposure: number.min(0).max(1).default(0.15).describe(
            "Largest share of a service's requests that a bad version may get over a roll-out.",
        ),
        retry_window_s: number.min(0.1).default(10).describe("Length of the window, in s."),
    }).prefault({}),
    log: z.object({
        level: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
    }).prefault({}),
});

/** Checked settings of a gateway process. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;

/** Checked settings, or all faults of the file. */
export type GatewaySettingsResult =
    | { readonly settings: GatewaySettings; readonly faults: readonly []; }
    | { readonly settings: undefined; readonly faults: readonly SettingsFault[]; };

/** Reads and checks a settings file. */
export const readGatewaySettings = (file: string): GatewaySettingsResult => {
    try {
        return parseGatewaySettings(file, readFileSync(file, "utf8"));
    }
    catch (err) {
        return failed([{ file, line: 1, field: "", message: (err as Error).message }]);
    }
};

/** Checks the text of a settings file. */
export const parseGatewaySettings = (file: string, text: string): GatewaySettingsResult => {
    const result = gatewaySettingsSchema.safeParse(parse(text));
    if (!result.success) {
        return failed(result.error.issues.map(issue => {
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
    return faults.length > 0 ? failed(faults) : { settings: result.data, faults: [] };
};

const failed = (faults: readonly SettingsFault[]): GatewaySettingsResult => ({ settings: undefined, faults });

const findRoleFaults = ({ instance, doors }: GatewaySettings): [string, string][] => {
    const faults: [string, string][] = [];
    const need = (role: "entry" | "control", field: string, value: unknown): void => {
        if (instance.roles.includes(role) && value === undefined) {
            faults.push([field, `the key is missing; the role ${role} needs it`]);
        }
    };
    need("entry", "doors.callers", doors.callers);
    need("entry", "doors.readiness", doors.readiness);
    need("control", "doors.control", doors.control);
    need("control", "instance.data", instance.data);
    return faults;
};
