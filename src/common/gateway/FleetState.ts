/**
 * The state machine of the control log of gateway processes: the declared configuration, the roll-outs, and the failure
 * domains that operators have drained. Instances with an `InstanceCore` use `ControlState` instead. The configuration
 * is kept as the text that was sent, so that operators read back exactly what they wrote.
 */
import * as z from "zod";
import { type Command, type StateMachine } from "../control/LogStore.ts";
import { Emitter } from "../lifecycle/Emitter.ts";

/**
 * Newest behaviour of the state machine that this build has. Voters of earlier builds would apply the same commands
 * differently, so it is used only once the leader has raised `Fleet.featureLevel`, see `FeatureLevelUpgrade`. At level 1
 * roll-outs have an id, and a service may be rolled out to a version that was a target before. At level 2 several voters
 * of the control log may be exchanged at once.
 */
export const FEATURE_LEVEL = 2;
/** Feature level from which on all voters know joint configurations. */
export const JOINT_CHANGES_LEVEL = 2;

/** Finished roll-outs that are kept for each service, besides the one to the version in use. */
const MAX_FINISHED_ROLLOUTS = 16;

export const rolloutSchema = z.object({
    /** Index of the log entry that started it. Undefined for those of feature level 0. */
    id: z.number().optional(),
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
    /** Level of the behaviour that all instances have, up to `FEATURE_LEVEL`. */
    featureLevel: z.number().default(0),
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
        /**
         * Id of the service's newest roll-out that was known to the instance which received the order; 0 for none, or for
         * one without an id. If another one has started since, the order is outdated. Undefined at feature level 0.
         */
        newestKnownId: z.number().optional(),
    }),
    z.object({
        kind: z.literal("moveRollout"),
        /** Id of the roll-out; undefined for one without an id. */
        id: z.number().optional(),
        service: z.string(),
        target: z.string(),
        state: rolloutSchema.shape.state,
        share: z.number(),
    }),
    z.object({ kind: z.literal("drainDomain"), domain: z.string(), knownRevision: knownRevisionSchema }),
    z.object({ kind: z.literal("restoreDomain"), domain: z.string(), knownRevision: knownRevisionSchema }),
    z.object({ kind: z.literal("raiseFeatureLevel"), level: z.number() }),
]);

/** A change requested by an operator or by the leader. Commands are idempotent. */
export type FleetCommand = z.infer<typeof commandSchema>;

/** An order to roll out a version. */
export type StartRolloutCommand = FleetCommand & { readonly kind: "startRollout"; };

export const emptyFleet: Fleet = {
    revision: 0,
    featureLevel: 0,
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
        const isOutdated = parsed.data.kind === "startRollout" && isOutdatedRollout(this.current, parsed.data);
        const next = isOutdated ? this.current : applyCommand(this.current, parsed.data, index);
        if (next !== this.current) {
            if (next.drainedDomains !== this.current.drainedDomains) {
                this.drainedDomainsRevision = index;
            }
            this.current = { ...next, revision: index };
            this.changed.fire(this.current);
        }
        return { revision: this.current.revision, isOutdated };
    }

    public isOutdated(command: Command): boolean {
        const { data } = commandSchema.safeParse(command);
        if (data?.kind === "startRollout") {
            return isOutdatedRollout(this.current, data);
        }
        if (data?.kind !== "drainDomain" && data?.kind !== "restoreDomain") {
            return false;
        }
        const { knownRevision = Infinity } = data;
        // An order that changes nothing is accepted again, as its first confirmation may have been lost.
        return knownRevision < this.drainedDomainsRevision && applyCommand(this.current, data, 0) !== this.current;
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

/** Returns the state after a command with this index in the log; the same object when nothing changes. */
const applyCommand = (fleet: Fleet, command: FleetCommand, index: number): Fleet => {
    switch (command.kind) {
        case "declare":
            return command.version > fleet.configVersion
                ? { ...fleet, configVersion: command.version, configText: command.text }
                : fleet;
        case "startRollout":
            return startRollout(fleet, command, index);
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
        case "raiseFeatureLevel":
            return command.level > fleet.featureLevel ? { ...fleet, featureLevel: command.level } : fleet;
    }
};

/**
 * Whether an order must not take effect, as another roll-out has started after it was given, or may have: an instance that
 * has just started doesn't know the feature level. At level 0 a service can't be rolled out again to a version that was a
 * target before: the order would be confirmed without effect.
 */
const isOutdatedRollout = (fleet: Fleet, { service, target, newestKnownId }: StartRolloutCommand): boolean => {
    if (isInForce(fleet, service, target)) {
        return false;
    }
    if (newestKnownId === undefined) {
        const isTarget = fleet.rollouts.some(rollout => rollout.service === service && rollout.target === target);
        return isTarget || fleet.featureLevel > 0;
    }
    return (latestRollout(fleet, service)?.id ?? 0) !== newestKnownId;
};

const startRollout = (fleet: Fleet, command: StartRolloutCommand, index: number): Fleet => {
    const { service, target, durationMs, orderedAt, newestKnownId } = command;
    if (isInForce(fleet, service, target)) {
        return fleet;
    }
    const rollout: Rollout = { service, target, durationMs, orderedAt, state: "running", share: 0 };
    if (newestKnownId === undefined) {
        return { ...fleet, rollouts: [...fleet.rollouts, rollout] };
    }
    // Instances of earlier builds find a roll-out by its service and target, so there is one for each pair.
    const others = fleet.rollouts
        .filter(other => other.service !== service || other.target !== target)
        .map(other => other.service === service ? rollBackIfRunning(other) : other);
    const state = versionInUse(fleet, service) === target ? { state: "completed", share: 1 } as const : {};
    return { ...fleet, rollouts: [...dropOldest(others, service), { id: index, ...rollout, ...state }] };
};

/** A running roll-out ends when another one of its service begins: the version in use is the only one to go back to. */
const rollBackIfRunning = (rollout: Rollout): Rollout =>
    rollout.state === "running" ? { ...rollout, state: "rolledBack", share: 0 } : rollout;

/** Drops finished roll-outs of the service that no rule needs any more. */
const dropOldest = (rollouts: readonly Rollout[], service: string): Rollout[] => {
    const inUse = latestCompleted(rollouts, service);
    const finished = rollouts.filter(rollout =>
        rollout.service === service && rollout.state !== "running" && rollout !== inUse
    );
    const dropped = new Set(finished.slice(0, -MAX_FINISHED_ROLLOUTS));
    return rollouts.filter(rollout => !dropped.has(rollout));
};

const moveRollout = (fleet: Fleet, command: FleetCommand & { kind: "moveRollout"; }): Fleet => {
    const { id, service, target, state, share } = command;
    const index = fleet.rollouts.findIndex(rollout => rollout.service === service && rollout.target === target);
    const rollout = fleet.rollouts[index];
    // A completed or rolled back roll-out is final: operators may already have read its outcome.
    if (rollout === undefined || rollout.id !== id || rollout.state !== "running") {
        return fleet;
    }
    return { ...fleet, rollouts: fleet.rollouts.with(index, { ...rollout, state, share }) };
};

/** Whether the service's newest roll-out leads to the version, or has led to it. */
export const isInForce = (fleet: Fleet, service: string, target: string): boolean => {
    const newest = latestRollout(fleet, service);
    return newest?.target === target && newest.state !== "rolledBack";
};

/** Version to which the service was rolled out completely last; undefined if that never happened. */
export const versionInUse = ({ rollouts }: Fleet, service: string): string | undefined =>
    latestCompleted(rollouts, service)?.target;

/**
 * Tells which versions of a service may be in use, apart from the target of a running roll-out. Until a roll-out is
 * completed, it may be any version that was not rolled back.
 */
export const mayBeInUse = (fleet: Fleet, service: string): (version: string) => boolean => {
    const inUse = versionInUse(fleet, service);
    if (inUse !== undefined) {
        return version => version === inUse;
    }
    return version =>
        !fleet.rollouts.some(rollout =>
            rollout.service === service && rollout.target === version && rollout.state === "rolledBack"
        );
};

const latestCompleted = (rollouts: readonly Rollout[], service: string): Rollout | undefined =>
    rollouts.findLast(rollout => rollout.service === service && rollout.state === "completed");

/** The roll-out of the service that was started last. */
export const latestRollout = (fleet: Fleet, service: string): Rollout | undefined =>
    fleet.rollouts.findLast(rollout => rollout.service === service);
