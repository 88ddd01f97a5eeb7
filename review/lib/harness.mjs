/**
 * Stand-ins of the platform for the scripts of this review: settings files, processes, an HTTP client and an operator.
 * Each instance has a loopback address of its own, with the same ports on all.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

export const root = resolve(import.meta.dirname, "..", "..");
const program = join(root, "target", "skylarktide");
const template = join(root, "deploy", "settings.ini.template");

/** Ports, the same on all instances. */
export const ports = { front: 8227, ready: 8220, control: 8229, peers: 7340, relay: 7341 };

/** Bounds of the small sites. */
export const bounds = {
    contact_ms: 3000,
    ack_ms: 4000,
    drain_ms: 2000,
    grace_s: 8,
    config_ms: 2000,
    revoke_ms: 5000,
    retry_ratio: 0.9,
    retry_window_s: 10,
    retry_slack: 56,
    canary_share: 0.15,
    cold_excess: 1.5,
    cold_slack: 5,
    recovery_s: 12,
    session_s: 5,
};

export const hasTrouble = process.env.TROUBLE !== "0";

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Writes `record.txt` in the folder of the case. */
export const createRecord = folder => {
    const file = join(folder, "record.txt");
    const startedAt = Date.now();
    writeFileSync(file, `TROUBLE=${hasTrouble ? 1 : 0}\n`);
    return text => {
        const line = `${((Date.now() - startedAt) / 1000).toFixed(3)} s  ${text}`;
        appendFileSync(file, `${line}\n`);
        console.log(line);
    };
};

const canBind = (host, port) =>
    new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });

/** Finds a block of loopback addresses on which the ports are free. */
export const findBlock = async count => {
    for (let tries = 0; tries < 50; tries++) {
        const block = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const checks = [];
        for (let index = 1; index <= count; index++) {
            for (const port of [...Object.values(ports), 9464]) {
                checks.push(canBind(`${block}.${index}`, port));
            }
        }
        if ((await Promise.all(checks)).every(Boolean)) {
            return block;
        }
    }
    throw new Error("no free loopback addresses");
};

/** Value of a path such as `bounds.grace_s`. */
const lookUp = (fields, path) => path.split(".").reduce((value, key) => value?.[key], fields);

/** Fills in the template of the settings as the platform does. */
const fillTemplate = fields =>
    readFileSync(template, "utf8").replaceAll(/\{\{([\w.]+)\}\}/g, (whole, path) => {
        const value = lookUp(fields, path);
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });

/** One machine with one process of the system. */
class Instance {
    constructor(deployment, name, role, ip) {
        this.deployment = deployment;
        this.name = name;
        this.role = role;
        this.ip = ip;
        this.dataDir = role === "control" ? join(deployment.folder, `${name}-disk`) : undefined;
        this.settings = join(deployment.folder, `${name}.ini`);
        this.log = join(deployment.folder, `${name}.log`);
        this.child = undefined;
        this.ended = Promise.resolve();
    }

    /** IP:PORT of one of its listeners. */
    address(listener) {
        return `${this.ip}:${ports[listener]}`;
    }

    /** Starts the process with the command of the deploy file. */
    start(bootstrap) {
        if (this.dataDir !== undefined) {
            mkdirSync(this.dataDir, { recursive: true });
        }
        const { seeds, zone } = this.deployment;
        const isEntry = this.role === "entry";
        const listen = isEntry
            ? { front: this.address("front"), ready: this.address("ready") }
            : { control: this.address("control") };
        writeFileSync(
            this.settings,
            fillTemplate({
                node: this.name,
                role: this.role,
                zone,
                region: "here",
                data_dir: this.dataDir,
                bootstrap,
                listen,
                ip: this.ip,
                port_range: [ports.peers, ports.relay],
                seeds,
                bounds,
            }),
        );
        const env = { PATH: process.env.PATH, HOME: process.env.HOME, SKYLARKTIDE_SETTINGS: this.settings };
        this.child = spawn(program, ["platform"], { cwd: root, env });
        const write = chunk => appendFileSync(this.log, chunk);
        this.child.stdout.on("data", write);
        this.child.stderr.on("data", write);
        const { child } = this;
        this.exit = undefined;
        this.ended = new Promise(done => {
            child.once("exit", (code, signal) => {
                this.exit = signal ?? code;
                done();
            });
        });
    }

    /** Sends a signal to the process. */
    signal(name) {
        this.child?.kill(name);
    }

    /** SIGKILL; resolves when the process has ended. */
    async kill() {
        this.signal("SIGKILL");
        await this.ended;
    }

    /** Removes the content of the disk. */
    loseDisk() {
        rmSync(this.dataDir, { recursive: true, force: true });
    }

    /** Text of the log so far. */
    logText() {
        try {
            return readFileSync(this.log, "utf8");
        }
        catch {
            return "";
        }
    }
}

/** Control and entry instances in one failure domain. */
export class Deployment {
    constructor(block, controlCount, entryCount) {
        this.folder = mkdtempSync(join(tmpdir(), "skylarktide-review-"));
        this.zone = "here";
        const ipOf = index => `${block}.${index + 1}`;
        this.controls = Array.from(
            { length: controlCount },
            (...[, index]) => new Instance(this, `control-${index + 1}`, "control", ipOf(index)),
        );
        this.entries = Array.from(
            { length: entryCount },
            (...[, index]) => new Instance(this, `entry-${index + 1}`, "entry", ipOf(controlCount + index)),
        );
        this.seeds = this.controls.slice(0, 3).map(control => control.address("control"));
        process.once("exit", () => this.instances.forEach(instance => instance.signal("SIGKILL")));
    }

    get instances() {
        return [...this.controls, ...this.entries];
    }

    start() {
        this.instances.forEach(instance => instance.start(true));
    }

    /** Ends all processes and removes the folder. */
    async stop() {
        await Promise.all(this.instances.map(instance => {
            instance.signal("SIGCONT");
            return instance.kill();
        }));
        if (process.env.KEEP === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    /** The instance that has logged last that it leads the control log. */
    leader() {
        let found;
        for (const control of this.controls) {
            const roles = control.logText().split("\n").filter(line => line.includes("The control log has another role."));
            const last = roles.at(-1);
            if (last !== undefined && last.includes("\"role\":\"leader\"")) {
                const time = Date.parse(/"time":"([^"]+)"/.exec(last)?.[1] ?? "");
                if (found === undefined || time > found.time) {
                    found = { control, time };
                }
            }
        }
        return found?.control;
    }

    /** Waits until the entry instances say that they are ready. */
    async waitUntilReady(limitMs = 15_000) {
        const isReady = async entry => {
            const answer = await call(entry.address("ready"), "GET", "/api/ready", undefined, {}, 1000);
            return answer.status === 200;
        };
        for (const end = Date.now() + limitMs; Date.now() < end;) {
            if ((await Promise.all(this.entries.map(isReady))).every(Boolean)) {
                return true;
            }
            await sleep(100);
        }
        return false;
    }
}

/** One HTTP call on a new connection. Status 0 if there is no answer. */
export const call = (address, method, path, body, headers = {}, timeoutMs = 1000) =>
    new Promise(done => {
        const [host, port] = address.split(":");
        const req = request({ host, port, method, path, headers, agent: false }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("end", () => finish({ status: res.statusCode, headers: res.headers, text: textOf(chunks) }));
            res.on("error", err => finish({ status: 0, text: err.message }));
        });
        const timer = setTimeout(() => {
            finish({ status: 0, text: "no answer in time" });
            req.destroy();
        }, timeoutMs);
        const finish = answer => {
            clearTimeout(timer);
            done(answer);
        };
        req.on("error", err => finish({ status: 0, text: err.message }));
        req.end(body);
    });

const textOf = chunks => Buffer.concat(chunks).toString("utf8");

const jsonHeaders = { "content-type": "application/json" };

/**
 * An order of the operator: it goes to one control instance after the other, with growing pauses, until one gives a clear
 * answer. Resolves with that answer; with status 0 if there is none within `limitMs`.
 */
export const order = async (controls, method, path, body, limitMs = 12_000) => {
    let pauseMs = 50;
    for (let tries = 0, end = Date.now() + limitMs; Date.now() < end; tries++) {
        const control = controls[tries % controls.length];
        const answer = await call(control.address("control"), method, path, body, jsonHeaders);
        const isUnclear = answer.status === 0 || answer.status >= 500 || [408, 429].includes(answer.status);
        if (!isUnclear) {
            return { ...answer, by: control.name };
        }
        await sleep(pauseMs);
        pauseMs = Math.min(500, pauseMs * 1.5);
    }
    return { status: 0, text: "no clear answer" };
};

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export const runCase = async (folder, play) => {
    const record = createRecord(folder);
    const watchdog = setTimeout(() => {
        record("the case took too long");
        process.exit(2);
    }, 115_000);
    let code = 2;
    try {
        code = await play(record) ? 0 : 1;
    }
    catch (err) {
        record(`the case could not run: ${err.stack}`);
    }
    clearTimeout(watchdog);
    record(`exit code ${code}`);
    process.exit(code);
};
