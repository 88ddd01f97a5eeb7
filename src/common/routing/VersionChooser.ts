/**
 * Decides which versions of a model may answer a request, and chooses one of them by share. Withdrawn versions and
 * those that the account may not use are never chosen.
 */
import { type Account, type ActiveVersion, type RoutingTable, versionKey } from "../configuration/RoutingTable.ts";
import { routerError } from "../errors/RouterError.ts";
import { weightedChoice } from "./Hash.ts";

/** Model name with which callers request the cascade over all models. */
export const AUTO_MODEL = "auto";

/** The `model` field of a request, parsed. */
export interface ModelName {
    readonly model: string;
    /** Set when the caller requests a specific version. */
    readonly version: string | undefined;
}

/** Parses `model` or `model@version`. */
export const parseModelName = (text: string): ModelName => {
    const at = text.indexOf("@");
    return at < 0 ? { model: text, version: undefined } : { model: text.slice(0, at), version: text.slice(at + 1) };
};

/** Versions of the requested model that the account may use. Throws `unknownModel` or `versionNotAllowed`. */
export const allowedVersions = (table: RoutingTable, account: Account, name: ModelName): ActiveVersion[] => {
    if (name.model === AUTO_MODEL) {
        return table.allActiveVersions().filter(version => account.versions.has(version.key));
    }
    if (!table.isKnown(name.model)) {
        throw routerError(`unknown model "${name.model}"`, { code: "unknownModel", step: "choose version" });
    }
    if (name.version !== undefined) {
        return [allowedVersion(table, account, name.model, name.version)];
    }
    const versions = table.activeVersions(name.model).filter(version => account.versions.has(version.key));
    if (versions.length === 0) {
        const message = `account "${account.name}" may not use model "${name.model}"`;
        throw routerError(message, { code: "versionNotAllowed", step: "choose version" });
    }
    return versions;
};

const allowedVersion = (table: RoutingTable, account: Account, model: string, version: string): ActiveVersion => {
    const key = versionKey(model, version);
    if (!table.isKnown(model, version)) {
        throw routerError(`unknown version "${version}" of model "${model}"`, {
            code: "unknownModel",
            step: "choose version",
        });
    }
    const active = table.activeVersion(key);
    if (active === undefined) {
        throw routerError(`version "${key}" is withdrawn`, { code: "versionNotAllowed", step: "choose version" });
    }
    if (!account.versions.has(key)) {
        const message = `account "${account.name}" may not use version "${key}"`;
        throw routerError(message, { code: "versionNotAllowed", step: "choose version" });
    }
    return active;
};

/**
 * Chooses a version by share, among those with upstreams if there are any. The key (session or request id) determines
 * the choice, so that every instance with the same table chooses alike. A version without a share is only chosen when
 * no version with a share can be.
 */
export const chooseByShare = (
    key: string,
    versions: readonly ActiveVersion[],
    hasUpstreams: (version: ActiveVersion) => boolean,
): ActiveVersion | undefined => {
    const served = versions.filter(hasUpstreams);
    const usable = served.length > 0 ? served : versions;
    return weightedChoice(key, usable, nameOf, shareOf) ?? usable[0];
};

const nameOf = (version: ActiveVersion): string => version.key;
const shareOf = (version: ActiveVersion): number => version.share;
