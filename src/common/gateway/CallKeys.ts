/**
 * What identifies a request when it comes again, and what it has in common with others: the request itself, and the parts
 * of its prompt. The last part may belong to this request alone, or to a session, whose requests share it.
 */
import { type Prompt } from "./ExchangeCodec.ts";

/** Most parts from either end of a prompt that are considered, as keys travel between instances. */
const MAX_PARTS = 64;
/** Keys of parts whose ids are longer, or hold other characters, are hashed: keys travel between instances. */
const PLAIN_ID = /^[\w.-]{1,40}$/;
const PART_PREFIX = "part:";

/** Keys of one request. */
export interface CallKeys {
    /** Key of the request itself, which its repeats share; computed when it is first needed. */
    readonly request: () => string;
    /** Keys of the parts of its prompt. */
    readonly parts: ReadonlySet<string>;
}

export const isPartKey = (key: string): boolean => key.startsWith(PART_PREFIX);

export const hasKey = ({ request, parts }: CallKeys, key: string): boolean =>
    isPartKey(key) ? parts.has(key) : request() === key;

/** Keys of the parts of a prompt. The same part is another one for another service, which has other upstreams. */
export const partKeysOf = (
    prompt: Prompt | undefined,
    service: string,
    shortHash: (text: string) => string,
): Set<string> => {
    const segments = prompt?.segments ?? [];
    const considered = segments.length > 2 * MAX_PARTS
        ? [...segments.slice(0, MAX_PARTS), ...segments.slice(-MAX_PARTS)]
        : segments;
    return new Set(considered.map(({ id }) => `${PART_PREFIX}${service}/${PLAIN_ID.test(id) ? id : shortHash(id)}`));
};
