/**
 * What an entry instance reports to the control instances: the outcomes of the services in a roll-out, and the sessions
 * that must keep their version there.
 */
import { type FollowerReport } from "./FleetFollower.ts";
import { type Fleet } from "./FleetState.ts";
import { type OutcomeCounters } from "./OutcomeCounters.ts";
import { type SessionVersions } from "./SessionVersions.ts";
import { mustKeepVersion } from "./VersionRule.ts";

/** @param canaryShare share of the requests that a new version gets at first */
export const followerReport = (
    fleet: Fleet,
    outcomes: OutcomeCounters,
    sessions: SessionVersions,
    canaryShare: number,
): FollowerReport => {
    const running = fleet.rollouts.filter(rollout => rollout.state === "running");
    return {
        outcomes: outcomes.select(service => running.some(rollout => rollout.service === service)),
        heldSessions: running.length === 0
            ? []
            : sessions.select((session, service, version) =>
                mustKeepVersion(fleet, service, session, version, canaryShare)
            ),
    };
};
