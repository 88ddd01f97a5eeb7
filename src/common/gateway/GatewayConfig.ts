/**
 * What operators declare: routes, the services behind them, client accounts with their keys, and the bounds of
 * the callers' connections. One revision is in force at a time; it is immutable.
 */

/** What may be repeated. */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream";

/** A service that a route may use. */
export interface RouteTarget {
    readonly service: string;
    /** Relative share of the requests; 0 gets none. */
    readonly weight: number;
}

/** Requests that belong together by host and path. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time that a caller is kept waiting, in ms. */
    readonly timeoutMs: number;
    /** Latency objective, in ms; of a stream, until its first event. */
    readonly objectiveMs: number;
    /** Longest pause between two events of a stream that is still on time, in ms. */
    readonly gapMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Models that may answer, smallest first; empty when the caller names the model or there is none. */
    readonly models: readonly string[];
    readonly targets: readonly RouteTarget[];
    /** Most upstreams on which one request may run. */
    readonly maxAttempts: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
    /** Whether a broken stream may go on at another upstream. */
    readonly isResumable: boolean;
}

/** A model that a service offers. */
export interface ModelOffer {
    readonly name: string;
    /** Cost of 1,000 generated tokens. */
    readonly cost: number;
}

/** Upstreams that do the same work. */
export interface Service {
    readonly name: string;
    /** Most connections that one upstream accepts from all callers together. */
    readonly maxConnections: number;
    /** How long an upstream stays cold after its start, in ms. */
    readonly coldStartMs: number;
    /** Requests a second that a cold upstream bears; 0 when it bears any rate. */
    readonly coldPerSecond: number;
    /** Requests that a model engine runs at the same time; undefined for a plain service. */
    readonly engineSlots: number | undefined;
    readonly models: readonly ModelOffer[];
}

/** A client account. */
export interface Account {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the route's priority; undefined leaves that in force. */
    readonly priority: number | undefined;
}

/** Bounds of the callers' connections. */
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
    readonly accounts: readonly Account[];
    readonly limits: CallerLimits;
}

/** A field of a configuration that is at fault. */
export interface ConfigFault {
    readonly field: string;
    readonly message: string;
}

/** Everything that makes a well-formed configuration unusable, named all at once. */
export const findConfigFaults = (config: GatewayConfig): ConfigFault[] => [
    ...findRouteFaults(config),
    ...findAccountFaults(config),
];

const findRouteFaults = ({ routes, services }: GatewayConfig): ConfigFault[] => {
    const faults: ConfigFault[] = [];
    const known = new Set(services.map(service => service.name));
    const places = new Set<string>();
    routes.forEach((route, index) => {
        const field = `routes.${index}`;
        const place = `${route.host} ${route.prefix}`;
        if (places.has(place)) {
            faults.push({ field, message: `another route has the host and prefix "${place}"` });
        }
        places.add(place);
        for (const target of route.targets.filter(({ service }) => !known.has(service))) {
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

const findAccountFaults = ({ accounts }: GatewayConfig): ConfigFault[] => {
    const faults: ConfigFault[] = [];
    const holders = new Map<string, string>();
    accounts.forEach((account, index) => {
        for (const key of account.keys) {
            const holder = holders.get(key);
            if (holder !== undefined && holder !== account.name) {
                faults.push({ field: `accounts.${index}`, message: `shares a key with client account "${holder}"` });
            }
            holders.set(key, account.name);
        }
    });
    return faults;
};
