/**
 * The state machine of the control log: the configuration, and the reservations of idempotency keys. Gateway processes
 * use `FleetState` instead.
 */
import { changeSchema } from "../configuration/Change.ts";
import {
    applyChange,
    type Configuration,
    configurationSchema,
    emptyConfiguration,
} from "../configuration/Configuration.ts";
import { reservationCommandSchema, reservationsSchema, ReservationTable } from "../idempotency/ReservationTable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Command, type StateMachine } from "./LogStore.ts";

/** Kinds of the commands about reservations; stored data calls a reservation a claim. */
const reservationKinds = new Set(["claim", "finishClaim", "releaseClaim", "abandonClaim"]);

/** State machine of a control instance. */
export class ControlState implements StateMachine {
    private current: Configuration = emptyConfiguration;
    private readonly reservations = new ReservationTable();
    private readonly changed = new Emitter<Configuration>();

    /** Fires when a change of configuration has taken effect. */
    public readonly onChanged = this.changed.event;

    public get configuration(): Configuration {
        return this.current;
    }

    public get reservationCount(): number {
        return this.reservations.size;
    }

    public apply(command: Command, index: number): Record<string, unknown> {
        const kind = String(command["kind"]);
        if (reservationKinds.has(kind)) {
            return this.reservations.apply(reservationCommandSchema.parse(command));
        }
        const change = changeSchema.safeParse(command);
        if (!change.success) {
            // The log's own commands, and those of a later program version, do not change this state.
            return { kind: "ignored" };
        }
        const { configuration, outcome } = applyChange(this.current, change.data, index);
        if (outcome.kind === "accepted") {
            this.current = configuration;
            this.changed.fire(configuration);
        }
        return { ...outcome };
    }

    public snapshot(): Record<string, unknown> {
        return { configuration: this.current, claims: this.reservations.snapshot() };
    }

    public restore(state: Record<string, unknown>): void {
        this.current = configurationSchema.parse(state["configuration"] ?? emptyConfiguration);
        this.reservations.restore(reservationsSchema.parse(state["claims"] ?? []));
        this.changed.fire(this.current);
    }
}
