/**
 * The entry instances in service, as control instances list them. Instances that share a limit must agree on who takes
 * part, so an instance counts itself in only after all others have had time to learn of it.
 */
import { type Clock } from "../time/Clock.ts";

/**
 * Time after the first reply of a control instance until all entry instances know each other, in ms: each calls every
 * control instance, and gets a reply that lists the others.
 */
export const DISCOVERY_MS = 4000;
/**
 * How long an instance stays on the roster after it was last listed, in ms. It bridges the time in which a control
 * instance that has restarted lists only the instances that have already called it.
 */
const RETENTION_MS = 5000;

/** Roster of one entry instance. */
export class EntryRoster {
    private readonly clock: Clock;
    /** Monotonic time at which each instance was last listed, in ms. */
    private readonly listedAt = new Map<string, number>();
    private ids: readonly string[] = [];
    /** Boot time of the newest list, in ms: an old one must not be used. */
    private lastListAt = -Infinity;
    /** Monotonic time since which lists have arrived without a long pause, in ms. */
    private listedSince = -Infinity;

    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /**
     * Ids of the entry instances, this one included; the same array until they change. Empty while this instance may
     * lack some of them, or they may not know of this one.
     */
    public get members(): readonly string[] {
        return this.isRecent && this.clock.monotonic() - this.listedSince >= DISCOVERY_MS ? this.ids : [];
    }

    /** Ids of the entry instances that are listed now, also while some may be missing. */
    public get listed(): readonly string[] {
        return this.isRecent ? this.ids : [];
    }

    /** Adds the entry instances that a control instance has just listed. */
    public recordList(listed: readonly string[]): void {
        const now = this.clock.monotonic();
        if (!this.isRecent) {
            this.listedSince = now;
        }
        this.lastListAt = this.clock.boottime();
        let hasChanged = false;
        for (const id of listed) {
            hasChanged ||= !this.listedAt.has(id);
            this.listedAt.set(id, now);
        }
        for (const [id, at] of this.listedAt) {
            if (now - at > RETENTION_MS) {
                this.listedAt.delete(id);
                hasChanged = true;
            }
        }
        if (hasChanged) {
            this.ids = [...this.listedAt.keys()];
        }
    }

    private get isRecent(): boolean {
        return this.clock.boottime() - this.lastListAt <= RETENTION_MS;
    }
}
