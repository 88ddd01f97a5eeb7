import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { ConnectionEnds } from "./ResponseIntegrity.ts";

/** Whether a response counts as truncated by a listener of the last of these events, as undici has. */
const isTruncatedAt = (events: readonly string[], isChunked: boolean, isRelayed = false): boolean => {
    const ends = new ConnectionEnds();
    const socket = new Socket();
    ends.track(socket, isRelayed);
    let isTruncated = false;
    socket.on(events.at(-1) ?? "", () => {
        isTruncated = ends.isTruncated(200, isChunked);
    });
    events.forEach(event => socket.emit(event));
    return isTruncated;
};

// MIXED: this side had discarded the connection, and what had come until then counted as the whole response.
test("ConnectionEnds: a connection that closes without an end from the other side truncates its response", () => {
    assert.equal(isTruncatedAt(["close"], false), true);
    assert.equal(isTruncatedAt(["error"], false), true);
    assert.equal(isTruncatedAt(["end"], false), false);
    assert.equal(isTruncatedAt(["end"], true), true);
    assert.equal(isTruncatedAt(["end"], false, true), true);
});

test("ConnectionEnds: the end of a connection says nothing of others once its listeners have run", async () => {
    const ends = new ConnectionEnds();
    const socket = new Socket();
    ends.track(socket, false);
    socket.emit("error");
    await new Promise(setImmediate);
    assert.equal(ends.isTruncated(200, false), false);
});
