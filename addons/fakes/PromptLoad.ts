/**
 * Replays long, medium and short prompts of many callers against engines of limited memory, with the reservations of
 * `PromptReservations` or with a simpler rule, and with disturbances of instances and links.
 */
import { type Service } from "../../src/common/gateway/GatewayConfig.ts";
import { type AttemptEnd, type PromptReservation } from "../../src/common/gateway/PromptReservations.ts";
import { DisposableOwner } from "../../src/common/lifecycle/Disposable.ts";
import { sleep } from "../../src/common/time/Clock.ts";
import { MemoryEngine } from "./MemoryEngine.ts";
import { DOMAINS, LONGEST_REQUEST_MS, ReservationFleet, type ReservingInstance, SERVICE } from "./ReservationFleet.ts";
import { SeededRandom } from "./SeededRandom.ts";

const MEMORY_TOKENS = 480_547;
/** Number of engines to which the arrival rates refer. */
const RATED_ENGINES = 63;
const SHORT = { perSecond: 99, least: 200, mean: 830, most: 3000, outputMs: 2500 };
const MEDIUM = { perSecond: 75, least: 1000, mean: 2400, most: 8000, outputMs: 2500 };
/**
 * Requests per second of all callers, the least, the mean and the greatest length of their prompts, and the mean time of
 * their output. `usual` is the load of docs/heavy-load.md. With `large`, the memory of the engines is scarcer than their
 * slots.
 */
const MIXES = {
    usual: {
        long: { perSecond: 48, least: 4000, mean: 12_000, most: 70_000, outputMs: 2500 },
        medium: MEDIUM,
        short: SHORT,
    },
    large: {
        long: { perSecond: 48, least: 8000, mean: 30_000, most: 70_000, outputMs: 7000 },
        medium: MEDIUM,
        short: SHORT,
    },
} as const;
const MAX_OUTPUT = 400;
/** Latency objective of the requests, in ms. */
const OBJECTIVE_MS = 2500;
/** How long a request waits for an engine before it is refused, in ms. */
const WAIT_MS = 600;
const RETRY_MS = 50;
/** Engines that one request asks for memory in a row. */
const MAX_DENIALS = 4;
/** Engines that are compared for one request. */
const COMPARED = 3;
/** Longest time for which an engine goes on with a request whose connection was closed, in ms. */
const LINGER_MS = 450;
/** Time without an answer after which an attempt is given up as silent, in ms. */
const SILENT_MS = 2500;
/** Part of the memory that the baseline with fixed shares divides between the instances. */
const FIXED_PART = 0.97;
/** Part of the messages that is lost, and the mean time between two disturbances. */
const DISTURBANCES = {
    none: { lostMessages: 0, pauseMs: Infinity },
    /** Rare enough that issuers lend all they may in between. */
    rare: { lostMessages: 0.001, pauseMs: 4000 },
    frequent: { lostMessages: 0.03, pauseMs: 900 },
} as const;

/** How memory is limited: by reservations, by an equal share for each instance, or not at all. */
export type MemoryRule = "reservations" | "fixedShares" | "none";

/** Options of a replay. */
export interface PromptLoadOptions {
    readonly instances: number;
    readonly engines: number;
    readonly seed: number;
    readonly mix: keyof typeof MIXES;
    /** Multiple of the arrival rates. */
    readonly load: number;
    readonly rule: MemoryRule;
    readonly disturbances: keyof typeof DISTURBANCES;
}

type Kind = "long" | "medium" | "short";
interface KindCounts {
    arrived: number;
    /** Requests for which no engine had memory in time. */
    refused: number;
    served: number;
    /** Requests that asked an issuer. */
    asked: number;
}

const service: Service = {
    name: SERVICE,
    maxConnections: 1000,
    coldStartMs: 0,
    coldPerSecond: 0,
    engineSlots: 24,
    memoryTokens: MEMORY_TOKENS,
    models: [],
};

interface Prompt {
    readonly kind: Kind;
    readonly tokens: number;
    readonly deadlineAt: number;
}

/** A replay. */
export class PromptLoad extends DisposableOwner {
    public readonly fleet: ReservationFleet;
    public readonly engines: readonly MemoryEngine[];
    public readonly kinds: Record<Kind, KindCounts> = {
        long: { arrived: 0, refused: 0, served: 0, asked: 0 },
        medium: { arrived: 0, refused: 0, served: 0, asked: 0 },
        short: { arrived: 0, refused: 0, served: 0, asked: 0 },
    };
    private readonly options: PromptLoadOptions;
    private readonly random: SeededRandom;
    /** Tokens in use by instance and engine, for the baseline with fixed shares. */
    private readonly fixedShares = new Map<string, number>();
    /** Requests at engines by instance, which end when its process does. */
    private readonly connections = new Map<ReservingInstance, Set<() => void>>();
    private hasEnded = false;

    public constructor(options: PromptLoadOptions) {
        super();
        this.options = options;
        this.random = new SeededRandom(options.seed);
        this.fleet = this.register(new ReservationFleet(options.instances));
        this.engines = [...Array(options.engines).keys()].map(index =>
            new MemoryEngine(this.fleet.clock, `engine ${index}`, index % DOMAINS, MEMORY_TOKENS)
        );
    }

    /** Highest part of its memory that any engine has held. */
    public get peak(): number {
        return Math.max(...this.engines.map(({ peakTokens }) => peakTokens / MEMORY_TOKENS));
    }

    public get crashes(): number {
        return this.engines.reduce((sum, engine) => sum + engine.crashes, 0);
    }

    private get isDisturbed(): boolean {
        return this.options.disturbances !== "none";
    }

    /** Runs the load for `ms`; resolves with the mean part of the memory in use. */
    public async run(ms: number): Promise<number> {
        const { fleet, options } = this;
        const until = fleet.clock.monotonic() + ms;
        this.scheduleArrival();
        if (this.isDisturbed) {
            const { lostMessages } = DISTURBANCES[options.disturbances];
            fleet.isLost = () => this.random.chance(lostMessages);
            this.scheduleDisturbance();
        }
        let used = 0;
        let samples = 0;
        while (fleet.clock.monotonic() < until) {
            await fleet.run(100);
            used += this.engines.reduce((sum, { heldTokens }) => sum + heldTokens, 0);
            samples += this.engines.length * MEMORY_TOKENS;
        }
        this.hasEnded = true;
        return used / samples;
    }

    private scheduleArrival(): void {
        const { fleet, options, random } = this;
        const mix = MIXES[options.mix];
        const kinds = Object.keys(mix) as Kind[];
        const perSecond = kinds.reduce((sum, kind) => sum + mix[kind].perSecond, 0);
        const rate = perSecond * options.load * options.engines / RATED_ENGINES / 1000;
        fleet.clock.schedule(random.exponential(1 / rate), () => {
            if (this.hasEnded) {
                return;
            }
            this.scheduleArrival();
            let choice = random.next() * perSecond;
            const kind = kinds.find(item => (choice -= mix[item].perSecond) < 0) ?? "short";
            const { least, mean, most } = mix[kind];
            const tokens = Math.min(most, Math.round(least + random.exponential(mean - least)));
            const remainingMs = LONGEST_REQUEST_MS * (0.6 + 0.4 * random.next());
            const instance = random.pick([...fleet.instances.values()]);
            if (!instance.clock.isHeld) {
                this.kinds[kind].arrived++;
                void this.serve(instance, { kind, tokens, deadlineAt: fleet.clock.monotonic() + remainingMs });
            }
        });
    }

    private async serve(instance: ReservingInstance, prompt: Prompt): Promise<void> {
        const { clock } = instance;
        const waitUntil = clock.monotonic() + WAIT_MS;
        let hasAsked = false;
        const recordAsked = (): void => {
            this.kinds[prompt.kind].asked += hasAsked ? 0 : 1;
            hasAsked = true;
        };
        while (clock.monotonic() < waitUntil && !instance.isDisposed && instance.hasLease) {
            const denied = new Set<string>();
            while (denied.size < MAX_DENIALS && !instance.isDisposed) {
                const engine = this.pickEngine(instance, prompt, denied);
                if (engine === undefined) {
                    break;
                }
                const reservation = await this.reserve(instance, engine, prompt, recordAsked);
                if (reservation !== undefined) {
                    this.send(instance, engine, prompt, reservation);
                    return;
                }
                denied.add(engine.name);
            }
            await sleep(clock, RETRY_MS);
        }
        this.kinds[prompt.kind].refused++;
    }

    private pickEngine(
        instance: ReservingInstance,
        prompt: Prompt,
        denied: ReadonlySet<string>,
    ): MemoryEngine | undefined {
        const { fleet, engines, random } = this;
        const excluded = this.options.rule === "reservations"
            ? instance.reservations.exclude(this.requestOf(prompt), denied)
            : denied;
        const usable = engines.filter(({ name, domain }) =>
            !excluded.has(name) && fleet.areConnected(domain, instance.domain)
        );
        const compared = usable.length === 0 ? [] : [...Array(COMPARED).keys()].map(() => random.pick(usable));
        const runningAt = ({ name }: MemoryEngine): number =>
            instance.upstreamStats.estimateRunning(instance.upstreamStats.statsOf(name));
        return compared.sort((a, b) => runningAt(a) - runningAt(b))[0];
    }

    private requestOf(
        { tokens, deadlineAt }: Prompt,
    ): Parameters<ReservingInstance["reservations"]["takeShare"]>[1] {
        return {
            service,
            prompt: { tokens, maxOutput: MAX_OUTPUT, segments: [] },
            objectiveMs: OBJECTIVE_MS,
            remainingMs: deadlineAt - this.fleet.clock.monotonic(),
        };
    }

    private async reserve(
        instance: ReservingInstance,
        engine: MemoryEngine,
        prompt: Prompt,
        onAsk: () => void,
    ): Promise<PromptReservation | undefined> {
        const { rule, instances } = this.options;
        if (rule === "none") {
            return { recordRead: () => undefined, end: () => undefined };
        }
        if (rule === "fixedShares") {
            const key = `${instance.id} ${engine.name}`;
            const size = prompt.tokens + MAX_OUTPUT;
            const used = this.fixedShares.get(key) ?? 0;
            if (used + size > MEMORY_TOKENS * FIXED_PART / instances) {
                return undefined;
            }
            this.fixedShares.set(key, used + size);
            const end = (): unknown => this.fixedShares.set(key, (this.fixedShares.get(key) ?? 0) - size);
            return { recordRead: () => undefined, end };
        }
        const req = this.requestOf(prompt);
        const share = instance.reservations.takeShare(engine, req);
        if (share !== undefined) {
            return share;
        }
        onAsk();
        return instance.reservations.borrow(engine, req);
    }

    /** Sends the prompt. Some attempts are aborted: callers leave, or a larger model takes over with its own attempt. */
    private send(
        instance: ReservingInstance,
        engine: MemoryEngine,
        prompt: Prompt,
        reservation: PromptReservation,
    ): void {
        const { fleet, random, options } = this;
        const { clock } = instance;
        if (instance.isDisposed || !fleet.areConnected(engine.domain, instance.domain)) {
            reservation.end("complete");
            return;
        }
        const stats = instance.upstreamStats.statsOf(engine.name);
        const isAborted = this.isDisturbed && random.chance(0.1);
        const isEscalated = isAborted && random.chance(0.5);
        const connections = this.connections.get(instance) ?? new Set();
        this.connections.set(instance, connections);
        let isOpen = true;
        stats.inFlight++;
        const close = (how: AttemptEnd): void => {
            if (!isOpen || instance.isDisposed) {
                return;
            }
            isOpen = false;
            stats.inFlight--;
            silence.dispose();
            connections.delete(breakOff);
            reservation.end(how);
        };
        /** Tells the instance, unless the link is cut off. */
        const notify = (run: () => void): void => {
            if (fleet.areConnected(engine.domain, instance.domain)) {
                clock.schedule(1, run);
            }
        };
        /** The engine notices a closed connection after a while. */
        const breakOff = (): void => {
            if (fleet.areConnected(engine.domain, instance.domain)) {
                fleet.clock.schedule(random.next() * LINGER_MS, () => run.dispose());
            }
        };
        const silence = clock.schedule(prompt.deadlineAt - clock.monotonic(), () => {
            breakOff();
            close("silent");
        });
        const run = engine.start({
            promptTokens: prompt.tokens,
            maxOutput: MAX_OUTPUT,
            outputMs: random.exponential(MIXES[options.mix][prompt.kind].outputMs),
            deadlineAt: prompt.deadlineAt,
            onFirstEvent: () =>
                notify(() => {
                    const { running, waiting } = engine.load;
                    instance.reportLoad(engine.name, running, waiting);
                    if (!isOpen) {
                        return;
                    }
                    reservation.recordRead();
                    if (isAborted) {
                        breakOff();
                        close("aborted");
                    }
                    if (isEscalated) {
                        void this.serve(instance, prompt);
                    }
                }),
            onEnd: isServed =>
                notify(() => {
                    this.kinds[prompt.kind].served += isServed && isOpen ? 1 : 0;
                    close("complete");
                }),
        });
        connections.add(breakOff);
        if (this.isDisturbed && random.chance(0.02)) {
            clock.schedule(random.next() * SILENT_MS, () => {
                if (isOpen) {
                    breakOff();
                    close("aborted");
                }
            });
        }
    }

    private scheduleDisturbance(): void {
        const { fleet, random } = this;
        fleet.clock.schedule(random.exponential(DISTURBANCES[this.options.disturbances].pauseMs), () => {
            if (this.hasEnded) {
                return;
            }
            this.scheduleDisturbance();
            const instance = random.pick([...fleet.instances.values()]);
            const choice = random.next();
            if (choice < 0.4) {
                instance.clock.hold(random.next() * 7000);
            }
            else if (choice < 0.8) {
                this.restart(instance, random.chance(0.7) ? random.next() * 2000 : 7000);
            }
            else if (fleet.cutDomain === undefined) {
                fleet.cutDomain = random.nextInt(DOMAINS);
                fleet.clock.schedule(2000 + random.next() * 10_000, () => {
                    fleet.cutDomain = undefined;
                });
            }
        });
    }

    private restart({ id, domain }: ReservingInstance, afterMs: number): void {
        const { fleet } = this;
        const instance = fleet.instances.get(id);
        if (instance === undefined || fleet.instances.size <= 2) {
            return;
        }
        const connections = this.connections.get(instance) ?? new Set();
        fleet.stop(id);
        connections.forEach(breakOff => breakOff());
        this.connections.delete(instance);
        fleet.clock.schedule(afterMs, () => {
            if (!fleet.isDisposed && !fleet.instances.has(id)) {
                fleet.start(id, domain);
            }
        });
    }
}
