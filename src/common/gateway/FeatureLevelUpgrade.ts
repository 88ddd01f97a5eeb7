/**
 * Raises the feature level of the fleet state once every instance has a build that supports it, while this instance leads
 * the control log. Until then voters of two builds must come to the same state from the same commands. An instance of
 * an earlier build that comes back after that is not made a voter, see `supports`.
 */
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { FEATURE_LEVEL, type Fleet, type FleetCommand } from "./FleetState.ts";

/** How often the builds of the instances are looked at, in ms. */
const CHECK_INTERVAL_MS = 500;
/** Time for which all known instances must support the level, in ms: those that are not known yet report meanwhile. */
const SETTLING_MS = 3000;

/** Dependencies of a feature level upgrade. */
export interface FeatureLevelUpgradeDependencies {
    readonly clock: Clock;
    readonly self: string;
    readonly isLeader: () => boolean;
    readonly fleet: () => Fleet;
    readonly voters: () => readonly string[];
    /** Level that each instance in service supports, by id, without this one. */
    readonly supportedLevels: () => ReadonlyMap<string, number>;
    readonly submit: (command: FleetCommand) => Promise<unknown>;
    /** Called when the instances that lack the level change, and with none when it is to be raised. */
    readonly onMissing: (instances: readonly string[]) => void;
}

/** Keeps the feature level up to date. */
export class FeatureLevelUpgrade extends DisposableOwner {
    private readonly deps: FeatureLevelUpgradeDependencies;
    /** Monotonic time since which no instance has lacked the level, in ms; undefined while one does. */
    private supportedSince: number | undefined;
    private reported: string | undefined;
    private isPending = false;

    public constructor(deps: FeatureLevelUpgradeDependencies) {
        super();
        this.deps = deps;
        this.register(repeat(deps.clock, CHECK_INTERVAL_MS, () => this.check()));
    }

    /** Whether an instance may vote on commands of the present feature level. */
    public supports(instance: string): boolean {
        const { self, fleet, supportedLevels } = this.deps;
        return instance === self || (supportedLevels().get(instance) ?? 0) >= fleet().featureLevel;
    }

    private check(): void {
        const { clock, isLeader, fleet } = this.deps;
        if (!isLeader() || fleet().featureLevel >= FEATURE_LEVEL) {
            this.supportedSince = undefined;
            return;
        }
        const missing = this.findMissing();
        this.report(missing);
        const now = clock.monotonic();
        this.supportedSince = missing.length > 0 ? undefined : this.supportedSince ?? now;
        if (this.supportedSince !== undefined && now - this.supportedSince >= SETTLING_MS) {
            this.raise();
        }
    }

    /** Voters and instances in service of which it isn't known that they support the level. */
    private findMissing(): string[] {
        const { self, voters, supportedLevels } = this.deps;
        const levels = supportedLevels();
        return [...new Set([...voters(), ...levels.keys()])]
            .filter(id => id !== self && (levels.get(id) ?? 0) < FEATURE_LEVEL)
            .sort();
    }

    private report(missing: readonly string[]): void {
        const text = missing.join(" ");
        if (this.reported !== text) {
            this.reported = text;
            this.deps.onMissing(missing);
        }
    }

    private raise(): void {
        if (this.isPending) {
            return;
        }
        this.isPending = true;
        this.deps.submit({ kind: "raiseFeatureLevel", level: FEATURE_LEVEL })
            .catch(() => undefined)
            .finally(() => {
                this.isPending = false;
            });
    }
}
