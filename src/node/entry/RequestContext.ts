/**
 * What is known of a caller's request before its body is read: account, deadline, session, keys. Callers'
 * mistakes are answered here with a clear error.
 */
import { hash } from "node:crypto";
import { type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from "node:http";
import { type Account, type RoutingTable } from "../../common/configuration/RoutingTable.ts";
import { routerError } from "../../common/errors/RouterError.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { quarantinedError } from "../../common/policy/SuspectRequests.ts";
import { MAX_REQUEST_MS } from "../../common/slots/SlotTypes.ts";
import { type Clock } from "../../common/time/Clock.ts";

/** Header in which callers give the time they still wait, in ms. */
export const DEADLINE_HEADER = "x-request-deadline-ms";
export const SESSION_HEADER = "x-session-id";
export const IDEMPOTENCY_HEADER = "idempotency-key";
/** Header from 0 to 9 that orders the requests of one account; 5 when absent. */
export const PRIORITY_HEADER = "x-priority";

/** Longest session id and idempotency key. */
const MAX_ID_LENGTH = 200;
const MAX_PRIORITY = 9;
const DEFAULT_PRIORITY = 5;
/** Hex digits of a fingerprint. */
const FINGERPRINT_LENGTH = 32;
const BEARER = "Bearer ";

/** Limits on what callers may leave out. */
export interface RequestLimits {
    readonly defaultDeadlineMs: number;
    readonly requireDeadline: boolean;
}

/** One request of a caller, from its arrival to the end of its answer. */
export class RequestContext extends DisposableOwner {
    public readonly id: string;
    public readonly account: Account;
    public readonly table: RoutingTable;
    public readonly session: string | undefined;
    public readonly idempotencyKey: string | undefined;
    public readonly priority: number;
    /** Monotonic time by which the answer must be complete, in ms. */
    public readonly deadline: number;
    /** Monotonic time of arrival, in ms. */
    public readonly arrivedAt: number;
    private readonly clock: Clock;
    private readonly controller = new AbortController();
    private deadlinePassed = false;

    public constructor(
        id: string,
        req: IncomingMessage,
        res: ServerResponse,
        clock: Clock,
        table: RoutingTable,
        limits: RequestLimits,
    ) {
        super();
        this.id = id;
        this.clock = clock;
        this.table = table;
        this.arrivedAt = clock.monotonic();
        this.account = authenticate(req.headers, table);
        this.session = readId(req.headers, SESSION_HEADER);
        this.idempotencyKey = readId(req.headers, IDEMPOTENCY_HEADER);
        this.priority = readPriority(req.headers);
        const allowedMs = readDeadline(req.headers, limits);
        this.deadline = this.arrivedAt + allowedMs;
        this.register(clock.schedule(allowedMs, () => this.onDeadline()));
        const onClose = (): void => this.onConnectionClosed(res);
        res.on("close", onClose);
        this.register({ dispose: () => res.off("close", onClose) });
    }

    /** Aborted when the caller goes away or the deadline passes. */
    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** True when the answer was ended by the deadline and not by the caller. */
    public get isDeadlinePassed(): boolean {
        return this.deadlinePassed;
    }

    /** Time until the deadline, in ms. */
    public get leftMs(): number {
        return Math.max(0, this.deadline - this.clock.monotonic());
    }

    private onDeadline(): void {
        this.deadlinePassed = true;
        this.controller.abort();
    }

    private onConnectionClosed(res: ServerResponse): void {
        if (!res.writableFinished) {
            this.controller.abort();
        }
    }
}

/** SHA-256 of a key in hex, as it stands in the sheet. */
export const hashKey = (key: string): string => hash("sha256", key, "hex");

/** The key of an `Authorization: Bearer` header. */
export const bearerKey = (headers: IncomingHttpHeaders): string | undefined => {
    const text = headers.authorization;
    return text?.startsWith(BEARER) === true ? text.slice(BEARER.length).trim() : undefined;
};

/** Same for requests of one account with the same content, however often they are sent. */
export const fingerprintOf = (ctx: RequestContext, ...content: readonly (string | Buffer)[]): string => {
    const parts = content.map(part => hash("sha256", part, "hex"));
    // Most requests are one body; their account is put in front instead of being hashed once more.
    const whole = parts.length === 1 ? parts[0] ?? "" : hash("sha256", parts.join(), "hex");
    return `${ctx.account.name}:${whole.slice(0, FINGERPRINT_LENGTH)}`;
};

/** Refuses a request that crashed upstreams. */
export const refuseQuarantined = (ctx: RequestContext, fingerprint: string, now: number): void => {
    if (ctx.table.isQuarantined(fingerprint, now)) {
        throw quarantinedError(fingerprint);
    }
};

/** Requests with the same idempotency key are billed under the same id, and so only once. */
export const billId = (ctx: RequestContext): string =>
    ctx.idempotencyKey === undefined ? ctx.id : `key:${ctx.account.name}:${ctx.idempotencyKey}`;

// Keys are looked up by their hash, so the time that this takes tells nothing about the keys themselves.
const authenticate = (headers: IncomingHttpHeaders, table: RoutingTable): Account => {
    const key = bearerKey(headers);
    const account = key === undefined ? undefined : table.accountByKeyHash(hashKey(key));
    if (account === undefined) {
        const message = key === undefined ? "the request has no \"Authorization: Bearer\" key" : "the key is unknown";
        throw routerError(message, { code: "unknownKey", step: "authenticate" });
    }
    return account;
};

const readId = (headers: IncomingHttpHeaders, name: string): string | undefined => {
    const value = headers[name];
    if (value === undefined || value === "") {
        return undefined;
    }
    if (typeof value !== "string" || value.length > MAX_ID_LENGTH || !/^[\x21-\x7e]+$/.test(value)) {
        const message = `header ${name} must be 1 to ${MAX_ID_LENGTH} visible ASCII characters`;
        throw routerError(message, { code: "malformedRequest", step: "read request" });
    }
    return value;
};

const readPriority = (headers: IncomingHttpHeaders): number => {
    const value = headers[PRIORITY_HEADER];
    if (value === undefined) {
        return DEFAULT_PRIORITY;
    }
    const priority = Number(value);
    if (!Number.isInteger(priority) || priority < 0 || priority > MAX_PRIORITY) {
        const message = `header ${PRIORITY_HEADER} must be a whole number from 0 to ${MAX_PRIORITY}`;
        throw routerError(message, { code: "malformedRequest", step: "read request" });
    }
    return priority;
};

const readDeadline = (headers: IncomingHttpHeaders, limits: RequestLimits): number => {
    const value = headers[DEADLINE_HEADER];
    if (value === undefined) {
        if (limits.requireDeadline) {
            const message = `header ${DEADLINE_HEADER} is missing`;
            throw routerError(message, { code: "missingDeadline", step: "read request" });
        }
        return limits.defaultDeadlineMs;
    }
    const deadlineMs = Number(value);
    if (!Number.isInteger(deadlineMs) || deadlineMs <= 0) {
        const message = `header ${DEADLINE_HEADER} must be a whole number of ms above 0`;
        throw routerError(message, { code: "invalidDeadline", step: "read request" });
    }
    return Math.min(deadlineMs, MAX_REQUEST_MS);
};
