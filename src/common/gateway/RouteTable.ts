/**
 * Lookups in one configuration: the route of a request by host and longest path prefix, the client account of a key,
 * and the service with a name.
 */
import { type Account, type GatewayConfig, type Route, type Service } from "./GatewayConfig.ts";

/** Index of one configuration. */
export class RouteTable {
    public readonly config: GatewayConfig;
    private readonly byHost = new Map<string, Route[]>();
    private readonly byKey = new Map<string, Account>();
    private readonly byService: ReadonlyMap<string, Service>;

    public constructor(config: GatewayConfig) {
        this.config = config;
        for (const route of config.routes) {
            const host = route.host.toLowerCase();
            this.byHost.set(host, [...this.byHost.get(host) ?? [], route]);
        }
        for (const routes of this.byHost.values()) {
            routes.sort((a, b) => b.prefix.length - a.prefix.length);
        }
        for (const account of config.accounts ?? []) {
            account.keys.forEach(key => this.byKey.set(key, account));
        }
        this.byService = new Map(config.services.map(service => [service.name, service]));
    }

    /** Whether requests need the key of a client account, unless their route is public. */
    public get requiresKeys(): boolean {
        return this.config.accounts !== undefined;
    }

    /** Finds the route of the host with the longest prefix that matches `path`. The host is not case-sensitive. */
    public findRoute(host: string, path: string): Route | undefined {
        return this.byHost.get(host.toLowerCase())?.find(route => path.startsWith(route.prefix));
    }

    public findAccount(key: string): Account | undefined {
        return this.byKey.get(key);
    }

    public hasService(name: string): boolean {
        return this.byService.has(name);
    }

    public findService(name: string): Service | undefined {
        return this.byService.get(name);
    }
}

/**
 * Undefined if `read` throws, as after an upgrade of the control instances only. The configuration before is not in force
 * any more, so requests must then be refused: the lease to serve them is renewed all the same.
 */
export const readRouteTable = (
    read: () => GatewayConfig,
    onUnreadable: (err: Error) => void,
): RouteTable | undefined => {
    try {
        return new RouteTable(read());
    }
    catch (err) {
        onUnreadable(err as Error);
        return undefined;
    }
};
