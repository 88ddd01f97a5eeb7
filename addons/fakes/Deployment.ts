/**
 * A whole small deployment in one process on loopback: instances, and fakes of everything outside. The demo,
 * the end-to-end tests and the benches of whole paths use it.
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
/** Doors of an instance, in the order of their ports. */
const LISTENERS_PER_INSTANCE = 4;
/** Time in which a deployment must be ready, in ms. */
const READY_TIMEOUT_MS = 10_000;
const POLL_MS = 25;

/** One instance to be started. */
export interface InstancePlan {
    readonly id: string;
    readonly domain: string;
    readonly isControl: boolean;
}

/** Where an instance listens. */
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

/** Answer to a request of the helpers. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: string;
}

/** Instances in one process. */
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

    /** Starts all instances and waits until each can be reached. */
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

    /** Upstream doors of all instances, in the order of their plans. */
    public announceUrls(): string[] {
        return [...this.nodes.keys()].map(id => this.urls(id).upstreams);
    }

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

    /** A planned stop of one instance. */
    public async stopInstance(id: string): Promise<void> {
        const { instance } = this.node(id);
        this.node(id).instance = undefined;
        await instance?.stop();
    }

    public async stop(): Promise<void> {
        await Promise.all([...this.nodes.keys()].map(id => this.stopInstance(id)));
        await this.agent.close();
        await rm(this.folder, { recursive: true, force: true });
    }

    /** Submits a sheet at an instance. */
    public submitSheet(id: string, text: string): Promise<HttpResponse> {
        return this.admin(id, "POST", "/admin/v1/sheets", { text, reason: "" });
    }

    /** Waits until a sheet is in force on every instance. */
    public async waitForSheet(number: number): Promise<void> {
        await this.waitFor(`sheet ${number} to be in force`, async () => {
            const answers = await Promise.all(this.runningIds().map(id => this.admin(id, "GET", "/admin/v1/status")));
            return answers.every(answer => (JSON.parse(answer.body) as { sheet?: number; }).sheet === number);
        });
    }

    /** Waits until an instance knows `count` upstreams. */
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

    /** A chat request of a client account. */
    public chat(id: string, key: string, body: object, headers: Record<string, string> = {}): Promise<HttpResponse> {
        const url = `${this.urls(id).callers}/v1/chat/completions`;
        return this.request(url, "POST", { authorization: `Bearer ${key}`, ...headers }, body);
    }

    /** A call of a plain service. */
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

    /** Waits in real time until `isReached`, or throws. */
    public async waitFor(what: string, isReached: () => Promise<boolean>): Promise<void> {
        const end = performance.now() + READY_TIMEOUT_MS;
        while (!await isReached()) {
            if (performance.now() > end) {
                throw new Error(`gave up waiting for ${what}`);
            }
            await pause(POLL_MS);
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
            throw new Error(`no instance ${id}`);
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

/** Ports that nobody listens on. */
export const freePorts = async (count: number): Promise<number[]> => {
    const servers = await Promise.all(
        Array.from({ length: count }, () =>
            new Promise<ReturnType<typeof createServer>>(resolve => {
                const server = createServer();
                server.listen(0, HOST, () => resolve(server));
            })),
    );
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};
