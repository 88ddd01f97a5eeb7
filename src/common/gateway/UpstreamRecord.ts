/**
 * Records that upstreams send about themselves, and the order of two records. Instances relay records to each other, so
 * a record may arrive late, more than once, or after its process has ended.
 */
import * as z from "zod";

export const upstreamRecordSchema = z.object({
    id: z.string(),
    /** Unix time at which the process started, in ms. */
    start: z.number(),
    /** Increases with each record of a process. */
    seq: z.number(),
    service: z.string(),
    host: z.string(),
    port: z.number(),
    domain: z.string(),
    /** Version of the upstream's software. */
    version: z.string(),
    /** Number of requests that the upstream runs concurrently. */
    slots: z.number(),
    state: z.enum(["ready", "draining", "gone"]),
    /** Whether the process has ended without announcing it: another one has registered at its address. */
    endedUnannounced: z.boolean().optional(),
    /** Time until the upstream is warm, in ms, counted from when it sent the record. */
    coldMs: z.number(),
});

/** State of an upstream, as it was registered or reported by the upstream. */
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>;

/** Address on which an upstream listens. */
export const addressOf = ({ host, port }: Pick<UpstreamRecord, "host" | "port">): string => `${host}:${port}`;

/** Key that identifies one process of an upstream, since an id is reused after a restart. */
export const processName = ({ id, start }: Pick<UpstreamRecord, "id" | "start">): string => `${id} ${start}`;

const stateRank = { ready: 0, draining: 1, gone: 2 } as const;

/** Whether `record` replaces `current`. A process that is draining or gone never becomes ready again. */
export const isNewerRecord = (record: UpstreamRecord, current: UpstreamRecord): boolean => {
    if (record.start !== current.start) {
        return record.start > current.start;
    }
    const rank = stateRank[record.state] - stateRank[current.state];
    return rank === 0 ? record.seq > current.seq : rank > 0;
};

/** Whether the process is gone and has announced it. */
export const hasLeft = ({ state, endedUnannounced }: UpstreamRecord): boolean =>
    state === "gone" && endedUnannounced !== true;

/** A record and when it was received from the upstream. */
export interface ReceivedRecord {
    readonly record: UpstreamRecord;
    /** Monotonic time, in ms. For an upstream that is gone, that of its own last message. */
    readonly receivedAt: number;
}
