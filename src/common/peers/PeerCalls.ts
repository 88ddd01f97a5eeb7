/**
 * The calls between instances. Each has a schema for its request and its reply; both are checked at the
 * receiving side, since a peer may run another version of the program.
 */
import { z } from "zod";
import { billSchema } from "../billing/Bill.ts";
import { fleetSchema } from "../gateway/FleetState.ts";
import { routeOutcomeCountsSchema } from "../gateway/OutcomeCounters.ts";
import { upstreamRecordSchema } from "../gateway/UpstreamRecord.ts";
import { memberSchema } from "../membership/Member.ts";
import { pinSchema } from "../sessions/SessionPins.ts";
import { slotGrantSchema, slotRequestSchema } from "../slots/SlotTypes.ts";
import { timelineEventSchema } from "../timeline/TimelineEvent.ts";
import { announcementSchema, cacheEventSchema, leaveNoticeSchema, loadReportSchema } from "../upstreams/Upstream.ts";

const empty = z.object({});
const anyObject = z.record(z.string(), z.unknown());

export const peerCalls = {
    /** Liveness, with news of the membership both ways. */
    ping: { req: z.object({ members: z.array(memberSchema) }), reply: z.object({ members: z.array(memberSchema) }) },
    /** Asks for a second opinion on an instance that did not answer. */
    pingOther: { req: z.object({ target: z.string() }), reply: z.object({ isReachable: z.boolean() }) },
    announceUpstreams: {
        req: z.object({ announcements: z.array(announcementSchema), renewals: z.array(z.number()) }),
        reply: z.object({ unknown: z.array(z.number()) }),
    },
    /** All upstreams that the receiver knows, for an instance that has just started. */
    fetchUpstreams: { req: empty, reply: z.object({ announcements: z.array(announcementSchema) }) },
    reportUpstreams: {
        req: z.object({ loads: z.array(loadReportSchema), caches: z.array(cacheEventSchema) }),
        reply: empty,
    },
    leaveUpstream: { req: leaveNoticeSchema, reply: empty },
    /** All connections of the sender to the upstream broke, so its process may be gone. */
    doubtUpstream: { req: leaveNoticeSchema, reply: empty },
    borrowSlots: {
        req: z.object({ borrower: z.string(), requests: z.array(slotRequestSchema) }),
        reply: z.object({ grants: z.array(slotGrantSchema) }),
    },
    /** Asks a borrower to renew a loan at once: there is more to lend, or others need what it holds. */
    nudgeBorrower: { req: z.object({ upstream: z.string(), isContended: z.boolean() }), reply: empty },
    pinSession: { req: z.object({ pin: pinSchema }), reply: z.object({ pin: pinSchema }) },
    /** Sessions that began at the sender, so that each instance knows them when it is cut off later. */
    spreadPins: {
        req: z.object({ pins: z.array(pinSchema) }),
        /** Pins that hold at the receiver instead of those sent. */
        reply: z.object({ pins: z.array(pinSchema) }),
    },
    /** A page of all pins, for an instance that has just started. */
    fetchPins: {
        req: z.object({ offset: z.number().int().nonnegative() }),
        reply: z.object({ pins: z.array(pinSchema), isLast: z.boolean() }),
    },
    /** Outcomes of versions in roll-out, counted since the start of the sender's process. */
    reportOutcomes: {
        req: z.object({
            start: z.string(),
            counts: z.array(z.object({
                version: z.string(),
                kind: z.enum(["error", "slow", "rating"]),
                total: z.number().int().nonnegative(),
                bad: z.number().int().nonnegative(),
            })),
        }),
        reply: empty,
    },
    /** Crashes that a request was part of; 0 clears it. */
    tellSuspect: { req: z.object({ fingerprint: z.string(), crashes: z.number().int().nonnegative() }), reply: empty },
    permitSuspect: {
        req: z.object({ fingerprint: z.string(), request: z.string(), target: z.string() }),
        reply: z.object({ state: z.enum(["granted", "busy", "free", "quarantined"]), upstream: z.string().optional() }),
    },
    returnPermit: { req: z.object({ upstream: z.string(), request: z.string() }), reply: empty },
    /** Work that accounts had done here since the last message, so that fairness spans instances. */
    shareUsage: {
        req: z.object({
            usages: z.array(
                z.object({ target: z.string(), account: z.string(), weight: z.number(), cost: z.number() }),
            ),
            inFlight: z.array(z.object({ account: z.string(), count: z.number() })),
        }),
        reply: empty,
    },
    fetchConfiguration: {
        req: z.object({ revision: z.number() }),
        reply: z.object({
            revision: z.number(),
            /** Age of the newest proof that the control majority held this revision, in ms. */
            contactAgeMs: z.number(),
            configuration: anyObject.optional(),
        }),
    },
    /** Waits for news of the fleet: upstreams, the revision in force, and who else is there. */
    watchFleet: {
        req: z.object({
            role: z.enum(["entry", "control"]),
            /** Process of the receiver whose changes `since` counts; another one sends everything. */
            epoch: z.string(),
            /** Number of the newest change of upstreams that the sender has from the receiver. */
            since: z.number(),
            /** Whether the call may wait for news; a sender whose proof has grown old wants a new one at once. */
            mayWait: z.boolean(),
            /** Revision of the fleet that the sender holds. */
            revision: z.number(),
            /** Answers of versions in roll-out, counted since the sender's process started. */
            outcomes: z.array(routeOutcomeCountsSchema),
            /** Requests that were in flight when upstreams crashed, counted since the sender's process started. */
            crashes: z.array(z.object({ fingerprint: z.string(), count: z.number() })),
            /** Sessions that the sender keeps on their version, though a roll-out has drawn them. */
            heldSessions: z.array(z.string()),
        }),
        reply: z.object({
            epoch: z.string(),
            version: z.number(),
            revision: z.number(),
            /** Age of the newest proof that the majority held no later revision, in ms. */
            proofAgeMs: z.number(),
            records: z.array(z.object({ record: upstreamRecordSchema, ageMs: z.number() })),
            /** Known upstreams that have checked in again: id, start, sequence number and age in ms. */
            renewals: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
            /** Ids of the control instances that the receiver knows. */
            controls: z.array(z.string()),
            /** How many entry instances the receiver has heard of lately. */
            entryCount: z.number(),
            /** Requests that no upstream may run any more. */
            quarantined: z.array(z.string()),
            /** Sessions that some entry instance keeps on their version. */
            heldSessions: z.array(z.string()),
        }),
    },
    fetchFleet: { req: empty, reply: z.object({ fleet: fleetSchema }) },
    requestVote: {
        req: z.object({
            term: z.number(),
            candidate: z.string(),
            lastIndex: z.number(),
            lastTerm: z.number(),
            isPreVote: z.boolean(),
        }),
        reply: z.object({ term: z.number(), isGranted: z.boolean() }),
    },
    appendEntries: {
        req: z.object({
            term: z.number(),
            leader: z.string(),
            prevIndex: z.number(),
            prevTerm: z.number(),
            entries: z.array(z.object({ index: z.number(), term: z.number(), command: anyObject })),
            commitIndex: z.number(),
            contactAgeMs: z.number(),
        }),
        reply: z.object({ term: z.number(), isAccepted: z.boolean(), lastIndex: z.number() }),
    },
    installSnapshot: {
        req: z.object({
            term: z.number(),
            leader: z.string(),
            lastIndex: z.number(),
            lastTerm: z.number(),
            state: anyObject,
            voters: z.array(z.string()),
        }),
        reply: z.object({ term: z.number() }),
    },
    /** Hands a command to the leader. */
    propose: {
        req: z.object({ command: anyObject }),
        reply: z.object({
            isLeader: z.boolean(),
            leader: z.string().optional(),
            index: z.number().optional(),
            outcome: anyObject.optional(),
        }),
    },
    /** Bills for durable storage. The reply is sent when they are durable. */
    recordBills: { req: z.object({ bills: z.array(billSchema) }), reply: z.object({ isDurable: z.boolean() }) },
    selectBills: {
        req: z.object({ from: z.number(), to: z.number() }),
        reply: z.object({ bills: z.array(billSchema) }),
    },
    selectEvents: {
        req: z.object({ filter: z.record(z.string(), z.string()), limit: z.number() }),
        reply: z.object({ events: z.array(timelineEventSchema) }),
    },
    /** The history of sheets and the voters, from a control instance. */
    readState: { req: empty, reply: anyObject },
} as const;

export type PeerCalls = typeof peerCalls;
/** Name of a call between instances. */
export type PeerCallName = keyof PeerCalls;
export type PeerRequest<K extends PeerCallName> = z.infer<PeerCalls[K]["req"]>;
export type PeerReply<K extends PeerCallName> = z.infer<PeerCalls[K]["reply"]>;
