/** A small HTTP/1.1 client for callers and operators, and a parser of requests for engines. */
import { connect } from "node:net";

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/**
 * Sends one request on a new connection to IP:PORT. Resolves with status, headers and body, and with whether the body is
 * complete; rejects if no response begins within the time limit.
 */
export const call = (address, method, path, { headers = {}, body = "", timeoutMs = 5000 } = {}) =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port), noDelay: true });
        let data = Buffer.alloc(0);
        const payload = Buffer.from(body);
        const finish = isClosed => {
            const res = parseResponse(data, isClosed);
            if (res !== undefined && (res.isComplete || isClosed)) {
                clearTimeout(timer);
                socket.destroy();
                resolve(res);
                return true;
            }
            return false;
        };
        const timer = setTimeout(() => {
            socket.destroy();
            reject(new Error("no whole response in time"));
        }, timeoutMs);
        socket.on("connect", () => {
            const all = { Host: address, Connection: "close", ...headers };
            if (payload.length > 0) {
                all["Content-Length"] = payload.length;
            }
            const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
            socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n`);
            socket.write(payload);
        });
        socket.on("data", chunk => {
            data = Buffer.concat([data, chunk]);
            finish(false);
        });
        const handleEnd = err => {
            if (!finish(true)) {
                clearTimeout(timer);
                reject(err ?? new Error("closed without a response"));
            }
        };
        socket.on("error", handleEnd);
        socket.on("close", () => handleEnd(undefined));
    });

/** Parses what has come of a response; undefined before its head is whole. */
export const parseResponse = (data, isClosed) => {
    const end = data.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const [first, ...lines] = data.toString("latin1", 0, end).split("\r\n");
    const headers = {};
    for (const line of lines) {
        const colon = line.indexOf(":");
        headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    const rest = data.subarray(end + 4);
    const status = Number(first.split(" ")[1]);
    if (headers["transfer-encoding"] !== undefined) {
        const { body, isComplete } = decodeChunks(rest);
        return { status, headers, body, isComplete };
    }
    if (headers["content-length"] === undefined) {
        return { status, headers, body: rest.toString("latin1"), isComplete: isClosed };
    }
    const length = Number(headers["content-length"]);
    return { status, headers, body: rest.toString("latin1", 0, length), isComplete: rest.length >= length };
};

const decodeChunks = data => {
    let body = "";
    for (let at = 0;;) {
        const end = data.indexOf("\r\n", at);
        if (end < 0) {
            return { body, isComplete: false };
        }
        const size = Number.parseInt(data.toString("latin1", at, end), 16);
        if (size === 0) {
            return { body, isComplete: true };
        }
        if (data.length < end + 2 + size + 2) {
            return { body: body + data.toString("latin1", end + 2), isComplete: false };
        }
        body += data.toString("latin1", end + 2, end + 2 + size);
        at = end + 2 + size + 2;
    }
};

/** Reads requests with a Content-Length from a connection, one at a time; `onRequest` gets each whole one. */
export const readRequests = (socket, onRequest) => {
    let data = Buffer.alloc(0);
    socket.on("data", chunk => {
        data = Buffer.concat([data, chunk]);
        for (let end = data.indexOf("\r\n\r\n"); end >= 0; end = data.indexOf("\r\n\r\n")) {
            const [first, ...lines] = data.toString("latin1", 0, end).split("\r\n");
            const headers = {};
            for (const line of lines) {
                const colon = line.indexOf(":");
                headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
            }
            const length = Number(headers["content-length"] ?? 0);
            if (data.length < end + 4 + length) {
                return;
            }
            const [method, path] = first.split(" ");
            const body = data.toString("latin1", end + 4, end + 4 + length);
            data = data.subarray(end + 4 + length);
            onRequest({ method, path, headers, body });
        }
    });
};
