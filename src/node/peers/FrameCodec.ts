/**
 * Frames between instances: a length, a message authentication code and a CBOR body. The code covers a
 * counter, so a frame that is forged, altered, left out or sent again ends the connection.
 */
import { Decoder, Encoder } from "cbor-x";
import { createHmac, timingSafeEqual } from "node:crypto";
import { type Socket } from "node:net";
import { routerError } from "../../common/errors/RouterError.ts";

/** Largest frame body, in bytes. It must hold a snapshot of the control log. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
/** Largest frame body before the peer has proven itself, in bytes. */
const MAX_HANDSHAKE_BYTES = 4096;
const LENGTH_BYTES = 4;
const MAC_BYTES = 16;
const COUNTER_BYTES = 8;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Authenticates the frames of one direction of a connection. */
export class FrameAuthenticator {
    private readonly key: Buffer;
    private readonly counter = Buffer.alloc(COUNTER_BYTES);
    private count = 0n;

    public constructor(key: Buffer) {
        this.key = key;
    }

    /** Code of the next frame of this direction. */
    public nextMac(body: Uint8Array): Buffer {
        this.counter.writeBigUInt64BE(this.count++);
        return createHmac("sha256", this.key).update(this.counter).update(body).digest().subarray(0, MAC_BYTES);
    }
}

/** Encodes a message. Without a key, as in the handshake, the code is zero. */
export const encodeFrame = (message: unknown, key: FrameAuthenticator | undefined): Buffer => {
    const body = encoder.encode(message);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + MAC_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    const mac = key?.nextMac(body) ?? Buffer.alloc(MAC_BYTES);
    mac.copy(frame, LENGTH_BYTES);
    body.copy(frame, LENGTH_BYTES + MAC_BYTES);
    return frame;
};

/** Takes frames out of the bytes of a connection. */
export class FrameReader {
    private readonly maxBytes: number;
    private key: FrameAuthenticator | undefined;
    private buffered: Buffer = Buffer.alloc(0);

    public constructor(maxBytes = MAX_FRAME_BYTES) {
        this.maxBytes = maxBytes;
    }

    /** Checks the frames that follow with `key`. */
    public authenticateWith(key: FrameAuthenticator): void {
        this.key = key;
    }

    public push(chunk: Buffer): void {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    }

    /** The next whole message; undefined until more bytes have come. Throws on a frame that is not sound. */
    public next(): { readonly message: unknown; } | undefined {
        if (this.buffered.length < LENGTH_BYTES) {
            return undefined;
        }
        const length = this.buffered.readUInt32BE(0);
        const maxBytes = this.key === undefined ? MAX_HANDSHAKE_BYTES : this.maxBytes;
        if (length > maxBytes) {
            throw malformedFrame(`a frame of ${length} bytes is larger than ${maxBytes}`);
        }
        const end = LENGTH_BYTES + MAC_BYTES + length;
        if (this.buffered.length < end) {
            return undefined;
        }
        const mac = this.buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + MAC_BYTES);
        const body = this.buffered.subarray(LENGTH_BYTES + MAC_BYTES, end);
        this.buffered = this.buffered.subarray(end);
        if (this.key !== undefined && !timingSafeEqual(mac, this.key.nextMac(body))) {
            throw malformedFrame("a frame is forged, altered or sent again");
        }
        return { message: decode(body) };
    }
}

/** Messages of a connection in order. Ends with the connection and rejects when it breaks off. */
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
        throw malformedFrame(`a frame does not hold CBOR: ${(err as Error).message}`);
    }
};

const malformedFrame = (message: string): Error =>
    routerError(message, { code: "malformedRequest", step: "read frame" });
