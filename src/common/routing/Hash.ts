/**
 * A fast non-cryptographic hash (FNV-1a with a final mix) for placement decisions. All instances must compute the same
 * values, so the function is part of the protocol between instances.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/** The 32-bit hash of `text`. */
export const hash32 = (text: string): number => {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
};

/** Combines two hashes to a third one. */
export const mixHashes = (first: number, second: number): number => {
    let hash = first ^ Math.imul(second, 0x9e3779b1);
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
};

/** Maps `text` to a fraction in (0, 1). */
export const hashFraction = (text: string): number => (hash32(text) + 0.5) / UINT32_RANGE;

/**
 * Weighted rendezvous hashing: each item is chosen for a share of the keys that is proportional to its weight, and a
 * change of one weight moves only the keys that this item gains or loses.
 */
export const weightedChoice = <T>(
    key: string,
    items: readonly T[],
    nameOf: (item: T) => string,
    weightOf: (item: T) => number,
): T | undefined => {
    let best: T | undefined;
    let bestScore = Infinity;
    for (const item of items) {
        const weight = weightOf(item);
        if (weight <= 0) {
            continue;
        }
        const score = -Math.log(hashFraction(`${key}|${nameOf(item)}`)) / weight;
        if (score < bestScore) {
            best = item;
            bestScore = score;
        }
    }
    return best;
};

/** The `count` items that rendezvous hashing ranks highest for `key`, in order. */
export const rendezvous = <T>(key: string, items: readonly T[], nameOf: (item: T) => string, count: number): T[] =>
    items
        .map(item => ({ item, score: hash32(`${key}|${nameOf(item)}`) }))
        .sort((a, b) => b.score - a.score || (nameOf(a.item) < nameOf(b.item) ? -1 : 1))
        .slice(0, count)
        .map(ranked => ranked.item);
