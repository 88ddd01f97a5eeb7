/**
 * Reads the bodies of callers' requests.
 */
import { type IncomingMessage } from "node:http";

/** A body; undefined for a request without one. `broken` if it will never be whole: the connection has failed. */
export type RequestBody = Buffer | undefined | "tooLarge" | "broken";

/** Reads the whole body; with a limit of 0 it is read to its end and discarded. */
export const readBody = (req: IncomingMessage, limit: number): Promise<RequestBody> => {
    const hasBody = req.headers["content-length"] !== undefined || req.headers["transfer-encoding"] !== undefined;
    if (!hasBody || req.headers["content-length"] === "0") {
        req.resume();
        return Promise.resolve(req.headers["content-length"] === "0" ? Buffer.alloc(0) : undefined);
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        req.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size <= limit) {
                chunks.push(chunk);
            }
        });
        req.once("end", () => resolve(size > limit ? "tooLarge" : Buffer.concat(chunks)));
        req.once("close", () => resolve("broken"));
        req.once("error", () => resolve("broken"));
    });
};
