/**
 * An acknowledged manifest is lost: a control instance that has lost its disk votes while the leader still refills its
 * log, for an instance that lacks the newest acknowledged change.
 */
import { readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import { bounds, Deployment, findBlock, hasTrouble, order, runCase, sleep } from "../lib/harness.mjs";

/** Changes before the disturbance, each a manifest with as many routes as the users' largest ones. */
const CHANGES = 120;
const ROUTES = 400;

const manifestOf = version => {
    const service = { name: "svc", health_path: "/health", max_conns: 100, protocol: "h1", tls: false };
    const routes = Array.from({ length: ROUTES }, (...[, index]) => ({
        name: `r-${index}`,
        host: "host.example",
        path_prefix: `/p${index}/`,
        kind: "safe",
        timeout_ms: 1000 + version,
        goal_ms: 200,
        priority: 0,
        service: "svc",
        max_attempts: 2,
        public: false,
        sticky: false,
    }));
    const tenants = [{ name: "t", api_keys: ["key-of-tenant-t-00001"], priority: 1 }];
    const limits = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 };
    return JSON.stringify({ version, routes, services: [{ ...service, cold_start_s: 0, cold_per_s: 0 }], limits, tenants });
};

/** Bytes of the files of the control log, without the vote. */
const storedBytes = control => {
    try {
        return readdirSync(control.dataDir)
            .filter(name => name === "entries" || name === "snapshot")
            .reduce((sum, name) => sum + statSync(join(control.dataDir, name)).size, 0);
    }
    catch {
        return 0;
    }
};

/** Resolves when the refill of the disk has begun. */
const waitForRefill = async control => {
    for (const end = Date.now() + 10_000; Date.now() < end;) {
        if (storedBytes(control) > 0) {
            return;
        }
        await new Promise(done => setImmediate(done));
    }
    throw new Error("the disk was not refilled");
};

const versionOf = ({ status, text }) => status === 200 ? JSON.parse(text).version : undefined;

const play = async record => {
    const deployment = new Deployment(await findBlock(3), 3, 0);
    const { controls } = deployment;
    try {
        deployment.start();
        let version = 0;
        const submit = async through => {
            version += 1;
            const answer = await order(through, "PUT", "/api/config", manifestOf(version), 20_000);
            if (answer.status !== 200) {
                throw new Error(`version ${version} was not acknowledged: ${answer.status} ${answer.text}`);
            }
            return answer.by;
        };
        while (version < CHANGES) {
            await submit(controls);
        }
        await sleep(1000);
        const leader = deployment.leader();
        const [wiped, behind] = controls.filter(control => control !== leader);
        record(`versions 1 to ${version} are acknowledged; ${leader.name} leads`);

        if (hasTrouble) {
            await behind.kill();
            record(`${behind.name} is killed; its disk stays`);
        }
        const by = await submit([leader, wiped]);
        record(`PUT /api/config version ${version} -> 200 from ${by}`);
        if (hasTrouble) {
            await sleep(300);
            await wiped.kill();
            wiped.loseDisk();
            wiped.start(false);
            record(`${wiped.name} has lost its disk, and starts again with an empty one`);
            await waitForRefill(wiped);
            await leader.kill();
            await sleep(200);
            record(`${leader.name} is killed; its disk stays. ${wiped.name} holds ${storedBytes(wiped)} bytes, `
                + `${leader.name} ${storedBytes(leader)}, ${behind.name} ${storedBytes(behind)}`);
            behind.start(false);
            record(`${behind.name} is back`);
            for (const end = Date.now() + 10_000; Date.now() < end && !behind.logText().includes("\"role\":\"leader\"");) {
                await sleep(100);
            }
            record(`${deployment.leader()?.name} leads`);
            leader.start(false);
            record(`${leader.name} is back; all run again`);
        }
        await sleep(bounds.recovery_s * 1000 + 500);
        const evacuation = await order(controls, "POST", `/api/evacuate/${deployment.zone}`, undefined, 10_000);
        record(`POST /api/evacuate/${deployment.zone} -> ${evacuation.status} from ${evacuation.by}`);
        await sleep(bounds.config_ms);
        let newest = -1;
        for (const control of controls) {
            const answer = await order([control], "GET", "/api/config", undefined, 10_000);
            record(`GET /api/config at ${control.name} -> ${answer.status}, version ${versionOf(answer)}`);
            newest = Math.max(newest, versionOf(answer) ?? -1);
        }
        if (newest < 0) {
            record("no instance answers a read of the manifest");
        }
        record(`acknowledged: ${version}; read back: ${newest}`);
        return newest === version;
    }
    finally {
        await deployment.stop();
    }
};

await runCase(import.meta.dirname, play);
