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
import { startOf } from "../membership/Member.ts";
import { type Membership } from "../membership/Membership.ts";
import { type Clock } from "../time/Clock.ts";
import { type ClaimCommand, type ClaimResult, claimResultSchema, type RecordedOutcome } from "./ClaimTable.ts";

/** Time in which a claim must be committed, in ms. */
const CLAIM_TIMEOUT_MS = 2500;
/** Time for which an outcome is offered to the control log, in ms. */
const OUTCOME_TIMEOUT_MS = 20_000;
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
    readonly leftMs: number;
}

/** The answer, and whether it is the record of an earlier run. */
export interface KeyedAnswer {
    readonly outcome: RecordedOutcome;
    readonly isRepeat: boolean;
}

/** Runs keyed requests. */
export class KeyedExecution {
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
        const result = await this.claim(req);
        switch (result.kind) {
            case "granted":
                return { outcome: await this.execute(req, execute), isRepeat: false };
            case "done":
                return { outcome: result.outcome, isRepeat: true };
            case "held":
                throw this.heldError(req, result.by);
            case "conflict":
                throw refusal("the idempotency key was used with another body", "keyReused", "not_run");
            default:
                throw unknownError();
        }
    }

    private async claim(req: KeyedRequest): Promise<ClaimResult> {
        const { account, key, bodyHash, claimId } = req;
        const by = startOf(this.membership.self);
        const command: ClaimCommand = { kind: "claim", account, key, bodyHash, claimId, by, at: this.clock.now() };
        try {
            const { outcome } = await this.client.submit(command, Math.min(CLAIM_TIMEOUT_MS, req.leftMs));
            return claimResultSchema.parse(outcome);
        }
        catch (err) {
            // The claim may yet be committed; it is released, since this instance will not run the request.
            this.settle({ kind: "releaseClaim", account, key, claimId, at: this.clock.now() });
            const failure = toRouterError(err, { code: "noMajority", step: "claim" });
            throw refusal(`the request could not be claimed: ${failure.message}`, "noMajority", "not_run");
        }
    }

    private async execute(req: KeyedRequest, execute: () => Promise<RecordedOutcome>): Promise<RecordedOutcome> {
        const { account, key, claimId } = req;
        const base = { account, key, claimId };
        try {
            const outcome = await execute();
            const recorded = outcome.isBodyOmitted === true ? { ...outcome, body: "" } : outcome;
            await this.finish({ kind: "finishClaim", ...base, outcome: recorded, at: this.clock.now() });
            return outcome;
        }
        catch (err) {
            const failure = toRouterError(err, { code: "internal", run: "unknown", step: "run keyed request" });
            // Without a record the key counts as not run, so the release need not be waited for.
            const kind = failure.run === "not_run" ? "releaseClaim" : "abandonClaim";
            this.settle({ kind, ...base, at: this.clock.now() });
            throw failure;
        }
    }

    /** A caller is not kept waiting for a majority that is gone: its answer stands without the record. */
    private async finish(command: ClaimCommand): Promise<void> {
        try {
            await this.client.submit(command, CLAIM_TIMEOUT_MS);
        }
        catch {
            this.settle(command);
        }
    }

    private settle(command: ClaimCommand): void {
        this.client.submit(command, OUTCOME_TIMEOUT_MS).catch(() => undefined);
    }

    /** The claim of a lost instance is never run again: nobody can tell how far it came. */
    private heldError(req: KeyedRequest, by: string): RouterError {
        const id = by.slice(0, by.lastIndexOf("#"));
        const holder = this.membership.get(id);
        const isAlive = holder !== undefined && startOf(holder) === by && holder.state !== "dead"
            && holder.state !== "left";
        if (!isAlive) {
            return unknownError();
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

const refusal = (message: string, code: "keyReused" | "noMajority", run: "not_run"): RouterError =>
    routerError(message, {
        code,
        run,
        step: "claim",
        ...(code === "noMajority" ? { retryAfterMs: RETRY_AFTER_MS } : {}),
    });

const unknownError = (): RouterError =>
    routerError("whether the earlier request with this key ran is unknown; it will not be run again", {
        code: "outcomeUnknown",
        run: "unknown",
        step: "claim",
    });
