/**
 * Schemas of the calls between instances. The receiving side validates each request and each reply, since a peer
 * may run another version of the program.
 */
import * as z from "zod";
import { billSchema } from "../billing/Bill.ts";
import { answerSchema, brokenRunSchema } from "../gateway/CrashObserver.ts";
import { fleetSchema } from "../gateway/FleetState.ts";
import { routeOutcomeCountsSchema } from "../gateway/OutcomeCounters.ts";
import { quarantineSchema } from "../gateway/QuarantineList.ts";
import { upstreamRecordSchema } from "../gateway/UpstreamRecord.ts";
import { upstreamStatementSchema } from "../gateway/UpstreamStatements.ts";
import { memberSchema } from "../membership/Member.ts";
import { pinSchema } from "../sessions/SessionPins.ts";
import { slotGrantSchema, slotRequestSchema } from "../slots/SlotTypes.ts";
import { timelineEventSchema } from "../timeline/TimelineEvent.ts";
import { announcementSchema, cacheEventSchema, leaveNoticeSchema, loadReportSchema } from "../upstreams/Upstream.ts";

const empty = z.object({});
const anyObject = z.record(z.string(), z.unknown());

/** Heartbeat of an upstream: id, start, sequence number and age in ms. */
type Renewal = [id: string, start: number, seq: number, ageMs: number];

const isRenewal = (value: unknown): value is Renewal => {
    if (!Array.isArray(value) || value.length !== 4) {
        return false;
    }
    const [id, start, seq, ageMs] = value as unknown[];
    return typeof id === "string" && Number.isFinite(start) && Number.isFinite(seq) && Number.isFinite(ageMs);
};

/**
 * Heartbeats of upstreams whose records the caller has. They are checked without a schema of their own, because they are
 * most of what instances send each other: a tuple schema parses each of five values in a generic way.
 */
const renewalsSchema = z.custom<Renewal[]>(value => Array.isArray(value) && value.every(isRenewal));

/** Id of the replying voter's recovery; undefined if it is whole. The copy of a recovering voter does not count. */
const recoveryId = z.string().optional();

/** Request and reply schema of each call. The names of calls and fields are the format on the wire. */
export const peerCalls = {
    /** Checks that the receiver is alive and exchanges membership updates both ways. */
    ping: { req: z.object({ members: z.array(memberSchema) }), reply: z.object({ members: z.array(memberSchema) }) },
    /** Indirect probe: asks the receiver to ping an instance that did not reply to the sender. */
    pingOther: { req: z.object({ target: z.string() }), reply: z.object({ isReachable: z.boolean() }) },
    /** Announcements of upstreams, and renewals by short id; the reply lists short ids unknown to the receiver. */
    announceUpstreams: {
        req: z.object({ announcements: z.array(announcementSchema), renewals: z.array(z.number()) }),
        reply: z.object({ unknown: z.array(z.number()) }),
    },
    /** All upstreams that the receiver knows, for an instance that has just started. */
    fetchUpstreams: { req: empty, reply: z.object({ announcements: z.array(announcementSchema) }) },
    /** Load reports and cache events of upstreams. */
    reportUpstreams: {
        req: z.object({ loads: z.array(loadReportSchema), caches: z.array(cacheEventSchema) }),
        reply: empty,
    },
    /** Notice that an upstream is leaving. */
    leaveUpstream: { req: leaveNoticeSchema, reply: empty },
    /** Unconfirmed failure of an upstream: all connections of the sender to it broke, so its process may be gone. */
    doubtUpstream: { req: leaveNoticeSchema, reply: empty },
    /** Requests slots from the owner of upstreams; `borrower` is the process key of the lease holder. */
    borrowSlots: {
        req: z.object({ borrower: z.string(), requests: z.array(slotRequestSchema) }),
        reply: z.object({ grants: z.array(slotGrantSchema) }),
    },
    /** Renewal hint to a lease holder: more slots are free, or others need those that it holds (`isContended`). */
    nudgeBorrower: { req: z.object({ upstream: z.string(), isContended: z.boolean() }), reply: empty },
    /** Proposes the pin of a session; the reply is the pin in force at the receiver. */
    pinSession: { req: z.object({ pin: pinSchema }), reply: z.object({ pin: pinSchema }) },
    /** Replicates pins of sessions that began at the sender, so that an instance that is cut off later has them. */
    spreadPins: {
        req: z.object({ pins: z.array(pinSchema) }),
        /** Pins that the receiver keeps instead of those sent. */
        reply: z.object({ pins: z.array(pinSchema) }),
    },
    /** A page of all pins, for an instance that has just started. */
    fetchPins: {
        req: z.object({ offset: z.number().int().nonnegative() }),
        reply: z.object({ pins: z.array(pinSchema), isLast: z.boolean() }),
    },
    /** Outcomes of versions in a roll-out, counted since the start of the sender's process, whose key is `start`. */
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
    /** Number of crashes that a suspect request was involved in; 0 clears the suspicion. */
    tellSuspect: { req: z.object({ fingerprint: z.string(), crashes: z.number().int().nonnegative() }), reply: empty },
    /**
     * Asks for a permit to run a suspect request; `upstream` is the only one on which it may run. The state is `busy`
     * when no permit is available now, and `free` when the receiver does not suspect the request: it needs no permit.
     */
    permitSuspect: {
        req: z.object({ fingerprint: z.string(), request: z.string(), target: z.string() }),
        reply: z.object({ state: z.enum(["granted", "busy", "free", "quarantined"]), upstream: z.string().optional() }),
    },
    /** Returns the permit of a suspect request that has ended. */
    returnPermit: { req: z.object({ upstream: z.string(), request: z.string() }), reply: empty },
    /** Usage of accounts at the sender since its last message, so that fair queueing covers all instances. */
    shareUsage: {
        req: z.object({
            usages: z.array(
                z.object({ target: z.string(), account: z.string(), weight: z.number(), cost: z.number() }),
            ),
            inFlight: z.array(z.object({ account: z.string(), count: z.number() })),
        }),
        reply: empty,
    },
    /** Fetches the configuration if the receiver has a later one than `revision`. */
    fetchConfiguration: {
        req: z.object({ revision: z.number() }),
        reply: z.object({
            revision: z.number(),
            /** Age of the newest quorum confirmation of this revision, in ms. */
            contactAgeMs: z.number(),
            configuration: anyObject.optional(),
        }),
    },
    /** Long poll for changes of the fleet: upstreams, the revision in force, and other instances. */
    watchFleet: {
        req: z.object({
            role: z.enum(["entry", "control"]),
            /** Process of the receiver that `since` refers to; a different process sends everything. */
            epoch: z.string(),
            /** Number of the newest change of upstreams that the sender has received from the receiver. */
            since: z.number(),
            /** Whether the call may wait for changes; false if the sender's quorum confirmation needs renewal. */
            mayWait: z.boolean().default(true),
            /** Revision of the fleet that the sender has. */
            revision: z.number(),
            /** Outcomes of versions in a roll-out, counted since the start of the sender's process. */
            outcomes: z.array(routeOutcomeCountsSchema),
            /** Always empty. Builds before 102a209 reject requests without it. */
            crashes: z.array(z.unknown()).default([]),
            /** Requests that may have crashed upstreams, each sent once to each process of the receiver. */
            brokenRuns: z.array(brokenRunSchema).default([]),
            /** The newest answers to the suspects that the receiver has listed. */
            answers: z.array(answerSchema).default([]),
            /** Version of the suspects and quarantines that the sender has received from the receiver; 0 for none. */
            crashVersion: z.number().default(0),
            /** Quarantines that the sender knows, when they have changed or the receiver has started again. */
            quarantines: z.array(quarantineSchema).default([]),
            /** Statements of upstreams that the receiver may lack, and the version of those received from it. */
            requestLimits: z.array(upstreamStatementSchema).default([]),
            requestLimitsVersion: z.number().default(0),
            /** Sessions that the sender keeps on their version although a roll-out has selected them. */
            heldSessions: z.array(z.string()).default([]),
            /** Version of the list of entry instances that the sender has received from the receiver; 0 for none. */
            entriesVersion: z.number().default(0),
            /** Version of the held sessions that the sender has; undefined if it needs the whole list. */
            heldSessionsVersion: z.number().optional(),
            /** Feature level of the fleet that the sender supports. */
            featureLevel: z.number().default(0),
        }),
        reply: z.object({
            epoch: z.string(),
            /** Number of the newest change of upstreams at the receiver, for `since` in the next call. */
            version: z.number(),
            revision: z.number(),
            /** Age of the newest quorum confirmation that there is no later revision, in ms. */
            proofAgeMs: z.number(),
            records: z.array(z.object({ record: upstreamRecordSchema, ageMs: z.number() })),
            renewals: renewalsSchema.default([]),
            /** Ids of the control instances known to the receiver. */
            controls: z.array(z.string()),
            /** Number of entry instances that have recently called the receiver. */
            entryCount: z.number(),
            /** Version of the list of these instances; 0 from a receiver that does not list them. */
            entriesVersion: z.number().default(0),
            /** Their ids; undefined if the sender has this version. */
            entries: z.array(z.string()).optional(),
            /** Version of the suspects and quarantines, which are undefined if the sender has this version. */
            crashVersion: z.number().default(0),
            /** Always empty. Builds before 102a209 reject replies without it. */
            quarantined: z.array(z.unknown()).default([]),
            /** Keys of requests of which the receiver asks whether they have been answered. */
            suspects: z.array(z.string()).optional(),
            /** Requests that no upstream may run any more. */
            quarantines: z.array(quarantineSchema).optional(),
            /** Statements of upstreams that have come since the version in the request, and their version. */
            requestLimits: z.array(upstreamStatementSchema).default([]),
            requestLimitsVersion: z.number().default(0),
            /** Sessions that some entry instance keeps on their version, or those since the version in the request. */
            heldSessions: z.array(z.string()).default([]),
            /** Version of these sessions; 0 from a receiver that always sends the whole list. */
            heldSessionsVersion: z.number().default(0),
            /** Sessions that are no longer held; undefined if `heldSessions` is the whole list. */
            releasedSessions: z.array(z.string()).optional(),
        }),
    },
    /** Takes a permit to send one request to an upstream that limits its requests or can't bear many refusals. */
    issueRatePermit: {
        req: z.object({
            upstream: z.string(),
            /** What the sender knows of the upstream's limit. */
            limit: upstreamStatementSchema.optional(),
            /** Whether the upstream can't bear many refusals. */
            isBrittle: z.boolean(),
        }),
        reply: z.object({ isGranted: z.boolean(), waitMs: z.number() }),
    },
    /** Reports that a brittle upstream has refused a request for want of room. */
    reportRefusal: { req: z.object({ upstream: z.string() }), reply: empty },
    /** Asks the issuer of an engine for a reservation of its memory, or registers one that the sender already holds. */
    reservePrompt: {
        req: z.object({
            upstream: z.string(),
            /** Identifies the attempt; no other attempt of any instance has the same. */
            request: z.string(),
            /** Prompt and maximum output. */
            tokens: z.number().nonnegative(),
            /** Prompt tokens that the engine has not read yet. */
            unreadTokens: z.number().nonnegative(),
            /** Time after which the reservation ends without a release, in ms. */
            ttlMs: z.number().nonnegative(),
            /** Memory of the engine, in tokens. */
            memoryTokens: z.number().nonnegative(),
            /** Most unread tokens of all reservations at the engine, unless it has only one. */
            maxUnreadTokens: z.number().nonnegative(),
            /** Whether the sender holds the reservation already, from another issuer. */
            isHeld: z.boolean().default(false),
        }),
        reply: z.object({
            isGranted: z.boolean(),
            /** Tokens of all reservations at the engine, and the unread ones among them. */
            heldTokens: z.number(),
            unreadTokens: z.number(),
            /** Process of the receiver; a different one has no reservations of the previous process. */
            epoch: z.string().default(""),
        }),
    },
    /** Ends a reservation, or only its unread part once the engine has read the prompt (`isRead`). */
    releasePrompt: {
        req: z.object({ upstream: z.string(), request: z.string(), isRead: z.boolean() }),
        reply: z.object({ epoch: z.string().default("") }),
    },
    /** Fetches the whole fleet. */
    fetchFleet: { req: empty, reply: z.object({ fleet: fleetSchema }) },
    /** Asks for a vote, or for a pre-vote that changes nothing at the receiver. */
    requestVote: {
        req: z.object({
            term: z.number(),
            candidate: z.string(),
            lastIndex: z.number(),
            lastTerm: z.number(),
            isPreVote: z.boolean(),
        }),
        reply: z.object({
            term: z.number(),
            isGranted: z.boolean(),
            /** Why the vote is refused, for the candidate's log; earlier builds give no reason. */
            refusal: z.string().optional(),
        }),
    },
    /** Entries of the control log, or a heartbeat without any, from the leader. */
    appendEntries: {
        req: z.object({
            term: z.number(),
            leader: z.string(),
            prevIndex: z.number(),
            prevTerm: z.number(),
            entries: z.array(z.object({ index: z.number(), term: z.number(), command: anyObject })),
            commitIndex: z.number(),
            /** Age of the leader's newest quorum confirmation, in ms. */
            contactAgeMs: z.number(),
            /** Receipt of the newest reply that the leader has from the receiver; undefined before the first. */
            receipt: z.string().optional(),
            /** Whether the sender counts no copies of recovering voters. Earlier builds count them. */
            excludesRecovering: z.boolean().default(false),
        }),
        reply: z.object({
            term: z.number(),
            isAccepted: z.boolean(),
            /** The last index that matches, or after a rejection the last one that may match. */
            lastIndex: z.number(),
            /** Shows the replying voter, when the leader returns it, that a message was sent after this reply. */
            receipt: z.string().optional(),
            recoveryId,
        }),
    },
    /** A snapshot, for a follower that lacks entries that the leader has compacted. */
    installSnapshot: {
        req: z.object({
            term: z.number(),
            leader: z.string(),
            lastIndex: z.number(),
            lastTerm: z.number(),
            state: anyObject,
            voters: z.array(z.string()),
            excludesRecovering: z.boolean().default(false),
        }),
        reply: z.object({
            term: z.number(),
            recoveryId,
            /** Reading of the receiver's clock at the reply; earlier builds send none. */
            receipt: z.string().optional(),
        }),
    },
    /** Proposes a command to the leader; a voter that is not the leader names the one it knows. */
    propose: {
        req: z.object({ command: anyObject }),
        reply: z.object({
            isLeader: z.boolean(),
            leader: z.string().optional(),
            index: z.number().optional(),
            outcome: anyObject.optional(),
        }),
    },
    /** Stores bills. The reply is sent when they are durable. */
    recordBills: { req: z.object({ bills: z.array(billSchema) }), reply: z.object({ isDurable: z.boolean() }) },
    /** Bills of the period from `from` (included) to `to` (excluded), in ms since the Unix epoch. */
    selectBills: {
        req: z.object({ from: z.number(), to: z.number() }),
        reply: z.object({ bills: z.array(billSchema) }),
    },
    /** Timeline events that match a filter. */
    selectEvents: {
        req: z.object({ filter: z.record(z.string(), z.string()), limit: z.number() }),
        reply: z.object({ events: z.array(timelineEventSchema) }),
    },
    /** Sheet history and voters, from a control instance. */
    readState: { req: empty, reply: anyObject },
} as const;

/** Schemas of all calls, by name. */
export type PeerCalls = typeof peerCalls;
/** Name of a call between instances. */
export type PeerCallName = keyof PeerCalls;
export type PeerRequest<K extends PeerCallName> = z.infer<PeerCalls[K]["req"]>;
export type PeerReply<K extends PeerCallName> = z.infer<PeerCalls[K]["reply"]>;
