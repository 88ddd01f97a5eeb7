import { ServiceBroker } from "moleculer";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { connect, type PeerCertificate } from "node:tls";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { createLog } from "../log/Log.ts";
import { createBrokerListener } from "./BrokerListener.ts";
import { Certificates } from "./Certificates.ts";
import { sendJson } from "./HttpBody.ts";
import { HttpServer } from "./HttpServer.ts";

const LIMITS = { maxHeaderBytes: 8192, maxHeaders: 50, maxConnections: 50, requestTimeoutMs: 2000 };

const makeCertificate = (folder: string, name: string): void => {
    const files = ["-keyout", join(folder, "key.pem"), "-out", join(folder, "cert.pem")];
    execFileSync("openssl", [
        "req",
        "-x509",
        "-newkey",
        "ec",
        "-pkeyopt",
        "ec_paramgen_curve:prime256v1",
        "-nodes",
        "-days",
        "2",
        "-subj",
        `/CN=${name}`,
        ...files,
    ], {
        stdio: "pipe",
    });
};

const subjectAt = (port: number): Promise<string> =>
    new Promise((resolve, reject) => {
        const socket = connect({ host: "127.0.0.1", port, rejectUnauthorized: false }, () => {
            const certificate: PeerCertificate = socket.getPeerCertificate();
            resolve(String(certificate.subject.CN));
            socket.destroy();
        });
        socket.on("error", reject);
    });

test("a server accepts TLS only, and uses a renewed certificate without a restart", async context => {
    const folder = await mkdtemp(join(tmpdir(), "tls-"));
    makeCertificate(folder, "first");
    const clock = new ManualClock();
    const certificates = new Certificates(
        clock,
        { cert: join(folder, "cert.pem"), key: join(folder, "key.pem") },
        createLog("t", "fatal"),
    );
    await certificates.load();
    const broker = new ServiceBroker({ logger: false, skipProcessEventRegistration: true });
    const server = new HttpServer(
        "test",
        { host: "127.0.0.1", port: 0 },
        LIMITS,
        () => createBrokerListener(broker, "test", async (...[, res]) => sendJson(res, 200, {})),
        { certificates },
    );
    context.after(async () => {
        await server.stop();
        certificates.dispose();
        await broker.stop();
        await rm(folder, { recursive: true, force: true });
    });
    await broker.start();
    await server.start();
    assert.equal(await subjectAt(server.port), "first");
    await assert.rejects(fetch(`http://127.0.0.1:${server.port}/`));

    await new Promise(resolve => setTimeout(resolve, 20));
    makeCertificate(folder, "second");
    const renewed = new Promise<void>(resolve => certificates.onChanged(() => resolve()));
    clock.advance(2000);
    await renewed;
    assert.equal(await subjectAt(server.port), "second");
});
