/**
 * A sequential test of a version in roll-out against the settled one. Its evidence may be evaluated after every
 * request without raising the rate of false alarms: for a good version the expected evidence never exceeds one,
 * whichever time is assumed at which the version turned bad, so it rarely reaches the alarm level.
 */

/** Probability of a false alarm over a whole roll-out, for one kind of bad outcome. */
export const FALSE_ALARM_CHANCE = 0.002;
/** Tolerated excess of a version's rate of bad outcomes over that of the settled one. */
const TOLERATED_EXTRA = 0.02;
/** Minimum number of outcomes of the settled version for a comparison. */
const MIN_SETTLED_OUTCOMES = 100;
/** Standard errors by which the settled version's rate may be higher than observed. */
const SETTLED_STANDARD_ERRORS = 2.5;
/** Bets against the version, as fractions of the largest bet that cannot lose all evidence. */
const BET_FRACTIONS = [0.05, 0.15, 0.35];

/** Outcomes of one version since the last evaluation. */
export interface OutcomeCount {
    readonly total: number;
    readonly bad: number;
}

/** Result of the test. Rates and outcomes are totals since its start. */
export interface Evaluation {
    readonly isBad: boolean;
    readonly badRate: number;
    readonly settledRate: number;
    readonly outcomes: number;
}

/** Test of one version. */
export class VersionEvaluator {
    /** Evidence for each bet, summed over the times at which the version may have turned bad. */
    private readonly evidence = BET_FRACTIONS.map(() => 0);
    private settled = { total: 0, bad: 0 };
    private observed = { total: 0, bad: 0 };
    private evaluations = 0;

    /** Adds the outcomes since the last call and returns the result so far. */
    public evaluate(version: OutcomeCount, settled: OutcomeCount): Evaluation {
        const limit = this.toleratedRate();
        if (version.total > 0 && limit !== undefined) {
            this.addEvidence(version, limit);
        }
        // The settled version's new outcomes count from the next evaluation on, so that the limit is fixed beforehand.
        this.settled = { total: this.settled.total + settled.total, bad: this.settled.bad + settled.bad };
        this.observed = { total: this.observed.total + version.total, bad: this.observed.bad + version.bad };
        const mean = this.evidence.reduce((sum, value) => sum + value, 0) / BET_FRACTIONS.length;
        return {
            isBad: mean >= 1 / FALSE_ALARM_CHANCE,
            badRate: this.observed.total === 0 ? 0 : this.observed.bad / this.observed.total,
            settledRate: this.settled.total === 0 ? 0 : this.settled.bad / this.settled.total,
            outcomes: this.observed.total,
        };
    }

    private toleratedRate(): number | undefined {
        const { total, bad } = this.settled;
        if (total < MIN_SETTLED_OUTCOMES) {
            return undefined;
        }
        const rate = (bad + 1) / (total + 2);
        return Math.min(0.9, rate + SETTLED_STANDARD_ERRORS * Math.sqrt(rate * (1 - rate) / total) + TOLERATED_EXTRA);
    }

    private addEvidence({ total, bad }: OutcomeCount, limit: number): void {
        this.evaluations++;
        // The probabilities of all times at which the version may have turned bad sum to one.
        const onsetProbability = 1 / (this.evaluations * (this.evaluations + 1));
        for (const [index, bet] of BET_FRACTIONS.entries()) {
            const stake = bet / limit;
            const logFactor = bad * Math.log1p(stake * (1 - limit)) + (total - bad) * Math.log1p(-stake * limit);
            this.evidence[index] = ((this.evidence[index] ?? 0) + onsetProbability)
                * Math.exp(Math.min(logFactor, MAX_LOG_FACTOR));
        }
    }
}

/** Cap that keeps the evidence finite when a whole batch is bad. */
const MAX_LOG_FACTOR = 200;
