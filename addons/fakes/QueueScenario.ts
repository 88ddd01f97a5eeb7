/**
 * Loads for `QueueSimulation`: kinds of requests at a multiple of the capacity of the upstreams, from accounts that send
 * equally or not, by callers that may return after a refusal.
 */
import { ManualClock } from "../../src/common/time/ManualClock.ts";
import { QueueSimulation, type SimulatedCall, type SimulatedResult, type WaitPolicy } from "./QueueSimulation.ts";
import { SeededRandom } from "./SeededRandom.ts";

const STEP_MS = 1;
/** Time at the start that isn't evaluated, in ms. */
const WARM_UP_MS = 3000;
/** A caller that is refused repeats its request at most this often. */
const MAX_REPEATS = 3;
/** Pause of a caller that repeats at once, in ms. */
const IMMEDIATE_MS = 5;

/** A kind of requests. */
export interface ScenarioKind {
    readonly name: string;
    /** Share of the work of all requests. */
    readonly share: number;
    readonly priority: number;
    /** Draws the time at an upstream until the answer begins, and the time for which the slot is held, in ms. */
    readonly draw: (random: SeededRandom) => { workMs: number; holdMs: number; };
    readonly objectiveMs: number;
    readonly limitMs: number;
    readonly accounts: readonly string[];
}

/** A load. */
export interface Scenario {
    readonly policy: WaitPolicy;
    readonly seed: number;
    readonly instances: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly isEngine: boolean;
    readonly kinds: readonly ScenarioKind[];
    /** Load as a multiple of the capacity, by the time since the start in ms. */
    readonly loadAt: (ms: number) => number;
    readonly durationMs: number;
    readonly repeats?: "none" | "immediately" | "whenTold";
    readonly onStep?: (ms: number, simulation: QueueSimulation) => void;
}

/** What a caller got in the end, with its repeats. */
export interface CallerResult {
    readonly kind: string;
    readonly call: SimulatedCall;
    /** Time since the start at which it sent its first request, in ms. */
    readonly at: number;
    readonly results: readonly SimulatedResult[];
}

/** Plays a scenario; returns the results of all callers that came after the warm-up. */
export const playScenario = async (scenario: Scenario): Promise<CallerResult[]> => {
    const { kinds, slots, upstreams, durationMs, onStep } = scenario;
    const clock = new ManualClock(1000);
    const random = new SeededRandom(scenario.seed);
    const simulation = new QueueSimulation({ ...scenario, clock, random });
    // The mean is taken from draws of its own, so that all policies see the same arrivals.
    const meanHolds = kinds.map(kind => meanHoldMs(kind, new SeededRandom(1)));
    const callers: Promise<CallerResult>[] = [];
    let count = 0;
    const arrivals = new SeededRandom(scenario.seed + 1_000_000);
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
        onStep?.(ms, simulation);
        kinds.forEach((kind, index) => {
            const perMs = scenario.loadAt(ms) * kind.share * upstreams * slots / (meanHolds[index] ?? 1);
            for (let due = arrivals.exponential(1); due < perMs * STEP_MS; due += arrivals.exponential(1)) {
                callers.push(
                    sendAndRepeat(simulation, clock, scenario, createCall(kind, arrivals, count++), kind.name, ms),
                );
            }
        });
        await clock.advanceSettled(STEP_MS, settle);
    }
    let isDone = false;
    const all = Promise.all(callers).finally(() => {
        isDone = true;
    });
    while (!isDone) {
        await clock.advanceSettled(100, settle);
    }
    return (await all).filter(({ at }) => at >= WARM_UP_MS);
};

const meanHoldMs = (kind: ScenarioKind, random: SeededRandom): number => {
    const holds = Array.from({ length: 2000 }, () => kind.draw(random)).map(({ workMs, holdMs }) =>
        Math.max(workMs, holdMs)
    );
    return holds.reduce((sum, ms) => sum + ms, 0) / holds.length;
};

const createCall = (kind: ScenarioKind, random: SeededRandom, index: number): SimulatedCall => ({
    id: `r${index}`,
    account: random.pick(kind.accounts),
    priority: kind.priority,
    objectiveMs: kind.objectiveMs,
    limitMs: kind.limitMs,
    ...kind.draw(random),
});

const sendAndRepeat = async (
    simulation: QueueSimulation,
    clock: ManualClock,
    { repeats = "none", instances }: Scenario,
    call: SimulatedCall,
    kind: string,
    at: number,
): Promise<CallerResult> => {
    const results: SimulatedResult[] = [];
    // A caller keeps its connection, so its repeats reach the same instance.
    const instance = Number(call.id.slice(1)) % instances;
    for (;;) {
        const result = await simulation.send(call, instance);
        results.push(result);
        if (result.outcome !== "refused" || repeats === "none" || results.length > MAX_REPEATS) {
            return { kind, call, at, results };
        }
        await new Promise<void>(resolve => {
            clock.schedule(repeats === "immediately" ? IMMEDIATE_MS : result.retryAfterMs, resolve);
        });
    }
};

const settle = async (): Promise<void> => {
    for (let turn = 0; turn < 6; turn++) {
        await Promise.resolve();
    }
};

/** The value below which the fraction of the values lies; 0 if there are none. */
export const quantile = (values: readonly number[], fraction: number): number => {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
};

/** Share of the callers that were served within their objective, counted from each of their requests. */
export const onTimeShare = (callers: readonly CallerResult[]): number =>
    callers.filter(isOnTime).length / Math.max(1, callers.length);

export const isOnTime = ({ results, call }: CallerResult): boolean => {
    const last = results.at(-1);
    return last?.outcome === "served" && last.ms <= call.objectiveMs;
};

/** Capacity that went to callers served on time, as a fraction of all upstreams over the time of their arrival. */
export const goodput = (callers: readonly CallerResult[], { upstreams, slots, durationMs }: Scenario): number =>
    callers.filter(isOnTime).reduce((sum, { call }) => sum + Math.max(call.workMs, call.holdMs), 0)
    / (upstreams * slots * (durationMs - WARM_UP_MS));

/** 95th percentile of the time until a refusal, in ms. */
export const refusalP95 = (callers: readonly CallerResult[]): number =>
    quantile(
        callers.flatMap(({ results }) => results).filter(({ outcome }) => outcome === "refused").map(({ ms }) => ms),
        0.95,
    );

/** 95th percentile of the time until an answer, in ms. */
export const servedP95 = (callers: readonly CallerResult[]): number =>
    quantile(
        callers.flatMap(({ results }) => results).filter(({ outcome }) => outcome === "served").map(({ ms }) => ms),
        0.95,
    );
