/**
 * What identifies a request when it comes again, and what it has in common with others: the request itself, and the parts
 * of its prompt. The last part is left out, as it belongs to the request or its session.
 */
import { type Prompt } from "./ExchangeCodec.ts";

/** Most parts of a prompt that are considered; the first ones are those that most requests share. */
const MAX_PARTS = 16;
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
    const ids = prompt?.segments.slice(0, -1).slice(0, MAX_PARTS).map(({ id }) => id) ?? [];
    return new Set(ids.map(id => `${PART_PREFIX}${service}/${PLAIN_ID.test(id) ? id : shortHash(id)}`));
};
