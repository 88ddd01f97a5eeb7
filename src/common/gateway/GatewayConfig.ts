/**
 * The configuration that operators declare: routes, the services behind them, client accounts with their keys, and
 * limits for connections of callers. One revision is in force at a time; it is immutable.
 */

/** Determines whether a request may be sent again after a failure. */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream";

/** A service to which a route sends a share of its requests. */
export interface RouteTarget {
    readonly service: string;
    /** Relative share of the requests; a target with weight 0 gets none. */
    readonly weight: number;
}

/** Handling of the requests with a certain host and path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time until a request is answered, in ms; a shorter deadline of the caller takes precedence. */
    readonly timeoutMs: number;
    /** Latency objective, in ms; for a stream, the objective for its first event. */
    readonly objectiveMs: number;
    /** Longest time between two events of a stream that still counts as on time, in ms. */
    readonly gapMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Models that may answer, smallest first; empty when the caller chooses the model or no model is involved. */
    readonly models: readonly string[];
    readonly targets: readonly RouteTarget[];
    /** Highest number of upstreams on which one request may run. */
    readonly maxAttempts: number;
    /** Whether requests are accepted without the key of a client account. */
    readonly isPublic: boolean;
    /** Whether an interrupted stream may be resumed at another upstream. */
    readonly isResumable: boolean;
}

/** Whether a request on the route may run more than once; all others run once at most. */
export const isRepeatable = ({ kind, isResumable }: Pick<Route, "kind" | "isResumable">): boolean =>
    kind === "idempotent" || (kind === "stream" && isResumable);

/** A model that a service offers. */
export interface ModelOffer {
    readonly name: string;
    /** Cost of 1,000 generated tokens. */
    readonly cost: number;
}

/** A group of interchangeable upstreams. */
export interface Service {
    readonly name: string;
    /** Highest number of connections that one upstream accepts from all instances together. */
    readonly maxConnections: number;
    /** How long an upstream stays cold after its start, in ms. */
    readonly coldStartMs: number;
    /** Requests per second that a cold upstream can handle; 0 means no limit. */
    readonly coldPerSecond: number;
    /** Number of requests that a model engine runs concurrently; undefined when the upstreams are no model engines. */
    readonly engineSlots: number | undefined;
    /**
     * Tokens that the memory of a model engine holds: prompts and outputs of its requests, running and waiting. Undefined
     * if not declared.
     */
    readonly memoryTokens?: number | undefined;
    readonly models: readonly ModelOffer[];
}

/** Connections that this instance may open to one upstream, when all instances open as many. */
export const connectionsPerInstance = (service: Service, entryCount: number): number =>
    Math.max(1, Math.floor(service.maxConnections * 0.8 / entryCount));

/** A client account. */
export interface Account {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the priority of the route unless undefined. */
    readonly priority: number | undefined;
}

/** Limits for connections of callers. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One declared configuration. */
export interface GatewayConfig {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /**
     * Undefined if the deployment uses no accounts and its routes need no key. An empty list means that no account is
     * left, so that no key is valid.
     */
    readonly accounts: readonly Account[] | undefined;
    readonly limits: CallerLimits;
}

/** An invalid field of a configuration. */
export interface ConfigFault {
    readonly field: string;
    readonly message: string;
}

/** Finds everything that makes a well-formed configuration unusable, not only the first fault. */
export const findConfigFaults = (config: GatewayConfig): ConfigFault[] => [
    ...findRouteFaults(config),
    ...findAccountFaults(config),
];

const findRouteFaults = ({ routes, services }: GatewayConfig): ConfigFault[] => {
    const faults: ConfigFault[] = [];
    const declared = new Set(services.map(service => service.name));
    const hostPrefixes = new Set<string>();
    routes.forEach((route, index) => {
        const field = `routes.${index}`;
        const hostPrefix = `${route.host} ${route.prefix}`;
        if (hostPrefixes.has(hostPrefix)) {
            faults.push({ field, message: `another route has the host and prefix "${hostPrefix}"` });
        }
        hostPrefixes.add(hostPrefix);
        for (const target of route.targets.filter(({ service }) => !declared.has(service))) {
            faults.push({ field, message: `service "${target.service}" is not declared` });
        }
        if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
            faults.push({ field, message: "the weights of the route add up to 0" });
        }
        if (route.timeoutMs <= 0) {
            faults.push({ field, message: "the timeout of the route is 0" });
        }
    });
    return faults;
};

const findAccountFaults = ({ accounts = [] }: GatewayConfig): ConfigFault[] => {
    const faults: ConfigFault[] = [];
    const owners = new Map<string, string>();
    accounts.forEach((account, index) => {
        for (const key of account.keys) {
            const owner = owners.get(key);
            if (owner !== undefined && owner !== account.name) {
                faults.push({ field: `accounts.${index}`, message: `shares a key with client account "${owner}"` });
            }
            owners.set(key, account.name);
        }
    });
    return faults;
};
