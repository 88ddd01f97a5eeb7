/**
 * The sheet: the complete desired state of the operators, as rows of a CSV file. Each row is a record; the schemas here
 * define the cells of each kind of record, and the types are inferred from them.
 */
import * as z from "zod";

/** Highest limit of requests in flight that a row may set. */
const MAX_IN_FLIGHT = 100_000;
/** Sum of the shares of a model's active versions, in percent. */
export const FULL_SHARE_PERCENT = 100;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, "must be 1 to 64 letters, digits, dots, dashes");
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 hash in 64 lower-case hex digits");
const number = z.coerce.number("must be a number");
const positive = number.positive("must be above 0");
const nonNegativeInteger = number.int("must be a whole number").min(0, "must not be below 0").max(
    Number.MAX_SAFE_INTEGER,
);
const percent = number.min(0, "must be from 0 to 100").max(FULL_SHARE_PERCENT, "must be from 0 to 100");
const fraction = number.min(0, "must be from 0 to 1").max(1, "must be from 0 to 1");
const yesNoFlag = z.enum(["yes", "no"], "must be yes or no").transform(value => value === "yes");
const inFlight = nonNegativeInteger.max(MAX_IN_FLIGHT, `must be at most ${MAX_IN_FLIGHT}`);

/** Schema of each kind of record, by the name in its `record` cell. */
export const recordSchemas = {
    sheet: z.strictObject({ number: nonNegativeInteger.min(1, "must be at least 1") }),
    domain: z.strictObject({ name, region: name, state: z.enum(["in", "out"], "must be in or out") }),
    account: z.strictObject({
        name,
        key_sha256: sha256,
        weight: positive,
        quality_target: fraction,
        max_in_flight: inFlight.optional(),
        tokens_per_minute: nonNegativeInteger.optional(),
        priority: nonNegativeInteger.max(9, "must be from 0 to 9").optional(),
    }),
    allow: z.strictObject({
        account: name,
        model: name.optional(),
        version: z.union([name, z.literal("*")]).optional(),
        service: name.optional(),
    }),
    version: z.strictObject({
        model: name,
        version: name,
        cost: number.min(0, "must not be below 0"),
        quality: fraction,
        share: percent,
        state: z.enum(["active", "withdrawn"], "must be active or withdrawn"),
        cut_off: z.enum(["settled", "keep"], "must be settled or keep").optional(),
    }),
    service: z.strictObject({ name, cost: number.min(0, "must not be below 0").optional() }),
    call: z.strictObject({
        service: name,
        method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"], "must be an HTTP method in capitals"),
        path: z.string().startsWith("/", "must start with /"),
        idempotent: yesNoFlag,
    }),
    upstreams: z.strictObject({
        domain: name,
        model: name.optional(),
        version: name.optional(),
        service: name.optional(),
        count: nonNegativeInteger,
    }),
    operator: z.strictObject({
        name,
        key_sha256: sha256,
        role: z.enum(["read", "operate"], "must be read or operate"),
    }),
};

/** Kind of a record, as in its `record` cell. */
export type RecordKind = keyof typeof recordSchemas;

/** A failure domain, its region, and whether it is in service (`in`) or not (`out`). */
export type DomainRecord = z.infer<typeof recordSchemas.domain>;
/** A client account. `weight` sets its share of contended capacity; `quality_target` is the lowest mean rating. */
export type AccountRecord = z.infer<typeof recordSchemas.account>;
/** Allows an account to use a model (all of its versions with `*`), one version, or a service. */
export type AllowRecord = z.infer<typeof recordSchemas.allow>;
/** A version of a model: `cost` per 1,000 tokens, expected `quality` from 0 to 1, `share` in percent. */
export type VersionRecord = z.infer<typeof recordSchemas.version>;
/** A plain service; `cost` is per call. */
export type ServiceRecord = z.infer<typeof recordSchemas.service>;
/** A call of a service, by method and path prefix, and whether it is idempotent. */
export type CallRecord = z.infer<typeof recordSchemas.call>;
/** Number of upstreams that capacity planning expects for a target in a failure domain. */
export type UpstreamsRecord = z.infer<typeof recordSchemas.upstreams>;
/** An operator, and the role that its key grants. */
export type OperatorRecord = z.infer<typeof recordSchemas.operator>;

/** A validated sheet. It is the complete desired state: whatever it does not contain is withdrawn. */
export interface Sheet {
    readonly number: number;
    readonly domains: readonly DomainRecord[];
    readonly accounts: readonly AccountRecord[];
    readonly allows: readonly AllowRecord[];
    readonly versions: readonly VersionRecord[];
    readonly services: readonly ServiceRecord[];
    readonly calls: readonly CallRecord[];
    readonly upstreams: readonly UpstreamsRecord[];
    readonly operators: readonly OperatorRecord[];
}

/** An error in a sheet, with its line and column as a spreadsheet shows them. */
export interface SheetFault {
    /** Line in the file, from 1. */
    readonly line: number;
    /** Name of the column, or empty if the error concerns the whole row. */
    readonly column: string;
    readonly message: string;
}
