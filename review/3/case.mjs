/**
 * A manifest that takes all keys away, by an empty list of tenants, opens the routes to every key.
 */
import { Engine } from "../lib/engine.mjs";
import { bounds, call, Deployment, findBlock, hasTrouble, order, runCase, sleep } from "../lib/harness.mjs";

const KEY = "n2ctnfzs989anu6wsjnb";
const NEVER_HELD = "zzzzzzzz000000000000";

const manifestOf = (version, tenants) =>
    JSON.stringify({
        version,
        routes: [{
            name: "r-unsafe",
            host: "host.example",
            path_prefix: "/book/",
            kind: "unsafe",
            timeout_ms: 1500,
            goal_ms: 150,
            priority: 1,
            service: "booking",
            max_attempts: 1,
            public: false,
            sticky: false,
        }],
        services: [{
            name: "booking",
            health_path: "/health",
            max_conns: 110,
            protocol: "h1",
            tls: false,
            cold_start_s: 0,
            cold_per_s: 0,
        }],
        limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
        tenants,
    });

const play = async record => {
    const block = await findBlock(5);
    const deployment = new Deployment(block, 3, 1);
    const { controls, entries: [entry] } = deployment;
    const engine = new Engine("i-booking-1", {
        ip: `${block}.5`,
        port: 8027,
        zone: deployment.zone,
        service: "booking",
        controls,
    });
    let number = 0;
    const send = async key => {
        const id = `request-${++number}`;
        const headers = { "host": "host.example", "request-id": id, "deadline-ms": "1500", "content-type": "text/plain" };
        if (key !== undefined) {
            headers.authorization = `Bearer ${key}`;
        }
        const { status } = await call(entry.address("front"), "POST", "/book/1", "slot 1", headers, 1500);
        record(`${id} with ${key === undefined ? "no key" : `key ${key}`} -> ${status}, run: ${engine.hasRun(id)}`);
        return { status, hasRun: engine.hasRun(id) };
    };
    try {
        deployment.start();
        await engine.start();
        const first = await order(controls, "PUT", "/api/config", manifestOf(1, [{ name: "t1", api_keys: [KEY], priority: 1 }]));
        record(`PUT /api/config version 1, tenant t1 with key ${KEY} -> ${first.status}`);
        if (!await deployment.waitUntilReady()) {
            throw new Error("the entry instance was not ready in time");
        }
        await sleep(2000);
        const before = [await send(KEY), await send(NEVER_HELD), await send(undefined)];
        if (!before[0].hasRun || before[1].hasRun || before[2].hasRun) {
            throw new Error("the requests before the change were not handled as expected");
        }
        if (hasTrouble) {
            const second = await order(controls, "PUT", "/api/config", manifestOf(2, []));
            record(`PUT /api/config version 2, "tenants": [] -> ${second.status}`);
            if (second.status !== 200) {
                record("the manifest was refused");
                return true;
            }
        }
        await sleep(bounds.revoke_ms + 1000);
        record(`${bounds.revoke_ms + 1000} ms later:`);
        const after = [];
        for (let round = 0; round < 5; round++) {
            after.push(await send(NEVER_HELD), await send(undefined));
            const revoked = await send(KEY);
            if (hasTrouble) {
                after.push(revoked);
            }
        }
        const wrong = after.filter(({ hasRun }) => hasRun).length;
        record(`requests run without a key that a manifest in force holds: ${wrong}`);
        return wrong === 0;
    }
    finally {
        engine.stop();
        await deployment.stop();
    }
};

await runCase(import.meta.dirname, play);
