/**
 * How two instances prove to each other that they know the deployment's secret, and derive the keys of
 * their connection from it and from two fresh nonces.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type Socket } from "node:net";
import { z } from "zod";
import { routerError } from "../../common/errors/RouterError.ts";
import { encodeFrame, FrameKey, type FrameReader } from "./FrameCodec.ts";

const NONCE_BYTES = 16;

const bytes = z.instanceof(Uint8Array);
const helloSchema = z.object({ deployment: z.string(), id: z.string(), nonce: bytes });
const welcomeSchema = z.object({ id: z.string(), nonce: bytes, proof: bytes });
const confirmSchema = z.object({ proof: bytes });

/** What an instance knows of itself and the secret. */
export interface Credentials {
    readonly deployment: string;
    readonly id: string;
    readonly secret: string;
}

/** A connection whose ends have proven themselves. */
export interface Secured {
    readonly peer: string;
    readonly sendKey: FrameKey;
    readonly receiveKey: FrameKey;
}

type Messages = AsyncGenerator<unknown, void, undefined>;

/** Side of the instance that opened the connection to `peer`. */
export const dialHandshake = async (
    socket: Socket,
    messages: Messages,
    reader: FrameReader,
    own: Credentials,
    peer: string,
): Promise<Secured> => {
    const nonce = randomBytes(NONCE_BYTES);
    socket.write(encodeFrame({ deployment: own.deployment, id: own.id, nonce }, undefined));
    const welcome = welcomeSchema.parse(await nextOf(messages));
    if (welcome.id !== peer) {
        throw refused(`expected instance ${peer} but found ${welcome.id}`, peer);
    }
    const context = contextOf(own.deployment, own.id, peer, nonce, welcome.nonce);
    requireProof(welcome.proof, prove(own.secret, "accept", context), peer);
    const keys = { send: keyOf(own.secret, "dialer", context), receive: keyOf(own.secret, "acceptor", context) };
    socket.write(encodeFrame({ proof: prove(own.secret, "dial", context) }, undefined));
    reader.useKey(keys.receive);
    return { peer, sendKey: keys.send, receiveKey: keys.receive };
};

/** Side of the instance that accepted the connection. */
export const acceptHandshake = async (
    socket: Socket,
    messages: Messages,
    reader: FrameReader,
    own: Credentials,
): Promise<Secured> => {
    const hello = helloSchema.parse(await nextOf(messages));
    if (hello.deployment !== own.deployment) {
        throw refused(`instance ${hello.id} belongs to deployment ${hello.deployment}`, hello.id);
    }
    const nonce = randomBytes(NONCE_BYTES);
    const context = contextOf(own.deployment, hello.id, own.id, hello.nonce, nonce);
    socket.write(encodeFrame({ id: own.id, nonce, proof: prove(own.secret, "accept", context) }, undefined));
    const confirm = confirmSchema.parse(await nextOf(messages));
    requireProof(confirm.proof, prove(own.secret, "dial", context), hello.id);
    const receiveKey = keyOf(own.secret, "dialer", context);
    reader.useKey(receiveKey);
    return { peer: hello.id, sendKey: keyOf(own.secret, "acceptor", context), receiveKey };
};

const nextOf = async (messages: Messages): Promise<unknown> => {
    const result = await messages.next();
    if (result.done === true) {
        throw refused("the connection ended during the handshake", undefined);
    }
    return result.value;
};

const contextOf = (
    deployment: string,
    dialer: string,
    acceptor: string,
    first: Uint8Array,
    second: Uint8Array,
): Buffer => Buffer.concat([Buffer.from(JSON.stringify([deployment, dialer, acceptor])), first, second]);

const prove = (secret: string, purpose: string, context: Buffer): Buffer =>
    createHmac("sha256", secret).update(`proof ${purpose} `).update(context).digest();

const keyOf = (secret: string, sender: string, context: Buffer): FrameKey =>
    new FrameKey(createHmac("sha256", secret).update(`key ${sender} `).update(context).digest());

const requireProof = (given: Uint8Array, expected: Buffer, peer: string): void => {
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
        throw refused(`instance ${peer} does not know the secret`, peer);
    }
};

const refused = (message: string, peer: string | undefined): Error =>
    routerError(message, { code: "notAllowed", step: "handshake", ...(peer === undefined ? {} : { peer }) });
