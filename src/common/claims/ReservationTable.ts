/**
 * Claims of keyed requests that may run at most once. A claim is committed to the control log before the
 * request is sent; a key without a claim provably did not run, so a refusal needs no record of its own
 * (presumed abort, as in the related paper on commitment optimizations).
 */
import { z } from "zod";

/** How long a claim and its outcome are kept, in ms. */
export const RESERVATION_RETENTION_MS = 24 * 3_600_000;
/** Most claims that are kept; the oldest finished ones make room. */
const MAX_RESERVATIONS = 200_000;

export const outcomeSchema = z.object({
    status: z.number().int(),
    contentType: z.string(),
    /** Body of the answer in base64. */
    body: z.string(),
    /** True when the body was too large to be kept. */
    isBodyOmitted: z.boolean().optional(),
});

/** The recorded answer of a request. */
export type RecordedOutcome = z.infer<typeof outcomeSchema>;

const base = { account: z.string(), key: z.string(), claimId: z.string(), at: z.number() };

export const reservationCommandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("claim"), bodyHash: z.string(), by: z.string(), ...base }),
    /** The request ran; its answer is kept for repeats. */
    z.object({ kind: z.literal("finishClaim"), outcome: outcomeSchema, ...base }),
    /** The request provably did not run, so the key may be used again. */
    z.object({ kind: z.literal("releaseClaim"), ...base }),
    /** Nobody can tell whether the request ran. */
    z.object({ kind: z.literal("abandonClaim"), ...base }),
]);

/** A command about a claim. */
export type ReservationCommand = z.infer<typeof reservationCommandSchema>;

export const reservationResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("granted") }),
    /** Another request with the key is under way, or its instance was lost. */
    z.object({ kind: z.literal("held"), by: z.string() }),
    z.object({ kind: z.literal("done"), outcome: outcomeSchema }),
    z.object({ kind: z.literal("unknown") }),
    /** The key was used with another body. */
    z.object({ kind: z.literal("conflict") }),
    /** The command changed nothing, as the claim is not the sender's. */
    z.object({ kind: z.literal("ignored") }),
]);

/** What became of a command about a claim. */
export type ReservationResult = z.infer<typeof reservationResultSchema>;

const reservationSchema = z.object({
    id: z.string(),
    claimId: z.string(),
    bodyHash: z.string(),
    by: z.string(),
    at: z.number(),
    state: z.enum(["claimed", "done", "unknown"]),
    outcome: outcomeSchema.optional(),
});

export const reservationsSchema = z.array(reservationSchema);

type Reservation = z.infer<typeof reservationSchema>;

/** All claims, in the order in which they were made. */
export class ReservationTable {
    private readonly reservations = new Map<string, Reservation>();

    public get size(): number {
        return this.reservations.size;
    }

    /** Applies a command. It is deterministic: time is taken from the command only. */
    public apply(command: ReservationCommand): ReservationResult {
        this.evictExpired(command.at);
        const id = `${command.account} ${command.key}`;
        const claim = this.reservations.get(id);
        if (command.kind === "claim") {
            return this.reserve(id, claim, command);
        }
        if (claim?.claimId !== command.claimId || claim.state === "done") {
            return { kind: "ignored" };
        }
        switch (command.kind) {
            case "finishClaim":
                this.reservations.set(id, { ...claim, state: "done", outcome: command.outcome });
                return { kind: "done", outcome: command.outcome };
            case "releaseClaim":
                this.reservations.delete(id);
                return { kind: "granted" };
            case "abandonClaim":
                this.reservations.set(id, { ...claim, state: "unknown" });
                return { kind: "unknown" };
        }
    }

    public snapshot(): Reservation[] {
        return [...this.reservations.values()];
    }

    public restore(claims: readonly Reservation[]): void {
        this.reservations.clear();
        for (const claim of claims) {
            this.reservations.set(claim.id, claim);
        }
    }

    private reserve(
        id: string,
        held: Reservation | undefined,
        command: Extract<ReservationCommand, { kind: "claim"; }>,
    ): ReservationResult {
        if (held === undefined) {
            const { claimId, bodyHash, by, at } = command;
            this.reservations.set(id, { id, claimId, bodyHash, by, at, state: "claimed" });
            return { kind: "granted" };
        }
        if (held.claimId === command.claimId) {
            return { kind: "granted" };
        }
        if (held.bodyHash !== command.bodyHash) {
            return { kind: "conflict" };
        }
        if (held.outcome !== undefined) {
            return { kind: "done", outcome: held.outcome };
        }
        return held.state === "unknown" ? { kind: "unknown" } : { kind: "held", by: held.by };
    }

    private evictExpired(now: number): void {
        for (const [id, claim] of this.reservations) {
            const isOld = now - claim.at > RESERVATION_RETENTION_MS;
            if (!isOld && this.reservations.size <= MAX_RESERVATIONS) {
                return;
            }
            this.reservations.delete(id);
        }
    }
}
