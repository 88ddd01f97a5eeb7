/**
 * Decides when a server closes the connections of callers that keep them for several requests. Node.js applies the timeout
 * in force when a response ends, though the response has told the caller the one in force when its request arrived.
 */
import { type Server, type ServerResponse } from "node:http";
import { type Duplex } from "node:stream";

/** Newest request on a connection. */
interface NewestRequest {
    readonly res: ServerResponse;
    /** Idle time that its response allows, in ms; undefined once it has been applied. */
    allowedMs: number | undefined;
}

/** Must be called before the server accepts connections. */
export const manageKeptConnections = (server: Server): void => {
    const newest = new WeakMap<Duplex, NewestRequest>();

    server.on("request", ({ socket }, res) => {
        newest.set(socket, { res, allowedMs: server.keepAliveTimeout });
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
};
