/**
 * A small deployment for the scripts of this review: the project's own programs as separate processes on loopback addresses,
 * started with the commands and the template of the deploy file, and the platform's part of running them.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

process.setMaxListeners(0);

const root = fileURLToPath(new URL("../..", import.meta.url));
/** Bounds of `ghor-fleet` in SYSTEM.md. */
const bounds = {
    grace_s: 8,
    revoke_ms: 5000,
    session_s: 5,
    cold_excess: 1.5,
    cold_slack: 5,
    retry_ratio: 0.9,
    retry_slack: 56,
    retry_window_s: 10,
    canary_share: 0.15,
    ack_ms: 4000,
};

/** Last parts of the first addresses of the machines of a class. */
const CORE_HOSTS = 20;
const FRONT_HOSTS = 120;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until `check` is true; rejects after `limitMs`. */
export const until = async (what, check, limitMs = 20_000) => {
    for (const end = Date.now() + limitMs; Date.now() < end; await sleep(25)) {
        if (await check()) {
            return;
        }
    }
    throw new Error(`not within ${limitMs} ms: ${what}`);
};

/** One HTTP call on a channel of its own; resolves with status and text, or with status 0 if no answer came. */
export const call = (address, method, path, body, limitMs = 1000) =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const headers = body === undefined ? {} : { "Content-Type": "application/json" };
        const req = request({ host, port, method, path, headers, agent: false }, res => {
            let text = "";
            res.setEncoding("utf8");
            res.on("data", chunk => {
                text += chunk;
            });
            res.on("error", () => undefined);
            res.on("close", () => resolve({ status: res.complete ? res.statusCode : 0, text }));
        });
        req.setTimeout(limitMs, () => req.destroy());
        req.on("error", () => resolve({ status: 0, text: "" }));
        req.end(body);
    });

/** Fills the template of the deploy file. Only plain values are used in it. */
const render = (template, fields) =>
    template.replace(/\{\{([^}]+)\}\}/g, (...[, path]) => {
        const value = path.split(".").reduce((item, key) => item?.[key], fields);
        return value === undefined ? "" : Array.isArray(value) ? value.join(",") : String(value);
    });

/** Finds ports that are free on all of the addresses. */
const freePorts = async (ips, count) => {
    const found = [];
    for (let port = 21_000 + Math.floor(Math.random() * 8000); found.length < count; port++) {
        const isFree = await Promise.all(ips.map(ip =>
            new Promise(resolve => {
                const server = createServer();
                server.once("error", () => resolve(false));
                server.listen(port, ip, () => server.close(() => resolve(true)));
            })
        ));
        if (isFree.every(Boolean)) {
            found.push(port);
        }
    }
    return found;
};

/** The processes of one run, in a temporary folder that is removed at the end. */
export class Deployment {
    /** @param layout counts of `front` and `core` machines, and the function that notes what happens */
    constructor({ fronts, cores, note }) {
        this.note = note;
        this.folder = mkdtempSync(join(tmpdir(), "review-3-"));
        this.net = `127.${40 + Math.floor(Math.random() * 80)}.${Math.floor(Math.random() * 250)}`;
        const machines = (role, count, from) =>
            Array.from({ length: count }, (...[, index]) => ({
                name: `${role}-${index + 1}`,
                role,
                ip: `${this.net}.${from + index}`,
                zone: `zone-${index + 1}`,
                child: undefined,
                isRunning: false,
            }));
        this.fronts = machines("entry", fronts, FRONT_HOSTS);
        this.cores = machines("control", cores, CORE_HOSTS);
        this.coreCount = cores;
        this.nextCore = cores + 1;
    }

    /** Adds a machine of the core at a new address and with an empty disk; its process is not started. */
    addCore() {
        const index = this.nextCore++;
        const machine = {
            name: `control-${index}`,
            role: "control",
            ip: `${this.net}.${CORE_HOSTS + index - 1}`,
            zone: `zone-${1 + (index - 1) % this.coreCount}`,
            child: undefined,
            isRunning: false,
        };
        this.cores.push(machine);
        return machine;
    }

    /** Takes a machine away for good: its process is killed, and it is in no list any more. */
    async removeCore(machine) {
        this.signal(machine, "SIGKILL");
        this.cores.splice(this.cores.indexOf(machine), 1);
        await until("the process has ended", () => !this.isRunning(machine));
    }

    get machines() {
        return [...this.cores, ...this.fronts];
    }

    get controlAddresses() {
        return this.cores.map(({ ip }) => `${ip}:${this.ports.control}`);
    }

    frontAddress({ ip }) {
        return `${ip}:${this.ports.front}`;
    }

    async start() {
        const ips = this.machines.map(({ ip }) => ip);
        const [front, ready, control, peers, relay] = await freePorts(ips, 5);
        this.ports = { front, ready, control, peers, relay };
        this.machines.forEach(machine => this.startProcess(machine, true));
        await until("the control instances answer", async () => {
            const answers = await Promise.all(this.controlAddresses.map(item => call(item, "GET", "/api/config")));
            return answers.every(({ status }) => status !== 0);
        });
    }

    /** The data folder of a machine with its first disk. */
    dataOf({ name }) {
        return join(this.folder, `data-${name}`);
    }

    /** Starts the process of a machine with the settings in effect now; `data` is another folder after the loss of its disk. */
    startProcess(machine, bootstrap, seeds = this.controlAddresses.slice(0, 3), data = this.dataOf(machine)) {
        const { ip, role, zone, name } = machine;
        const { front, ready, control, peers, relay } = this.ports;
        const isCore = role === "control";
        if (isCore) {
            mkdirSync(data, { recursive: true });
        }
        const fields = {
            node: name,
            role,
            ip,
            zone,
            region: "here",
            data_dir: isCore ? data : undefined,
            bootstrap,
            listen: isCore
                ? { control: `${ip}:${control}` }
                : { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
            port_range: [peers, relay],
            seeds,
            bounds,
        };
        const file = join(this.folder, `${name}.ini`);
        const template = readFileSync(join(root, "deploy/settings.ini.template"), "utf8");
        writeFileSync(file, render(template, fields));
        const child = spawn(join(root, "target/skylarktide"), ["platform"], {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, SKYLARKTIDE_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const output = createWriteStream(join(this.folder, `${name}.log`), { flags: "a" });
        child.stdout.pipe(output, { end: false });
        child.stderr.pipe(output, { end: false });
        machine.child = child;
        machine.isRunning = true;
        process.once("exit", () => child.kill("SIGKILL"));
        child.once("exit", (code, signal) => {
            machine.isRunning = false;
            this.note(`process of ${name} ended`, { code, signal });
        });
        this.note(`process of ${name} started`, { pid: child.pid, ip });
    }

    isRunning({ isRunning }) {
        return isRunning;
    }

    signal(machine, signal) {
        this.note(`${signal} to ${machine.name}`);
        machine.child.kill(signal);
    }

    isReady({ ip }) {
        return call(`${ip}:${this.ports.ready}`, "GET", "/api/ready").then(({ status }) => status === 200);
    }

    async waitUntilReady(machines = this.fronts) {
        await until("the entry instances are ready", async () =>
            (await Promise.all(machines.map(machine => this.isReady(machine)))).every(Boolean));
    }

    /** An order of the operator: sent to one control instance after the other until it is confirmed, as PROTOCOL.md says. */
    async order(method, path, body, limitMs = 4000) {
        const start = Math.floor(Math.random() * this.cores.length);
        const end = Date.now() + limitMs;
        for (let attempt = 0; Date.now() < end; attempt++) {
            const address = this.controlAddresses[(start + attempt) % this.cores.length];
            const answer = await call(address, method, path, body);
            if (answer.status >= 200 && answer.status < 300) {
                this.note(`${method} ${path} confirmed`, { by: address, status: answer.status });
                return answer;
            }
            await sleep(50 * (attempt + 1));
        }
        throw new Error(`no confirmation of ${method} ${path}`);
    }

    /** Ends all processes and removes the folder. */
    async stop() {
        const running = this.machines.filter(machine => this.isRunning(machine));
        running.forEach(({ child }) => {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        });
        await Promise.all(running.map(({ child }) => new Promise(resolve => child.once("exit", resolve))));
        if (process.env.KEEP === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            console.log(`kept ${this.folder}`);
        }
    }
}
