/**
 * How two instances prove to each other that they know the deployment's secret, and derive the keys of
 * their connection from it and from two fresh nonces.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type Socket } from "node:net";
import { z } from "zod";
import { routerError } from "../../common/errors/RouterError.ts";
import { encodeFrame, FrameAuthenticator, type FrameReader } from "./FrameCodec.ts";

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
export interface SecureChannel {
    readonly peer: string;
    readonly sendAuthenticator: FrameAuthenticator;
    readonly receiveAuthenticator: FrameAuthenticator;
}

type Messages = AsyncGenerator<unknown, void, undefined>;

/** Side of the instance that opened the connection to `peer`. */
export const dialHandshake = async (
    socket: Socket,
    messages: Messages,
    reader: FrameReader,
    credentials: Credentials,
    peer: string,
): Promise<SecureChannel> => {
    const nonce = randomBytes(NONCE_BYTES);
    socket.write(encodeFrame({ deployment: credentials.deployment, id: credentials.id, nonce }, undefined));
    const welcome = welcomeSchema.parse(await nextMessage(messages));
    if (welcome.id !== peer) {
        throw handshakeError(`expected instance ${peer} but found ${welcome.id}`, peer);
    }
    const context = transcriptOf(credentials.deployment, credentials.id, peer, nonce, welcome.nonce);
    verifyProof(welcome.proof, computeProof(credentials.secret, "accept", context), peer);
    const keys = {
        send: deriveAuthenticator(credentials.secret, "dialer", context),
        receive: deriveAuthenticator(credentials.secret, "acceptor", context),
    };
    socket.write(encodeFrame({ proof: computeProof(credentials.secret, "dial", context) }, undefined));
    reader.authenticateWith(keys.receive);
    return { peer, sendAuthenticator: keys.send, receiveAuthenticator: keys.receive };
};

/** Side of the instance that accepted the connection. */
export const acceptHandshake = async (
    socket: Socket,
    messages: Messages,
    reader: FrameReader,
    credentials: Credentials,
): Promise<SecureChannel> => {
    const hello = helloSchema.parse(await nextMessage(messages));
    if (hello.deployment !== credentials.deployment) {
        throw handshakeError(`instance ${hello.id} belongs to deployment ${hello.deployment}`, hello.id);
    }
    const nonce = randomBytes(NONCE_BYTES);
    const context = transcriptOf(credentials.deployment, hello.id, credentials.id, hello.nonce, nonce);
    socket.write(
        encodeFrame(
            { id: credentials.id, nonce, proof: computeProof(credentials.secret, "accept", context) },
            undefined,
        ),
    );
    const confirm = confirmSchema.parse(await nextMessage(messages));
    verifyProof(confirm.proof, computeProof(credentials.secret, "dial", context), hello.id);
    const receiveKey = deriveAuthenticator(credentials.secret, "dialer", context);
    reader.authenticateWith(receiveKey);
    return {
        peer: hello.id,
        sendAuthenticator: deriveAuthenticator(credentials.secret, "acceptor", context),
        receiveAuthenticator: receiveKey,
    };
};

const nextMessage = async (messages: Messages): Promise<unknown> => {
    const result = await messages.next();
    if (result.done === true) {
        throw handshakeError("the connection ended during the handshake", undefined);
    }
    return result.value;
};

const transcriptOf = (
    deployment: string,
    dialer: string,
    acceptor: string,
    first: Uint8Array,
    second: Uint8Array,
): Buffer => Buffer.concat([Buffer.from(JSON.stringify([deployment, dialer, acceptor])), first, second]);

const computeProof = (secret: string, purpose: string, context: Buffer): Buffer =>
    createHmac("sha256", secret).update(`proof ${purpose} `).update(context).digest();

const deriveAuthenticator = (secret: string, sender: string, context: Buffer): FrameAuthenticator =>
    new FrameAuthenticator(createHmac("sha256", secret).update(`key ${sender} `).update(context).digest());

const verifyProof = (given: Uint8Array, expected: Buffer, peer: string): void => {
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
        throw handshakeError(`instance ${peer} does not know the secret`, peer);
    }
};

const handshakeError = (message: string, peer: string | undefined): Error =>
    routerError(message, { code: "notAllowed", step: "handshake", ...(peer === undefined ? {} : { peer }) });
