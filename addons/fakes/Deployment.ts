/**
 * Runs several instances in one process on the loopback interface, for use with the fake upstreams and services
 * of this folder. The demo, the end-to-end tests and the `path` bench use it.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import { hashKey } from "../../src/node/entry/RequestContext.ts";
import { Instance } from "../../src/node/Instance.ts";
import { createLog, type LogLevel } from "../../src/node/log/Log.ts";
import { parseSettings } from "../../src/node/settings/SettingsReader.ts";
import { pause } from "./FakeUpstream.ts";

export const OPERATOR_KEY = "demo-operator-key";
const SECRET = "demo-secret-of-16-characters";
const HOST = "127.0.0.1";
/** Number of listeners of an instance: callers, admin, upstreams and peers, in the order of its ports. */
const LISTENERS_PER_INSTANCE = 4;
/** Timeout of a wait for a state of the deployment, in ms. */
const READY_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 25;

/** Identity, failure domain and role of an instance to start. */
export interface InstancePlan {
    readonly id: string;
    readonly domain: string;
    readonly isControl: boolean;
}

/** Base URLs of an instance's listeners. */
export interface InstanceUrls {
    readonly callers: string;
    readonly admin: string;
    readonly upstreams: string;
}

interface Node {
    readonly plan: InstancePlan;
    readonly ports: readonly number[];
    instance: Instance | undefined;
}

/** Response to a request that was sent with a method of `Deployment`. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: string;
}

/** Starts and stops instances in one process, and sends requests to them. */
export class Deployment {
    private readonly name: string;
    private readonly nodes = new Map<string, Node>();
    private readonly agent = new Agent({ connections: 256 });
    private folder = "";
    private readonly level: LogLevel;

    public constructor(name: string, level: LogLevel = "fatal") {
        this.name = name;
        this.level = level;
    }

    /**
     * Starts all instances and waits until each of them can be reached. `extraSettings` is INI text that is appended to
     * the settings of each instance.
     */
    public async start(plans: readonly InstancePlan[], extraSettings = ""): Promise<void> {
        this.folder = await mkdtemp(join(tmpdir(), "skylarktide-"));
        for (const plan of plans) {
            this.nodes.set(plan.id, { plan, ports: await freePorts(LISTENERS_PER_INSTANCE), instance: undefined });
        }
        await Promise.all(plans.map(plan => this.startInstance(plan.id, extraSettings)));
    }

    public urls(id: string): InstanceUrls {
        const [callers, admin, upstreams] = this.node(id).ports;
        return {
            callers: `http://${HOST}:${callers}`,
            admin: `http://${HOST}:${admin}`,
            upstreams: `http://${HOST}:${upstreams}`,
        };
    }

    /** Base URLs at which upstreams announce themselves to the instances, in the order of the plans. */
    public announceUrls(): string[] {
        return [...this.nodes.keys()].map(id => this.urls(id).upstreams);
    }

    /** Starts one instance of the plans. Throws when its settings have faults. */
    public async startInstance(id: string, extraSettings = ""): Promise<void> {
        const node = this.node(id);
        const file = `${id}.ini`;
        const { settings, faults } = parseSettings(file, this.renderSettings(node, extraSettings), {});
        if (settings === undefined) {
            throw new Error(faults.map(fault => `${fault.field}: ${fault.message}`).join("\n"));
        }
        node.instance = new Instance(settings, createLog(id, this.level));
        await node.instance.start();
    }

    /** Stops one instance gracefully. */
    public async stopInstance(id: string): Promise<void> {
        const { instance } = this.node(id);
        this.node(id).instance = undefined;
        await instance?.stop();
    }

    /** Stops all instances and deletes their data. */
    public async stop(): Promise<void> {
        await Promise.all([...this.nodes.keys()].map(id => this.stopInstance(id)));
        await this.agent.close();
        await rm(this.folder, { recursive: true, force: true });
    }

    /** Submits a configuration sheet to an instance. */
    public submitSheet(id: string, text: string): Promise<HttpResponse> {
        return this.admin(id, "POST", "/admin/v1/sheets", { text, reason: "" });
    }

    /** Waits until the sheet is in force on every running instance. */
    public async waitForSheet(number: number): Promise<void> {
        await this.waitFor(`sheet ${number} to be in force`, async () => {
            const answers = await Promise.all(this.runningIds().map(id => this.admin(id, "GET", "/admin/v1/status")));
            return answers.every(answer => (JSON.parse(answer.body) as { sheet?: number; }).sheet === number);
        });
    }

    /** Waits until every running instance lists at least `count` upstreams. */
    public async waitForUpstreams(count: number): Promise<void> {
        await this.waitFor(`${count} upstreams`, async () => {
            const answers = await Promise.all(
                this.runningIds().map(id => this.admin(id, "GET", "/admin/v1/upstreams")),
            );
            return answers.every(answer =>
                (JSON.parse(answer.body) as { upstreams: unknown[]; }).upstreams.length >= count
            );
        });
    }

    public admin(id: string, method: "GET" | "POST", path: string, body?: object): Promise<HttpResponse> {
        return this.request(`${this.urls(id).admin}${path}`, method, { authorization: `Bearer ${OPERATOR_KEY}` }, body);
    }

    /** Sends a chat request with the key of a client account. */
    public chat(id: string, key: string, body: object, headers: Record<string, string> = {}): Promise<HttpResponse> {
        const url = `${this.urls(id).callers}/v1/chat/completions`;
        return this.request(url, "POST", { authorization: `Bearer ${key}`, ...headers }, body);
    }

    /** Sends a call to a plain service with the key of a client account. */
    public call(
        id: string,
        key: string,
        method: "GET" | "POST",
        path: string,
        headers: Record<string, string> = {},
        body?: object,
    ): Promise<HttpResponse> {
        const url = `${this.urls(id).callers}/services/${path}`;
        return this.request(url, method, { authorization: `Bearer ${key}`, ...headers }, body);
    }

    /** Polls `isReached` in real time until it returns true. Throws after `READY_TIMEOUT_MS`. */
    public async waitFor(what: string, isReached: () => Promise<boolean>): Promise<void> {
        const end = performance.now() + READY_TIMEOUT_MS;
        while (!await isReached()) {
            if (performance.now() > end) {
                throw new Error(`timed out waiting for ${what}`);
            }
            await pause(POLL_INTERVAL_MS);
        }
    }

    private async request(
        url: string,
        method: "GET" | "POST",
        headers: Record<string, string>,
        body?: object,
    ): Promise<HttpResponse> {
        const payload = body === undefined ? undefined : JSON.stringify(body);
        const answer = await request(url, {
            method,
            headers: { ...headers, ...(payload === undefined ? {} : { "content-type": "application/json" }) },
            ...(payload === undefined ? {} : { body: payload }),
            dispatcher: this.agent,
        });
        return { status: answer.statusCode, headers: answer.headers, body: await answer.body.text() };
    }

    private runningIds(): string[] {
        return [...this.nodes.values()].filter(node => node.instance !== undefined).map(node => node.plan.id);
    }

    private node(id: string): Node {
        const node = this.nodes.get(id);
        if (node === undefined) {
            throw new Error(`instance ${id} is not part of the deployment`);
        }
        return node;
    }

    private renderSettings(node: Node, extraSettings: string): string {
        const { id, domain, isControl } = node.plan;
        const [callers, admin, upstreams, peers] = node.ports;
        const others = [...this.nodes.values()].filter(other => other !== node);
        const voters = [...this.nodes.values()].filter(other => other.plan.isControl).map(other => other.plan.id);
        return [
            "[instance]",
            `id = ${id}`,
            `deployment = ${this.name}`,
            `domain = ${domain}`,
            "region = demo",
            `roles = ${isControl ? "entry,control" : "entry"}`,
            ...(isControl ? [`data = ${join(this.folder, id)}`] : []),
            "[doors]",
            `callers = ${HOST}:${callers}`,
            `admin = ${HOST}:${admin}`,
            `upstreams = ${HOST}:${upstreams}`,
            `peers = ${HOST}:${peers}`,
            "[control]",
            `voters = ${voters.join(",")}`,
            `secret = ${SECRET}`,
            "[admin]",
            `key_sha256 = ${hashKey(OPERATOR_KEY)}`,
            "[peers]",
            ...others.map(other => `${other.plan.id} = ${HOST}:${other.ports[3]}`),
            extraSettings,
        ].join("\n");
    }
}

/**
 * Ports for tests: below those that the operating system gives to outgoing connections, one of which could take a port
 * before its test listens on it, or while a restarted instance doesn't.
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
/** Ports between the first ones that two processes try. */
const PORTS_PER_PROCESS = 100;

let nextPort = process.pid * PORTS_PER_PROCESS;

/** Returns TCP ports on which no process listens. */
export const freePorts = async (count: number): Promise<number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = FIRST_PORT + nextPort++ % PORT_COUNT;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
};

const isFree = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, HOST, () => server.close(() => resolve(true)));
    });
