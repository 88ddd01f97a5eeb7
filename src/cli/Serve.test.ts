import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { freePorts } from "../../addons/fakes/Deployment.ts";
import { FakeEngine } from "../../addons/fakes/FakeEngine.ts";
import { accountRow, allowModel, domainRow, sheetText, versionRow } from "../../addons/fakes/SheetText.ts";

const ANSWER_MS = 600;
const READY_MS = 10_000;

interface ServeProcess {
    readonly process: ChildProcess;
    readonly log: () => string;
    readonly exited: Promise<number | null>;
}

const serve = (config: string): ServeProcess => {
    const child = spawn(process.execPath, ["src/cli/Main.ts", "serve", "--config", config], {
        stdio: ["ignore", "ignore", "pipe"],
    });
    let log = "";
    child.stderr?.on("data", (chunk: Buffer) => log += chunk.toString());
    const exited = new Promise<number | null>(resolve => child.on("exit", resolve));
    return { process: child, log: () => log, exited };
};

const waitUntil = async (isReached: () => Promise<boolean>): Promise<void> => {
    const end = performance.now() + READY_MS;
    while (!await isReached().catch(() => false)) {
        assert.ok(performance.now() < end, "timed out");
        await new Promise(resolve => setTimeout(resolve, 50));
    }
};

test("serve: SIGTERM completes requests in flight, and after SIGKILL the sheet is in force again", async context => {
    const folder = await mkdtemp(join(tmpdir(), "serve-"));
    context.after(() => rm(folder, { recursive: true, force: true }));
    const [callers, admin, upstreams] = await freePorts(3);
    const config = join(folder, "a-1.ini");
    const sheet = join(folder, "sheet.csv");
    await writeFile(
        sheet,
        sheetText(1, [domainRow("a"), accountRow("x"), versionRow("m", "v1", 100), allowModel("x", "m")]),
    );
    const doors = `callers = 127.0.0.1:${callers}\nadmin = 127.0.0.1:${admin}\nupstreams = 127.0.0.1:${upstreams}`;
    const instance =
        `id = a-1\ndeployment = test\ndomain = a\nregion = r\nroles = entry,control\ndata = ${folder}/data`;
    await writeFile(config, `[instance]\n${instance}\n[doors]\n${doors}\n[sheet]\nbootstrap = ${sheet}\n`);
    const versions = [{ model: "m", version: "v1" }];
    const announceTo = [`http://127.0.0.1:${upstreams}`];
    const engine = new FakeEngine({
        id: "e1",
        domain: "a",
        announceTo,
        capacity: 8,
        versions,
        firstTokenMs: ANSWER_MS,
    });
    const sendChat = (): Promise<number> =>
        fetch(`http://127.0.0.1:${callers}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: "Bearer key-x" },
            body: JSON.stringify({ model: "m", messages: [{ role: "user", content: "hi" }] }),
        }).then(answer => answer.status);
    const isReady = async (): Promise<boolean> => (await fetch(`http://127.0.0.1:${admin}/ready`)).status === 200;

    const start = (): ReturnType<typeof serve> => {
        const child = serve(config);
        context.after(() => child.process.kill("SIGKILL"));
        return child;
    };
    const first = start();
    await waitUntil(isReady);
    context.after(() => engine.stop());
    await engine.start("one");
    await waitUntil(async () => await sendChat() === 200);
    const startedBefore = engine.started;
    const inFlight = [sendChat(), sendChat(), sendChat()];
    await waitUntil(async () => engine.started === startedBefore + inFlight.length);
    first.process.kill("SIGTERM");
    assert.deepEqual(await Promise.all(inFlight), [200, 200, 200]);
    assert.equal(await first.exited, 0);
    assert.match(first.log(), /The instance has stopped/);

    const second = start();
    await waitUntil(isReady);
    second.process.kill("SIGKILL");
    await second.exited;
    const third = start();
    await waitUntil(isReady);
    await waitUntil(async () => await sendChat() === 200);
    third.process.kill("SIGTERM");
    assert.equal(await third.exited, 0);
});
