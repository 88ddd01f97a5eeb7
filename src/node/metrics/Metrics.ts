/**
 * Metrics with prom-client. Label values are names of client accounts, codes and ids of upstreams, and never what
 * callers send, so that callers cannot add time series.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { type InstanceCore } from "../../common/instance/InstanceCore.ts";

/** Upper bounds of the latency histogram's buckets, in seconds. */
const LATENCY_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 30, 60];

/** Metrics of one instance. */
export class Metrics {
    private readonly registry = new Registry();
    private readonly requests = new Counter({
        name: "skylarktide_requests_total",
        help: "Requests of callers, by account and outcome code.",
        labelNames: ["account", "code"],
        registers: [this.registry],
    });
    private readonly latency = new Histogram({
        name: "skylarktide_request_seconds",
        help: "Time from arrival to the end of the answer.",
        labelNames: ["account"],
        buckets: LATENCY_BUCKETS,
        registers: [this.registry],
    });
    private readonly requestCounters = new Map<string, Counter.Internal>();
    private readonly latencyHistograms = new Map<string, Histogram.Internal<"account">>();
    private readonly attempts = new Counter({
        name: "skylarktide_attempts_total",
        help: "Attempts sent to upstreams, by target and result.",
        labelNames: ["target", "result"],
        registers: [this.registry],
    });

    /** Adds gauges whose values are read from `core` at each collection. */
    public constructor(core: InstanceCore, inFlight: () => number, discardedAnswers: () => number) {
        this.gauge("skylarktide_in_flight_requests", "Requests without a complete answer.", inFlight);
        this.gauge("skylarktide_queued_requests", "Requests that wait for a slot.", () => core.dispatcher.queueLength);
        this.gauge(
            "skylarktide_upstreams",
            "Upstreams that are announced.",
            () => core.registry.all().length,
        );
        this.gauge("skylarktide_members", "Instances that are alive.", () => core.membership.alive().length);
        this.gauge("skylarktide_sessions", "Sessions remembered here.", () => core.pins.size);
        this.gauge(
            "skylarktide_configuration_revision",
            "Revision in force here.",
            () => core.follower.configuration.revision,
        );
        this.gauge(
            "skylarktide_configuration_age_seconds",
            "Age of the newest proof of the control majority.",
            () => {
                return Math.min(core.follower.confirmationAgeMs, MAX_SHOWN_AGE_MS) / MS_PER_SECOND;
            },
        );
        this.gauge(
            "skylarktide_held_bills",
            "Bills that are only in memory.",
            () => core.bills.heldCount,
        );
        this.gauge(
            "skylarktide_discarded_answers",
            "Answers that belonged to another request.",
            discardedAnswers,
        );
        this.gauge("skylarktide_control_is_leader", "1 on the leader of the control log.", () => {
            return core.control?.status.role === "leader" ? 1 : 0;
        });
    }

    /** Counts a completed request of an account. `code` is its error code, or `ok`. */
    public onAnswered(account: string, code: string, durationMs: number): void {
        this.requestCounterOf(account, code).inc();
        this.latencyHistogramOf(account).observe(durationMs / MS_PER_SECOND);
    }

    /** Counts an attempt. `target` is the id of the upstream and `result` the error code. */
    public onAttempt(target: string, result: string): void {
        this.attempts.inc({ target, result });
    }

    /** All metrics in the Prometheus text format. */
    public text(): Promise<string> {
        return this.registry.metrics();
    }

    // Caches the labelled children: prom-client hashes the labels at each lookup, and this runs for every request.
    private requestCounterOf(account: string, code: string): Counter.Internal {
        const key = `${account} ${code}`;
        const child = this.requestCounters.get(key) ?? this.requests.labels(account, code);
        this.requestCounters.set(key, child);
        return child;
    }

    private latencyHistogramOf(account: string): Histogram.Internal<"account"> {
        const child = this.latencyHistograms.get(account) ?? this.latency.labels(account);
        this.latencyHistograms.set(account, child);
        return child;
    }

    private gauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }
}

const MS_PER_SECOND = 1000;
/** Largest age that is reported, also when the configuration was never confirmed, in ms. */
const MAX_SHOWN_AGE_MS = 86_400_000;
