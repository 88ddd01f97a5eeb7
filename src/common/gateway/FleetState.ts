/**
 * The state machine of the control log of gateway processes: the declared configuration, the roll-outs, and the failure
 * domains that operators have drained. Instances with an `InstanceCore` use `ControlState` instead. The configuration
 * is kept as the text that was sent, so that operators read back exactly what they wrote.
 */
import * as z from "zod";
import { type Command, type StateMachine } from "../control/LogStore.ts";
import { Emitter } from "../lifecycle/Emitter.ts";

export const rolloutSchema = z.object({
    service: z.string(),
    /** The version that is rolled out. */
    target: z.string(),
    /** Time within which the roll-out is to be completed, in ms. */
    durationMs: z.number(),
    /** Wall-clock time at which an operator requested the roll-out, in ms. */
    orderedAt: z.number(),
    state: z.enum(["running", "completed", "rolledBack"]),
    /** Share of the new sessions that run on the target version, 0 to 1; at 1 the other sessions move to it too. */
    share: z.number(),
});

/** Replacement of the version of one service. */
export type Rollout = z.infer<typeof rolloutSchema>;

export const fleetSchema = z.object({
    /** Increases with every change. */
    revision: z.number(),
    /** Version of the declared configuration; -1 until one is declared. */
    configVersion: z.number(),
    /** The declared configuration as the operator sent it; empty until one is declared. */
    configText: z.string(),
    rollouts: z.array(rolloutSchema),
    drainedDomains: z.array(z.string()),
});

/** The replicated state that every instance follows. */
export type Fleet = z.infer<typeof fleetSchema>;

/**
 * Revision that the control instance knew when it received the order. An order that is held up on its way to the
 * leader must not undo a later one. Undefined from builds that don't send it.
 */
const knownRevisionSchema = z.number().optional();

const commandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("declare"), version: z.number(), text: z.string() }),
    z.object({
        kind: z.literal("startRollout"),
        service: z.string(),
        target: z.string(),
        durationMs: z.number(),
        orderedAt: z.number(),
    }),
    z.object({
        kind: z.literal("moveRollout"),
        service: z.string(),
        target: z.string(),
        state: rolloutSchema.shape.state,
        share: z.number(),
    }),
    z.object({ kind: z.literal("drainDomain"), domain: z.string(), knownRevision: knownRevisionSchema }),
    z.object({ kind: z.literal("restoreDomain"), domain: z.string(), knownRevision: knownRevisionSchema }),
]);

/** A change requested by an operator or by the leader. Commands are idempotent. */
export type FleetCommand = z.infer<typeof commandSchema>;

export const emptyFleet: Fleet = {
    revision: 0,
    configVersion: -1,
    configText: "",
    rollouts: [],
    drainedDomains: [],
};

/** Applies the committed commands of the control log. */
export class FleetState implements StateMachine {
    private current: Fleet = emptyFleet;
    /** Revision at which the drained domains last changed, or a later one. */
    private drainedDomainsRevision = 0;
    private readonly changed = new Emitter<Fleet>();

    public readonly onChanged = this.changed.event;

    public get fleet(): Fleet {
        return this.current;
    }

    public apply(command: Command, index: number): Record<string, unknown> {
        const parsed = commandSchema.safeParse(command);
        if (!parsed.success) {
            // The log's own commands, and commands of a later version of the program, don't change this state.
            return {};
        }
        const next = applyCommand(this.current, parsed.data);
        if (next !== this.current) {
            if (next.drainedDomains !== this.current.drainedDomains) {
                this.drainedDomainsRevision = index;
            }
            this.current = { ...next, revision: index };
            this.changed.fire(this.current);
        }
        return { revision: this.current.revision };
    }

    public isOutdated(command: Command): boolean {
        const { data } = commandSchema.safeParse(command);
        if (data?.kind !== "drainDomain" && data?.kind !== "restoreDomain") {
            return false;
        }
        const { knownRevision = Infinity } = data;
        // An order that changes nothing is accepted again, as its first confirmation may have been lost.
        return knownRevision < this.drainedDomainsRevision && applyCommand(this.current, data) !== this.current;
    }

    public snapshot(): Record<string, unknown> {
        return { ...this.current };
    }

    public restore(state: Record<string, unknown>): void {
        this.current = fleetSchema.parse({ ...emptyFleet, ...state });
        this.drainedDomainsRevision = this.current.revision;
        this.changed.fire(this.current);
    }
}

/** Returns the state after a command; the same object when nothing changes. */
const applyCommand = (fleet: Fleet, command: FleetCommand): Fleet => {
    switch (command.kind) {
        case "declare":
            return command.version > fleet.configVersion
                ? { ...fleet, configVersion: command.version, configText: command.text }
                : fleet;
        case "startRollout":
            return startRollout(fleet, command);
        case "moveRollout":
            return moveRollout(fleet, command);
        case "drainDomain":
            return fleet.drainedDomains.includes(command.domain)
                ? fleet
                : { ...fleet, drainedDomains: [...fleet.drainedDomains, command.domain] };
        case "restoreDomain":
            return fleet.drainedDomains.includes(command.domain)
                ? { ...fleet, drainedDomains: fleet.drainedDomains.filter(domain => domain !== command.domain) }
                : fleet;
    }
};

const startRollout = (fleet: Fleet, command: FleetCommand & { kind: "startRollout"; }): Fleet => {
    const { service, target, durationMs, orderedAt } = command;
    if (fleet.rollouts.some(rollout => rollout.service === service && rollout.target === target)) {
        return fleet;
    }
    const rollout: Rollout = { service, target, durationMs, orderedAt, state: "running", share: 0 };
    return { ...fleet, rollouts: [...fleet.rollouts, rollout] };
};

const moveRollout = (fleet: Fleet, command: FleetCommand & { kind: "moveRollout"; }): Fleet => {
    const { service, target, state, share } = command;
    const index = fleet.rollouts.findIndex(rollout => rollout.service === service && rollout.target === target);
    const rollout = fleet.rollouts[index];
    // A completed or rolled back roll-out is final: operators may already have read its outcome.
    if (rollout === undefined || rollout.state !== "running") {
        return fleet;
    }
    return { ...fleet, rollouts: fleet.rollouts.with(index, { ...rollout, state, share }) };
};

/** The roll-out of the service that was started last. */
export const latestRollout = (fleet: Fleet, service: string): Rollout | undefined =>
    fleet.rollouts.findLast(rollout => rollout.service === service);
