/**
 * Prometheus metrics of a gateway process.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency histogram buckets, in seconds. */
const LATENCY_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25];
const MS_PER_SECOND = 1000;

/** Gauges by name, without the common prefix; `read` is called on each scrape. */
export interface GatewayGauges {
    readonly [name: string]: { readonly help: string; readonly read: () => number; };
}

/** Metrics of one gateway process. */
export class GatewayMetrics {
    private readonly registry = new Registry();
    private readonly requests: Counter;
    private readonly brokenOff: Counter;
    private readonly backups: Counter;
    private readonly latency: Histogram;
    private readonly firstModels: Counter;
    private readonly escalations: Counter;
    private readonly slowCallers: Counter;
    private readonly refusals: Counter;
    private readonly misjudged: Counter;

    public constructor() {
        const registers = [this.registry];
        this.requests = new Counter({
            name: "skylarktide_gateway_requests_total",
            help: "Requests of callers by route and outcome.",
            labelNames: ["route", "outcome"],
            registers,
        });
        this.brokenOff = new Counter({
            name: "skylarktide_gateway_responses_broken_off_total",
            help: "Responses that had begun and could not be completed, by route and cause.",
            labelNames: ["route", "cause"],
            registers,
        });
        this.backups = new Counter({
            name: "skylarktide_gateway_backup_attempts_total",
            help: "Attempts sent beside others that made no progress, by service.",
            labelNames: ["service"],
            registers,
        });
        this.latency = new Histogram({
            name: "skylarktide_gateway_request_seconds",
            help: "Time until a request had its whole answer.",
            labelNames: ["outcome"],
            buckets: LATENCY_BUCKETS,
            registers,
        });
        this.firstModels = new Counter({
            name: "skylarktide_gateway_first_models_total",
            help: "Requests by route and the model with which they began.",
            labelNames: ["route", "model"],
            registers,
        });
        this.escalations = new Counter({
            name: "skylarktide_gateway_escalations_total",
            help: "Answers that another model replaced, by route and both models.",
            labelNames: ["route", "from", "to"],
            registers,
        });
        this.slowCallers = new Counter({
            name: "skylarktide_gateway_slow_callers_disconnected_total",
            help: "Callers that were disconnected because they read too slowly, by reason.",
            labelNames: ["reason"],
            registers,
        });
        this.refusals = new Counter({
            name: "skylarktide_gateway_queue_refusals_total",
            help: "Requests refused by the queue of a service, by service and reason.",
            labelNames: ["service", "reason"],
            registers,
        });
        this.misjudged = new Counter({
            name: "skylarktide_gateway_cold_upstream_misjudged_requests_total",
            help: "Requests to cold upstreams that counted as warm when they were sent, by service.",
            labelNames: ["service"],
            registers,
        });
    }

    /** Counts requests that went to a cold upstream which counted as warm. */
    public countMisjudged(service: string, requests: number): void {
        this.misjudged.inc({ service }, requests);
    }

    /** Counts a request that the queue of its service has refused. */
    public countQueueRefusal(service: string, reason: string): void {
        this.refusals.inc({ service, reason });
    }

    /** Counts a finished request; `ms` is the time since its arrival. */
    public observe(route: string, outcome: string, ms: number): void {
        this.requests.inc({ route, outcome });
        this.latency.observe({ outcome }, ms / MS_PER_SECOND);
    }

    /** Counts a response that had begun and could not be completed. */
    public countBrokenOff(route: string, cause: string): void {
        this.brokenOff.inc({ route, cause });
    }

    /** Counts an attempt that is sent beside others that make no progress. */
    public countBackup(service: string): void {
        this.backups.inc({ service });
    }

    /** Counts a request that begins with a model of its route. */
    public countFirstModel(route: string, model: string): void {
        this.firstModels.inc({ route, model });
    }

    /** Counts an answer that is replaced by one of another model. */
    public countEscalation(route: string, from: string, to: string): void {
        this.escalations.inc({ route, from, to });
    }

    /** Counts a caller that was disconnected because it read too slowly. */
    public countSlowCaller(reason: string): void {
        this.slowCallers.inc({ reason });
    }

    /** Adds gauges whose values are read on each scrape. */
    public addGauges(gauges: GatewayGauges): void {
        for (const [name, { help, read }] of Object.entries(gauges)) {
            const gauge: Gauge = new Gauge({
                name: `skylarktide_gateway_${name}`,
                help,
                registers: [this.registry],
                collect: () => gauge.set(read()),
            });
        }
    }

    /** All metrics in the Prometheus text format. */
    public text(): Promise<string> {
        return this.registry.metrics();
    }
}
