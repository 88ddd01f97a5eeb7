/**
 * Index of a configuration for the request path, built once per revision so that a request needs only map look-ups.
 */
import { type AccountRecord, type CallRecord, type ServiceRecord, type VersionRecord } from "../sheet/Sheet.ts";
import { type Configuration } from "./Configuration.ts";

/** A version of a model that may receive new requests. */
export interface ActiveVersion {
    readonly key: string;
    readonly model: string;
    readonly version: string;
    /** Cost per 1,000 tokens. */
    readonly cost: number;
    /** Expected rating from 0 to 1. */
    readonly quality: number;
    /** Share of the model's requests, in percent. */
    readonly share: number;
    /** Whether an instance that is cut off from control may still send it new requests. */
    readonly isUsableWhenCutOff: boolean;
}

/** A client account with the versions and services that it may use. */
export interface Account extends AccountRecord {
    readonly versions: ReadonlySet<string>;
    readonly services: ReadonlySet<string>;
}

/** Key of a version that is unique across models, `model@version`. */
export const versionKey = (model: string, version: string): string => `${model}@${version}`;

/** Index of one configuration. */
export class RoutingTable {
    public readonly revision: number;
    public readonly accounts: readonly Account[];
    private settledVersions: Configuration["settled"] = {};
    private readonly accountsByKeyHash = new Map<string, Account>();
    private readonly versionsByModel = new Map<string, ActiveVersion[]>();
    private readonly versionsByKey = new Map<string, ActiveVersion>();
    /** Models, and keys of versions, that the sheet lists. */
    private readonly listedKeys = new Set<string>();
    private readonly services = new Map<string, ServiceRecord>();
    private readonly calls = new Map<string, CallRecord[]>();
    private readonly domainsOutOfService = new Set<string>();
    private readonly drained = new Set<string>();
    private readonly quarantinedUntil = new Map<string, number>();

    public constructor(configuration: Configuration) {
        this.revision = configuration.revision;
        this.indexVersions(configuration);
        this.accounts = this.indexAccounts(configuration);
        for (const service of configuration.sheet?.services ?? []) {
            this.services.set(service.name, service);
            this.calls.set(service.name, callsOf(configuration, service.name));
        }
        for (const domain of configuration.sheet?.domains ?? []) {
            if (domain.state === "out") {
                this.domainsOutOfService.add(domain.name);
            }
        }
        for (const drain of configuration.drains) {
            this.drained.add(`${drain.target} ${drain.name}`);
        }
        for (const item of configuration.quarantines) {
            this.quarantinedUntil.set(item.fingerprint, item.until);
        }
    }

    /** The account whose key has this SHA-256 hash. */
    public accountByKeyHash(hash: string): Account | undefined {
        return this.accountsByKeyHash.get(hash);
    }

    /** Versions of `model` that may receive new requests. */
    public activeVersions(model: string): readonly ActiveVersion[] {
        return this.versionsByModel.get(model) ?? [];
    }

    /** All versions that may receive new requests. */
    public allActiveVersions(): readonly ActiveVersion[] {
        return [...this.versionsByKey.values()];
    }

    public activeVersion(key: string): ActiveVersion | undefined {
        return this.versionsByKey.get(key);
    }

    /** True when the sheet lists the model or version, withdrawn or not. */
    public isKnown(model: string, version?: string): boolean {
        return this.listedKeys.has(version === undefined ? model : versionKey(model, version));
    }

    public service(name: string): ServiceRecord | undefined {
        return this.services.get(name);
    }

    /** Whether a call may be repeated. Calls that the sheet does not list are idempotent if they are GET or HEAD. */
    public isIdempotentCall(service: string, method: string, path: string): boolean {
        const call = this.calls.get(service)?.find(item => item.method === method && isUnder(path, item.path));
        return call?.idempotent ?? (method === "GET" || method === "HEAD");
    }

    /** True when the failure domain may receive new requests. */
    public isDomainInService(domain: string): boolean {
        return !this.domainsOutOfService.has(domain) && !this.drained.has(`domain ${domain}`);
    }

    public isUpstreamDrained(id: string): boolean {
        return this.drained.has(`upstream ${id}`);
    }

    public isInstanceDrained(id: string): boolean {
        return this.drained.has(`instance ${id}`);
    }

    /** `now` is the wall-clock time, in ms. */
    public isQuarantined(fingerprint: string, now: number): boolean {
        return (this.quarantinedUntil.get(fingerprint) ?? 0) > now;
    }

    private indexVersions(configuration: Configuration): void {
        this.settledVersions = configuration.settled;
        const withdrawn = new Set(configuration.withdrawals.map(item => versionKey(item.model, item.version)));
        for (const record of configuration.sheet?.versions ?? []) {
            const key = versionKey(record.model, record.version);
            this.listedKeys.add(record.model);
            this.listedKeys.add(key);
            if (record.state === "active" && !withdrawn.has(key)) {
                this.addActive(record, key);
            }
        }
    }

    private addActive(record: VersionRecord, key: string): void {
        const { model, version, cost, quality, share } = record;
        const isUsableWhenCutOff = record.cut_off === "keep" || this.settledVersions[model] === version;
        const active = { key, model, version, cost, quality, share, isUsableWhenCutOff };
        const siblings = this.versionsByModel.get(model) ?? [];
        siblings.push(active);
        this.versionsByModel.set(model, siblings);
        this.versionsByKey.set(key, active);
    }

    private indexAccounts(configuration: Configuration): Account[] {
        return (configuration.sheet?.accounts ?? []).map(record => {
            const allows = configuration.sheet?.allows.filter(allow => allow.account === record.name) ?? [];
            const versions = new Set<string>();
            const services = new Set<string>();
            for (const allow of allows) {
                if (allow.service !== undefined) {
                    services.add(allow.service);
                }
                for (const version of this.activeVersions(allow.model ?? "")) {
                    if (allow.version === undefined || allow.version === "*" || allow.version === version.version) {
                        versions.add(version.key);
                    }
                }
            }
            const account = { ...record, versions, services };
            this.accountsByKeyHash.set(record.key_sha256, account);
            return account;
        });
    }
}

const isUnder = (path: string, prefix: string): boolean =>
    path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);

/** The service's calls, longest path first, so that the most specific one matches first. */
const callsOf = (configuration: Configuration, service: string): CallRecord[] =>
    (configuration.sheet?.calls ?? [])
        .filter(call => call.service === service)
        .sort((a, b) => b.path.length - a.path.length);
