/**
 * Runs a request that has an idempotency key, and that is not idempotent itself, at most once over all instances.
 * A reservation of the key is committed before the request is sent, and the outcome before the caller gets the
 * response, so that a repeat with the same key gets the recorded outcome.
 *
 * What a repeat gets after this instance was lost, by the time of the loss: before the reservation, it runs; between
 * reservation and outcome, `outcomeUnknown`; after the outcome, the recorded outcome.
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

/** Time limit for committing a reservation or an outcome while the caller waits, in ms. */
const COMMIT_TIMEOUT_MS = 2500;
/** Time for which a command is retried in the background, in ms. */
const BACKGROUND_TIMEOUT_MS = 20_000;
/** Suggested delay before the caller retries, in ms. */
const RETRY_AFTER_MS = 1000;

/** A request with an idempotency key. */
export interface KeyedRequest {
    readonly account: string;
    readonly key: string;
    /** Equal for repeats of the request; a request with another hash may not use the same key. */
    readonly bodyHash: string;
    /** Id of this attempt to run the request, under the stored name of a reservation id. */
    readonly claimId: string;
    /** Time until the caller's deadline, in ms. */
    readonly remainingMs: number;
}

/** The outcome, and whether it was recorded by an earlier run. */
export interface KeyedAnswer {
    readonly outcome: RecordedOutcome;
    readonly isRepeat: boolean;
}

/** Runs requests with an idempotency key at most once. */
export class AtMostOnceExecutor {
    private readonly clock: Clock;
    private readonly client: ControlClient;
    private readonly membership: Membership;

    public constructor(clock: Clock, client: ControlClient, membership: Membership) {
        this.clock = clock;
        this.client = client;
        this.membership = membership;
    }

    /**
     * Calls `execute` if the key is unused, and rejects with its error if that fails; resolves with the recorded
     * outcome if there is one. Otherwise rejects with `keyInProgress`, `keyReused` (for another body),
     * `outcomeUnknown` or, when the reservation could not be committed, `noMajority`.
     */
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
                throw refusalError(
                    "the idempotency key was already used with another request body",
                    "keyReused",
                    "not_run",
                );
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
            // The reservation may still be committed; it is released, as this instance will not run the request.
            this.submitInBackground({ kind: "releaseClaim", account, key, claimId, at: this.clock.now() });
            const failure = toRouterError(err, { code: "noMajority", step: "claim" });
            throw refusalError(
                `the idempotency key could not be reserved: ${failure.message}`,
                "noMajority",
                "not_run",
            );
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
            // A key without a reservation counts as not run, so the caller need not wait for the release.
            const kind = failure.run === "not_run" ? "releaseClaim" : "abandonClaim";
            this.submitInBackground({ kind, ...base, at: this.clock.now() });
            throw failure;
        }
    }

    /**
     * Commits the outcome. When no majority commits it in time, the caller gets its response unrecorded, and the
     * commit is retried in the background.
     */
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

    /**
     * Error for a request whose key is reserved by the process `by`. If that process is lost, it is unknown whether the
     * request ran, so it is never run again.
     */
    private existingReservationError(req: KeyedRequest, by: string): RouterError {
        const id = by.slice(0, by.lastIndexOf("#"));
        const holder = this.membership.get(id);
        const isAlive = holder !== undefined && processKeyOf(holder) === by && holder.state !== "dead"
            && holder.state !== "left";
        if (!isAlive) {
            return outcomeUnknownError();
        }
        const message = `another request with this idempotency key is in progress (attempt ${req.claimId} is refused)`;
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
    routerError("it is unknown whether the earlier request with this idempotency key ran; it will not be run again", {
        code: "outcomeUnknown",
        run: "unknown",
        step: "claim",
    });
