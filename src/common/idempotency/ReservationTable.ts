/**
 * Reservations of idempotency keys, for requests that may run at most once. A reservation is committed to the
 * control log before the request is sent. A key without one provably did not run, so a refusal needs no record
 * (presumed abort, as in the literature on commit protocols). Stored commands and fields call a reservation a claim.
 */
import * as z from "zod";

/** How long a reservation and its outcome are kept, in ms. */
export const RESERVATION_RETENTION_MS = 24 * 3_600_000;
/** Maximum number of reservations; beyond it the oldest are evicted, finished or not. */
const MAX_RESERVATIONS = 200_000;

export const outcomeSchema = z.object({
    status: z.number().int(),
    contentType: z.string(),
    /** Response body in base64. */
    body: z.string(),
    /** True when the body was too large to be stored. */
    isBodyOmitted: z.boolean().optional(),
});

/** The recorded response to a request. */
export type RecordedOutcome = z.infer<typeof outcomeSchema>;

const base = { account: z.string(), key: z.string(), claimId: z.string(), at: z.number() };

export const reservationCommandSchema = z.discriminatedUnion("kind", [
    /** Reserves the key; `by` is the process key of the instance that will run the request. */
    z.object({ kind: z.literal("claim"), bodyHash: z.string(), by: z.string(), ...base }),
    /** The request ran; its response is kept for repeats. */
    z.object({ kind: z.literal("finishClaim"), outcome: outcomeSchema, ...base }),
    /** The request provably did not run, so the key may be used again. */
    z.object({ kind: z.literal("releaseClaim"), ...base }),
    /** It is unknown whether the request ran. */
    z.object({ kind: z.literal("abandonClaim"), ...base }),
]);

/** A command about a reservation. */
export type ReservationCommand = z.infer<typeof reservationCommandSchema>;

export const reservationResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("granted") }),
    /** Another request with the key is in progress, or its instance was lost. */
    z.object({ kind: z.literal("held"), by: z.string() }),
    z.object({ kind: z.literal("done"), outcome: outcomeSchema }),
    z.object({ kind: z.literal("unknown") }),
    /** The key was used with another body. */
    z.object({ kind: z.literal("conflict") }),
    /** The command changed nothing: the reservation belongs to another attempt or is finished. */
    z.object({ kind: z.literal("ignored") }),
]);

/** The result of a command about a reservation. */
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

/** All reservations, in the order in which they were made. */
export class ReservationTable {
    private readonly reservations = new Map<string, Reservation>();

    public get size(): number {
        return this.reservations.size;
    }

    /** Applies a command deterministically: the time comes from the command only. */
    public apply(command: ReservationCommand): ReservationResult {
        this.evictExpired(command.at);
        const id = `${command.account} ${command.key}`;
        const reservation = this.reservations.get(id);
        if (command.kind === "claim") {
            return this.reserve(id, reservation, command);
        }
        if (reservation?.claimId !== command.claimId || reservation.state === "done") {
            return { kind: "ignored" };
        }
        switch (command.kind) {
            case "finishClaim":
                this.reservations.set(id, { ...reservation, state: "done", outcome: command.outcome });
                return { kind: "done", outcome: command.outcome };
            case "releaseClaim":
                this.reservations.delete(id);
                return { kind: "granted" };
            case "abandonClaim":
                this.reservations.set(id, { ...reservation, state: "unknown" });
                return { kind: "unknown" };
        }
    }

    public snapshot(): Reservation[] {
        return [...this.reservations.values()];
    }

    public restore(reservations: readonly Reservation[]): void {
        this.reservations.clear();
        for (const reservation of reservations) {
            this.reservations.set(reservation.id, reservation);
        }
    }

    private reserve(
        id: string,
        existing: Reservation | undefined,
        command: Extract<ReservationCommand, { kind: "claim"; }>,
    ): ReservationResult {
        if (existing === undefined) {
            const { claimId, bodyHash, by, at } = command;
            this.reservations.set(id, { id, claimId, bodyHash, by, at, state: "claimed" });
            return { kind: "granted" };
        }
        if (existing.claimId === command.claimId) {
            return { kind: "granted" };
        }
        if (existing.bodyHash !== command.bodyHash) {
            return { kind: "conflict" };
        }
        if (existing.outcome !== undefined) {
            return { kind: "done", outcome: existing.outcome };
        }
        return existing.state === "unknown" ? { kind: "unknown" } : { kind: "held", by: existing.by };
    }

    private evictExpired(now: number): void {
        for (const [id, reservation] of this.reservations) {
            const isExpired = now - reservation.at > RESERVATION_RETENTION_MS;
            if (!isExpired && this.reservations.size <= MAX_RESERVATIONS) {
                return;
            }
            this.reservations.delete(id);
        }
    }
}
