/**
 * Starts the processes of a small deployment on loopback addresses, with the commands and the template of the deploy file,
 * and ends them again. Each process has an address of its own; the ports are the same on all, as on the platform.
 */
import { spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { call, sleep } from "./http.mjs";

const ROOT = resolve(import.meta.dirname, "../..");
const START_TIMEOUT_MS = 30_000;

/** Values of the platform's settings file that are the same on all machines; the bounds are those of the small sites. */
const BOUNDS = {
    seed_lag_s: 3,
    reuse_after_s: 2,
    contact_ms: 3000,
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 8,
    loss_slack_ms: 200,
    config_ms: 2000,
    rollback_slack_ms: 250,
    outer_ms: 5000,
    strict_revoke: true,
    revoke_ms: 5000,
    retry_ratio: 0.9,
    retry_window_s: 10,
    retry_slack: 56,
    canary_share: 0.15,
    canary_slack: 30,
    rollback_ms: 5000,
    cold_excess: 1.5,
    cold_slack: 5,
    evacuate_ms: 5000,
    recovery_s: 12,
    session_s: 5,
};

/** Fills the placeholders `{{a}}`, `{{a.b}}` and `{{a.0}}` of a template; lists are joined by commas. */
const fill = (template, fields) =>
    template.replace(/\{\{([^}]+)\}\}/g, (...[, path]) => {
        const value = path.split(".").reduce((at, key) => at?.[key], fields);
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });

const canListen = (host, port) =>
    new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });

/** Four consecutive ports from a random one on that are free on all addresses. */
const findPorts = async ips => {
    for (let tries = 0; tries < 50; tries++) {
        const base = 20_000 + Math.floor(Math.random() * 9000);
        const checks = await Promise.all(ips.flatMap(ip => [0, 1, 2, 3, 4].map(offset => canListen(ip, base + offset))));
        if (checks.every(Boolean)) {
            return base;
        }
    }
    throw new Error("no free ports");
};

export class Deployment {
    constructor(zones, controls, entries) {
        const subnet = `127.${64 + Math.floor(Math.random() * 60)}.${Math.floor(Math.random() * 250)}`;
        const create = (role, count, from) =>
            Array.from({ length: count }, (...[, index]) => ({
                name: `${role}-${index + 1}`,
                role,
                ip: `${subnet}.${from + index}`,
                zone: zones[index % zones.length],
                child: undefined,
                isRunning: false,
                isToldToEnd: false,
            }));
        this.controls = create("control", controls, 10);
        this.entries = create("entry", entries, 30);
        this.machines = [...this.controls, ...this.entries];
        this.subnet = subnet;
        this.folder = mkdtempSync(join(tmpdir(), "skylarktide-review-"));
        this.unexpectedEnds = [];
        // No process outlives this one, even if it ends early.
        process.once("exit", () => this.machines.filter(({ isRunning }) => isRunning).forEach(({ child }) => child.kill("SIGKILL")));
    }

    /** Starts all processes; resolves when each answers. */
    async start() {
        this.base = await findPorts(this.machines.map(({ ip }) => ip));
        this.machines.forEach(machine => this.spawn(machine));
        await this.waitUntil(async () => {
            const states = await Promise.all(
                this.controls.map(machine => call(this.controlOf(machine), "GET", "/api/config").catch(() => undefined)),
            );
            return states.every(state => state !== undefined);
        }, "control processes");
    }

    controlOf({ ip }) {
        return `${ip}:${this.base}`;
    }

    callersOf({ ip }) {
        return `${ip}:${this.base + 1}`;
    }

    readyOf({ ip }) {
        return `${ip}:${this.base + 2}`;
    }

    spawn(machine, isBootstrap = true) {
        const { ip, role, name, zone } = machine;
        const isEntry = role === "entry";
        const data = join(this.folder, `data-${name}`);
        if (!isEntry) {
            mkdirSync(data, { recursive: true });
        }
        const fields = {
            node: name,
            role,
            zone,
            region: "region",
            data_dir: isEntry ? undefined : data,
            bootstrap: isBootstrap,
            ip,
            listen: isEntry
                ? { front: this.callersOf(machine), ready: this.readyOf(machine) }
                : { control: this.controlOf(machine) },
            port_range: [this.base + 3, this.base + 4],
            seeds: this.controls.slice(0, 3).map(item => this.controlOf(item)),
            bounds: BOUNDS,
        };
        const settings = join(this.folder, `${name}.ini`);
        writeFileSync(settings, fill(readFileSync(join(ROOT, "deploy/settings.ini.template"), "utf8"), fields));
        const log = openSync(join(this.folder, `${name}.log`), "a");
        const { env } = process;
        const child = spawn("target/skylarktide", ["platform"], {
            cwd: ROOT,
            env: { PATH: env.PATH, HOME: env.HOME, LANG: env.LANG, SKYLARKTIDE_SETTINGS: settings },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        machine.child = child;
        machine.isRunning = true;
        child.once("exit", (code, signal) => {
            machine.isRunning = machine.child !== child && machine.isRunning;
            if (machine.child === child && !machine.isToldToEnd) {
                this.unexpectedEnds.push(`${name}: ${code ?? signal}`);
            }
        });
    }

    signal(machine, signal) {
        machine.child.kill(signal);
    }

    /** Kills a process; resolves when it has ended. */
    async kill(machine, signal = "SIGKILL") {
        const { child } = machine;
        machine.isToldToEnd = true;
        const ended = new Promise(done => child.once("exit", done));
        child.kill(signal);
        await ended;
        machine.isToldToEnd = false;
    }

    async waitUntil(check, what) {
        const end = Date.now() + START_TIMEOUT_MS;
        while (!await check()) {
            if (Date.now() > end) {
                throw new Error(`${what}: not ready in time`);
            }
            await sleep(100);
        }
    }

    /** Sends a manifest as an operator does, to one control process after the other until one confirms it. */
    async putManifest(manifest, targets = this.controls) {
        const body = typeof manifest === "string" || Buffer.isBuffer(manifest) ? manifest : JSON.stringify(manifest);
        const end = Date.now() + START_TIMEOUT_MS;
        for (let tries = 0; Date.now() < end; tries++) {
            const res = await call(this.controlOf(targets[tries % targets.length]), "PUT", "/api/config", { body })
                .catch(() => undefined);
            if (res !== undefined && res.status < 500) {
                return res;
            }
            await sleep(200);
        }
        throw new Error("the manifest was not confirmed");
    }

    /** Resolves when all entry processes count as ready. */
    waitUntilReady() {
        return this.waitUntil(async () => {
            const states = await Promise.all(
                this.entries.map(machine => call(this.readyOf(machine), "GET", "/api/ready").catch(() => undefined)),
            );
            return states.every(state => state?.status === 200);
        }, "entry processes");
    }

    /** Ends all processes that were started here. */
    async stop() {
        await Promise.all(this.machines.map(async machine => {
            const { child, isRunning } = machine;
            if (isRunning) {
                machine.isToldToEnd = true;
                const ended = new Promise(done => child.once("exit", done));
                child.kill("SIGCONT");
                child.kill("SIGKILL");
                await ended;
            }
        }));
        if (process.env.KEEP === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}
