/**
 * Types of bench scenarios, and the check of their results against invariants and bounds.
 */
import bounds from "./bounds.json" with { type: "json" };

/** Counts of violated invariants, and measured figures. A figure that was not measured is absent. */
export interface Outcome {
    readonly violations: Readonly<Record<string, number>>;
    readonly figures: Readonly<Record<string, number>>;
}

/** A bench scenario. */
export interface Scenario {
    readonly name: string;
    readonly summary: string;
    /** Whether its figures depend only on the seed, not on the machine. */
    readonly isDeterministic: boolean;
    run(seed: number): Promise<Outcome>;
}

/** Result of a run; its JSON is the last line that a run prints. */
export interface Report extends Outcome {
    readonly scenario: string;
    readonly seed: number;
}

interface Bound {
    readonly min?: number;
    readonly max?: number;
}

/** Returns a line for each violated invariant and for each figure outside its bounds. */
export const findViolations = (scenario: string, outcome: Outcome): string[] => {
    const violations = Object.entries(outcome.violations)
        .filter(([, count]) => count !== 0)
        .map(([name, count]) => `${name}: ${count} violations`);
    const scenarioBounds = (bounds as Record<string, Record<string, Bound>>)[scenario] ?? {};
    for (const [name, { min = -Infinity, max = Infinity }] of Object.entries(scenarioBounds)) {
        const value = outcome.figures[name];
        if (value === undefined || !(value >= min && value <= max)) {
            violations.push(`${name}: ${value} is not within ${min} to ${max}`);
        }
    }
    return violations;
};

/** Returns the value below which the fraction `q` of the values lies. The values needn't be sorted. */
export const quantile = (values: readonly number[], q: number): number => {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? NaN;
};

/** Rounds a figure to `digits` decimal places. */
export const round = (value: number, digits = 3): number => Number(value.toFixed(digits));
