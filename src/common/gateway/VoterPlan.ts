/**
 * Determines which control instances vote. An odd number of voters tolerates as many losses as the next even number,
 * and always has a majority on one side when a network partition splits the voters in two.
 */

/** Five voters tolerate the loss of two. */
const MAX_VOTERS = 5;
/** Two voters tolerate no loss, so no voter is removed from three unless its successor is there. */
const MIN_VOTERS = 3;

/** Reachability of the control instances, by id. */
export interface ControlReachability {
    /** This instance, which leads. */
    readonly self: string;
    /** Control instances that reply, including this one. */
    readonly reachable: readonly string[];
    /** Control instances that have been silent for so long that they are considered lost. */
    readonly lost: readonly string[];
}

/**
 * Returns the next set of voters, which differs by one voter; undefined when no change is needed. The successor of a lost
 * voter is added before that one is removed: fewer voters could not go on if one of them lost its disk meanwhile, as
 * readmitting it takes a majority without it.
 */
export const nextVoters = (
    voters: readonly string[],
    { self, reachable, lost }: ControlReachability,
): string[] | undefined => {
    const [added] = reachable.filter(id => !voters.includes(id)).sort();
    const available = new Set([...voters, ...reachable]).size;
    const target = Math.min(MAX_VOTERS, available % 2 === 0 ? available - 1 : available);
    const lostVoter = voters.find(id => lost.includes(id));
    // If there are too many and none is lost, the voter that was to be replaced has returned.
    const surplus = lostVoter ?? (voters.length > target ? voters.findLast(id => id !== self) : undefined);
    if (surplus !== undefined && voters.length % 2 === 0 && voters.length > MIN_VOTERS) {
        return voters.filter(id => id !== surplus);
    }
    const needsVoter = lostVoter !== undefined || voters.length < target;
    return needsVoter && added !== undefined ? [...voters, added] : undefined;
};
