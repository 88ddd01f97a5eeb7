/**
 * Tells new orders to roll out a version from repetitions at the instance that receives them. An operator sends an order
 * again, to any instance, while its confirmation is missing, and the copies don't say that they belong together. A copy
 * may arrive after the first one has been carried out, and after a later order.
 *
 * While the roll-out that was ordered is the newest one, a copy changes nothing. After that, an order for the same version
 * can be either for as long as copies may come; it is neither carried out nor confirmed, so that its sender comes back.
 * Later it is new. Clocks of instances differ and step, so each counts that time from when it learned of the roll-out,
 * and only while it runs: an order that was received before a freeze may be read after it.
 */
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Clock, repeat } from "../time/Clock.ts";
import { type Fleet, isInForce, latestRollout, type Rollout, type StartRolloutCommand } from "./FleetState.ts";

/** How often the roll-outs are looked at, in ms. */
const CHECK_INTERVAL_MS = 200;
/** Longest time between two checks that counts as time in which the process ran, in ms. */
const MAX_INTERVAL_MS = 2 * CHECK_INTERVAL_MS;
/** Longest time that an order is under way, in ms. The sender of one that takes much longer has hung up. */
const DELIVERY_MS = 500;

/** Dependencies of `RolloutOrders`. */
export interface RolloutOrdersDependencies {
    readonly clock: Clock;
    readonly fleet: () => Fleet;
    /** Longest time for which an operator sends an order again, in ms. */
    readonly repeatMs: number;
}

interface KnownRollout extends Pick<Rollout, "id"> {
    /** Reading of `runningMs` when this instance learned of it. */
    readonly since: number;
}

/** Orders that one instance receives. */
export class RolloutOrders extends DisposableOwner {
    private readonly deps: RolloutOrdersDependencies;
    /** Roll-outs of the fleet, and those dropped from it that may be ordered again, by service and target. */
    private readonly known = new Map<string, KnownRollout>();
    /** Time for which this process has run, without times in which it was held up, in ms. */
    private runningMs = 0;
    private checkedAt: number;

    public constructor(deps: RolloutOrdersDependencies) {
        super();
        this.deps = deps;
        this.checkedAt = deps.clock.monotonic();
        this.register(repeat(deps.clock, CHECK_INTERVAL_MS, () => this.check()));
    }

    /**
     * Returns the command for an order that this instance receives now. Throws `repetitionUnclear` if the order may be
     * new or a repetition; `retryAfterMs` is the time after which it will be taken for new.
     */
    public admit(order: StartRolloutCommand): StartRolloutCommand {
        const fleet = this.deps.fleet();
        if (fleet.featureLevel < 1) {
            return order;
        }
        this.check();
        const { service, target } = order;
        const remainingMs = this.repeatableUntil(keyOf(order)) - this.runningMs;
        if (!isInForce(fleet, service, target) && remainingMs > 0) {
            throw routerError(`the order may repeat an earlier one to roll out ${service} ${target}`, {
                code: "repetitionUnclear",
                step: "roll out",
                retryAfterMs: remainingMs,
            });
        }
        return { ...order, newestKnownId: latestRollout(fleet, service)?.id ?? 0 };
    }

    /** Reading of `runningMs` up to which a copy of the order for a service and target may come. */
    private repeatableUntil(key: string): number {
        const known = this.known.get(key);
        return known === undefined ? -Infinity : known.since + this.deps.repeatMs + DELIVERY_MS;
    }

    private check(): void {
        const now = this.deps.clock.monotonic();
        this.runningMs += Math.min(now - this.checkedAt, MAX_INTERVAL_MS);
        this.checkedAt = now;
        const { rollouts } = this.deps.fleet();
        for (const rollout of rollouts) {
            const key = keyOf(rollout);
            const known = this.known.get(key);
            if (known === undefined || known.id !== rollout.id) {
                this.known.set(key, { id: rollout.id, since: this.runningMs });
            }
        }
        const kept = new Set(rollouts.map(keyOf));
        for (const key of this.known.keys()) {
            if (!kept.has(key) && this.repeatableUntil(key) < this.runningMs) {
                this.known.delete(key);
            }
        }
    }
}

const keyOf = ({ service, target }: Pick<Rollout, "service" | "target">): string => `${service}\n${target}`;
