/**
 * Decides what is to blame for crashes. Many requests run beside the one that ends a process, so a request, or a part of
 * prompts, is blamed only if it was in several crashes, and in more of them than whatever else was there.
 */

/** Crashes from which entry instances are asked about a request or a part. */
const SUSPECT_CRASHES = 2;
/** Crashes after which a request is blamed, unless a part of its prompt was in these and in several more. */
const REQUEST_CRASHES = 3;
/** Crashes after which a part of prompts is blamed if no other part was in as many, but in others of them. */
const PART_CRASHES = 3;
/** Of these, crashes in which the request that was in most of them was not. */
const PART_CRASHES_OF_OTHERS = 2;
/** Crashes after which a part is blamed in any case. */
const CLEAR_PART_CRASHES = 5;

/** A process that has ended. */
export interface CrashEvidence {
    /** Id of the upstream. */
    readonly upstream: string;
    /** Keys of the requests that may be the cause, and of the parts of their prompts that may be. */
    readonly runs: ReadonlyMap<string, ReadonlySet<string>>;
}

/** What was in the same crashes. */
interface Suspicion {
    readonly key: string;
    readonly crashes: ReadonlySet<CrashEvidence>;
}

/** The requests and parts that were in at least two crashes, those in most crashes first. */
export const findSuspects = (crashes: readonly CrashEvidence[]): string[] =>
    [...collect(crashes, requestsOf), ...collect(crashes, partsOf)]
        .filter(suspicion => suspicion.crashes.size >= SUSPECT_CRASHES)
        .sort((a, b) => b.crashes.size - a.crashes.size)
        .map(({ key }) => key);

/**
 * The part that is to blame; several if they were in just the same crashes, as then only requests with all of them are known
 * to cause crashes. Undefined if the evidence doesn't suffice, or if `isHeard` is false for the part.
 */
export const blameParts = (
    crashes: readonly CrashEvidence[],
    isHeard: (key: string) => boolean,
): readonly string[] | undefined => {
    const suspicions = collect(crashes, partsOf).filter(item =>
        crashesOfOthers(item) >= PART_CRASHES_OF_OTHERS && isHeard(item.key)
    );
    const most = Math.max(0, ...suspicions.map(item => item.crashes.size));
    const top = suspicions.filter(item => item.crashes.size === most);
    const [first] = top;
    if (first === undefined || most < PART_CRASHES) {
        return undefined;
    }
    const same = top.filter(item => isWithin(item, first));
    return same.length === top.length || most >= CLEAR_PART_CRASHES ? same.map(({ key }) => key) : undefined;
};

/**
 * The requests that are to blame: one, or several that were in just the same crashes, as any of them may be the cause. None if
 * the evidence doesn't suffice, or if `isHeard` is false for them.
 */
export const blameRequests = (
    crashes: readonly CrashEvidence[],
    isHeard: (key: string) => boolean,
): readonly string[] => {
    const suspicions = collect(crashes, requestsOf);
    const most = Math.max(0, ...suspicions.map(item => item.crashes.size));
    if (most < REQUEST_CRASHES) {
        return [];
    }
    const parts = collect(crashes, partsOf).filter(({ key, crashes: own }) =>
        own.size >= most + PART_CRASHES_OF_OTHERS && isHeard(key)
    );
    const top = suspicions.filter(item =>
        item.crashes.size === most && isHeard(item.key) && !parts.some(part => isWithin(item, part))
    );
    const [first] = top;
    return first === undefined ? [] : top.filter(item => isWithin(item, first)).map(({ key }) => key);
};

const requestsOf = ({ runs }: CrashEvidence): Iterable<string> => runs.keys();

const partsOf = ({ runs }: CrashEvidence): Iterable<string> => new Set([...runs.values()].flatMap(parts => [...parts]));

const collect = (
    crashes: readonly CrashEvidence[],
    keysOf: (crash: CrashEvidence) => Iterable<string>,
): Suspicion[] => {
    const found = new Map<string, Set<CrashEvidence>>();
    for (const crash of crashes) {
        for (const key of keysOf(crash)) {
            const own = found.get(key) ?? new Set();
            own.add(crash);
            found.set(key, own);
        }
    }
    return [...found].map(([key, own]) => ({ key, crashes: own }));
};

/** Whether the other one was in all crashes of this one. */
const isWithin = (suspicion: Suspicion, other: Suspicion): boolean =>
    [...suspicion.crashes].every(crash => other.crashes.has(crash));

/** Number of the crashes without the request that was in most of them, as a single request may come again and again. */
const crashesOfOthers = ({ crashes }: Suspicion): number => {
    const own = collect([...crashes], requestsOf);
    return crashes.size - Math.max(0, ...own.map(request => request.crashes.size));
};
