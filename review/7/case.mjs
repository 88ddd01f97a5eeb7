/**
 * Streams that may not be resumed, on a route with several models that a manifest adds. Such a request may run once at most.
 * The engines are sound: they answer every request, and state a low confidence for some answers of the small model.
 */
import { Deployment } from "../lib-2/deployment.mjs";
import { Engine } from "../lib-2/engine.mjs";
import { call, sleep } from "../lib-2/http.mjs";
import { runCase } from "../lib-2/record.mjs";

const HOST = "chat.example";
const KEY = "key-of-the-only-tenant";
const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"];
const SLOTS = 64;
const EVENTS = 8;
const CLIENTS = 6;
const TRAFFIC_MS = 15_000;
const CONFIG_MS = 2000;

const route = (name, prefix, fields) => ({
    name,
    host: HOST,
    path_prefix: prefix,
    kind: "stream",
    timeout_ms: 20_000,
    goal_ms: 1000,
    priority: 0,
    sizes: ["small", "large"],
    service: "llm",
    max_attempts: 3,
    public: false,
    sticky: true,
    gap_target_ms: 600,
    ...fields,
});

const manifest = (version, routes) => ({
    version,
    routes,
    services: [{
        name: "llm",
        health_path: "/health",
        max_conns: 370,
        cold_start_s: 0,
        cold_per_s: 0,
        engine: {
            slots: SLOTS,
            kv_capacity: 600_000,
            models: [{ name: "small", cost: 0.016 }, { name: "large", cost: 0.24 }],
        },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "tenant", api_keys: [KEY], priority: 1 }],
});

const resumable = route("resumable", "/chat/", { resumable: true });
const once = route("once", "/once/", { resumable: false });

await runCase(import.meta.dirname, async (record, hasTrouble) => {
    const deployment = new Deployment(ZONES, 3, 2);
    const engines = [];
    const runs = new Map();
    const answers = new Map();

    const handle = async (req, socket, engine) => {
        const id = req.headers["request-id"];
        const { model } = req.headers;
        const confidence = model === "small" && Math.random() < 0.4 ? 15 : 90;
        runs.set(id, [...runs.get(id) ?? [], `${engine.id} with ${model}`]);
        record.add(`engine ${engine.id} runs ${id} (${req.path}) with ${model}, confidence ${confidence}`);
        await sleep(20 + Math.random() * 20);
        socket.write(
            `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nEngine-Stamp: stamp-${id}\r\nEngine-Load: 1,0,${SLOTS}\r\nConfidence: ${confidence}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
        );
        const first = Number(req.headers["last-event-id"] ?? 0) + 1;
        for (let event = first; event <= EVENTS && !socket.destroyed; event++) {
            const text = `id: ${event}\ndata: part ${event}\n\n`;
            socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
            await sleep(20);
        }
        if (!socket.destroyed) {
            socket.write("0\r\n\r\n");
        }
    };

    try {
        await deployment.start();
        const controls = () => deployment.controls.map(machine => deployment.controlOf(machine));
        for (const [index, zone] of ZONES.entries()) {
            const engine = new Engine({
                service: "llm",
                zone,
                slots: SLOTS,
                ip: `${deployment.subnet}.${100 + index}`,
                controls,
                handle,
                fields: {
                    phase: "both",
                    models: [{ name: "small", version: 1, adapters: [] }, { name: "large", version: 1, adapters: [] }],
                },
            });
            engines.push(engine);
            await engine.start();
        }
        const first = await deployment.putManifest(manifest(1, [resumable]));
        record.add(`manifest 1, with the route that may be resumed: ${first.status}`);
        await deployment.waitUntilReady();
        await sleep(5000);
        if (hasTrouble) {
            const second = await deployment.putManifest(manifest(2, [resumable, once]));
            record.add(`manifest 2, which adds the route that may not be resumed: ${second.status}`);
        }
        await sleep(CONFIG_MS + 500);

        let sent = 0;
        const end = Date.now() + TRAFFIC_MS;
        const client = async index => {
            const target = deployment.callersOf(deployment.entries[index % deployment.entries.length]);
            while (Date.now() < end) {
                const id = `r-${++sent}`;
                const path = hasTrouble && sent % 2 === 0 ? "/once/question" : "/chat/question";
                record.add(`client sends ${id} (${path})`);
                const res = await call(target, "POST", path, {
                    headers: {
                        Host: HOST,
                        "Request-Id": id,
                        Model: "*",
                        "Token-Counts": "400,40",
                        "Prompt-Prefix": `5c1e07a2:200,91bd3f06:150,e44${sent.toString(16)}:50`,
                        "Deadline-Ms": "20000",
                        Authorization: `Bearer ${KEY}`,
                    },
                    body: "a question",
                    timeoutMs: 20_000,
                }).catch(err => ({ status: 0, body: err.message }));
                answers.set(id, { ...res, path });
                record.add(`client gets ${res.status} for ${id}, ${res.isComplete ? "complete" : "not complete"}`);
                await sleep(50 + Math.random() * 100);
            }
        };
        await Promise.all(Array.from({ length: CLIENTS }, (...[, index]) => client(index)));
        const broken = [];
        for (const [id, list] of runs) {
            const { path, status } = answers.get(id) ?? {};
            if (path?.startsWith("/once/") && list.length > 1) {
                broken.push(`TWICE: ${id} on a route that may not be resumed ran on ${list.join(" and ")}; its client got ${status}`);
            }
        }
        const onceCount = [...answers.values()].filter(({ path }) => path.startsWith("/once/")).length;
        record.add(`${sent} requests, ${onceCount} of them on the route that may not be resumed`);
        return broken;
    }
    finally {
        engines.forEach(engine => engine.stop());
        await deployment.stop();
    }
});
