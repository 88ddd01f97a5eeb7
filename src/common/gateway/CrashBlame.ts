/**
 * Decides what is to blame for crashes. Many requests run beside the one that ends a process, so a request, or a part of
 * prompts, is blamed only if it was in several crashes, and in more of them than whatever else was there.
 */

/** Crashes after which a request is blamed, unless a part of its prompt is. */
const REQUEST_CRASHES = 3;
/** Crashes after which a part of prompts is blamed if no other part was in as many, but in others of them. */
const PART_CRASHES = 3;
/** Of these, crashes in which the request that was in most of them was not. */
const PART_CRASHES_OF_OTHERS = 2;
/** Crashes after which a part is blamed in any case. */
const CLEAR_PART_CRASHES = 5;

/** A part is preferred to another one in the same crashes if it was in this many more of the processes that ended in them. */
const CLEAR_PROCESSES = 2;

/** A process that has ended. */
export interface CrashedProcess {
    /** Keys of the requests that ran, and of the parts of their prompts that may be the cause. */
    readonly runs: ReadonlyMap<string, ReadonlySet<string>>;
}

/** A process that has ended, or several that ended at once and may have had a common cause. */
export interface CrashEvidence {
    readonly processes: readonly CrashedProcess[];
    /** Keys of the requests that may be the cause. */
    readonly requests: ReadonlySet<string>;
}

/** What was in the same crashes. */
interface Suspicion {
    readonly key: string;
    readonly crashes: ReadonlySet<CrashEvidence>;
}

/**
 * What entry instances have said of a request or part: `pending` if they have not had the time to report runs that clear it,
 * `heard` if it may be blamed, `shared` if most requests have it, so that it is in most crashes whatever their cause.
 */
export type Hearing = "pending" | "heard" | "shared";

/**
 * What is to blame, as the keys of one quarantine each; none if the evidence doesn't suffice, or while what was in most crashes is
 * still pending. What was in most crashes comes first, as it explains those of what was merely beside it: a part of prompts if it
 * was in more of them than any request, otherwise a request. What `isKnown` names explains crashes, but is not blamed again.
 */
export const blame = (
    crashes: readonly CrashEvidence[],
    hearingOf: (key: string) => Hearing,
    wasAnswered: (key: string) => boolean,
    isKnown: (keys: readonly string[]) => boolean,
): readonly (readonly string[])[] => {
    let rest = crashes;
    const explain = (suspicions: readonly Suspicion[]): void => {
        const explained = new Set(suspicions.flatMap(({ crashes: own }) => [...own]));
        rest = rest.filter(crash => !explained.has(crash));
    };
    for (;;) {
        const requests = collect(rest, requestsOf);
        const most = sizeOfLargest(requests);
        const parts = blameParts(
            collect(rest, partsOf).filter(({ crashes: own }) => own.size > most),
            hearingOf,
            wasAnswered,
        );
        if (parts.length > 0) {
            const keys = parts.map(({ key }) => key);
            if (!isKnown(keys)) {
                return [keys];
            }
            explain(parts);
            continue;
        }
        if (most < REQUEST_CRASHES) {
            return [];
        }
        const top = requests.filter(({ crashes: own }) => own.size === most);
        const blamed = top.filter(({ key }) => !isKnown([key]) && hearingOf(key) === "heard");
        const [first] = blamed;
        if (first !== undefined) {
            // Any of those in just the same crashes may be the cause.
            return blamed.filter(item => isWithin(item, first)).map(({ key }) => [key]);
        }
        explain(top);
    }
};

/**
 * The part to blame; several if requests with all of them were in all these crashes, as then only such requests are known to cause
 * crashes. Of others that were in just the same crashes, one is preferred after enough crashes if it was in more processes.
 */
const blameParts = (
    suspicions: readonly Suspicion[],
    hearingOf: (key: string) => Hearing,
    wasAnswered: (key: string) => boolean,
): readonly Suspicion[] => {
    const possible = suspicions.filter(item =>
        item.crashes.size >= PART_CRASHES && crashesOfOthers(item) >= PART_CRASHES_OF_OTHERS
        && hearingOf(item.key) !== "shared"
    );
    const most = sizeOfLargest(possible);
    const inMost = possible.filter(item => item.crashes.size === most);
    // A part that was never answered is likelier to be the cause than one that would have to have become it.
    const neverAnswered = inMost.filter(({ key }) => !wasAnswered(key));
    const top = (neverAnswered.length > 0 ? neverAnswered : inMost).sort((a, b) => processCount(b) - processCount(a));
    const [first] = top;
    if (first === undefined || inMost.some(({ key }) => hearingOf(key) === "pending")) {
        return [];
    }
    const together: Suspicion[] = [];
    const alternatives: Suspicion[] = [];
    for (const item of top.filter(other => isWithin(other, first))) {
        const keys = [...together, item].map(({ key }) => key);
        const isTogether = [...first.crashes].every(({ processes }) =>
            processes.some(({ runs }) => [...runs.values()].some(parts => keys.every(key => parts.has(key))))
        );
        (isTogether ? together : alternatives).push(item);
    }
    const isClear = alternatives.every(item => processCount(first) >= processCount(item) + CLEAR_PROCESSES);
    return together.length === top.length || (most >= CLEAR_PART_CRASHES && isClear) ? together : [];
};

/** Number of processes that ended while they ran requests with the part. */
const processCount = ({ key, crashes }: Suspicion): number =>
    [...crashes].flatMap(({ processes }) => processes)
        .filter(({ runs }) => [...runs.values()].some(parts => parts.has(key))).length;

const sizeOfLargest = (suspicions: readonly Suspicion[]): number =>
    Math.max(0, ...suspicions.map(({ crashes }) => crashes.size));

const requestsOf = ({ requests }: CrashEvidence): Iterable<string> => requests;

const partsOf = ({ processes }: CrashEvidence): Iterable<string> =>
    new Set(processes.flatMap(({ runs }) => [...runs.values()].flatMap(parts => [...parts])));

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
    const own = collect([...crashes], ({ processes }) => new Set(processes.flatMap(({ runs }) => [...runs.keys()])));
    return crashes.size - Math.max(0, ...own.map(request => request.crashes.size));
};
