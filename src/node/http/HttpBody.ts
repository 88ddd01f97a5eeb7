/**
 * Reading request bodies within bounds, and writing answers.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { PROBLEM_TYPE, toProblem } from "../../common/errors/Problem.ts";
import { type RouterError, routerError } from "../../common/errors/RouterError.ts";

/** Reads the whole body. Rejects when it is larger than `maxBytes` or the caller goes away. */
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
            // Every request closes in the end; an error is only made for one that had not arrived.
            if (!req.complete) {
                reject(truncatedError());
            }
        });
    });
};

/** Parses a JSON body. */
export const parseJson = (body: Buffer): unknown => {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (err) {
        const message = `the body is not JSON: ${(err as Error).message}`;
        throw routerError(message, { code: "malformedJson", step: "read request" });
    }
};

/** Answers with JSON. */
export const sendJson = (res: ServerResponse, status: number, value: unknown): void => {
    const body = Buffer.from(JSON.stringify(value));
    res.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    res.end(body);
};

/** Answers with a problem, unless an answer has begun already. */
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
        // The rest of the body is not read, so the connection cannot carry another request.
        res.setHeader("connection", "close");
    }
    res.end(body);
};

const MS_PER_SECOND = 1000;

const tooLargeError = (maxBytes: number): RouterError =>
    routerError(`the body is larger than ${maxBytes} bytes`, { code: "bodyTooLarge", step: "read request" });

const truncatedError = (cause?: Error): RouterError =>
    routerError("the request body ended early", { code: "malformedRequest", step: "read request", cause });
