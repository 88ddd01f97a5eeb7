/**
 * Mutual authentication of two instances. Each proves that it knows the deployment's secret; both derive the keys of
 * their connection from the secret and two fresh nonces.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type Socket } from "node:net";
import * as z from "zod";
import { routerError } from "../../common/errors/RouterError.ts";
import { encodeFrame, FrameAuthenticator, type FrameReader } from "./FrameCodec.ts";

const NONCE_BYTES = 16;

const bytes = z.instanceof(Uint8Array);
const helloSchema = z.object({ deployment: z.string(), id: z.string(), nonce: bytes });
const welcomeSchema = z.object({ id: z.string(), nonce: bytes, proof: bytes });
const confirmSchema = z.object({ proof: bytes });

/** Identity of an instance and the secret of its deployment. */
export interface Credentials {
    readonly deployment: string;
    readonly id: string;
    readonly secret: string;
}

/** The keyed state of a connection after the handshake. */
export interface SecureChannel {
    readonly peer: string;
    readonly sendAuthenticator: FrameAuthenticator;
    readonly receiveAuthenticator: FrameAuthenticator;
}

type Messages = AsyncGenerator<unknown, void, undefined>;

/** Handshake of the instance that opened the connection to `peer`. Rejects when the peer is not authenticated. */
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
    const transcript = transcriptOf(credentials.deployment, credentials.id, peer, nonce, welcome.nonce);
    verifyProof(welcome.proof, computeProof(credentials.secret, "accept", transcript), peer);
    const authenticators = {
        send: deriveAuthenticator(credentials.secret, "dialer", transcript),
        receive: deriveAuthenticator(credentials.secret, "acceptor", transcript),
    };
    socket.write(encodeFrame({ proof: computeProof(credentials.secret, "dial", transcript) }, undefined));
    reader.authenticateWith(authenticators.receive);
    return { peer, sendAuthenticator: authenticators.send, receiveAuthenticator: authenticators.receive };
};

/** Handshake of the instance that accepted the connection. Rejects when the peer is not authenticated. */
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
    const transcript = transcriptOf(credentials.deployment, hello.id, credentials.id, hello.nonce, nonce);
    socket.write(
        encodeFrame(
            { id: credentials.id, nonce, proof: computeProof(credentials.secret, "accept", transcript) },
            undefined,
        ),
    );
    const confirm = confirmSchema.parse(await nextMessage(messages));
    verifyProof(confirm.proof, computeProof(credentials.secret, "dial", transcript), hello.id);
    const receiveAuthenticator = deriveAuthenticator(credentials.secret, "dialer", transcript);
    reader.authenticateWith(receiveAuthenticator);
    return {
        peer: hello.id,
        sendAuthenticator: deriveAuthenticator(credentials.secret, "acceptor", transcript),
        receiveAuthenticator,
    };
};

const nextMessage = async (messages: Messages): Promise<unknown> => {
    const result = await messages.next();
    if (result.done === true) {
        throw handshakeError("the connection ended during the handshake", undefined);
    }
    return result.value;
};

/** What both sides have exchanged; proofs and keys are bound to it. */
const transcriptOf = (
    deployment: string,
    dialer: string,
    acceptor: string,
    dialerNonce: Uint8Array,
    acceptorNonce: Uint8Array,
): Buffer => Buffer.concat([Buffer.from(JSON.stringify([deployment, dialer, acceptor])), dialerNonce, acceptorNonce]);

const computeProof = (secret: string, purpose: string, transcript: Buffer): Buffer =>
    createHmac("sha256", secret).update(`proof ${purpose} `).update(transcript).digest();

const deriveAuthenticator = (secret: string, sender: string, transcript: Buffer): FrameAuthenticator =>
    new FrameAuthenticator(createHmac("sha256", secret).update(`key ${sender} `).update(transcript).digest());

const verifyProof = (proof: Uint8Array, expected: Buffer, peer: string): void => {
    if (proof.length !== expected.length || !timingSafeEqual(proof, expected)) {
        throw handshakeError(`instance ${peer} does not know the secret`, peer);
    }
};

const handshakeError = (message: string, peer: string | undefined): Error =>
    routerError(message, { code: "notAllowed", step: "handshake", ...(peer === undefined ? {} : { peer }) });
