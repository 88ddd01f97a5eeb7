/**
 * Framing of messages between instances: length, message authentication code (MAC), CBOR body. The MAC also covers
 * a frame counter, so a forged, altered, dropped or replayed frame ends the connection.
 */
import { Decoder, Encoder } from "cbor-x";
import { createHmac, timingSafeEqual } from "node:crypto";
import { type Socket } from "node:net";
import { routerError } from "../../common/errors/RouterError.ts";

/** Largest frame body, in bytes. A snapshot of the control log must fit. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
/** Largest frame body before the peer is authenticated, in bytes. */
const MAX_HANDSHAKE_BYTES = 4096;
const LENGTH_BYTES = 4;
const MAC_BYTES = 16;
const COUNTER_BYTES = 8;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Computes the MACs of the frames of one direction of a connection. Holds the key and the frame counter. */
export class FrameAuthenticator {
    private readonly key: Buffer;
    private readonly counter = Buffer.alloc(COUNTER_BYTES);
    private count = 0n;

    public constructor(key: Buffer) {
        this.key = key;
    }

    /** MAC of the next frame of this direction. Advances the counter. */
    public nextMac(body: Uint8Array): Buffer {
        this.counter.writeBigUInt64BE(this.count++);
        return createHmac("sha256", this.key).update(this.counter).update(body).digest().subarray(0, MAC_BYTES);
    }
}

/** Encodes a message. Without an authenticator, as in the handshake, the MAC is all zeros. */
export const encodeFrame = (message: unknown, authenticator: FrameAuthenticator | undefined): Buffer => {
    const body = encoder.encode(message);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + MAC_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    const mac = authenticator?.nextMac(body) ?? Buffer.alloc(MAC_BYTES);
    mac.copy(frame, LENGTH_BYTES);
    body.copy(frame, LENGTH_BYTES + MAC_BYTES);
    return frame;
};

/** Splits the bytes of a connection into frames, and checks and decodes them. */
export class FrameReader {
    private readonly maxBytes: number;
    private authenticator: FrameAuthenticator | undefined;
    private buffered: Buffer = Buffer.alloc(0);

    public constructor(maxBytes = MAX_FRAME_BYTES) {
        this.maxBytes = maxBytes;
    }

    /** Checks the MAC of every following frame with `authenticator`. */
    public authenticateWith(authenticator: FrameAuthenticator): void {
        this.authenticator = authenticator;
    }

    public push(chunk: Buffer): void {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    }

    /** The next message; undefined until its frame is complete. Throws a RouterError on a malformed frame. */
    public next(): { readonly message: unknown; } | undefined {
        if (this.buffered.length < LENGTH_BYTES) {
            return undefined;
        }
        const length = this.buffered.readUInt32BE(0);
        const maxBytes = this.authenticator === undefined ? MAX_HANDSHAKE_BYTES : this.maxBytes;
        if (length > maxBytes) {
            throw malformedFrame(`a frame of ${length} bytes exceeds the limit of ${maxBytes} bytes`);
        }
        const end = LENGTH_BYTES + MAC_BYTES + length;
        if (this.buffered.length < end) {
            return undefined;
        }
        const mac = this.buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + MAC_BYTES);
        const body = this.buffered.subarray(LENGTH_BYTES + MAC_BYTES, end);
        this.buffered = this.buffered.subarray(end);
        if (this.authenticator !== undefined && !timingSafeEqual(mac, this.authenticator.nextMac(body))) {
            throw malformedFrame(
                "a frame has a wrong authentication code: it was forged, altered or replayed, or one is missing",
            );
        }
        return { message: decode(body) };
    }
}

/** Messages of a connection in order. Ends when the peer closes the connection; throws when it fails. */
export async function* readMessages(socket: Socket, reader: FrameReader): AsyncGenerator<unknown, void, undefined> {
    for await (const chunk of socket) {
        reader.push(chunk as Buffer);
        for (let frame = reader.next(); frame !== undefined; frame = reader.next()) {
            yield frame.message;
        }
    }
}

const decode = (body: Buffer): unknown => {
    try {
        return decoder.decode(body);
    }
    catch (err) {
        throw malformedFrame(`the body of a frame is not valid CBOR: ${(err as Error).message}`);
    }
};

const malformedFrame = (message: string): Error =>
    routerError(message, { code: "malformedRequest", step: "read frame" });
