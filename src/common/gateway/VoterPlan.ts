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
    /** Control instances that may be lost soon: they have been silent, but not for as long. */
    readonly suspected?: readonly string[];
}

/**
 * Returns the voters that there should be; undefined if no change is needed. Lost voters are replaced as far as others can
 * take their place, and don't count as available: three voters that are there bear more than five of which two are lost.
 * The number of voters doesn't grow while one of them may be lost.
 */
export const plannedVoters = (
    voters: readonly string[],
    { self, reachable, lost, suspected = [] }: ControlReachability,
): string[] | undefined => {
    const remaining = voters.filter(id => !lost.includes(id));
    const added = reachable.filter(id => !voters.includes(id)).sort();
    const minCount = Math.min(MIN_VOTERS, voters.length);
    const isSilent = (id: string): boolean => lost.includes(id) || suspected.includes(id);
    const maxCount = voters.some(isSilent) ? oddUpTo(voters.length) : MAX_VOTERS;
    const count = Math.max(minCount, Math.min(maxCount, oddUpTo(remaining.length + added.length)));
    // The leader stays.
    const inOrder = [...remaining, ...added, ...voters.filter(id => lost.includes(id))].filter(id => id !== self);
    const others = inOrder.slice(0, voters.includes(self) ? count - 1 : count);
    const isMember = (id: string): boolean => id === self ? voters.includes(self) : others.includes(id);
    const planned = [...voters, ...added].filter(isMember);
    return planned.length === voters.length && planned.every(id => voters.includes(id)) ? undefined : planned;
};

/** The instances that would become voters if the suspected ones were lost. */
export const likelyVoters = (voters: readonly string[], reachability: ControlReachability): string[] => {
    const { lost, suspected = [] } = reachability;
    const planned = plannedVoters(voters, { ...reachability, lost: [...lost, ...suspected] });
    return planned?.filter(id => !voters.includes(id)) ?? [];
};

/**
 * Returns the next set of voters on the way to the planned ones, which differs by one voter; undefined when no change is
 * needed. The successor of a lost voter is added before that one is removed: fewer voters could not go on if one of them
 * lost its disk meanwhile, as readmitting it takes a majority without it.
 */
export const nextVoters = (voters: readonly string[], reachability: ControlReachability): string[] | undefined => {
    const planned = plannedVoters(voters, reachability);
    if (planned === undefined) {
        return undefined;
    }
    const added = planned.find(id => !voters.includes(id));
    const removed = lostFirst(voters, reachability).find(id => !planned.includes(id));
    return added === undefined ? voters.filter(id => id !== removed) : [...voters, added];
};

const lostFirst = (voters: readonly string[], { lost }: ControlReachability): string[] => [
    ...voters.filter(id => lost.includes(id)),
    ...voters.filter(id => !lost.includes(id)),
];

const oddUpTo = (count: number): number => count % 2 === 0 ? count - 1 : count;
