/**
 * Which versions of a service a request may run on while versions are rolled out, and which it should. A session
 * keeps its version in the first part of a roll-out and moves to the new one with everybody else.
 */
import { hashFraction } from "../routing/Hash.ts";
import { type Fleet, latestRollout } from "./FleetState.ts";

/** What holds for one request. */
export interface VersionRule {
    /** Versions that the request should run on, when there is an upstream of one. */
    readonly isPreferred: (version: string) => boolean;
    /** Versions that it may run on. */
    readonly isAllowed: (version: string) => boolean;
}

/**
 * @param key session of the request, or its own id
 * @param pinned version on which the session ran lately
 */
export const versionRule = (fleet: Fleet, service: string, key: string, pinned: string | undefined): VersionRule => {
    const rejected = fleet.rollouts
        .filter(rollout => rollout.service === service && rollout.state === "rolledBack")
        .map(rollout => rollout.target);
    const isSound = (version: string): boolean => !rejected.includes(version);
    const rollout = latestRollout(fleet, service);
    if (rollout === undefined || rollout.state === "rolledBack") {
        return { isPreferred: isSound, isAllowed: isSound };
    }
    const { target, state, share } = rollout;
    const isTarget = (version: string): boolean => version === target;
    if (state === "completed") {
        return { isPreferred: isTarget, isAllowed: isTarget };
    }
    const isOld = (version: string): boolean => version !== target && isSound(version);
    const isDrawn = hashFraction(`${service}|${target}|${key}`) < share;
    const isPinnedOld = pinned !== undefined && pinned !== target && share < 1;
    if (share > 0 && (pinned === target || (isDrawn && !isPinnedOld))) {
        return { isPreferred: isTarget, isAllowed: version => isTarget(version) || isOld(version) };
    }
    return { isPreferred: isOld, isAllowed: isOld };
};
