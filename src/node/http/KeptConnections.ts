/**
 * Decides when a server closes the connections of callers that keep them for several requests. Node.js applies the timeout
 * in force when a response ends, though the response has told the caller the one in force when its request arrived; and a
 * faulty request makes it destroy the connection together with the responses to the whole requests before it.
 */
import { type Server, type ServerResponse, STATUS_CODES } from "node:http";
import { type Duplex } from "node:stream";

/** Statuses of the responses to requests that can't be read or take too long to arrive, by error code. */
const statuses: Readonly<Record<string, number | undefined>> = {
    HPE_HEADER_OVERFLOW: 431,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};
/** Prefix of the error codes of the HTTP parser. */
const PARSER_ERROR = "HPE_";
/** The caller has closed its side within a request. */
const UNEXPECTED_END = "HPE_INVALID_EOF_STATE";

/** Newest request on a connection. */
interface NewestRequest {
    readonly res: ServerResponse;
    /** Idle time that its response allows, in ms; undefined once it has been applied. */
    allowedMs: number | undefined;
}

/** Must be called before the server accepts connections. */
export const manageKeptConnections = (server: Server): void => {
    const newest = new WeakMap<Duplex, NewestRequest>();
    /** Responses that are not complete, by connection. */
    const open = new WeakMap<Duplex, Set<ServerResponse>>();
    const failed = new WeakSet<Duplex>();

    server.on("request", ({ socket }, res) => {
        newest.set(socket, { res, allowedMs: server.keepAliveTimeout });
        const responses = open.get(socket) ?? new Set();
        open.set(socket, responses.add(res));
        res.once("close", () => responses.delete(res));
    });

    server.on("timeout", socket => {
        const request = newest.get(socket);
        const remainingMs = (request?.allowedMs ?? -Infinity) + server.keepAliveTimeoutBuffer - (socket.timeout ?? 0);
        if (request !== undefined && remainingMs > 0) {
            request.allowedMs = undefined;
            socket.setTimeout(remainingMs);
        }
        else {
            socket.destroy();
        }
    });

    server.on("clientError", ({ code = "" }: NodeJS.ErrnoException, socket) => {
        // Undefined if the connection has failed; then nothing more can be sent.
        const status = statuses[code] ?? (code.startsWith(PARSER_ERROR) ? 400 : undefined);
        const isRequestFault = status !== undefined && code !== UNEXPECTED_END;
        const last = newest.get(socket)?.res;
        const close = (): void => {
            const responses = [...open.get(socket) ?? []];
            const whole = responses.find(({ req }) => req.complete);
            if (isRequestFault && whole !== undefined) {
                whole.once("close", close);
            }
            else if (responses.length > 0 || last === newest.get(socket)?.res) {
                refuse(socket, status, responses);
            }
            else {
                // The request that took too long to arrive has arrived since, and has been answered.
                failed.delete(socket);
            }
        };
        if (!isRequestFault || !failed.has(socket)) {
            failed.add(socket);
            close();
        }
    });
};

const refuse = (socket: Duplex, status: number | undefined, open: readonly ServerResponse[]): void => {
    if (status !== undefined && socket.writable && !open.some(({ headersSent }) => headersSent)) {
        socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroy();
};
