/**
 * Simulates a model engine with limited memory: it reads prompts one after the other, runs a number of requests at once,
 * and holds prompt and output of all requests, running and waiting. It crashes when they exceed its memory.
 */
import { type Disposable } from "../../src/common/lifecycle/Disposable.ts";
import { type Clock } from "../../src/common/time/Clock.ts";

const READ_TOKENS_PER_MS = 57;
const SLOTS = 24;

/** A request at the engine. */
export interface EngineRequest {
    readonly promptTokens: number;
    readonly maxOutput: number;
    /** Time from the first event to the end, in ms. */
    readonly outputMs: number;
    /** Monotonic time at which the engine ends it by itself, in ms. */
    readonly deadlineAt: number;
    readonly onFirstEvent: () => void;
    /** `isServed` is false if the deadline has passed or the engine has crashed. */
    readonly onEnd: (isServed: boolean) => void;
}

interface Run {
    readonly req: EngineRequest;
    isRunning: boolean;
    readonly timers: Disposable[];
}

/** One engine. */
export class MemoryEngine {
    public readonly name: string;
    public readonly domain: number;
    public readonly slots = SLOTS;
    public readonly memoryTokens: number;
    public heldTokens = 0;
    /** Highest number of tokens held so far. */
    public peakTokens = 0;
    public crashes = 0;
    private readonly clock: Clock;
    private readonly runs = new Set<Run>();
    private running = 0;
    private readUntil = -Infinity;

    public constructor(clock: Clock, name: string, domain: number, memoryTokens: number) {
        this.clock = clock;
        this.name = name;
        this.domain = domain;
        this.memoryTokens = memoryTokens;
    }

    public get load(): { readonly running: number; readonly waiting: number; } {
        return { running: this.running, waiting: this.runs.size - this.running };
    }

    /** Accepts a request. The result ends it early, as a closed connection does. */
    public start(req: EngineRequest): Disposable {
        const run: Run = { req, isRunning: false, timers: [] };
        this.runs.add(run);
        this.heldTokens += sizeOf(req);
        this.peakTokens = Math.max(this.peakTokens, this.heldTokens);
        const untilDeadlineMs = Math.max(0, req.deadlineAt - this.clock.monotonic());
        run.timers.push(this.clock.schedule(untilDeadlineMs, () => this.end(run, false)));
        if (this.heldTokens > this.memoryTokens) {
            this.crashes++;
            [...this.runs].forEach(item => this.remove(item));
            this.readUntil = -Infinity;
            return { dispose: () => undefined };
        }
        this.startWaiting();
        return { dispose: () => this.remove(run) };
    }

    private startWaiting(): void {
        for (const run of this.runs) {
            if (this.running >= this.slots) {
                return;
            }
            if (!run.isRunning) {
                this.read(run);
            }
        }
    }

    private read(run: Run): void {
        run.isRunning = true;
        this.running++;
        const now = this.clock.monotonic();
        this.readUntil = Math.max(this.readUntil, now) + run.req.promptTokens / READ_TOKENS_PER_MS;
        run.timers.push(this.clock.schedule(this.readUntil - now, () => {
            run.timers.push(this.clock.schedule(run.req.outputMs, () => this.end(run, true)));
            run.req.onFirstEvent();
        }));
    }

    private end(run: Run, isServed: boolean): void {
        if (this.remove(run)) {
            run.req.onEnd(isServed);
        }
    }

    private remove(run: Run): boolean {
        if (!this.runs.delete(run)) {
            return false;
        }
        run.timers.forEach(timer => timer.dispose());
        this.heldTokens -= sizeOf(run.req);
        this.running -= run.isRunning ? 1 : 0;
        this.startWaiting();
        return true;
    }
}

const sizeOf = ({ promptTokens, maxOutput }: EngineRequest): number => promptTokens + maxOutput;
