/**
 * One request at a router whose upstreams are played by the test, which sees every attempt and sends its responses.
 */
import { createServer } from "node:http";
import { Duplex } from "node:stream";
import type { Dispatcher } from "undici";
import { type ExchangeCodec, type ResponseHead } from "../../src/common/gateway/ExchangeCodec.ts";
import { emptyFleet } from "../../src/common/gateway/FleetState.ts";
import { ObservedRun } from "../../src/common/gateway/RunSamples.ts";
import { type Selection, type SelectionRequest } from "../../src/common/gateway/UpstreamSelector.ts";
import { UpstreamStatistics } from "../../src/common/gateway/UpstreamStatistics.ts";
import { ManualClock } from "../../src/common/time/ManualClock.ts";
import { type Call, type CallResult, createCallState } from "../../src/node/gateway/Call.ts";
import { CallerReply } from "../../src/node/gateway/CallerReply.ts";
import { GatewayMetrics } from "../../src/node/gateway/GatewayMetrics.ts";
import { type ModelChoice } from "../../src/node/gateway/ModelChoice.ts";
import { RequestRouter, type RequestRouterDependencies } from "../../src/node/gateway/RequestRouter.ts";
import { UpstreamAttempts, type UpstreamAttemptsDependencies } from "../../src/node/gateway/UpstreamAttempts.ts";
import { Exchange, type ExchangeRequest } from "../../src/node/gateway/UpstreamConnections.ts";
import { ConnectionEnds } from "../../src/node/http/ResponseIntegrity.ts";
import { createLog } from "../../src/node/log/Log.ts";

export const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** One attempt, as its upstream sees it. */
export class SentAttempt {
    public isAborted = false;
    public readonly resumeAfter: string | undefined;
    public readonly upstream: string;
    public readonly exchange: Exchange;
    private readonly controller: Dispatcher.DispatchController;

    /** @param isConnected whether there is a connection for it at once */
    public constructor(
        clock: ManualClock,
        upstream: string,
        { headers, obstacle }: ExchangeRequest,
        isConnected: boolean,
    ) {
        this.upstream = upstream;
        this.resumeAfter = headers.at(headers.indexOf("resumeAfter") + 1);
        this.controller = {
            rawHeaders: [],
            abort: () => {
                this.isAborted = true;
            },
            pause: () => undefined,
            resume: () => undefined,
        } as unknown as Dispatcher.DispatchController;
        this.exchange = new Exchange(() => clock.monotonic(), new ConnectionEnds(), obstacle);
        if (isConnected) {
            this.exchange.handler.onRequestStart?.(this.controller, {});
        }
    }

    public sendHead(status = 200): void {
        this.exchange.handler.onResponseStart?.(this.controller, status, {});
    }

    public sendEvent(id: number): void {
        this.sendText(`id: ${id}\ndata: ${id}\n\n`);
    }

    public sendText(text: string): void {
        this.exchange.handler.onResponseData?.(this.controller, Buffer.from(text));
    }

    public end(): void {
        this.exchange.handler.onResponseEnd?.(this.controller, {});
    }

    public reset(): void {
        this.fail("ECONNRESET");
    }

    /** Ends the attempt with an error of its connection. */
    public fail(code: string): void {
        this.exchange.handler.onResponseError?.(this.controller, Object.assign(new Error(`read ${code}`), { code }));
    }
}

export interface SetupOptions {
    readonly maxAttempts?: number;
    readonly kind?: "stream" | "idempotent";
    readonly repeats?: number;
    readonly upstreams?: readonly string[];
    /** Confidence of the smaller model's answers; with it, the route has two models. */
    readonly confidence?: number;
    /** Upstreams to which no connection can be had. */
    readonly withoutConnection?: readonly string[];
}

/** A router with the given upstreams and one request, whose caller reads everything. */
export const createSetup = async (options: SetupOptions) => {
    const { maxAttempts = 2, kind = "stream", repeats = 5, upstreams = ["a", "b", "c"], confidence } = options;
    const clock = new ManualClock(10_000);
    const sent: SentAttempt[] = [];
    const unreached: string[] = [];
    const usable = new Set(upstreams);
    const upstreamStats = new UpstreamStatistics(clock);
    let body = "";
    const connection = new Duplex({
        read: () => undefined,
        write: (chunk: Buffer, ...[, done]) => {
            body += chunk.toString("latin1");
            done();
        },
    });
    const reply = await new Promise<CallerReply>(resolve => {
        createServer((req, res) => resolve(new CallerReply(req, res))).emit("connection", connection);
        connection.push("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    });
    const budget = {
        left: repeats,
        tryWithdraw: () => budget.left > 0 && budget.left-- > 0,
        tryWithdrawSpare: () => budget.left > 1 && budget.left-- > 1,
        putBack: () => budget.left++,
    };
    const models = confidence === undefined ? [] : ["small", "large"];
    const codec = {
        attemptHeaders: (...[, { resumeAfter }]: Parameters<ExchangeCodec["attemptHeaders"]>) => [
            "resumeAfter",
            resumeAfter,
        ],
        refusalHeaders: () => ({}),
        readHead: (status: number): Partial<ResponseHead> => ({
            status,
            headers: [],
            requestId: "q",
            hasStamp: true,
            isNotRun: status === 503,
            confidence,
        }),
    };
    const stub = {
        clock,
        codec,
        upstreamStats,
        directory: { get: () => undefined },
        entryCount: () => 1,
        hasQuorumContact: () => false,
        isSpared: () => false,
        sendObstacle: () => undefined,
        models: {
            next: (...[, { modelIndex }]: Parameters<ModelChoice["next"]>) =>
                confidence !== undefined && modelIndex === 0 ? 1 : undefined,
            recordGeneration: () => undefined,
        },
        onStatement: () => undefined,
        onLateStatement: () => undefined,
        onResponse: () => undefined,
        onUnanswered: () => undefined,
        startRun: () => new ObservedRun(clock, false, () => undefined),
        onPace: () => undefined,
        onConnectionClosed: () => undefined,
        onUnreached: ({ name }: Selection) => unreached.push(name),
        connections: {
            send: (name: string, ...[, , req]: [string, number, ExchangeRequest]) => {
                const isConnected = options.withoutConnection?.includes(name) !== true;
                sent.push(new SentAttempt(clock, name, req, isConnected));
                return sent.at(-1)?.exchange;
            },
        },
    };
    const attempts = new UpstreamAttempts(stub as unknown as UpstreamAttemptsDependencies);
    const select = ({ tried, model = "" }: SelectionRequest): Selection | undefined => {
        const name = upstreams.find(item => usable.has(item) && !tried.has(item) && item.startsWith(model));
        const record = { id: name, start: 1, domain: "d", version: "1", slots: 8, host: "127.0.0.1", port: 1 };
        return name === undefined
            ? undefined
            : { name, record, stats: upstreamStats.statsOf(name) } as unknown as Selection;
    };
    const router = new RequestRouter({
        ...stub,
        attempts,
        log: createLog("test", "fatal"),
        metrics: new GatewayMetrics(),
        selector: {
            select,
            recordSent: () => undefined,
            isHeldByLimits: () => false,
            pauseRemainingMs: () => undefined,
        },
        budget,
        permits: { areNeeded: () => false },
        reservations: {
            takeShare: () => ({ end: () => undefined, recordRead: () => undefined }),
            exclude: (...[, tried]: [unknown, ReadonlySet<string>]) => tried,
        },
        sessions: { record: () => undefined, get: () => undefined },
        outcomes: { record: () => undefined },
        fleet: () => emptyFleet,
        hasLease: () => true,
        isQuarantined: () => false,
        isSessionPinned: () => false,
    } as unknown as RequestRouterDependencies);
    const call = {
        req: { id: "q", method: "GET", path: "/", headers: [], prompt: undefined, resumeAfter: undefined },
        route: { name: "r", kind, gapMs: 600, objectiveMs: 1000, isResumable: true, maxAttempts, models },
        service: { name: "s", maxConnections: 10 },
        keys: { request: () => "key", parts: new Map() },
        arrivedAt: clock.monotonic(),
        deadlineAt: clock.monotonic() + 20_000,
        reply,
    } as unknown as Call;
    const state = createCallState();
    let result: CallResult | undefined;
    void router.route(call, state).then(value => {
        result = value;
    });
    const advance = async (ms: number): Promise<void> => {
        for (let elapsed = 0; elapsed < ms; elapsed += 20) {
            clock.advance(20);
            await settle();
        }
    };
    await settle();
    const events = (): number[] => [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    return {
        sent,
        unreached,
        usable,
        advance,
        events,
        result: () => result,
        budget,
        connection,
        state,
        body: () => body,
        upstreamStats,
    };
};

export const begin = async ({ sent }: { sent: readonly SentAttempt[]; }): Promise<void> => {
    sent[0]?.sendHead();
    sent[0]?.sendEvent(1);
    await settle();
};

export const finish = async (attempt: SentAttempt | undefined, from: number, to: number): Promise<void> => {
    for (let id = from; id <= to; id++) {
        attempt?.sendEvent(id);
    }
    attempt?.end();
    await settle();
};
