/**
 * Schema of the settings file (INI) of an instance: every key with its type, default and description. `skylarktide
 * settings explain` prints the descriptions.
 */
import * as z from "zod";
import { MAX_REQUEST_MS } from "../../common/slots/SlotTypes.ts";

const address = z.string()
    .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "must be IP:PORT, such as 127.0.0.1:8080")
    .transform(text => {
        const colon = text.lastIndexOf(":");
        return { host: text.slice(0, colon).replace(/[[\]]/g, ""), port: Number(text.slice(colon + 1)) };
    });

/** An IP address and a port. */
export type Address = z.output<typeof address>;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, "must be 1 to 64 letters, digits, dots, dashes");
/** An empty value is no number, though `Number` takes it for 0. */
const emptyToNaN = (text: unknown): unknown => text === "" ? NaN : text;
/** A whole number from `min` to `max`. */
const count = (min: number, defaultValue: number, max = Number.MAX_SAFE_INTEGER) =>
    z.preprocess(
        emptyToNaN,
        z.coerce.number("must be a number").int("must be a whole number").min(min).max(max).default(defaultValue),
    );
const flag = z.union([z.boolean(), z.enum(["true", "false"]).transform(text => text === "true")]);
const list = z.string().transform(text => text.split(",").map(item => item.trim()).filter(item => item !== ""));
const roles = list.pipe(z.array(z.enum(["entry", "control"], "must be entry, control, or both")).min(1));

/** Sections and keys of the settings file. */
export const settingsSchema = z.strictObject({
    instance: z.strictObject({
        id: name.describe("Name of this instance, unique in the deployment."),
        deployment: name.describe(
            "Name of the deployment; connections from instances of other deployments are refused.",
        ),
        domain: name.describe("Failure domain in which this instance runs."),
        region: name.describe("Region of the failure domain."),
        roles: roles.default(["entry"]).describe("entry, control, or both, separated by a comma."),
        data: z.string().min(1).optional().describe("Data folder; required by the role control."),
    }),
    doors: z.strictObject({
        callers: address.optional().describe("Listen address for callers; required by the role entry."),
        admin: address.describe("Listen address for operators, readiness and metrics."),
        upstreams: address.optional().describe(
            "Listen address for announcements of upstreams; required by the role entry.",
        ),
        peers: address.optional().describe("Listen address for the other instances; required when there are any."),
    }),
    peers: z.record(name, address).default({})
        .describe("The other instances, one line each: ID = IP:PORT of its doors.peers."),
    control: z.strictObject({
        voters: list.default([]).describe("Ids of the instances that form the control majority at the first start."),
        secret: z.string().min(16, "must have at least 16 characters").optional()
            .describe(
                "Shared secret with which instances authenticate each other; preferably set in SKYLARKTIDE_SECRET.",
            ),
    }).prefault({}),
    sheet: z.strictObject({
        bootstrap: z.string().optional().describe("File of the sheet that is submitted when no sheet is in force yet."),
    }).prefault({}),
    limits: z.strictObject({
        max_body_bytes: count(1024, 4_194_304).describe("Largest request body, in bytes."),
        max_header_bytes: count(1024, 16_384).describe("Largest header block, in bytes."),
        max_headers: count(8, 100).describe("Largest number of headers in one request."),
        max_connections: count(1, 10_000).describe("Largest number of open connections from callers."),
        body_timeout_ms: count(10, 10_000).describe("Longest time for a whole request to arrive, in ms."),
        default_deadline_ms: count(1, 60_000, MAX_REQUEST_MS)
            .describe("Deadline of a request that does not set one, in ms."),
        require_deadline: flag.default(false).describe("Whether requests without a deadline are refused."),
        stop_grace_ms: count(0, MAX_REQUEST_MS, 600_000)
            .describe("Longest time that a planned stop waits for requests in flight, in ms."),
    }).prefault({}),
    routing: z.strictObject({
        other_domain_ms: z.preprocess(emptyToNaN, z.coerce.number("must be a number").min(0).default(2))
            .describe("Added latency of a request to another failure domain, in ms."),
        prompt_tokens_per_s: count(1, 5000).describe(
            "Rate at which an engine processes uncached prompt tokens, in tokens per second.",
        ),
    }).prefault({}),
    upstreams: z.strictObject({
        key_sha256: z.string().regex(/^[0-9a-f]{64}$/).optional()
            .describe(
                "SHA-256 of the key that upstreams must present; without it any client may announce upstreams.",
            ),
    }).prefault({}),
    tls: z.strictObject({
        cert: z.string().min(1).optional().describe(
            "PEM file with the certificate chain; if it is set, all HTTP listeners use TLS.",
        ),
        key: z.string().min(1).optional().describe("PEM file with the private key; required with tls.cert."),
    }).prefault({}),
    ratings: z.strictObject({
        address: address.optional()
            .describe("Address of the rating service; without it auto uses only the quality figures of the sheet."),
    }).prefault({}),
    admin: z.strictObject({
        key_sha256: z.string().regex(/^[0-9a-f]{64}$/).optional()
            .describe("SHA-256 of an operator key with the role operate, meant for the time before the first sheet."),
    }).prefault({}),
    log: z.strictObject({
        level: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info")
            .describe("Lowest level that is logged."),
    }).prefault({}),
});

/** Validated settings of one instance. */
export type Settings = z.output<typeof settingsSchema>;
