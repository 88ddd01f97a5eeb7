/**
 * Simulates an upstream on the injected clock: its announcements, its load reports and the execution of requests.
 * It knows its actual capacity, and counts the requests that exceed it.
 */
import { routerError } from "../../src/common/errors/RouterError.ts";
import { type Clock, sleep } from "../../src/common/time/Clock.ts";
import { type Announcement, announcementSchema, type LoadReport } from "../../src/common/upstreams/Upstream.ts";

/** Options of a simulated upstream. */
export interface SimUpstreamOptions {
    readonly id: string;
    readonly domain: string;
    readonly service?: string;
    readonly versions?: readonly { readonly model: string; readonly version: string; }[];
    readonly capacity: number;
    readonly coldCapacity?: number;
    readonly warmMs?: number;
    /** The upstream crashes when its load exceeds this multiple of its current capacity. */
    readonly crashLoadFactor?: number;
}

/** A request that the upstream executes. */
export interface SimRequest {
    readonly id: string;
    /** Execution time on an idle upstream, in ms. */
    readonly workMs: number;
    readonly isPoison?: boolean;
}

/** Relative increase of the execution time of requests in a full batch. */
const BATCH_SLOWDOWN = 0.3;
const DEFAULT_CRASH_LOAD_FACTOR = 1.5;

/** A simulated upstream. */
export class SimUpstream {
    public readonly options: SimUpstreamOptions;
    public running = 0;
    public started = 0;
    public crashes = 0;
    /** Number of requests that started when the whole current capacity was already in use. */
    public overloads = 0;
    /** Number of crashes that overload caused. */
    public overloadCrashes = 0;
    /** Ids of all requests that were started, in order. */
    public readonly startedIds: string[] = [];
    public isUp = false;
    /** Whether it has sent its leave message; it then sends no more announcements and load reports. */
    public isLeaving = false;
    private readonly clock: Clock;
    private startId = "";
    private seq = 0;
    private startCount = 0;
    private warmUpStartedAt = 0;
    private crashListeners = new Set<() => void>();

    public constructor(clock: Clock, options: SimUpstreamOptions) {
        this.clock = clock;
        this.options = options;
    }

    /**
     * Starts the process. Without `hasNewStartId`, the process is cold again but keeps its previous start id, so that
     * its announcements don't show the restart.
     */
    public start(hasNewStartId = true): void {
        this.isLeaving = false;
        this.isUp = true;
        this.running = 0;
        this.warmUpStartedAt = this.clock.monotonic();
        if (hasNewStartId) {
            this.startId = `start-${++this.startCount}`;
            this.seq = 0;
        }
    }

    /** Number of requests that it can run now: rises linearly from the cold to the full capacity. */
    public get currentCapacity(): number {
        const { capacity, coldCapacity = capacity, warmMs = 0 } = this.options;
        const warmth = warmMs === 0 ? 1 : Math.min(1, (this.clock.monotonic() - this.warmUpStartedAt) / warmMs);
        return coldCapacity + (capacity - coldCapacity) * warmth;
    }

    public announcement(): Announcement {
        const { id, domain, service, versions = [], capacity, coldCapacity = capacity, warmMs = 0 } = this.options;
        const base = { id, startId: this.startId, domain, host: "127.0.0.1", port: 1, capacity, coldCapacity, warmMs };
        return announcementSchema.parse({ ...base, versions, ...(service === undefined ? {} : { service }) });
    }

    public report(): LoadReport {
        return { id: this.options.id, startId: this.startId, seq: this.seq++, running: this.running, queued: 0 };
    }

    /** Ends the process; the connections of all requests in flight break. */
    public crash(): void {
        this.isUp = false;
        this.crashes++;
        this.running = 0;
        const listeners = [...this.crashListeners];
        this.crashListeners.clear();
        listeners.forEach(listener => listener());
    }

    /** Runs a request until it completes or is cancelled. Rejects like a broken connection if the process crashes. */
    public async run(req: SimRequest, signal: AbortSignal): Promise<void> {
        if (!this.isUp) {
            throw routerError("connection refused", {
                code: "upstreamFailed",
                run: "not_run",
                step: "send",
                peer: this.options.id,
            });
        }
        this.startRequest(req);
        const durationMs = req.workMs * this.slowdown();
        const hasCrashed = await this.waitForEndOrCrash(
            req.isPoison === true ? Math.min(durationMs, POISON_CRASH_DELAY_MS) : durationMs,
            signal,
        );
        if (hasCrashed) {
            throw this.connectionError();
        }
        if (req.isPoison === true) {
            this.crash();
            throw this.connectionError();
        }
        this.running--;
    }

    private startRequest(req: SimRequest): void {
        this.running++;
        this.started++;
        this.startedIds.push(req.id);
        if (this.running <= Math.ceil(this.currentCapacity)) {
            return;
        }
        this.overloads++;
        if (
            this.running > Math.ceil(this.currentCapacity * (this.options.crashLoadFactor ?? DEFAULT_CRASH_LOAD_FACTOR))
        ) {
            this.overloadCrashes++;
            this.crash();
        }
    }

    private slowdown(): number {
        const load = this.running / Math.max(1, this.currentCapacity);
        return load <= 1 ? 1 + BATCH_SLOWDOWN * load : (1 + BATCH_SLOWDOWN) * load * load;
    }

    /** Waits for `ms` or until `signal` aborts. Resolves to true if the process crashes before that. */
    private waitForEndOrCrash(ms: number, signal: AbortSignal): Promise<boolean> {
        if (!this.isUp) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const onCrash = (): void => resolve(true);
            this.crashListeners.add(onCrash);
            const onEnd = (): void => {
                if (this.crashListeners.delete(onCrash)) {
                    resolve(false);
                }
            };
            signal.addEventListener("abort", onEnd, { once: true });
            void sleep(this.clock, ms).then(onEnd);
        });
    }

    private connectionError(): Error {
        return routerError("the connection broke", {
            code: "upstreamFailed",
            run: "unknown",
            step: "read",
            peer: this.options.id,
            isBroken: true,
        });
    }
}

/** Time after which a request with `isPoison` crashes its upstream, in ms. */
const POISON_CRASH_DELAY_MS = 20;
