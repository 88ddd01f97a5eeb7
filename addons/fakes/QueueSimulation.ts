/**
 * Entry instances that send requests to a few upstreams on an injected clock, to compare ways of waiting under the same
 * arrivals. Each instance learns the load of an upstream only from the responses to its own requests.
 */
import { hasRoom, isQueueLong, type UpstreamOccupancy } from "../../src/common/gateway/UpstreamRoom.ts";
import { UpstreamStatistics } from "../../src/common/gateway/UpstreamStatistics.ts";
import { type Start, WaitingRequests } from "../../src/common/gateway/WaitingRequests.ts";
import { sleep } from "../../src/common/time/Clock.ts";
import { type ManualClock } from "../../src/common/time/ManualClock.ts";
import { type SeededRandom } from "./SeededRandom.ts";

const SERVICE = "s";
/** One-way delay between instances and upstreams, in ms. */
const LINK_MS = 1;
/** The polling that the queue replaces: period in ms, and share of the objective for which it goes on. */
const POLL_MS = 20;
const POLL_SHARE = 1 / 8;
const POLL_RETRY_MS = 600;
const MIN_ATTEMPT_MS = 10;

/**
 * How requests wait: `queue` is the queue under test, `polling` polls in no order, `fifo` waits in the order of arrival
 * until the deadline.
 */
export type WaitPolicy = "queue" | "polling" | "fifo";

/** A request of the simulation. */
export interface SimulatedCall {
    readonly id: string;
    readonly account: string;
    readonly priority: number;
    /** Time from its start at an upstream until its answer begins, and for which it holds a slot, in ms. */
    readonly workMs: number;
    readonly holdMs: number;
    readonly objectiveMs: number;
    readonly limitMs: number;
}

/** What a caller got. */
export interface SimulatedResult {
    readonly call: SimulatedCall;
    readonly outcome: "served" | "failed" | "refused";
    readonly sentAt: number;
    /** Time until the answer or the refusal, in ms. */
    readonly ms: number;
    readonly retryAfterMs: number;
}

/** An upstream: runs requests in its slots, and lets the others wait in order of arrival, an engine by priority. */
class SimulatedUpstream {
    public readonly name: string;
    public readonly slots: number;
    public isLost = false;
    private readonly clock: ManualClock;
    private readonly isEngine: boolean;
    private readonly waiting: { call: SimulatedCall; deadlineAt: number; onBegun: (isServed: boolean) => void; }[] = [];
    private running = 0;

    public constructor(clock: ManualClock, name: string, slots: number, isEngine: boolean) {
        this.clock = clock;
        this.isEngine = isEngine;
        this.name = name;
        this.slots = slots;
    }

    public get load(): { running: number; waiting: number; slots: number; slowdown: number; } {
        return { running: this.running, waiting: this.waiting.length, slots: this.slots, slowdown: 1 };
    }

    /** `onBegun` is called when the answer begins, or is known to come too late. */
    public accept(call: SimulatedCall, deadlineAt: number, onBegun: (isServed: boolean) => void): void {
        const index = this.isEngine ? this.waiting.findIndex(other => other.call.priority > call.priority) : -1;
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, { call, deadlineAt, onBegun });
        this.startNext();
    }

    private startNext(): void {
        while (this.running < this.slots) {
            const next = this.waiting.shift();
            if (next === undefined) {
                return;
            }
            const { call, deadlineAt, onBegun } = next;
            if (this.clock.monotonic() >= deadlineAt) {
                onBegun(false);
                continue;
            }
            this.running++;
            const leave = (): void => {
                this.running--;
                this.startNext();
            };
            this.clock.schedule(call.workMs, () => {
                if (call.holdMs <= call.workMs) {
                    leave();
                }
                else {
                    this.clock.schedule(call.holdMs - call.workMs, leave);
                }
                onBegun(this.clock.monotonic() + LINK_MS <= deadlineAt);
            });
        }
    }
}

/** Settings of a simulation. */
export interface QueueSimulationOptions {
    readonly clock: ManualClock;
    readonly random: SeededRandom;
    readonly policy: WaitPolicy;
    readonly instances: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly isEngine: boolean;
}

interface Instance {
    readonly stats: UpstreamStatistics;
    readonly waiting: WaitingRequests<SimulatedUpstream>;
    readonly fifo: (() => boolean)[];
}

/** One service. */
export class QueueSimulation {
    public readonly results: SimulatedResult[] = [];
    public readonly upstreams: SimulatedUpstream[];
    private readonly options: QueueSimulationOptions;
    private readonly instances: Instance[];

    public constructor(options: QueueSimulationOptions) {
        this.options = options;
        const { clock, slots } = options;
        this.upstreams = Array.from(
            { length: options.upstreams },
            (...[, index]) => new SimulatedUpstream(clock, `u${index}`, slots, options.isEngine),
        );
        this.instances = Array.from({ length: options.instances }, () => ({
            stats: new UpstreamStatistics(clock),
            waiting: new WaitingRequests<SimulatedUpstream>({ clock, onFull: () => undefined }),
            fifo: [],
        }));
    }

    /** Requests that wait at the instances. */
    public get waitingCount(): number {
        return this.instances.reduce((sum, { waiting, fifo }) => sum + waiting.length + fifo.length, 0);
    }

    /** Sends a request to an instance, a random one if none is given; resolves with what the caller gets. */
    public async send(call: SimulatedCall, index?: number): Promise<SimulatedResult> {
        const { clock, random, policy } = this.options;
        const instance = this.instances[index ?? random.nextInt(this.instances.length)] as Instance;
        const sentAt = clock.monotonic();
        const deadlineAt = sentAt + call.limitMs;
        const end = (outcome: SimulatedResult["outcome"], retryAfterMs = 0): SimulatedResult => {
            const result = { call, outcome, sentAt, ms: clock.monotonic() - sentAt, retryAfterMs };
            this.results.push(result);
            return result;
        };
        const wait = {
            queue: () => this.waitInQueue(instance, call, deadlineAt),
            polling: () => this.poll(instance, call, deadlineAt),
            fifo: () => this.waitInOrder(instance, deadlineAt),
        }[policy];
        const chosen = await wait();
        if (typeof chosen === "number") {
            return end("refused", chosen);
        }
        const isServed = await this.run(instance, chosen, call, deadlineAt);
        return end(isServed ? "served" : "failed");
    }

    private run(instance: Instance, upstream: SimulatedUpstream, call: SimulatedCall, at: number): Promise<boolean> {
        const { clock, isEngine } = this.options;
        const stats = instance.stats.statsOf(upstream.name);
        const sentAt = clock.monotonic();
        const workShare = upstream.slots / (instance.stats.estimateRunning(stats) + 1);
        stats.inFlight++;
        const limit = instance.waiting.limitOf(SERVICE);
        limit.begin();
        return new Promise(resolve => {
            const begin = (isServed: boolean): void => {
                const { load } = upstream;
                clock.schedule(LINK_MS, () => {
                    instance.stats.recordLoad(upstream.name, stats, SERVICE, load);
                    limit.recordResponse(isQueueLong(load));
                    const leave = (): void => {
                        stats.inFlight--;
                        limit.end();
                        if (isServed && !isEngine) {
                            const workMs = (clock.monotonic() - sentAt) * Math.min(1, workShare);
                            instance.waiting.recordWork(SERVICE, workMs);
                        }
                        instance.waiting.wake(SERVICE);
                        this.advanceFifo(instance);
                    };
                    if (isServed && call.holdMs > call.workMs) {
                        clock.schedule(call.holdMs - call.workMs, leave);
                    }
                    else {
                        leave();
                    }
                    resolve(isServed);
                });
            };
            clock.schedule(LINK_MS, () => upstream.accept(call, at, begin));
        });
    }

    private waitInQueue(
        instance: Instance,
        call: SimulatedCall,
        deadlineAt: number,
    ): Promise<SimulatedUpstream | number> {
        const { clock, isEngine } = this.options;
        const { waiting } = instance;
        const now = clock.monotonic();
        waiting.recordArrival(SERVICE, call.account);
        const workMs = isEngine ? call.workMs : waiting.workMs(SERVICE, call.objectiveMs);
        return waiting.wait(SERVICE, {
            ...call,
            cost: isEngine ? call.holdMs : workMs,
            bytes: 100,
            workMs,
            arrivedAt: now,
            waitsSince: now,
            deadlineAt,
            isRepeat: false,
            key: () => call.id,
            start: (): Start<SimulatedUpstream> => {
                const isOverShare = waiting.isOverShare(SERVICE, call.account);
                const timeLeftMs = deadlineAt - clock.monotonic();
                const { objectiveMs } = call;
                const value = this.select(
                    instance,
                    item =>
                        hasRoom(
                            {
                                objectiveMs,
                                timeLeftMs,
                                workMs,
                                isOverShare,
                                waitedMs: clock.monotonic() - now,
                                isWithinLimit: waiting.limitOf(SERVICE).hasRoom,
                            },
                            item,
                        ),
                );
                return value === undefined ? undefined : { result: "sent", value };
            },
        }).then(result => {
            if (result === "callerLeft") {
                throw new Error("no caller leaves in this simulation");
            }
            return "value" in result ? result.value : result.refusal.retryAfterMs;
        });
    }

    /** The polling that the queue replaces. */
    private async poll(
        instance: Instance,
        call: SimulatedCall,
        deadlineAt: number,
    ): Promise<SimulatedUpstream | number> {
        const { clock, isEngine } = this.options;
        const waitUntil = clock.monotonic() + call.objectiveMs * POLL_SHARE;
        while (deadlineAt - clock.monotonic() > MIN_ATTEMPT_MS) {
            const found = this.select(instance, item => isEngine || item.present < item.slots * 2);
            if (found !== undefined) {
                return found;
            }
            if (clock.monotonic() >= waitUntil) {
                break;
            }
            await sleep(clock, POLL_MS);
        }
        return POLL_RETRY_MS;
    }

    /** First in, first out: each request waits until an upstream has a free slot, or until its deadline. */
    private waitInOrder(instance: Instance, deadlineAt: number): Promise<SimulatedUpstream | number> {
        const { clock } = this.options;
        return new Promise(resolve => {
            instance.fifo.push(() => {
                if (deadlineAt - clock.monotonic() <= MIN_ATTEMPT_MS) {
                    resolve(POLL_RETRY_MS);
                    return true;
                }
                const found = this.select(instance, item => item.present < item.slots);
                if (found !== undefined) {
                    resolve(found);
                }
                return found !== undefined;
            });
            this.advanceFifo(instance);
            if (instance.fifo.length === 1) {
                const tick = (): void => {
                    this.advanceFifo(instance);
                    if (instance.fifo.length > 0) {
                        clock.schedule(10, tick);
                    }
                };
                clock.schedule(10, tick);
            }
        });
    }

    private advanceFifo({ fifo }: Instance): void {
        while (fifo[0]?.() === true) {
            fifo.shift();
        }
    }

    /** The upstream with the fewest requests per slot, as far as the instance knows, among those with room. */
    private select({ stats }: Instance, isUsable: (item: UpstreamOccupancy) => boolean): SimulatedUpstream | undefined {
        const { random, isEngine, clock } = this.options;
        let best: SimulatedUpstream | undefined;
        let bestPresent = Infinity;
        for (const upstream of this.upstreams) {
            const known = stats.statsOf(upstream.name);
            const present = stats.estimateRunning(known);
            const waiting = stats.estimateWaiting(known);
            const reportAgeMs = clock.monotonic() - known.loadReportedAt;
            const occupancy = { isEngine, slots: upstream.slots, present, waiting, reportAgeMs };
            const rank = present + random.next();
            if (!upstream.isLost && isUsable(occupancy) && rank < bestPresent) {
                best = upstream;
                bestPresent = rank;
            }
        }
        return best;
    }
}
