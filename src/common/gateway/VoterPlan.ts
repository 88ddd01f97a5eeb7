/**
 * Which control instances vote. An odd number tolerates as many losses as the even number above it, and stays able to
 * decide when the instances are split in halves.
 */

/** Most voters; five tolerate the loss of two. */
const MAX_VOTERS = 5;

/** What is known of the control instances. */
export interface ControlReachability {
    /** Those that answer, this one included. */
    readonly reachable: readonly string[];
    /** Those that have been silent for so long that they are taken to be gone. */
    readonly lost: readonly string[];
}

/**
 * The next set of voters, one step away; undefined when the present one is right. A lost voter leaves before its
 * successor is added: the other way round, the successor would have to be reached for any change at all.
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
    const gone = voters.find(id => lost.includes(id));
    if (gone !== undefined) {
        return voters.filter(id => id !== gone);
    }
    const known = voters.length + candidates.length;
    const target = Math.min(MAX_VOTERS, known % 2 === 0 ? known - 1 : known);
    return voters.length < target ? [...voters, added] : undefined;
};
