/**
 * Logs when control instances become unreachable for a follower, or reachable again.
 */
import { type FleetFollower } from "../../common/gateway/FleetFollower.ts";
import { type Disposable } from "../../common/lifecycle/Disposable.ts";
import { type Log } from "../log/Log.ts";

/** Logs each change of reachability until disposed. */
export const logReachability = (follower: FleetFollower, log: Log): Disposable =>
    follower.onReachabilityChanged(({ peer, isReachable, reason }) => {
        log.info(isReachable ? "A control instance is reached." : "A control instance is lost.", { peer, reason });
    });
