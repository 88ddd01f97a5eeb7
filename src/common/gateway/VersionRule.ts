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

/** What is known of the session of a request. */
export interface SessionHistory {
    /** Version on which it ran lately at this instance. */
    readonly lastVersion: string | undefined;
    /** Whether another instance keeps it on the settled version. */
    readonly isHeld: boolean;
}

/** Whether a roll-out to `target` draws the session at this share. */
const isSelected = (service: string, target: string, session: string, share: number): boolean =>
    hashFraction(`${service}|${target}|${session}`) < share;

/**
 * Whether a session that ran on `version` is one that a roll-out has drawn, or is about to draw, and that must stay on
 * its version. Sessions meet any entry instance, so the others have to be told.
 *
 * @param canaryShare share of the sessions that a roll-out draws at first
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

/** @param key session of the request, or its own id */
export const versionRule = (fleet: Fleet, service: string, key: string, history: SessionHistory): VersionRule => {
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
    const { lastVersion: pinned, isHeld } = history;
    const mustStay = share < 1 && (isHeld || (pinned !== undefined && pinned !== target));
    if (share > 0 && !mustStay && (pinned === target || isSelected(service, target, key, share))) {
        return { isPreferred: isTarget, isAllowed: version => isTarget(version) || isOld(version) };
    }
    return { isPreferred: isOld, isAllowed: isOld };
};
