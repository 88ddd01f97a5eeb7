/**
 * Runs a keyed request that may not be repeated at most once over all instances. The claim is committed
 * before the request is sent; its outcome is committed before the caller gets the answer, so that a repeat
 * with the same key is answered from the record.
 *
 * Steps at which this instance can be lost, and what a repeat then gets:
 * before the claim: it runs; between claim and outcome: "outcome unknown"; after the outcome: the record.
 */
import { type ControlClient } from "../control/ControlClient.ts";
import { type RouterError, routerError, toRouterError } from "../errors/RouterError.ts";
import { processKeyOf } from "../membership/Member.ts";
import { type Membership } from "../membership/Membership.ts";
import { type Clock } from "../time/Clock.ts";
import {
    type RecordedOutcome,
    type ReservationCommand,
    type ReservationResult,
    reservationResultSchema,
} from "./ReservationTable.ts";

/** Time in which a claim must be committed, in ms. */
const COMMIT_TIMEOUT_MS = 2500;
/** Time for which an outcome is offered to the control log, in ms. */
const BACKGROUND_TIMEOUT_MS = 20_000;
/** Longest wait of the caller for the record of its outcome, in ms. */
const RETRY_AFTER_MS = 1000;

/** A request with an idempotency key. */
export interface KeyedRequest {
    readonly account: string;
    readonly key: string;
    readonly bodyHash: string;
    /** Id of this very attempt to run it. */
    readonly claimId: string;
    /** Time until the caller's deadline, in ms. */
    readonly remainingMs: number;
}

/** The answer, and whether it is the record of an earlier run. */
export interface KeyedAnswer {
    readonly outcome: RecordedOutcome;
    readonly isRepeat: boolean;
}

/** Runs keyed requests. */
export class AtMostOnceExecutor {
    private readonly clock: Clock;
    private readonly client: ControlClient;
    private readonly membership: Membership;

    public constructor(clock: Clock, client: ControlClient, membership: Membership) {
        this.clock = clock;
        this.client = client;
        this.membership = membership;
    }

    /** Calls `execute` if the key was not used, else answers from the record or refuses. */
    public async run(req: KeyedRequest, execute: () => Promise<RecordedOutcome>): Promise<KeyedAnswer> {
        const result = await this.reserve(req);
        switch (result.kind) {
            case "granted":
                return { outcome: await this.execute(req, execute), isRepeat: false };
            case "done":
                return { outcome: result.outcome, isRepeat: true };
            case "held":
                throw this.existingReservationError(req, result.by);
            case "conflict":
                throw refusalError("the idempotency key was used with another body", "keyReused", "not_run");
            default:
                throw outcomeUnknownError();
        }
    }

    private async reserve(req: KeyedRequest): Promise<ReservationResult> {
        const { account, key, bodyHash, claimId } = req;
        const by = processKeyOf(this.membership.self);
        const command: ReservationCommand = {
            kind: "claim",
            account,
            key,
            bodyHash,
            claimId,
            by,
            at: this.clock.now(),
        };
        try {
            const { outcome } = await this.client.submit(command, Math.min(COMMIT_TIMEOUT_MS, req.remainingMs));
            return reservationResultSchema.parse(outcome);
        }
        catch (err) {
            // The claim may yet be committed; it is released, since this instance will not run the request.
            this.submitInBackground({ kind: "releaseClaim", account, key, claimId, at: this.clock.now() });
            const failure = toRouterError(err, { code: "noMajority", step: "claim" });
            throw refusalError(`the request could not be claimed: ${failure.message}`, "noMajority", "not_run");
        }
    }

    private async execute(req: KeyedRequest, execute: () => Promise<RecordedOutcome>): Promise<RecordedOutcome> {
        const { account, key, claimId } = req;
        const base = { account, key, claimId };
        try {
            const outcome = await execute();
            const recorded = outcome.isBodyOmitted === true ? { ...outcome, body: "" } : outcome;
            await this.recordOutcome({ kind: "finishClaim", ...base, outcome: recorded, at: this.clock.now() });
            return outcome;
        }
        catch (err) {
            const failure = toRouterError(err, { code: "internal", run: "unknown", step: "run keyed request" });
            // Without a record the key counts as not run, so the release need not be waited for.
            const kind = failure.run === "not_run" ? "releaseClaim" : "abandonClaim";
            this.submitInBackground({ kind, ...base, at: this.clock.now() });
            throw failure;
        }
    }

    /** A caller is not kept waiting for a majority that is gone: its answer stands without the record. */
    private async recordOutcome(command: ReservationCommand): Promise<void> {
        try {
            await this.client.submit(command, COMMIT_TIMEOUT_MS);
        }
        catch {
            this.submitInBackground(command);
        }
    }

    private submitInBackground(command: ReservationCommand): void {
        this.client.submit(command, BACKGROUND_TIMEOUT_MS).catch(() => undefined);
    }

    /** The claim of a lost instance is never run again: nobody can tell how far it came. */
    private existingReservationError(req: KeyedRequest, by: string): RouterError {
        const id = by.slice(0, by.lastIndexOf("#"));
        const holder = this.membership.get(id);
        const isAlive = holder !== undefined && processKeyOf(holder) === by && holder.state !== "dead"
            && holder.state !== "left";
        if (!isAlive) {
            return outcomeUnknownError();
        }
        const message = `a request with the idempotency key is under way (claim ${req.claimId} came second)`;
        return routerError(message, {
            code: "keyInProgress",
            run: "unknown",
            step: "claim",
            retryAfterMs: RETRY_AFTER_MS,
        });
    }
}

const refusalError = (message: string, code: "keyReused" | "noMajority", run: "not_run"): RouterError =>
    routerError(message, {
        code,
        run,
        step: "claim",
        ...(code === "noMajority" ? { retryAfterMs: RETRY_AFTER_MS } : {}),
    });

const outcomeUnknownError = (): RouterError =>
    routerError("whether the earlier request with this key ran is unknown; it will not be run again", {
        code: "outcomeUnknown",
        run: "unknown",
        step: "claim",
    });
