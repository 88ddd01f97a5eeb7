/**
 * `path`: load through one instance and, in the same run, through a minimal proxy of node:http and undici (the
 * pass-through) to the same fake engines. Load generators and engines run in worker threads, so that the measured
 * thread executes only the router or the pass-through.
 */
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { Worker } from "node:worker_threads";
import { Pool } from "undici";
import { Deployment } from "../../addons/fakes/Deployment.ts";
import { accountRow, allowModel, domainRow, sheetText, versionRow } from "../../addons/fakes/SheetText.ts";
import { type Outcome, quantile, round, type Scenario } from "../Scenario.ts";
import { type LoadPlan, type LoadResult } from "./PathLoad.ts";

const CONCURRENCY = 256;
const WARM_UP_REQUESTS = 1500;
const REQUESTS = 16_000;
const ROUNDS = 3;
/** Required peak rate of the whole system, in requests per second. */
const PEAK_RATE = 990;
const PEAK_SECONDS = 4;
/** Streams of 252 tokens started per second; the required peak is 3 per second on each of 340 nodes. */
const STREAM_RATE = 100;
const STREAM_SECONDS = 4;

interface Target {
    readonly url: string;
    readonly key: string;
}

const run = async (seed: number): Promise<Outcome> => {
    const engineWorkers = [startWorker(), startWorker()];
    const loadWorkers = [startWorker(), startWorker()];
    const enginePorts = await Promise.all(engineWorkers.map(engine => engine.call<number>({ kind: "engine" })));
    const deployment = new Deployment("path");
    await deployment.start([{ id: "a-1", domain: "a", isControl: true }]);
    await prepare(deployment, enginePorts);
    const bare = await startPassThrough(enginePorts);
    const router: Target = { url: deployment.urls("a-1").callers, key: "key-x" };
    const barePort = (bare.server.address() as AddressInfo).port;
    const passThrough: Target = { url: `http://127.0.0.1:${barePort}`, key: "none" };
    try {
        return await measure(loadWorkers, router, passThrough, seed);
    }
    finally {
        bare.server.close();
        await Promise.all(bare.pools.map(pool => pool.destroy()));
        await deployment.stop();
        await Promise.all([...engineWorkers, ...loadWorkers].map(thread => thread.stop()));
    }
};

const prepare = async (deployment: Deployment, enginePorts: readonly number[]): Promise<void> => {
    const rows = [domainRow("a"), accountRow("x"), versionRow("m", "v1", 100), allowModel("x", "m")];
    await deployment.submitSheet("a-1", sheetText(1, rows));
    await deployment.waitForSheet(1);
    const announce = async (port: number): Promise<void> => {
        await fetch(`${deployment.urls("a-1").upstreams}/upstream/v1/announce`, {
            method: "POST",
            body: JSON.stringify({
                id: `engine-${port}`,
                startId: "s1",
                domain: "a",
                host: "127.0.0.1",
                port,
                versions: [{ model: "m", version: "v1" }],
                capacity: 2000,
                coldCapacity: 2000,
                warmMs: 0,
            }),
        });
    };
    const announceAll = (): Promise<void[]> => Promise.all(enginePorts.map(announce));
    await announceAll();
    // The last announcement may be sent when the instance has already stopped.
    setInterval(() => void announceAll().catch(() => undefined), 1000).unref();
    await deployment.waitForUpstreams(enginePorts.length);
    await new Promise(resolve => setTimeout(resolve, 2500));
};

/** Result of closed-loop load. `cores` is the fraction of the time in which the measured thread was busy. */
interface ClosedLoopResult {
    readonly perSecond: number;
    readonly latenciesMs: readonly number[];
    readonly wrongAnswers: number;
    readonly cores: number;
}

const runClosedLoop = async (
    loadWorkers: readonly WorkerThread[],
    target: Target,
    requests: number,
    seed: number,
): Promise<ClosedLoopResult> => {
    const before = performance.eventLoopUtilization();
    const plan = {
        kind: "load",
        ...target,
        concurrency: CONCURRENCY / loadWorkers.length,
        ratePerS: 0,
        isStream: false,
    } as const;
    const results = await Promise.all(
        loadWorkers.map((load, index) =>
            load.call<LoadResult>({ ...plan, requests: requests / loadWorkers.length, seed: seed + index })
        ),
    );
    return {
        perSecond: results.reduce((sum, result) => sum + result.perSecond, 0),
        latenciesMs: results.flatMap(result => result.latenciesMs),
        wrongAnswers: results.reduce((sum, result) => sum + result.wrongAnswers, 0),
        cores: performance.eventLoopUtilization(before).utilization,
    };
};

const measure = async (
    loadWorkers: readonly WorkerThread[],
    router: Target,
    bare: Target,
    seed: number,
): Promise<Outcome> => {
    const loadWorker = loadWorkers[0] as WorkerThread;
    await runClosedLoop(loadWorkers, router, WARM_UP_REQUESTS, seed);
    await runClosedLoop(loadWorkers, bare, WARM_UP_REQUESTS, seed);
    const rounds: { router: ClosedLoopResult; bare: ClosedLoopResult; }[] = [];
    for (let index = 0; index < ROUNDS; index++) {
        rounds.push({
            router: await runClosedLoop(loadWorkers, router, REQUESTS, seed + index * 2),
            bare: await runClosedLoop(loadWorkers, bare, REQUESTS, seed + index * 2),
        });
    }
    const peak = await measureOpenLoop(loadWorker, router, seed, {
        rate: PEAK_RATE,
        seconds: PEAK_SECONDS,
        isStream: false,
    });
    const stream = await measureOpenLoop(loadWorker, router, seed, {
        rate: STREAM_RATE,
        seconds: STREAM_SECONDS,
        isStream: true,
    });
    const ratios = rounds.map(item => item.router.perSecond / item.bare.perSecond);
    const median = (valueOf: (item: typeof rounds[number]) => number): number => quantile(rounds.map(valueOf), 0.5);
    const latencyRatioAt = (q: number): number =>
        median(item => quantile(item.router.latenciesMs, q) / quantile(item.bare.latenciesMs, q));
    const wrong = rounds.reduce((sum, item) => sum + item.router.wrongAnswers, stream.result.wrongAnswers);
    return {
        violations: { wrong_answer: wrong },
        figures: {
            throughput_ratio: round(quantile(ratios, 0.5)),
            router_requests_per_s: Math.round(median(item => item.router.perSecond)),
            bare_requests_per_s: Math.round(median(item => item.bare.perSecond)),
            router_cores: round(median(item => item.router.cores)),
            bare_cores: round(median(item => item.bare.cores)),
            added_p50_ratio: round(latencyRatioAt(0.5)),
            added_p99_ratio: round(latencyRatioAt(0.99)),
            ttft_p95_ms: round(quantile(stream.result.firstTokenMs, 0.95)),
            gap_p95_ms: round(quantile(stream.result.gapMs, 0.95)),
            plain_990_p95_ms: round(quantile(peak.result.latenciesMs, 0.95)),
            plain_990_cores: round(peak.cores),
            stream_rate_per_s: round(stream.result.perSecond, 1),
            stream_cores: round(stream.cores),
        },
    };
};

interface OpenLoopPlan {
    readonly rate: number;
    readonly seconds: number;
    readonly isStream: boolean;
}

/** Generates load at a fixed rate. `cores` is the fraction of the time in which the measured thread was busy. */
const measureOpenLoop = async (
    load: WorkerThread,
    target: Target,
    seed: number,
    { rate, seconds, isStream }: OpenLoopPlan,
): Promise<{ result: LoadResult; cores: number; }> => {
    const before = performance.eventLoopUtilization();
    const requests = rate * seconds;
    const plan: LoadPlan = { kind: "load", ...target, requests, concurrency: 2000, ratePerS: rate, isStream, seed };
    const result = await load.call<LoadResult>(plan);
    return { result, cores: performance.eventLoopUtilization(before).utilization };
};

/** Starts the minimal proxy between callers and engines: a node:http server in front of undici pools. */
const startPassThrough = async (enginePorts: readonly number[]): Promise<{ server: Server; pools: Pool[]; }> => {
    const pools = enginePorts.map(port =>
        new Pool(`http://127.0.0.1:${port}`, { connections: CONCURRENCY, pipelining: 1 })
    );
    let nextPool = 0;
    const server = createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            const body = Buffer.concat(chunks);
            const headers = { "content-type": "application/json", "x-request-id": "bare" };
            void (pools[nextPool++ % pools.length] as Pool).request({
                path: req.url ?? "/",
                method: "POST",
                headers,
                body,
            })
                .then(async answer => {
                    res.writeHead(answer.statusCode, { "content-type": "application/json" });
                    for await (const chunk of answer.body) {
                        res.write(chunk);
                    }
                    res.end();
                });
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, pools };
};

interface WorkerThread {
    call<T>(message: { kind: "engine"; } | LoadPlan): Promise<T>;
    stop(): Promise<number>;
}

const startWorker = (): WorkerThread => {
    const worker = new Worker(new URL("./PathLoad.ts", import.meta.url));
    return {
        call: message =>
            new Promise((resolve, reject) => {
                worker.once("message", resolve);
                worker.once("error", reject);
                worker.postMessage(message);
            }),
        stop: () => worker.terminate(),
    };
};

export const path: Scenario = {
    name: "path",
    summary: "load through one instance compared with a minimal proxy to the same fake engines",
    isDeterministic: false,
    run,
};
