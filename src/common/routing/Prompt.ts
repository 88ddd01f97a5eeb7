/**
 * Properties of a prompt that routing uses: its approximate length in tokens, and hashes of its prefix blocks, which
 * are equal for prompts with a common prefix.
 */
import { hash32 } from "./Hash.ts";

/** Length of a prefix block, in characters. */
export const PREFIX_BLOCK_CHARS = 512;
/** Maximum number of prefix blocks that are hashed. */
const MAX_PREFIX_BLOCKS = 32;
/** Average length of a token, in characters. */
const CHARS_PER_TOKEN = 4;
const HEX = 16;

/** Approximate number of tokens in a text of `chars` characters. */
export const estimateTokens = (chars: number): number => Math.ceil(chars / CHARS_PER_TOKEN);

/** Hashes of the prompt's complete blocks in order. Each hash also covers all blocks before its own. */
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
