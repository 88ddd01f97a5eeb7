import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { isRouterError } from "../../common/errors/RouterError.ts";
import { encodeFrame, FrameAuthenticator, FrameReader } from "./FrameCodec.ts";

const authenticator = (): FrameAuthenticator => new FrameAuthenticator(Buffer.from("a secret of this test"));

const reader = (): FrameReader => {
    const authenticated = new FrameReader();
    authenticated.authenticateWith(authenticator());
    return authenticated;
};

test("messages are reassembled from chunks of any size", () => {
    fc.assert(
        fc.property(
            fc.array(fc.jsonValue(), { minLength: 1, maxLength: 5 }),
            fc.integer({ min: 1, max: 50 }),
            (values, size) => {
                const sender = authenticator();
                const bytes = Buffer.concat(values.map(value => encodeFrame({ value }, sender)));
                const receiver = reader();
                const received: unknown[] = [];
                for (let from = 0; from < bytes.length; from += size) {
                    receiver.push(bytes.subarray(from, from + size));
                    for (let frame = receiver.next(); frame !== undefined; frame = receiver.next()) {
                        received.push(frame.message);
                    }
                }
                assert.deepEqual(received, JSON.parse(JSON.stringify(values.map(value => ({ value })))));
            },
        ),
        { seed: 3, numRuns: 200 },
    );
});

test("a replayed, dropped, altered or forged frame is rejected", () => {
    const sender = authenticator();
    const first = encodeFrame({ n: 1 }, sender);
    const second = encodeFrame({ n: 2 }, sender);
    const altered = Buffer.from(first);
    altered[altered.length - 1] = (altered.at(-1) ?? 0) ^ 1;
    const streams: readonly Buffer[][] = [[first, first], [second], [altered], [
        encodeFrame({ n: 1 }, new FrameAuthenticator(Buffer.from("other"))),
    ]];
    for (const frames of streams) {
        const receiver = reader();
        frames.forEach(frame => receiver.push(frame));
        assert.throws(() => {
            while (receiver.next() !== undefined) {
                // Reads until a frame is rejected.
            }
        }, isRouterError);
    }
});

test("for arbitrary bytes, the reader waits for more or throws a RouterError", () => {
    fc.assert(
        fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
            const receiver = new FrameReader(1000);
            receiver.push(Buffer.from(bytes));
            try {
                receiver.next();
            }
            catch (err) {
                assert.ok(isRouterError(err));
            }
        }),
        { seed: 5, numRuns: 500 },
    );
});
