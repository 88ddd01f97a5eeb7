/**
 * One attempt: relays the response of the upstream to which a request was sent. It is aborted when the upstream has
 * restarted or sends nothing any more.
 */
import { AttemptLoad } from "../../common/gateway/AttemptLoad.ts";
import { EventSplitter } from "../../common/gateway/EventSplitter.ts";
import { type ExchangeCodec, type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { type PromptReservation } from "../../common/gateway/PromptReservations.ts";
import { isStalled } from "../../common/gateway/StallDetection.ts";
import { type UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { type Clock } from "../../common/time/Clock.ts";
import { attemptEnd } from "./AttemptEnd.ts";
import { type AttemptTarget } from "./AttemptTargets.ts";
import { type Call, type CallState } from "./Call.ts";
import { type ModelChoice } from "./ModelChoice.ts";
import { type ReplyBuffers } from "./ReplyBuffers.ts";
import { type Exchange, type ExchangeFailure, isFailure } from "./UpstreamConnections.ts";

/** An upstream counts as dead when both its heartbeats and its traffic have been missing for these times, in ms. */
const HEARTBEAT_TIMEOUT_MS = 3500;
const TRAFFIC_TIMEOUT_MS = 1500;
/** An idempotent request is retried at another upstream after this multiple of its latency objective. */
const SLOW_FACTOR = 2;
/** Shortest time after which it is retried, in ms. */
const MIN_SLOW_MS = 300;
/** How long an upstream gets no requests after another process responded at its address (status 421), in ms. */
const WRONG_PROCESS_PAUSE_MS = 5000;
/** How long an upstream gets no requests after it refused one because it is full, in ms. */
const FULL_PAUSE_MS = 60;

/** Largest response that is buffered, and largest event of a stream, in bytes. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
const MAX_EVENT_BYTES = 256 * 1024;
/** Added to the length of each chunk, because many small ones take more memory and time than their bytes. */
const CHUNK_OVERHEAD_BYTES = 256;

/** A stream that has gone on for this long after its first event has not crashed its upstream by its prompt, in ms. */
const SOUND_STREAM_MS = 1000;

/** Number of pauses between events from which the pace of a stream is determined; fewer if it ends sooner. */
const PACE_PAUSES = 9;
/** Least number of pauses. */
const MIN_PACE_PAUSES = 3;

/** Why an attempt failed. */
export interface AttemptFailure {
    readonly message: string;
    /** Whether a byte of the request can have been sent. */
    readonly wasSent: boolean;
    /** False only if it is certain that the upstream has not run the request and will not run it. */
    readonly mayHaveRun: boolean;
    /** Whether the upstream sent a complete response with a 5xx status. */
    readonly isErrorResponse: boolean;
    /** Index of the model to retry with, if the confidence of this attempt's model was too low. */
    readonly nextModelIndex?: number;
}

/** Dependencies of an attempt. */
export interface AttemptDependencies {
    readonly clock: Clock;
    readonly codec: ExchangeCodec;
    readonly upstreamStats: UpstreamStatistics;
    readonly directory: UpstreamDirectory;
    /** Whether this instance has recent quorum contact, and therefore an up-to-date directory of upstreams. */
    readonly hasQuorumContact: () => boolean;
    readonly models: ModelChoice;
    readonly replyBuffers: ReplyBuffers;
    /** Called when the upstream closed the connection while the request ran. */
    readonly onConnectionClosed: (call: Call, selection: Selection) => void;
    /** Called when the upstream has answered the request in full, or has been answering it for long. */
    readonly onAnswered: (call: Call) => void;
    /** Called when a usable response begins to be relayed; `latencyMs` counts from the sending of the attempt. */
    readonly onResponse: (call: Call, selection: Selection, latencyMs: number) => void;
    /** Whether an upstream process must not get requests now, because of what it has stated in a response. */
    readonly isSpared: (upstream: string) => boolean;
    /** Called for each response of the selected process to its request, with what it states about itself. */
    readonly onStatement: (selection: Selection, head: ResponseHead) => void;
    /** Called for a response of that process to an earlier request, which came on the connection in use again. */
    readonly onLateStatement: (selection: Selection, head: ResponseHead) => void;
    /** Called when an attempt is given up because no usable response has begun after `waitedMs`. */
    readonly onUnanswered: (call: Call, selection: Selection, waitedMs: number) => void;
    /** Called once for a stream with enough events, with the median time between its first ones. */
    readonly onPace: (call: Call, selection: Selection, paceMs: number) => void;
}

/** One attempt. */
export class Attempt {
    private readonly deps: AttemptDependencies;
    private readonly call: Call;
    private readonly state: CallState;
    private readonly selection: Selection;
    private readonly reservation: PromptReservation;
    private readonly exchange: Exchange;
    private readonly onEnded: () => void;
    private readonly sentAt: number;
    private load: AttemptLoad | undefined;
    /** Whether a usable response has begun. */
    private hasResponse = false;
    /** Pauses between the first events, in ms; undefined once the pace has been reported. */
    private pauses: number[] | undefined = [];
    /** Monotonic time of the first and the newest event of this attempt, in ms. */
    private firstEventAt: number | undefined;
    /** Monotonic time of the newest progress: the request was sent, its head came, or a further event, in ms. */
    private progressAt: number;
    private lastEventAt: number | undefined;
    private isAnswerReported = false;

    public constructor(
        deps: AttemptDependencies,
        call: Call,
        state: CallState,
        target: AttemptTarget,
        exchange: Exchange,
        onEnded: () => void,
    ) {
        this.deps = deps;
        this.call = call;
        this.state = state;
        this.selection = target.selection;
        this.reservation = target.reservation;
        this.exchange = exchange;
        this.onEnded = onEnded;
        this.sentAt = deps.clock.monotonic();
        this.progressAt = this.sentAt;
    }

    /** Resolves with undefined once the whole response has been relayed, or with the failure. */
    public async run(): Promise<AttemptFailure | undefined> {
        const { call, exchange, deps, selection: { stats } } = this;
        const load = new AttemptLoad(deps.clock, deps.upstreamStats, this.selection, call.req.prompt?.tokens ?? 0);
        this.load = load;
        const deadline = deps.clock.schedule(
            call.deadlineAt - this.sentAt,
            () => this.giveUp("the deadline has passed"),
        );
        call.reply.onCallerGone(() => exchange.abort("the caller has left"));
        let isAnswered = false;
        try {
            const failure = await this.relayResponse();
            isAnswered = failure === undefined;
            this.reservation.end(attemptEnd(failure, deps.clock.monotonic() - stats.lastByteAt));
            return failure;
        }
        finally {
            this.reservation.end("aborted");
            deadline.dispose();
            exchange.abort("the attempt has ended");
            load.end(isAnswered);
            this.reportPace(MIN_PACE_PAUSES);
            this.onEnded();
        }
    }

    /** Aborts the attempt if its upstream has restarted, has stalled, is dead or is too slow. */
    public abortIfStalled(): void {
        const { deps, selection, call } = this;
        const { record, stats, name } = selection;
        const now = deps.clock.monotonic();
        if (!this.exchange.isSent && deps.isSpared(name)) {
            this.exchange.abort(`upstream ${name} wants no requests`);
            return;
        }
        const directoryEntry = deps.directory.get(record.id);
        const isReplaced = directoryEntry !== undefined && directoryEntry.record.start > record.start;
        if (isReplaced) {
            this.exchange.abort(`upstream ${name} has restarted`);
            return;
        }
        const isRetryable = call.route.kind === "idempotent" || call.route.isResumable;
        const idleMs = now - this.progressAt;
        const hasBegun = this.exchange.lastByteAt > -Infinity;
        const hasAttemptsLeft = this.state.possibleRuns + 1 < call.route.maxAttempts;
        const upstreamIdleMs = now - stats.lastByteAt;
        if (
            isStalled({
                route: call.route,
                hasBegun,
                idleMs,
                upstreamIdleMs,
                hasAttemptsLeft,
            })
        ) {
            this.exchange.abort(`upstream ${name} has stalled`);
            return;
        }
        // Heartbeats arrive through the control instances: without quorum contact, a missing one proves nothing.
        const isHeartbeatMissing = deps.hasQuorumContact()
            && (directoryEntry === undefined || now - directoryEntry.receivedAt > HEARTBEAT_TIMEOUT_MS);
        const isTrafficMissing = idleMs > TRAFFIC_TIMEOUT_MS && now - stats.lastByteAt > TRAFFIC_TIMEOUT_MS;
        if (isRetryable && isHeartbeatMissing && isTrafficMissing) {
            this.exchange.abort(`upstream ${name} is silent`);
            return;
        }
        const slowMs = Math.max(MIN_SLOW_MS, call.route.objectiveMs * SLOW_FACTOR);
        if (call.route.kind === "idempotent" && hasAttemptsLeft && idleMs > slowMs) {
            this.giveUp(`upstream ${name} is slow`);
        }
    }

    private giveUp(reason: string): void {
        if (!this.hasResponse) {
            this.deps.onUnanswered(this.call, this.selection, this.deps.clock.monotonic() - this.sentAt);
        }
        this.exchange.abort(reason);
    }

    private async relayResponse(): Promise<AttemptFailure | undefined> {
        const { deps, selection: { stats, name } } = this;
        const raw = await this.exchange.readHead();
        this.progressAt = deps.clock.monotonic();
        // The upstream has processed the prompt when the response begins.
        this.load?.recordHead();
        if (isFailure(raw)) {
            return this.fail(raw);
        }
        stats.lastByteAt = deps.clock.monotonic();
        const head = deps.codec.readHead(raw.status, raw.headers);
        if (head.load !== undefined) {
            deps.upstreamStats.recordLoad(name, stats, this.call.service.name, head.load);
        }
        this.reportStatement(head);
        // A refusal of another request may come late, on a connection in use again.
        if (head.isNotRun && (head.requestId ?? this.call.req.id) === this.call.req.id) {
            return this.handleNotRun(head);
        }
        if (head.requestId !== this.call.req.id || !head.hasStamp || head.isEncoded) {
            return this.fail({
                ...unusableResponse,
                message: "the response has another request id, no stamp or an unexpected encoding",
            });
        }
        const isStream = this.call.route.kind === "stream" && isSuccess(head.status);
        const nextModelIndex = isStream ? this.findEscalation(head) : undefined;
        if (nextModelIndex !== undefined) {
            this.exchange.abort("a larger model takes over");
            deps.upstreamStats.recordSuccess(stats);
            const message = `model ${this.state.modelIndex} has confidence ${head.confidence}`;
            return { message, wasSent: true, mayHaveRun: true, isErrorResponse: false, nextModelIndex };
        }
        return isStream ? this.relayStream(head) : this.relayBuffered(head);
    }

    /** Only from responses of the selected process: another one may answer at its address, with status 421. */
    private reportStatement(head: ResponseHead): void {
        const { deps: { onStatement, onLateStatement }, selection, call } = this;
        if (head.status !== 421) {
            const report = head.requestId === call.req.id ? onStatement : onLateStatement;
            report(selection, head);
        }
    }

    /** Index of the larger model to retry with; only possible before the caller has received anything. */
    private findEscalation(head: ResponseHead): number | undefined {
        const { deps, call, state } = this;
        state.confidence = head.confidence;
        if (head.confidence !== undefined) {
            // The answer has begun; an attempt that is escalated has no event.
            this.load?.recordEvent();
        }
        return deps.models.next(call, state, head, deps.clock.monotonic() - this.sentAt);
    }

    private handleNotRun(head: ResponseHead): AttemptFailure {
        const { deps, selection: { stats, record } } = this;
        const isWrongProcess = head.status === 421;
        deps.upstreamStats.pause(stats, isWrongProcess ? WRONG_PROCESS_PAUSE_MS : FULL_PAUSE_MS);
        const message = isWrongProcess
            ? "has been replaced by another process at its address"
            : `refused with ${head.status}`;
        return {
            message: `upstream ${record.id} ${message}`,
            wasSent: true,
            mayHaveRun: false,
            isErrorResponse: false,
        };
    }

    private fail({ message, wasSent, isClosedByUpstream, isAborted }: ExchangeFailure): AttemptFailure {
        const { deps, selection, call } = this;
        if (!isAborted || (wasSent && !call.reply.isCallerGone)) {
            deps.upstreamStats.recordFailure(selection.stats);
        }
        if (isClosedByUpstream && wasSent) {
            deps.onConnectionClosed(call, selection);
        }
        if (!wasSent && !isAborted) {
            deps.upstreamStats.recordUnreachable(selection.record.domain);
        }
        const text = `upstream ${selection.record.id}: ${message}`;
        return { message: text, wasSent, mayHaveRun: wasSent, isErrorResponse: false };
    }

    /** Buffers the body before it is sent, so that a request whose response breaks off can still be retried. */
    private async relayBuffered(head: ResponseHead): Promise<AttemptFailure | undefined> {
        const { deps, call, state, selection: { stats, record } } = this;
        const chunks: Buffer[] = [];
        let size = 0;
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isFailure(chunk)) {
                return this.fail(chunk);
            }
            if (chunk === undefined) {
                break;
            }
            this.progressAt = deps.clock.monotonic();
            chunks.push(chunk);
            size += chunk.length + CHUNK_OVERHEAD_BYTES;
            if (size > MAX_RESPONSE_BYTES) {
                return this.fail({ ...unusableResponse, message: "the response is too large" });
            }
        }
        const body = Buffer.concat(chunks);
        if (head.status >= 500) {
            deps.upstreamStats.recordFailure(stats);
            state.errorResponse = { head, body };
            const message = `upstream ${record.id} failed with ${head.status}`;
            return { message, wasSent: true, mayHaveRun: true, isErrorResponse: true };
        }
        deps.upstreamStats.recordSuccess(stats);
        this.reportAnswer();
        this.load?.recordEvent();
        this.hasResponse = true;
        this.reportResponse();
        call.reply.send(head.status, head.headers, body);
        return undefined;
    }

    /** Relays complete events as they arrive. */
    private async relayStream(head: ResponseHead): Promise<AttemptFailure | undefined> {
        const { deps, call, state, selection: { stats } } = this;
        const splitter = state.splitter ?? new EventSplitter();
        splitter.discardPartial();
        let incompleteSize = 0;
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isFailure(chunk)) {
                return this.fail(chunk);
            }
            if (chunk === undefined) {
                break;
            }
            stats.lastByteAt = deps.clock.monotonic();
            const idBefore = splitter.lastEventId;
            const events = splitter.push(chunk);
            incompleteSize += chunk.length + CHUNK_OVERHEAD_BYTES;
            if (events.length === 0) {
                if (incompleteSize > MAX_EVENT_BYTES) {
                    return this.fail({ ...unusableResponse, message: "an event is too large" });
                }
                continue;
            }
            incompleteSize = splitter.partialLength;
            this.hasResponse = true;
            if (splitter.lastEventId !== idBefore || idBefore === undefined) {
                this.progressAt = deps.clock.monotonic();
            }
            this.recordEventTimes();
            if (!call.reply.hasBegun) {
                state.splitter = splitter;
                this.reportResponse();
                const isBuffered = deps.upstreamStats.statesSlowdown(call.service.name);
                call.reply.beginStream(head.status, head.headers, isBuffered ? deps.replyBuffers : undefined);
            }
            const written = call.reply.write(events);
            // While reading is paused for the caller, the upstream can't make progress, and hasn't stalled.
            this.progressAt = call.reply.isReadingPaused ? Infinity : this.progressAt;
            await written;
            this.progressAt = Math.min(this.progressAt, deps.clock.monotonic());
        }
        if (splitter.partialLength > 0 || !call.reply.hasBegun) {
            return this.fail({
                ...unusableResponse,
                message: "the stream ended within an event",
                isClosedByUpstream: true,
            });
        }
        deps.upstreamStats.recordSuccess(stats);
        this.reportAnswer();
        const isWhole = state.firstEventMs === (this.firstEventAt ?? 0) - call.arrivedAt;
        if (isWhole && call.req.resumeAfter === undefined) {
            deps.models.recordGeneration(call, state.modelIndex, state.lastEventAt - (this.firstEventAt ?? 0));
        }
        call.reply.end();
        return undefined;
    }

    private recordEventTimes(): void {
        const { state, call } = this;
        const now = this.deps.clock.monotonic();
        this.load?.recordEvent();
        if (state.firstEventMs === undefined) {
            state.firstEventMs = now - call.arrivedAt;
        }
        else {
            state.longestPauseMs = Math.max(state.longestPauseMs, now - state.lastEventAt);
        }
        state.lastEventAt = now;
        if (this.lastEventAt !== undefined) {
            this.pauses?.push(now - this.lastEventAt);
        }
        this.lastEventAt = now;
        this.firstEventAt ??= now;
        this.reservation.recordRead();
        if (now - this.firstEventAt >= SOUND_STREAM_MS) {
            this.reportAnswer();
        }
        this.reportPace(PACE_PAUSES);
    }

    private reportAnswer(): void {
        if (!this.isAnswerReported) {
            this.isAnswerReported = true;
            this.deps.onAnswered(this.call);
        }
    }

    private reportResponse(): void {
        const { deps, call, selection } = this;
        deps.onResponse(call, selection, deps.clock.monotonic() - this.sentAt);
    }

    /** Reports the pace of the stream, once, if there have been at least `least` pauses. */
    private reportPace(least: number): void {
        const { deps, call, selection, pauses } = this;
        if (pauses === undefined || pauses.length < least) {
            return;
        }
        this.pauses = undefined;
        pauses.sort((a, b) => a - b);
        deps.onPace(call, selection, pauses[Math.floor(pauses.length / 2)] ?? 0);
    }
}

/** Fields common to the failures of responses that arrived but can't be used. */
const unusableResponse = { wasSent: true, isClosedByUpstream: false, isAborted: false } as const;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;
