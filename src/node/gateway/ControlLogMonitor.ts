/**
 * Logs what happens to a voter of the control log, and counts signs that something committed was lost: entries that
 * another leader overwrote, and a fleet in memory that is later than the confirmed log.
 */
import { type ControlLog } from "../../common/control/ControlLog.ts";
import { type ControlEvent, LEADER_LEASE_MS } from "../../common/control/ControlTypes.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, repeat } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";

/** How often the revisions are compared, in ms. */
const CHECK_PERIOD_MS = 1000;

/** Dependencies of a monitor. */
export interface ControlLogMonitorDependencies {
    readonly clock: Clock;
    readonly controlLog: Pick<ControlLog, "onEvent" | "onRoleChanged" | "status" | "confirmationAgeMs">;
    readonly log: Log;
    /** Revision of the fleet that the log yields here. */
    readonly loggedRevision: () => number;
    /** Revision of the fleet that this instance has received from others. */
    readonly receivedRevision: () => number;
}

/** Watches one voter. */
export class ControlLogMonitor extends DisposableOwner {
    private readonly deps: ControlLogMonitorDependencies;
    private overwrittenCount = 0;
    private lostCount = 0;
    private newestLostRevision = 0;

    public constructor(deps: ControlLogMonitorDependencies) {
        super();
        this.deps = deps;
        const { clock, controlLog, log } = deps;
        this.register(controlLog.onEvent(event => this.onEvent(event)));
        this.register(controlLog.onRoleChanged(({ role, term, leader, voters, recoveryId, failure }) => {
            log.info("The control log has another role.", { role, term, leader, voters, recoveryId, failure });
        }));
        this.register(repeat(clock, CHECK_PERIOD_MS, () => this.compareRevisions()));
    }

    /** Number of committed entries that another leader has overwritten here; not 0 after a loss only. */
    public get overwrittenEntries(): number {
        return this.overwrittenCount;
    }

    /** Number of revisions that this instance had received and that the log lacks; not 0 after a loss only. */
    public get lostRevisions(): number {
        return this.lostCount;
    }

    private onEvent(event: ControlEvent): void {
        const { log } = this.deps;
        const { kind, ...fields } = event;
        switch (kind) {
            case "recovering":
                log.warn(
                    "The disk may lack what this voter has confirmed: it votes again after it is readmitted.",
                    fields,
                );
                break;
            case "recovered":
                log.info("This voter is readmitted.", fields);
                break;
            case "readmitting":
                log.info("A voter that had lost its disk is to be readmitted.", fields);
                break;
            case "voted":
                log.info("This voter votes for another one.", fields);
                break;
            case "truncated":
                this.onTruncated(event);
                break;
            case "leadershipEnded":
                log.info("This instance has ceased to lead.", fields);
                break;
            case "notElected":
                log.info("This voter is not elected.", fields);
                break;
        }
    }

    private onTruncated({ index, lastIndex, commitIndex }: Extract<ControlEvent, { kind: "truncated"; }>): void {
        const { log } = this.deps;
        if (index > commitIndex) {
            log.info("Entries that were not committed are overwritten.", { index, lastIndex, commitIndex });
            return;
        }
        this.overwrittenCount += commitIndex - index + 1;
        log.error("Committed entries are overwritten: changes are lost.", { index, lastIndex, commitIndex });
    }

    /**
     * A leader with a valid lease has applied all that is committed, so nothing that others have sent it may be later.
     */
    private compareRevisions(): void {
        const { controlLog, log, loggedRevision, receivedRevision } = this.deps;
        const isConfirmed = controlLog.status.role === "leader" && controlLog.confirmationAgeMs < LEADER_LEASE_MS;
        const received = receivedRevision();
        const logged = loggedRevision();
        if (isConfirmed && received > Math.max(logged, this.newestLostRevision)) {
            this.newestLostRevision = received;
            this.lostCount++;
            log.error("The control log lacks a revision that was in force: changes are lost.", { received, logged });
        }
    }
}
