/**
 * Determines which control instances vote. An odd number of voters tolerates as many losses as the next even number,
 * and always has a majority on one side when a network partition splits the voters in two.
 */

/** Five voters tolerate the loss of two. */
const MAX_VOTERS = 5;

/** Reachability of the control instances, by id. */
export interface ControlReachability {
    /** Control instances that reply, including this one. */
    readonly reachable: readonly string[];
    /** Control instances that have been silent for so long that they are considered lost. */
    readonly lost: readonly string[];
}

/**
 * Returns the next set of voters, which differs by one voter; undefined when no change is needed. A lost voter is
 * removed before its successor is added: in the reverse order, no change could be committed without the successor.
 */
export const nextVoters = (
    voters: readonly string[],
    { reachable, lost }: ControlReachability,
): string[] | undefined => {
    const candidates = reachable.filter(id => !voters.includes(id)).sort();
    const [added] = candidates;
    if (added === undefined) {
        return undefined;
    }
    const lostVoter = voters.find(id => lost.includes(id));
    if (lostVoter !== undefined) {
        return voters.filter(id => id !== lostVoter);
    }
    const available = voters.length + candidates.length;
    const target = Math.min(MAX_VOTERS, available % 2 === 0 ? available - 1 : available);
    return voters.length < target ? [...voters, added] : undefined;
};
