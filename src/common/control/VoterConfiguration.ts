/**
 * Which votes and copies decide. While one set of voters takes the place of another, a decision needs a majority of each
 * (a joint configuration, as in Raft): any two decisions then have a voter in common, whichever voters are exchanged.
 */

/** The voters that an entry of the log sets. */
export interface VoterConfiguration {
    readonly voters: readonly string[];
    /** The voters until the change is complete; undefined when none is under way. */
    readonly outgoing?: readonly string[] | undefined;
}

/** Number of votes or copies that form a majority of `count` voters. */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

const setsOf = ({ voters, outgoing }: VoterConfiguration): readonly (readonly string[])[] =>
    outgoing === undefined ? [voters] : [voters, outgoing];

/** The members of both sets, each once. */
export const allVoters = (configuration: VoterConfiguration): string[] => [...new Set(setsOf(configuration).flat())];

/** Whether these instances hold a majority of each set. */
export const isMajority = (configuration: VoterConfiguration, ids: readonly string[]): boolean =>
    setsOf(configuration).every(set => set.filter(id => ids.includes(id)).length >= majorityOf(set.length));

/** The highest value that a majority of each set has reached; -Infinity if there are no voters. */
export const reachedByMajority = (configuration: VoterConfiguration, valueOf: (voter: string) => number): number =>
    Math.min(
        ...setsOf(configuration).map(set => {
            const values = set.map(valueOf).sort((a, b) => b - a);
            return values[majorityOf(set.length) - 1] ?? -Infinity;
        }),
    );
