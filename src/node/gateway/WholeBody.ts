/**
 * Reads the whole body of an upstream's response.
 */
import { type Exchange, type ExchangeFailure, isFailure } from "./UpstreamConnections.ts";

/** Largest body, in bytes. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Added to the length of each chunk, because many small ones take more memory and time than their bytes. */
export const CHUNK_OVERHEAD_BYTES = 256;

/** Fields common to the failures of responses that arrived but can't be used. */
export const unusableResponse = { wasSent: true, isClosedByUpstream: false, isAborted: false } as const;

/** Resolves with the body, or with the failure. `onChunk` is called for each chunk. */
export const readWholeBody = async (exchange: Exchange, onChunk: () => void): Promise<Buffer | ExchangeFailure> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for (;;) {
        const chunk = await exchange.readChunk();
        if (isFailure(chunk)) {
            return chunk;
        }
        if (chunk === undefined) {
            return Buffer.concat(chunks);
        }
        onChunk();
        chunks.push(chunk);
        size += chunk.length + CHUNK_OVERHEAD_BYTES;
        if (size > MAX_BODY_BYTES) {
            return { ...unusableResponse, message: "the response is too large" };
        }
    }
};
