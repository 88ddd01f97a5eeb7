/**
 * The context of a caller's request, taken from its headers before the body is read: account, deadline, session,
 * idempotency key and priority. Invalid headers are refused with an error that names the header.
 */
import { hash } from "node:crypto";
import { type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from "node:http";
import { type Account, type RoutingTable } from "../../common/configuration/RoutingTable.ts";
import { routerError } from "../../common/errors/RouterError.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { quarantinedError } from "../../common/policy/SuspectRequests.ts";
import { MAX_REQUEST_MS } from "../../common/slots/SlotTypes.ts";
import { type Clock } from "../../common/time/Clock.ts";

/** Header with the time for which the caller waits for the complete answer, in ms. */
export const DEADLINE_HEADER = "x-request-deadline-ms";
export const SESSION_HEADER = "x-session-id";
export const IDEMPOTENCY_HEADER = "idempotency-key";
/** Header with a priority from 0 to 9 among the requests of one account; 5 when absent. */
export const PRIORITY_HEADER = "x-priority";

/** Maximum length of session ids and idempotency keys, in characters. */
const MAX_ID_LENGTH = 200;
const MAX_PRIORITY = 9;
const DEFAULT_PRIORITY = 5;
/** Length of a fingerprint's digest, in hex digits. */
const FINGERPRINT_LENGTH = 32;
const BEARER = "Bearer ";

/** Rules for requests without a deadline header. */
export interface RequestLimits {
    readonly defaultDeadlineMs: number;
    readonly requireDeadline: boolean;
}

/** Context of a request from its arrival until its answer ends. */
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

    /** Aborted when the caller disconnects or the deadline passes. */
    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Whether the deadline has passed. Tells why `signal` was aborted: by the deadline or by the caller. */
    public get isDeadlinePassed(): boolean {
        return this.deadlinePassed;
    }

    /** Time until the deadline, in ms. */
    public get remainingMs(): number {
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

/** SHA-256 of a key in hex, the form in which the sheet stores keys. */
export const hashKey = (key: string): string => hash("sha256", key, "hex");

/** The key in an `Authorization: Bearer` header. */
export const bearerKey = (headers: IncomingHttpHeaders): string | undefined => {
    const text = headers.authorization;
    return text?.startsWith(BEARER) === true ? text.slice(BEARER.length).trim() : undefined;
};

/** Identifies all requests of one account that have the same content. */
export const fingerprintOf = (ctx: RequestContext, ...content: readonly (string | Buffer)[]): string => {
    const hashes = content.map(item => hash("sha256", item, "hex"));
    // Most requests have a single item. Hashing the account with it would cost them a second hash, so it is a prefix.
    const digest = hashes.length === 1 ? hashes[0] ?? "" : hash("sha256", hashes.join(), "hex");
    return `${ctx.account.name}:${digest.slice(0, FINGERPRINT_LENGTH)}`;
};

/** Throws when the request is in quarantine because it crashed upstreams. */
export const refuseQuarantined = (ctx: RequestContext, fingerprint: string, now: number): void => {
    if (ctx.table.isQuarantined(fingerprint, now)) {
        throw quarantinedError(fingerprint);
    }
};

/** Id of the request's bill. Requests with the same idempotency key share it, so that they are billed once. */
export const billId = (ctx: RequestContext): string =>
    ctx.idempotencyKey === undefined ? ctx.id : `key:${ctx.account.name}:${ctx.idempotencyKey}`;

// Keys are looked up by their hash, so the duration of the lookup reveals nothing about the keys themselves.
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
