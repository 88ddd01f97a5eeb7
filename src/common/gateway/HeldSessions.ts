/**
 * Sessions that entry instances keep on their version during a roll-out, with numbered changes. Each follower gets what has
 * changed since its last call, because whole lists grow with the sessions times the followers.
 */

/** Number of changes that are kept; a follower that lacks older ones gets the whole list. */
const MAX_CHANGES = 4096;

/** Changes since a version. */
export interface HeldSessionsDelta {
    readonly version: number;
    /** Sessions that are held now; the whole list if `released` is undefined. */
    readonly held: readonly string[];
    /** Sessions that are no longer held. */
    readonly released: readonly string[] | undefined;
}

/** Union of the sessions that the entry instances hold. */
export class HeldSessions {
    private readonly byInstance = new Map<string, readonly string[]>();
    /** Number of instances that hold each session. */
    private readonly counts = new Map<string, number>();
    /** Sessions that were taken or released, the newest change last. */
    private readonly changes: string[] = [];
    /** Number of the newest change; 1 for none, as 0 stands for a follower that has no list. */
    private version = 1;

    /** Replaces the sessions that an instance holds. */
    public replace(instance: string, sessions: readonly string[]): void {
        const previous = this.byInstance.get(instance) ?? [];
        if (previous.length === 0 && sessions.length === 0) {
            return;
        }
        this.byInstance.set(instance, sessions);
        const before = new Set(previous);
        for (const session of new Set(sessions)) {
            if (!before.delete(session)) {
                this.add(session);
            }
        }
        before.forEach(session => this.subtract(session));
    }

    /** Changes since the version that a follower has; undefined or 0 for none. */
    public changedSince(since: number | undefined): HeldSessionsDelta {
        const { version } = this;
        const oldest = version - this.changes.length;
        if (since === undefined || since === 0 || since < oldest || since > version) {
            return { version, held: [...this.counts.keys()], released: undefined };
        }
        const sessions = new Set(this.changes.slice(since - oldest));
        const isHeld = (session: string): boolean => this.counts.has(session);
        return {
            version,
            held: [...sessions].filter(isHeld),
            released: [...sessions].filter(session => !isHeld(session)),
        };
    }

    private add(session: string): void {
        const count = this.counts.get(session) ?? 0;
        this.counts.set(session, count + 1);
        if (count === 0) {
            this.recordChange(session);
        }
    }

    private subtract(session: string): void {
        const count = this.counts.get(session) ?? 0;
        if (count > 1) {
            this.counts.set(session, count - 1);
            return;
        }
        this.counts.delete(session);
        this.recordChange(session);
    }

    private recordChange(session: string): void {
        this.version++;
        this.changes.push(session);
        if (this.changes.length > MAX_CHANGES) {
            this.changes.splice(0, MAX_CHANGES / 2);
        }
    }
}
