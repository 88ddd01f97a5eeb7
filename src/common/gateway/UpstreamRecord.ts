/**
 * What upstreams say of themselves, and which of two such statements is the newer one. Statements travel between
 * instances and may arrive late, twice, or from a process that has ended.
 */
import { z } from "zod";

export const upstreamRecordSchema = z.object({
    id: z.string(),
    /** Unix time at which the process started, in ms. */
    start: z.number(),
    /** Rises with each statement of one process. */
    seq: z.number(),
    service: z.string(),
    host: z.string(),
    port: z.number(),
    domain: z.string(),
    /** Version of its software. */
    version: z.string(),
    /** Requests that it runs at the same time. */
    slots: z.number(),
    state: z.enum(["ready", "draining", "gone"]),
    /** How much longer it was cold when it made the statement, in ms. */
    coldMs: z.number(),
});

/** A statement of one upstream. */
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>;

/** Address at which an upstream listens. */
export const addressOf = ({ host, port }: Pick<UpstreamRecord, "host" | "port">): string => `${host}:${port}`;

const stateRank = { ready: 0, draining: 1, gone: 2 } as const;

/** Whether `news` replaces `known`. A process that leaves never becomes ready again. */
export const isNewerRecord = (news: UpstreamRecord, known: UpstreamRecord): boolean => {
    if (news.start !== known.start) {
        return news.start > known.start;
    }
    const rank = stateRank[news.state] - stateRank[known.state];
    return rank === 0 ? news.seq > known.seq : rank > 0;
};

/** A statement and when it was heard. */
export interface ReceivedRecord {
    readonly record: UpstreamRecord;
    /** Monotonic time, in ms. */
    readonly receivedAt: number;
}
