/**
 * `canary`: roll-outs of good versions, and of versions that become bad during the roll-out, on eight instances.
 * Outcomes are drawn by the seed; whether a version is stopped is read from the configuration in force.
 */
import { SeededRandom } from "../../addons/fakes/SeededRandom.ts";
import { accountRow, allowModel, domainRow, versionRow } from "../../addons/fakes/SheetText.ts";
import { eightInstances, Simulation } from "../../addons/fakes/Simulation.ts";
import { VersionEvaluator } from "../../src/common/policy/VersionEvaluator.ts";
import { type Outcome, round, type Scenario } from "../Scenario.ts";

const RATE_PER_S = 60;
/** Share of the version that is rolled out, in percent. */
const SHARE = 10;
const BASE_ERROR_RATE = 0.02;
const GOOD_ROLLOUTS = 1500;
const EVALUATIONS = 600;
const BAD_ROLLOUTS_PER_RATE = 3;
/** Rates of bad answers after the version has become bad. */
const BAD_RATES = [0.15, 0.3, 0.8];
/**
 * Bad answers until an ideal test stops the version: a likelihood-ratio test with a threshold of 1000 that knows when
 * the version becomes bad, and its error rate.
 */
const idealBadAnswers = (rate: number): number => {
    const divergence = rate * Math.log(rate / BASE_ERROR_RATE)
        + (1 - rate) * Math.log((1 - rate) / (1 - BASE_ERROR_RATE));
    return Math.max(1, Math.log(1000) / divergence * rate);
};

/** Evaluates roll-outs of good versions after every second; returns how many were stopped. */
const countFalseAlarms = (random: SeededRandom): number => {
    let alarms = 0;
    for (let rollout = 0; rollout < GOOD_ROLLOUTS; rollout++) {
        const evaluator = new VersionEvaluator();
        const baseRate = random.pick([0, 0.01, BASE_ERROR_RATE, 0.05]);
        const draw = (count: number): { total: number; bad: number; } => ({
            total: count,
            bad: [...Array(count).keys()].filter(() => random.chance(baseRate)).length,
        });
        for (let evaluation = 0; evaluation < EVALUATIONS; evaluation++) {
            if (evaluator.evaluate(draw(random.nextInt(4)), draw(random.nextInt(20))).isBad) {
                alarms++;
                break;
            }
        }
    }
    return alarms;
};

interface RolloutOutcome {
    readonly badAnswers: number;
    /** Whether the version was stopped on all instances. */
    readonly isStopped: boolean;
    /** Whether the settled version was stopped on any instance. */
    readonly isSettledStopped: boolean;
}

/** Runs a roll-out on eight instances whose version becomes bad after 20 to 40 s. */
const runBadRollout = async (seed: number, badRate: number): Promise<RolloutOutcome> => {
    const sim = new Simulation(seed, eightInstances);
    const rows = [
        domainRow("a"),
        domainRow("b"),
        domainRow("c"),
        domainRow("d"),
        accountRow("x"),
        allowModel("x", "m"),
    ];
    await sim.start([...rows, versionRow("m", "v1", 100), versionRow("m", "v2", 0)]);
    await sim.submitSheet(2, [...rows, versionRow("m", "v1", 100 - SHARE), versionRow("m", "v2", SHARE)]);
    await sim.advance(2000);
    const becomesBadAt = sim.now + 20_000 + sim.random.next() * 20_000;
    let badAnswers = 0;
    let isStopped = false;
    const end = becomesBadAt + 60_000;
    sim.scheduleArrivals(() => RATE_PER_S, end, () => {
        const { core } = sim.random.pick(sim.readyNodes);
        const isActive = core.follower.table.activeVersion("m@v2") !== undefined;
        const version = isActive && sim.random.next() * 100 < SHARE ? "m@v2" : "m@v1";
        const rate = version === "m@v2" && sim.now > becomesBadAt ? badRate : BASE_ERROR_RATE;
        const isError = sim.random.chance(rate);
        badAnswers += isError && version === "m@v2" && sim.now > becomesBadAt ? 1 : 0;
        core.rollouts.onOutcome(version, { isError, durationMs: 100 });
    });
    while (sim.now < end && !isStopped) {
        await sim.advance(500);
        isStopped = sim.readyNodes.every(node => node.core.follower.table.activeVersion("m@v2") === undefined);
    }
    const isSettledStopped = sim.readyNodes.some(node => node.core.follower.table.activeVersion("m@v1") === undefined);
    sim.dispose();
    return { badAnswers, isStopped, isSettledStopped };
};

const run = async (seed: number): Promise<Outcome> => {
    const random = new SeededRandom(seed);
    const alarms = countFalseAlarms(random);
    const ratios: number[] = [];
    let missed = 0;
    let settledStopped = 0;
    for (const rate of BAD_RATES) {
        for (let index = 0; index < BAD_ROLLOUTS_PER_RATE; index++) {
            const outcome = await runBadRollout(seed * 100 + index, rate);
            ratios.push(outcome.badAnswers / idealBadAnswers(rate));
            missed += outcome.isStopped ? 0 : 1;
            settledStopped += outcome.isSettledStopped ? 1 : 0;
        }
    }
    return {
        violations: { settled_version_hurt: settledStopped, missed },
        figures: {
            false_alarms_per_1000_rollouts: round(alarms / GOOD_ROLLOUTS * 1000, 2),
            bad_answers_over_ideal: round(ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length),
            bad_answers_over_ideal_worst: round(Math.max(...ratios)),
        },
    };
};

export const canary: Scenario = {
    name: "canary",
    summary: "roll-outs of good versions, and of versions that become bad during the roll-out",
    isDeterministic: true,
    run,
};
