/**
 * Messages from upstreams. An upstream repeats its announcement as a heartbeat; load reports and cache events arrive
 * late and with gaps, so each carries a sequence number.
 */
import * as z from "zod";

const id = z.string().min(1).max(64).regex(/^[A-Za-z0-9._:-]+$/, "must be letters, digits, dots, colons, dashes");
const targetName = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);

/** Maximum number of versions that one upstream may serve. */
const MAX_VERSIONS = 64;

export const announcementSchema = z.object({
    id,
    /** Changes at every start of the upstream's process. */
    startId: id,
    domain: id,
    /** IP address that instances connect to. */
    host: z.string().regex(/^[0-9a-fA-F.:]+$/, "must be an IP address"),
    port: z.number().int().min(1).max(65535),
    service: targetName.optional(),
    versions: z.array(z.object({ model: targetName, version: targetName })).max(MAX_VERSIONS).default([]),
    /** Requests that it can run concurrently when warm. */
    capacity: z.number().int().min(1).max(100_000),
    /** Requests that it can run concurrently right after a start. */
    coldCapacity: z.number().int().min(1).max(100_000).default(1),
    /** Time that it takes to warm up under load, in ms. */
    warmMs: z.number().int().min(0).max(3_600_000).default(10_000),
    /** Whether a broken stream can be continued with `GET /v1/streams/ID` and `Last-Event-ID`. */
    resumesStreams: z.boolean().default(false),
    /** Whether it rejects a request with an outdated fencing number. */
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
    /** Requests in its own queue. */
    queued: z.number().int().nonnegative().default(0),
    /** Mean time of a request over the last few seconds, in ms. */
    meanMs: z.number().nonnegative().optional(),
    /** True while the upstream reports itself as cold. */
    isCold: z.boolean().optional(),
});

/** Load that an upstream reports; it may be a few seconds old when it arrives. */
export type LoadReport = z.infer<typeof loadReportSchema>;

export const cacheEventSchema = z.object({
    id,
    startId: id,
    seq: z.number().int().nonnegative(),
    stored: z.array(z.string().max(64)).max(1000).default([]),
    evicted: z.array(z.string().max(64)).max(1000).default([]),
});

/** Prompt prefixes that an upstream has stored in, or evicted from, its cache. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;

export const leaveNoticeSchema = z.object({ id, startId: id });

/** An upstream's notice that it leaves and accepts no new requests. */
export type LeaveNotice = z.infer<typeof leaveNoticeSchema>;

/** What an upstream serves: `model@version`, or `service NAME`. */
export type Target = string;

/** Target of a plain service. */
export const serviceTarget = (name: string): Target => `service ${name}`;

/** All targets that an announcement offers. */
export const targetsOf = (announcement: Announcement): Target[] => {
    const versions = announcement.versions.map(item => `${item.model}@${item.version}`);
    return announcement.service === undefined ? versions : [...versions, serviceTarget(announcement.service)];
};
