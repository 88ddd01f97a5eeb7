/**
 * What upstreams say of themselves. Announcements repeat as heartbeats; load reports and cache events come
 * late and with gaps, so each carries a sequence number.
 */
import { z } from "zod";

const id = z.string().min(1).max(64).regex(/^[A-Za-z0-9._:-]+$/, "must be letters, digits, dots, colons, dashes");
const targetName = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);

/** Most versions that one upstream may serve. */
const MAX_VERSIONS = 64;

export const announcementSchema = z.object({
    id,
    /** Changes at every start of the upstream's process. */
    startId: id,
    domain: id,
    /** Address that instances connect to, by IP number. */
    host: z.string().regex(/^[0-9a-fA-F.:]+$/, "must be an IP number"),
    port: z.number().int().min(1).max(65535),
    service: targetName.optional(),
    versions: z.array(z.object({ model: targetName, version: targetName })).max(MAX_VERSIONS).default([]),
    /** Requests that it runs at once when warm. */
    capacity: z.number().int().min(1).max(100_000),
    /** Requests that it bears right after a start. */
    coldCapacity: z.number().int().min(1).max(100_000).default(1),
    /** Time in which it warms up under load, in ms. */
    warmMs: z.number().int().min(0).max(3_600_000).default(10_000),
    /** Whether a broken stream can be continued with `GET /v1/streams/ID` and `Last-Event-ID`. */
    resumesStreams: z.boolean().default(false),
    /** Whether it refuses an order with an old fencing number. */
    checksFencing: z.boolean().default(false),
});

/** An upstream's announcement, repeated as its heartbeat. */
export type Announcement = z.infer<typeof announcementSchema>;

export const loadReportSchema = z.object({
    id,
    startId: id,
    seq: z.number().int().nonnegative(),
    /** Requests that it is running. */
    running: z.number().int().nonnegative(),
    /** Requests that wait inside it. */
    queued: z.number().int().nonnegative().default(0),
    /** Mean time of a request over the last seconds, in ms. */
    meanMs: z.number().nonnegative().optional(),
    /** True while the upstream itself knows that it is cold. */
    isCold: z.boolean().optional(),
});

/** Load that an upstream reports, late by up to a few seconds. */
export type LoadReport = z.infer<typeof loadReportSchema>;

export const cacheEventSchema = z.object({
    id,
    startId: id,
    seq: z.number().int().nonnegative(),
    stored: z.array(z.string().max(64)).max(1000).default([]),
    evicted: z.array(z.string().max(64)).max(1000).default([]),
});

/** Prompt prefixes that an upstream has stored in or evicted from its cache. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

export const leaveNoticeSchema = z.object({ id, startId: id });

/** An upstream's statement that it leaves and takes no new work. */
export type LeaveNotice = z.infer<typeof leaveNoticeSchema>;

/** Name of what an upstream serves: `model@version`, or `service NAME`. */
export type Target = string;

/** Target of a plain service. */
export const serviceTarget = (name: string): Target => `service ${name}`;

/** All targets that an announcement offers. */
export const targetsOf = (announcement: Announcement): Target[] => {
    const versions = announcement.versions.map(item => `${item.model}@${item.version}`);
    return announcement.service === undefined ? versions : [...versions, serviceTarget(announcement.service)];
};
