/**
 * The trace format: one JSON event per line, with its time and its expected outcome.
 */
import * as z from "zod";

/** Time of an event, in ms after the deployment has started with its first sheet. */
const at = z.number().nonnegative();
const outcome = z.enum(["answered", "refused", "unknown"]);
/** Rows of a sheet, each with its cells by column name. */
const rows = z.array(z.record(z.string(), z.union([z.string(), z.number()])));

/** Expected outcome of a request. Omitted fields are not checked. */
const expectation = z.strictObject({
    outcome: outcome.optional(),
    /** `model@version` that answered. */
    version: z.string().optional(),
    upstream: z.string().optional(),
    code: z.string().optional(),
    run: z.enum(["not_run", "unknown", "ran"]).optional(),
    isRepeat: z.boolean().optional(),
    /** Maximum time from the request to its outcome, in ms. */
    withinMs: z.number().optional(),
});

export const traceEventSchema = z.discriminatedUnion("do", [
    z.strictObject({
        do: z.literal("start"),
        /** What the trace shows. */
        about: z.string(),
        seed: z.number().int(),
        instances: z.array(
            z.strictObject({ id: z.string(), domain: z.string(), isControl: z.boolean().default(false) }),
        ),
        rows,
    }),
    z.strictObject({
        do: z.literal("upstream"),
        at,
        id: z.string(),
        domain: z.string(),
        /** Versions that it serves, as `model@version`. */
        versions: z.array(z.string()).default([]),
        service: z.string().optional(),
        capacity: z.number().int().positive(),
        coldCapacity: z.number().int().positive().optional(),
        warmMs: z.number().optional(),
    }),
    z.strictObject({
        do: z.literal("request"),
        at,
        id: z.string(),
        instance: z.string(),
        account: z.string(),
        /** Number of identical requests; each of them must have the expected outcome. */
        count: z.number().int().positive().default(1),
        model: z.string().optional(),
        service: z.string().optional(),
        session: z.string().optional(),
        /** Idempotency key; the request runs at most once only if `isIdempotent` is false. */
        key: z.string().optional(),
        /** Requests of an account with the same body, or with the same id if it is empty, have the same fingerprint. */
        body: z.string().default(""),
        isIdempotent: z.boolean().default(true),
        /** Whether the request crashes the upstream that runs it. */
        isPoison: z.boolean().default(false),
        /** Execution time on an idle upstream, in ms. */
        workMs: z.number().default(50),
        /** Time until the deadline, in ms. */
        deadlineMs: z.number().default(10_000),
        expect: expectation,
    }),
    z.strictObject({
        do: z.literal("sheet"),
        at,
        number: z.number().int(),
        rows,
        expect: z.enum(["accepted", "repeated", "conflict", "outdated"]),
    }),
    z.strictObject({
        do: z.literal("change"),
        at,
        kind: z.enum(["drain", "undrain", "withdraw", "restore"]),
        target: z.enum(["domain", "upstream", "instance"]).optional(),
        name: z.string().optional(),
        model: z.string().optional(),
        version: z.string().optional(),
    }),
    z.strictObject({ do: z.literal("crash"), at, upstream: z.string() }),
    z.strictObject({ do: z.literal("restart"), at, upstream: z.string() }),
    z.strictObject({ do: z.literal("leave"), at, upstream: z.string() }),
    /** Ends an instance as SIGKILL does; `revive` starts it again with its disk. */
    z.strictObject({ do: z.literal("kill"), at, instance: z.string() }),
    z.strictObject({ do: z.literal("revive"), at, instance: z.string() }),
    /** Partitions the network between a failure domain and all others; `heal` ends all partitions. */
    z.strictObject({ do: z.literal("cut"), at, domain: z.string() }),
    z.strictObject({ do: z.literal("heal"), at }),
    /** Expected state at a time, as it can be observed from outside. Omitted fields are not checked. */
    z.strictObject({
        do: z.literal("expect"),
        at,
        /** Upstream to which the next four fields apply: requests started, crashes and overloads so far. */
        upstream: z.string().optional(),
        startedAtMost: z.number().int().optional(),
        startedAtLeast: z.number().int().optional(),
        crashesAtMost: z.number().int().optional(),
        overloads: z.number().int().optional(),
        /** Prefix of the ids of the requests to which `ran` and `bills` apply. */
        request: z.string().optional(),
        /** Number of times that these requests were started, over all upstreams. */
        ran: z.number().int().optional(),
        /** Number of different bills of these requests, over all disks. */
        bills: z.number().int().optional(),
        /** Number of the sheet that must be in force on every running instance. */
        sheet: z.number().int().optional(),
    }),
]);

/** One event of a trace. */
export type TraceEvent = z.infer<typeof traceEventSchema>;
/** Expected outcome of a request. */
export type Expectation = z.infer<typeof expectation>;

/** An event with its line number in the file. */
export interface TraceLine {
    readonly line: number;
    readonly event: TraceEvent;
}

/** Events of a trace, and its faults as `line: field: message`. */
export interface ParsedTrace {
    readonly lines: readonly TraceLine[];
    readonly faults: readonly string[];
}

/** Parses the text of a trace. */
export const parseTrace = (text: string): ParsedTrace => {
    const lines: TraceLine[] = [];
    const faults: string[] = [];
    for (const [index, content] of text.split("\n").entries()) {
        if (content.trim() === "") {
            continue;
        }
        const line = index + 1;
        try {
            const result = traceEventSchema.safeParse(JSON.parse(content));
            if (result.success) {
                lines.push({ line, event: result.data });
                continue;
            }
            faults.push(...result.error.issues.map(issue => `${line}: ${issue.path.join(".")}: ${issue.message}`));
        }
        catch (err) {
            faults.push(`${line}: : ${(err as Error).message}`);
        }
    }
    if (faults.length === 0 && lines[0]?.event.do !== "start") {
        faults.push("1: do: the first event must be \"start\"");
    }
    return { lines, faults };
};
