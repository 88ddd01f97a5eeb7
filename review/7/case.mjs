/**
 * Roll-outs of a service that come more than once: to v2, back to v1, and to v2 again. The last order is confirmed. Then all
 * processes are killed at the same moment and start again, and the operator reads the roll-out back.
 */
import { Deployment } from "../lib-2/deployment.mjs";
import { Engine } from "../lib-2/engine.mjs";
import { call, sleep } from "../lib-2/http.mjs";
import { runCase } from "../lib-2/record.mjs";

const HOST = "booking.example";
const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"];
/** As in the site file. */
const DURATION_S = 16;
/** Time within which the machines are to serve again after the final fault, in ms. */
const RECOVERY_MS = 12_000;
/** The operator reads for so long. */
const CONTACT_MS = 3000;

const manifest = {
    version: 1,
    routes: [{
        name: "look",
        host: HOST,
        path_prefix: "/look/",
        kind: "safe",
        timeout_ms: 800,
        goal_ms: 150,
        priority: 0,
        service: "booking",
        max_attempts: 2,
        public: true,
    }],
    services: [{ name: "booking", health_path: "/health", max_conns: 110, cold_start_s: 0, cold_per_s: 0 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants: [],
};

await runCase(import.meta.dirname, async (record, hasTrouble) => {
    const deployment = new Deployment(ZONES, 3, 2);
    const engines = new Set();
    const { controls } = deployment;

    const handle = (req, socket, engine) => {
        const id = req.headers["request-id"];
        record.add(`engine ${engine.id} (${engine.version}) runs ${id}`);
        const body = `answer of ${engine.version}`;
        socket.write(
            `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nEngine-Stamp: stamp-${id}\r\nEngine-Load: 0,0,6\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
        );
    };
    /** Sends an order or a question to one control process after the other until one answers it. */
    const ask = async (method, path, body) => {
        for (const end = Date.now() + RECOVERY_MS; Date.now() < end; await sleep(200)) {
            for (const machine of controls) {
                const res = await call(deployment.controlOf(machine), method, path, {
                    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
                    timeoutMs: 1000,
                }).catch(() => undefined);
                if (res !== undefined && res.status < 500) {
                    return res;
                }
            }
        }
        throw new Error(`no answer to ${method} ${path}`);
    };
    const startEngines = async version => {
        for (const [index, zone] of ZONES.entries()) {
            const engine = new Engine({
                service: "booking",
                zone,
                version,
                slots: 6,
                ip: `${deployment.subnet}.${100 + index}`,
                controls: () => controls.map(machine => deployment.controlOf(machine)),
                handle,
            });
            engines.add(engine);
            await engine.start();
        }
        record.add(`engines of ${version} have started`);
    };
    const stopEngines = version => {
        for (const engine of [...engines].filter(item => item.version === version)) {
            engine.stop();
            engines.delete(engine);
        }
        record.add(`engines of ${version} have stopped`);
    };
    const order = async target => {
        const res = await ask("POST", "/api/rollouts", { service: "booking", target, duration_s: DURATION_S });
        record.add(`POST /api/rollouts to ${target}: ${res.status}`);
        if (res.status !== 200) {
            throw new Error("the order was not confirmed");
        }
    };
    const read = async () => {
        const res = await ask("GET", "/api/rollouts/booking");
        record.add(`GET /api/rollouts/booking: ${res.status} ${res.body}`);
        return JSON.parse(res.body);
    };
    /** As the platform does: new engines start beside the old ones, which stop once the roll-out is completed. */
    const rollOut = async (from, to) => {
        await startEngines(to);
        await order(to);
        for (const end = Date.now() + (DURATION_S + 5) * 1000;;) {
            const { state, target } = await read();
            if (state === "completed" && target === to) {
                break;
            }
            if (Date.now() > end) {
                throw new Error(`the roll-out to ${to} was not completed`);
            }
            await sleep(1000);
        }
        stopEngines(from);
    };

    let isOver = false;
    try {
        await deployment.start();
        await startEngines("v1");
        record.add(`manifest 1: ${(await deployment.putManifest(manifest)).status}`);
        await deployment.waitUntilReady();
        await sleep(4000);
        let sent = 0;
        const traffic = Promise.all(deployment.entries.map(async machine => {
            while (!isOver) {
                const id = `r-${++sent}`;
                const res = await call(deployment.callersOf(machine), "GET", "/look/slot", {
                    headers: { Host: HOST, "Request-Id": id, "Deadline-Ms": "1500" },
                    timeoutMs: 1500,
                }).catch(err => ({ status: 0, body: err.message }));
                record.add(`client gets ${res.status} ${res.body} for ${id}`);
                await sleep(100);
            }
        }));
        await rollOut("v1", "v2");
        if (hasTrouble) {
            await rollOut("v2", "v1");
            await startEngines("v2");
            await order("v2");
        }
        await sleep(500);
        record.add("all processes are killed, and start again");
        await Promise.all(deployment.machines.map(machine => deployment.kill(machine)));
        deployment.machines.forEach(machine => deployment.spawn(machine, false));
        await sleep(RECOVERY_MS);
        const found = [];
        for (const end = Date.now() + CONTACT_MS; Date.now() < end; await sleep(300)) {
            found.push(await read());
        }
        isOver = true;
        await traffic;
        const { state, target } = found.at(-1);
        return found.some(item => item.target === "v2")
            ? []
            : [`LOST: the roll-out to v2 was confirmed last; all ${found.length} times, read back is ${state} to ${target}`];
    }
    finally {
        isOver = true;
        engines.forEach(engine => engine.stop());
        await deployment.stop();
    }
});
