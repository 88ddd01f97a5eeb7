/**
 * Determines the versions of a service on which a request may run during a roll-out, and those on which it should. A
 * session keeps its version in the canary phase and moves to the new version together with all others.
 */
import { hashFraction } from "../routing/Hash.ts";
import { type Fleet, latestRollout, mayBeInUse, versionInUse } from "./FleetState.ts";

/** Versions for one request. */
export interface VersionRule {
    /** Whether the request should run on the version, if an upstream with such a version is available. */
    readonly isPreferred: (version: string) => boolean;
    /** Whether the request may run on the version. */
    readonly isAllowed: (version: string) => boolean;
}

/** Previous runs of the session of a request. */
export interface SessionHistory {
    /** Version on which the session ran last at this instance, if that was recently. */
    readonly lastVersion: string | undefined;
    /** Whether another instance has reported that the session must stay on the previous version. */
    readonly isPinned: boolean;
}

/** Whether a roll-out to `target` with this share selects the session for the target version. */
const isSelected = (service: string, target: string, session: string, share: number): boolean =>
    hashFraction(`${service}|${target}|${session}`) < share;

/**
 * Whether a session that ran on `version` must stay on it although a roll-out selects it, or is about to select it, for
 * the target version. The requests of a session may reach any entry instance, so the others must be told.
 *
 * @param canaryShare share of the sessions that a roll-out selects in its canary phase
 */
export const mustKeepVersion = (
    fleet: Fleet,
    service: string,
    session: string,
    version: string,
    canaryShare: number,
): boolean => {
    const rollout = latestRollout(fleet, service);
    if (rollout === undefined || rollout.state !== "running" || rollout.share === 1 || version === rollout.target) {
        return false;
    }
    return isSelected(service, rollout.target, session, Math.max(canaryShare, rollout.share));
};

/**
 * Returns the versions for a request.
 *
 * @param key session of the request, or the id of a request without a session
 * @param hasUpstream whether the service has, or had lately, an upstream with a version for which the function is true
 */
export const versionRule = (
    fleet: Fleet,
    service: string,
    key: string,
    history: SessionHistory,
    hasUpstream: (isWanted: (version: string) => boolean) => boolean = () => true,
): VersionRule => {
    const isInUse = mayBeInUse(fleet, service);
    const rollout = latestRollout(fleet, service);
    if (rollout === undefined || rollout.state !== "running") {
        return { isPreferred: isInUse, isAllowed: isInUse };
    }
    const { target, share } = rollout;
    const isTarget = (version: string): boolean => version === target;
    const isPrevious = (version: string): boolean => version !== target && isInUse(version);
    if (versionInUse(fleet, service) === undefined && !hasUpstream(isPrevious)) {
        // The target is the version in use already.
        return { isPreferred: isTarget, isAllowed: isTarget };
    }
    const { lastVersion, isPinned } = history;
    const mustStay = share < 1 && (isPinned || (lastVersion !== undefined && lastVersion !== target));
    if (share > 0 && !mustStay && (lastVersion === target || isSelected(service, target, key, share))) {
        return { isPreferred: isTarget, isAllowed: version => isTarget(version) || isPrevious(version) };
    }
    return { isPreferred: isPrevious, isAllowed: isPrevious };
};
