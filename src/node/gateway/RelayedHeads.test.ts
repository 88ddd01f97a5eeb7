import assert from "node:assert/strict";
import { test } from "node:test";
import { RelayedHeads } from "./RelayedHeads.ts";

/** Passes a response on in pieces of `size` bytes; returns whether it counted as complete after each. */
const pass = (response: string, size: number): boolean[] => {
    const heads = new RelayedHeads(() => undefined);
    heads.expectHead();
    const results: boolean[] = [];
    for (let at = 0; at < response.length; at += size) {
        heads.push(Buffer.from(response.slice(at, at + size)));
        results.push(heads.areComplete);
    }
    return results;
};

const responses = {
    "with a length": "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello\r\n\r\n0\r\n",
    "without a body": "HTTP/1.1 204 No Content\r\n\r\n",
    "of length 0": "HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
    "in chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n\r\nid: 1\n0\r\n\r\nxx\r\n0\r\n\r\n",
    "in chunks, empty": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
};

for (const [name, response] of Object.entries(responses)) {
    test(`RelayedHeads: a response ${name} is complete with its last byte`, () => {
        for (let size = 1; size <= response.length; size++) {
            assert.equal(pass(response, size).at(-1), true, `pieces of ${size}`);
        }
    });
}

test("RelayedHeads: a response isn't complete before its last byte, nor if it doesn't tell where it ends", () => {
    const { "with a length": withLength, "in chunks, empty": empty } = responses;
    assert.ok(pass(withLength, 1).slice(0, -1).every(isComplete => !isComplete));
    assert.ok(pass(empty, 1).slice(0, -1).every(isComplete => !isComplete));
    assert.ok(pass("HTTP/1.1 200 OK\r\n\r\nhello", 7).every(isComplete => !isComplete));
    assert.ok(pass("no response at all\r\n\r\n", 5).every(isComplete => !isComplete));
});

test("RelayedHeads: a connection without requests is complete, and one with a request is not", () => {
    const heads = new RelayedHeads(() => undefined);
    assert.equal(heads.areComplete, true);
    heads.expectHead();
    assert.equal(heads.areComplete, false);
});
