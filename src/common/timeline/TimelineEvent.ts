/**
 * Events of the timeline. Every event has a stamp of a hybrid logical clock, so that the events of all processes
 * merge into one order that is consistent with causality.
 */
import * as z from "zod";

export const eventKinds = [
    "instanceStarted",
    "instanceStopping",
    "memberChanged",
    "leaderChanged",
    "configurationApplied",
    "sheetAnswered",
    "contactChanged",
    "upstreamAdded",
    "upstreamLost",
    "ownerChanged",
    "requestArrived",
    "requestDispatched",
    "requestRetried",
    "requestAnswered",
    "requestRefused",
    "sessionMoved",
    "versionJudged",
    "orderSent",
    "suspectSeen",
    "problem",
] as const;

export const timelineEventSchema = z.object({
    /** Stamp of the hybrid logical clock. Stamps sort as text. */
    stamp: z.string(),
    instance: z.string(),
    kind: z.enum(eventKinds),
    message: z.string(),
    request: z.string().optional(),
    session: z.string().optional(),
    account: z.string().optional(),
    version: z.string().optional(),
    upstream: z.string().optional(),
    domain: z.string().optional(),
});

/** One event of one process. */
export type TimelineEvent = z.infer<typeof timelineEventSchema>;
/** Kind of an event. */
export type EventKind = TimelineEvent["kind"];
/** Optional fields that the source of an event sets. */
export type EventDetails = Omit<TimelineEvent, "stamp" | "instance" | "kind" | "message">;
