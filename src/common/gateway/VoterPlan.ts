/**
 * Which control instances vote. An odd number tolerates as many losses as the even number above it, and stays able to
 * decide when the instances are split in halves.
 */

/** Most voters; five tolerate the loss of two. */
const MAX_VOTERS = 5;

/** The next set of voters, one step away; undefined when the present one is right. */
export const nextVoters = (voters: readonly string[], reachable: readonly string[]): string[] | undefined => {
    const candidates = reachable.filter(id => !voters.includes(id)).sort();
    const known = new Set([...voters, ...reachable]).size;
    const target = Math.min(MAX_VOTERS, known % 2 === 0 ? known - 1 : known);
    const [added] = candidates;
    return voters.length < target && added !== undefined ? [...voters, added] : undefined;
};
