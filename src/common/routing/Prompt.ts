/**
 * What routing needs to know of a prompt: its rough length in tokens, and hashes of its prefix blocks that
 * are the same for prompts which begin alike.
 */
import { hash32 } from "./Hash.ts";

/** Length of a prefix block, in characters. */
export const PREFIX_BLOCK_CHARS = 512;
/** Most prefix blocks that are compared. */
const MAX_PREFIX_BLOCKS = 32;
/** Characters of a token, on average. */
const CHARS_PER_TOKEN = 4;
const HEX = 16;

/** Rough number of tokens of a text. */
export const estimateTokens = (chars: number): number => Math.ceil(chars / CHARS_PER_TOKEN);

/** Hashes of the whole blocks from the first on; each covers all text before it. */
export const prefixHashes = (prompt: string): string[] => {
    const hashes: string[] = [];
    let previous = "";
    const blocks = Math.min(MAX_PREFIX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARS));
    for (let block = 0; block < blocks; block++) {
        const text = prompt.slice(block * PREFIX_BLOCK_CHARS, (block + 1) * PREFIX_BLOCK_CHARS);
        previous = hash32(previous + text).toString(HEX);
        hashes.push(previous);
    }
    return hashes;
};
