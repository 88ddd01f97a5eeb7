/**
 * Reads request bodies up to a size limit, and writes JSON and problem responses.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { PROBLEM_TYPE, toProblem } from "../../common/errors/Problem.ts";
import { type RouterError, routerError } from "../../common/errors/RouterError.ts";

/** Reads the complete body. Rejects when it exceeds `maxBytes` or the caller disconnects before its end. */
export const readBody = (req: IncomingMessage, maxBytes: number): Promise<Buffer> => {
    const declared = Number(req.headers["content-length"] ?? 0);
    if (declared > maxBytes) {
        return Promise.reject(tooLargeError(maxBytes));
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let length = 0;
        req.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length > maxBytes) {
                req.pause();
                reject(tooLargeError(maxBytes));
                return;
            }
            chunks.push(chunk);
        });
        req.on(
            "end",
            () => resolve(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)),
        );
        req.on("error", err => reject(truncatedError(err)));
        req.on("close", () => {
            // Every request emits `close`, so an error is created only if the body had not arrived completely.
            if (!req.complete) {
                reject(truncatedError());
            }
        });
    });
};

/** Parses a JSON body. Throws `malformedJson` when it is not JSON. */
export const parseJson = (body: Buffer): unknown => {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (err) {
        const message = `the body is not JSON: ${(err as Error).message}`;
        throw routerError(message, { code: "malformedJson", step: "read request" });
    }
};

/** Sends `value` as a JSON response. */
export const sendJson = (res: ServerResponse, status: number, value: unknown): void => {
    const body = Buffer.from(JSON.stringify(value));
    res.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    res.end(body);
};

/** Sends `err` as a problem response. Closes the connection instead when a response has already begun. */
export const sendProblem = (req: IncomingMessage, res: ServerResponse, err: RouterError, requestId?: string): void => {
    if (res.headersSent) {
        res.destroy();
        return;
    }
    const problem = toProblem(err, requestId);
    const body = Buffer.from(JSON.stringify(problem));
    res.statusCode = problem.status;
    res.setHeader("content-type", PROBLEM_TYPE);
    res.setHeader("content-length", body.length);
    if (problem.retryAfterMs !== undefined) {
        res.setHeader("retry-after", Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
    }
    if (!req.complete) {
        // The rest of the body stays unread, so the connection cannot be used for another request.
        res.setHeader("connection", "close");
    }
    res.end(body);
};

const MS_PER_SECOND = 1000;

const tooLargeError = (maxBytes: number): RouterError =>
    routerError(`the body is larger than ${maxBytes} bytes`, { code: "bodyTooLarge", step: "read request" });

const truncatedError = (cause?: Error): RouterError =>
    routerError("the request body ended early", { code: "malformedRequest", step: "read request", cause });
