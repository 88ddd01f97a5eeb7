/**
 * The planned stop of an entry instance: new requests are refused after a delay, and those in flight, and what the instance
 * relays for others, have until the end of the grace period.
 */
import { type Clock, sleep, withTimeout } from "../../common/time/Clock.ts";
import { type HttpServer } from "../http/HttpServer.ts";
import { type Log } from "../log/Log.ts";
import { type CallerHandler } from "./CallerHandler.ts";
import { type RelayServer } from "./RelayServer.ts";

/** Callers still send requests for about this long after readiness reports a planned stop, in ms. */
const READINESS_DELAY_MS = 2600;
/** Requests that are still open this long before the end of the grace period are aborted, in ms. */
const ABORT_MARGIN_MS = 700;
/** Time for the answers to these requests to be taken, in ms. */
const PREEMPT_MS = 200;

/** What is stopped. */
export interface StoppedParts {
    readonly clock: Clock;
    readonly log: Log;
    readonly handler: CallerHandler;
    readonly callerServer: HttpServer | undefined;
    readonly relayServer: RelayServer | undefined;
}

/** To be called when readiness reports the stop. Resolves when no request is open any more. */
export const stopServing = async (parts: StoppedParts, graceMs: number): Promise<void> => {
    const { clock, log, handler, callerServer, relayServer } = parts;
    const abortAt = clock.monotonic() + graceMs - ABORT_MARGIN_MS;
    const openCounts = (): object => ({ inFlight: handler.inFlight, untaken: handler.untaken });
    handler.disableKeepAlive();
    log.info("The entry role stops.", openCounts());
    await sleep(clock, Math.min(READINESS_DELAY_MS, graceMs / 3));
    handler.refuseRequests();
    const stopped = Promise.all([callerServer?.stop(), relayServer?.stop()]);
    await withTimeout(clock, Math.max(0, abortAt - clock.monotonic()), stopped);
    if (handler.inFlight > 0) {
        log.warn("Open requests are aborted at the end of the grace period.", openCounts());
        await withTimeout(clock, PREEMPT_MS, handler.preemptRequests());
    }
    callerServer?.closeConnections();
};
