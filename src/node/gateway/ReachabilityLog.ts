/**
 * Log lines for control instances that a follower loses and regains.
 */
import { type FleetFollower } from "../../common/gateway/FleetFollower.ts";
import { type Disposable } from "../../common/lifecycle/Disposable.ts";
import { type Log } from "../log/Log.ts";

/** Logs each change until disposed. */
export const logReachability = (follower: FleetFollower, log: Log): Disposable =>
    follower.onReachabilityChanged(({ peer, isReachable, reason }) => {
        log.info(isReachable ? "A control instance is reached." : "A control instance is lost.", { peer, reason });
    });
