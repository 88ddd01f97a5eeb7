/**
 * Chooses the version that a request runs on, by the requested model, the account's permissions, the session, the
 * shares, and whether this instance is cut off from control and may have missed a withdrawal.
 */
import { type ConfigurationFollower } from "../configuration/ConfigurationFollower.ts";
import { type Account, type ActiveVersion, type RoutingTable } from "../configuration/RoutingTable.ts";
import { routerError } from "../errors/RouterError.ts";
import { type SessionDirectory, type SessionVersion } from "../sessions/SessionDirectory.ts";
import { allowedVersions, AUTO_MODEL, chooseByShare, parseModelName } from "./VersionChooser.ts";

/** A request for which a version is chosen. */
export interface VersionRequest {
    readonly id: string;
    readonly table: RoutingTable;
    readonly account: Account;
    /** `model`, `model@version`, or `auto`. */
    readonly model: string;
    readonly session: string | undefined;
}

/** Dependencies of the policy. */
export interface VersionPolicyDependencies {
    readonly follower: ConfigurationFollower;
    readonly sessions: SessionDirectory;
    readonly hasUpstreams: (target: string) => boolean;
}

/** Chooses the version for each request. */
export class VersionPolicy {
    private readonly deps: VersionPolicyDependencies;

    public constructor(deps: VersionPolicyDependencies) {
        this.deps = deps;
    }

    /** Resolves with the version for a request, or rejects with a `RouterError`. */
    public async choose(req: VersionRequest): Promise<SessionVersion> {
        const name = parseModelName(req.model);
        const allowed = allowedVersions(req.table, req.account, name);
        const usable = this.usableVersions(allowed);
        if (name.version !== undefined || req.session === undefined) {
            return { version: requireVersion(this.pick(req, usable, req.id)), movedFrom: undefined };
        }
        const session = req.session;
        return this.deps.sessions.resolve({
            account: req.account.name,
            session,
            model: name.model,
            allowed,
            choose: () => this.pick(req, usable, session),
            isUsable: version => usable.includes(version),
        });
    }

    /** While this instance is cut off, versions in roll-out may have been withdrawn, so they get no new requests. */
    private usableVersions(allowed: readonly ActiveVersion[]): readonly ActiveVersion[] {
        return this.deps.follower.hasQuorumContact ? allowed : allowed.filter(version => version.isUsableWhenCutOff);
    }

    private pick(req: VersionRequest, usable: readonly ActiveVersion[], key: string): ActiveVersion | undefined {
        const hasUpstreams = (version: ActiveVersion): boolean => this.deps.hasUpstreams(version.key);
        if (req.model !== AUTO_MODEL) {
            return chooseByShare(`${key} ${req.model}`, usable, hasUpstreams);
        }
        const served = usable.filter(hasUpstreams);
        const model = cheapestModel(served.length > 0 ? served : usable, req.account.quality_target);
        return chooseByShare(`${key} ${model}`, usable.filter(version => version.model === model), hasUpstreams);
    }
}

/** The cheapest model whose expected quality meets the target, or else the model with the highest quality. */
const cheapestModel = (versions: readonly ActiveVersion[], target: number): string => {
    const models = [...Map.groupBy(versions.filter(version => version.share > 0), version => version.model)]
        .map(([model, modelVersions]) => ({
            model,
            cost: meanByShare(modelVersions, version => version.cost),
            quality: meanByShare(modelVersions, version => version.quality),
        }));
    const sufficient = models.filter(item => item.quality >= target).sort((a, b) => a.cost - b.cost);
    const best = models.sort((a, b) => b.quality - a.quality)[0];
    return sufficient[0]?.model ?? best?.model ?? "";
};

const meanByShare = (versions: readonly ActiveVersion[], valueOf: (version: ActiveVersion) => number): number => {
    const total = versions.reduce((sum, version) => sum + version.share, 0);
    return versions.reduce((sum, version) => sum + valueOf(version) * version.share, 0) / total;
};

const requireVersion = (version: ActiveVersion | undefined): ActiveVersion => {
    if (version === undefined) {
        const message = "the version is in roll-out, and this instance is cut off from the control majority";
        throw routerError(message, { code: "noMajority", step: "choose version", retryAfterMs: CUT_OFF_RETRY_MS });
    }
    return version;
};

/** Time after which a caller may retry on an instance that is cut off, in ms. */
const CUT_OFF_RETRY_MS = 2000;
