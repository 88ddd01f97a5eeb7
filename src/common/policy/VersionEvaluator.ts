/**
 * A sequential test for a version in roll-out against the settled one. Its evidence may be looked at after
 * every request without raising the rate of false alarms: under a good version the expected evidence never
 * exceeds one, whenever the version is suspected to have turned bad, so it seldom reaches the alarm level.
 */

/** Chance of a false alarm over a whole roll-out, for one kind of badness. */
export const FALSE_ALARM_CHANCE = 0.002;
/** A version may have this much more bad outcomes than the settled one without being blamed. */
const TOLERATED_EXTRA = 0.02;
/** Fewest outcomes of the settled version on which a comparison rests. */
const MIN_SETTLED_OUTCOMES = 100;
/** Standard errors by which the settled version's rate may be higher than seen. */
const SETTLED_STANDARD_ERRORS = 2.5;
/** Bets against the version, as parts of the largest that cannot lose everything. */
const BET_FRACTIONS = [0.05, 0.15, 0.35];

/** Outcomes of one version since the last look. */
export interface OutcomeCount {
    readonly total: number;
    readonly bad: number;
}

/** What the test says. */
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
    private seen = { total: 0, bad: 0 };
    private evaluations = 0;

    /** Takes the outcomes since the last call. */
    public evaluate(version: OutcomeCount, settled: OutcomeCount): Evaluation {
        const limit = this.toleratedRate();
        if (version.total > 0 && limit !== undefined) {
            this.addEvidence(version, limit);
        }
        // The settled version's new outcomes count from the next look on, so the limit is set beforehand.
        this.settled = { total: this.settled.total + settled.total, bad: this.settled.bad + settled.bad };
        this.seen = { total: this.seen.total + version.total, bad: this.seen.bad + version.bad };
        const mean = this.evidence.reduce((sum, value) => sum + value, 0) / BET_FRACTIONS.length;
        return {
            isBad: mean >= 1 / FALSE_ALARM_CHANCE,
            badRate: this.seen.total === 0 ? 0 : this.seen.bad / this.seen.total,
            settledRate: this.settled.total === 0 ? 0 : this.settled.bad / this.settled.total,
            outcomes: this.seen.total,
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
        // The chances of all times at which the version may have turned bad add up to one.
        const startChance = 1 / (this.evaluations * (this.evaluations + 1));
        for (const [index, bet] of BET_FRACTIONS.entries()) {
            const stake = bet / limit;
            const logFactor = bad * Math.log1p(stake * (1 - limit)) + (total - bad) * Math.log1p(-stake * limit);
            this.evidence[index] = ((this.evidence[index] ?? 0) + startChance)
                * Math.exp(Math.min(logFactor, MAX_LOG_FACTOR));
        }
    }
}

/** Keeps evidence finite when a whole batch is bad. */
const MAX_LOG_FACTOR = 200;
