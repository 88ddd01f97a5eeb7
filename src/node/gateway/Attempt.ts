/**
 * One attempt: relays the response of the upstream to which a request was sent. It is aborted when the upstream has
 * restarted. An attempt that makes no progress goes on until another one has made progress instead, see `AttemptGroup`.
 */
import { AttemptLoad } from "../../common/gateway/AttemptLoad.ts";
import { EventPace } from "../../common/gateway/EventPace.ts";
import { EventSplitter, isComment } from "../../common/gateway/EventSplitter.ts";
import { type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { type PromptReservation } from "../../common/gateway/PromptReservations.ts";
import { type ObservedRun } from "../../common/gateway/RunSamples.ts";
import { findStall, type Stall } from "../../common/gateway/StallDetection.ts";
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { isFinalStatus, isSuccess } from "../http/ResponseIntegrity.ts";
import { attemptEnd, type AttemptFailure } from "./AttemptEnd.ts";
import { type AttemptTarget } from "./AttemptTargets.ts";
import { type Call, type CallState, remainingMs } from "./Call.ts";
import { findHeadFault, isOwnRefusal } from "./ResponseHeadCheck.ts";
import { type AttemptDependencies } from "./UpstreamAttempts.ts";
import { type Exchange, type ExchangeFailure, isFailure } from "./UpstreamConnections.ts";
import { CHUNK_OVERHEAD_BYTES, readWholeBody, unusableResponse } from "./WholeBody.ts";

/** How long an upstream gets no requests after another process responded at its address (status 421), in ms. */
const WRONG_PROCESS_PAUSE_MS = 5000;
/** How long an upstream gets no requests after it refused one because it is full, in ms. */
const FULL_PAUSE_MS = 60;

/** Largest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 256 * 1024;

/** One attempt. */
export class Attempt {
    private readonly deps: AttemptDependencies;
    private readonly call: Call;
    private readonly state: CallState;
    private readonly selection: Selection;
    private readonly reservation: PromptReservation;
    private readonly exchange: Exchange;
    private readonly onEnded: () => void;
    private readonly observed: ObservedRun;
    private readonly sentAt: number;
    private load: AttemptLoad | undefined;
    /** Whether a usable response has begun. */
    private hasResponse = false;
    private readonly pace: EventPace;
    /** Boot time of the first event of this attempt, in ms. */
    private firstEventAt: number | undefined;
    /** Monotonic time of the newest progress: the request was sent, its head came, or a further event, in ms. */
    private progressAt: number;
    private stall: Stall | undefined;
    private isStallRecorded = false;
    private isSuperseded = false;

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
        this.observed = deps.startRun(call, (state.lastEventId ?? call.req.resumeAfter) !== undefined);
        this.pace = new EventPace(paceMs => deps.onPace(call, target.selection, paceMs));
        this.sentAt = deps.clock.monotonic();
        this.progressAt = this.sentAt;
    }

    /** Resolves with undefined once the whole response has been relayed, or with the failure. */
    public async run(): Promise<AttemptFailure | undefined> {
        const { call, exchange, deps, selection: { stats } } = this;
        const load = new AttemptLoad(deps.clock, deps.upstreamStats, this.selection, call.req.prompt?.tokens ?? 0);
        this.load = load;
        const deadline = deps.clock.schedule(
            remainingMs(call, deps.clock),
            () => this.giveUp("the deadline has passed"),
        );
        const callerGone = call.reply.onCallerGone(() => exchange.abort("the caller has left"));
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
            callerGone.dispose();
            exchange.abort("the attempt has ended");
            load.end(isAnswered);
            this.pace.end();
            this.onEnded();
        }
    }

    /** Whether it has made no progress for so long that a backup attempt should be made. */
    public get hasStalled(): boolean {
        return this.stall !== undefined;
    }

    /** Aborts the attempt because another one has made progress. */
    public supersede(): void {
        if (this.isSuperseded) {
            return;
        }
        this.isSuperseded = true;
        if (this.stall !== undefined) {
            this.recordStall();
        }
        if (this.stall === "slow") {
            this.reportUnanswered();
        }
        this.exchange.abort(this.supersededFailure.message);
    }

    /** To be called periodically: aborts the attempt if its upstream can't answer it, and finds whether it has stalled. */
    public check(): void {
        const { deps, selection: { record, stats, name }, state } = this;
        const obstacle = this.exchange.isSent ? undefined : deps.sendObstacle(this.call, name);
        if (obstacle !== undefined) {
            this.exchange.abort(obstacle);
            return;
        }
        const known = deps.directory.get(record.id);
        if (known !== undefined && known.record.start > record.start) {
            this.observed.fail();
            this.exchange.abort(`upstream ${name} has restarted`);
            return;
        }
        this.stall ??= this.findStall(known?.receivedAt ?? -Infinity);
        if (this.stall === undefined) {
            return;
        }
        if (!this.exchange.isSent) {
            this.exchange.abort(`upstream ${name} has no connection for the request`);
            return;
        }
        if (this.stall !== "slow" && stats.lastByteAt <= this.progressAt) {
            // The upstream sends nothing on any connection: new requests go elsewhere.
            this.recordStall();
        }
        state.attempts.notify();
    }

    /** Counts the stall as a failure of the upstream, once. */
    private recordStall(): void {
        if (!this.isStallRecorded) {
            this.isStallRecorded = true;
            this.deps.upstreamStats.recordFailure(this.selection.stats);
        }
    }

    private findStall(heartbeatAt: number): Stall | undefined {
        const { deps, selection: { stats }, call: { route } } = this;
        const now = deps.clock.monotonic();
        return findStall({
            route,
            hasBegun: this.exchange.lastByteAt > -Infinity,
            idleMs: now - this.progressAt,
            upstreamIdleMs: now - stats.lastByteAt,
            // Heartbeats arrive through the control instances: without quorum contact, a missing one proves nothing.
            heartbeatAgeMs: deps.hasQuorumContact() ? now - heartbeatAt : 0,
        });
    }

    private recordProgress(): void {
        this.progressAt = this.deps.clock.monotonic();
        if (this.stall !== undefined) {
            this.stall = undefined;
            if (this.isStallRecorded) {
                this.isStallRecorded = false;
                this.deps.upstreamStats.recordResumption(this.selection.stats);
            }
            this.state.attempts.notify();
        }
    }

    private get supersededFailure(): ExchangeFailure {
        const message = "another attempt has gone on";
        return { message, wasSent: this.exchange.isSent, isClosedByUpstream: false, isAborted: true };
    }

    private giveUp(reason: string): void {
        this.reportUnanswered();
        this.exchange.abort(reason);
    }

    private reportUnanswered(): void {
        if (!this.hasResponse) {
            this.deps.onUnanswered(this.call, this.selection, this.deps.clock.monotonic() - this.sentAt);
        }
    }

    private async relayResponse(): Promise<AttemptFailure | undefined> {
        const { deps, selection: { stats, name } } = this;
        const raw = await this.exchange.readHead();
        // The upstream has processed the prompt when the response begins.
        this.load?.recordHead();
        if (isFailure(raw)) {
            return this.fail(raw);
        }
        if (this.isSuperseded) {
            return this.fail(this.supersededFailure);
        }
        if (!isFinalStatus(raw.status)) {
            // Counts against the version like a response of its own failure, but is none that could be relayed.
            const message = `the response has the status ${raw.status}`;
            return { ...this.fail({ ...unusableResponse, message }), isErrorResponse: true };
        }
        this.recordProgress();
        stats.lastByteAt = deps.clock.monotonic();
        const head = deps.codec.readHead(raw.status, raw.headers);
        if (head.load !== undefined) {
            deps.upstreamStats.recordLoad(name, stats, this.call.service.name, head.load);
        }
        this.reportStatement(head);
        if (isOwnRefusal(head, this.call)) {
            return this.handleNotRun(head);
        }
        const message = findHeadFault(head, this.call);
        if (message !== undefined) {
            return this.fail({ ...unusableResponse, message });
        }
        const { call } = this;
        const isStream = call.route.kind === "stream" && isSuccess(head.status);
        const nextModelIndex = isStream ? this.findEscalation(head) : undefined;
        if (nextModelIndex !== undefined && await this.isReplacedBy(nextModelIndex)) {
            return this.fail(this.supersededFailure);
        }
        if (!isStream && call.reply.hasBegun && head.status < 500) {
            return this.fail({ ...unusableResponse, message: `the stream was resumed with status ${head.status}` });
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

    /** Holds the answer until it is known whether the larger model replaces it. */
    private async isReplacedBy(modelIndex: number): Promise<boolean> {
        const { deps, state, selection: { name, stats } } = this;
        this.progressAt = Infinity;
        const isReplaced = await state.attempts.requestReplacement(name, modelIndex);
        this.progressAt = deps.clock.monotonic();
        if (isReplaced) {
            deps.upstreamStats.recordSuccess(stats);
            this.supersede();
        }
        return isReplaced;
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
        // Stalls are recorded apart, and the upstream of a superseded attempt may be sound.
        const isOurs = isAborted && (!wasSent || call.reply.isCallerGone || this.isSuperseded || this.isStallRecorded);
        if (!isOurs) {
            deps.upstreamStats.recordFailure(selection.stats);
        }
        if (!isAborted) {
            this.observed.fail();
        }
        if (isClosedByUpstream && wasSent) {
            deps.onConnectionClosed(call, selection, this.observed);
        }
        if (!wasSent && !isAborted) {
            deps.upstreamStats.recordUnreachable(selection.record.domain);
            if (!isClosedByUpstream) {
                deps.onUnreached(selection);
            }
        }
        const text = `upstream ${selection.record.id}: ${message}`;
        return { message: text, wasSent, mayHaveRun: wasSent, isErrorResponse: false, isSuperseded: this.isSuperseded };
    }

    /** Buffers the body before it is sent, so that a request whose response breaks off can still be retried. */
    private async relayBuffered(head: ResponseHead): Promise<AttemptFailure | undefined> {
        const { deps, call, state, selection: { stats, record } } = this;
        const body = await readWholeBody(this.exchange, () => {
            this.recordProgress();
            this.observed.recordProgress();
        });
        if (isFailure(body)) {
            return this.fail(body);
        }
        if (this.isSuperseded) {
            return this.fail(this.supersededFailure);
        }
        if (head.status >= 500) {
            deps.upstreamStats.recordFailure(stats);
            state.errorResponse = { head, body };
            const message = `upstream ${record.id} failed with ${head.status}`;
            return { message, wasSent: true, mayHaveRun: true, isErrorResponse: true };
        }
        deps.upstreamStats.recordSuccess(stats);
        this.observed.complete();
        this.load?.recordEvent();
        this.hasResponse = true;
        this.reportResponse();
        state.attempts.relay(this);
        call.reply.send(head.status, head.headers, body);
        return undefined;
    }

    /** Relays complete events as they arrive. */
    private async relayStream(head: ResponseHead): Promise<AttemptFailure | undefined> {
        const { deps, call, state, selection: { stats } } = this;
        const splitter = new EventSplitter(state.lastEventId);
        let incompleteSize = 0;
        // Comments, and events without an id, that came before the progress by which this attempt is relayed.
        const held: Buffer[] = [];
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isFailure(chunk)) {
                return this.fail(chunk);
            }
            if (this.isSuperseded) {
                return this.fail(this.supersededFailure);
            }
            if (chunk === undefined) {
                break;
            }
            stats.lastByteAt = deps.clock.monotonic();
            const idBefore = splitter.lastEventId;
            const events = splitter.push(chunk);
            incompleteSize += chunk.length + CHUNK_OVERHEAD_BYTES;
            this.hasResponse ||= events.length > 0;
            const isProgress = splitter.lastEventId !== idBefore || (idBefore === undefined && !isComment(events));
            if (isProgress) {
                this.recordProgress();
                state.attempts.relay(this);
            }
            else if (events.length === 0 || !state.attempts.isRelayed(this)) {
                if (incompleteSize > MAX_EVENT_BYTES) {
                    return this.fail({ ...unusableResponse, message: "an event is too large" });
                }
                if (events.length > 0) {
                    held.push(events);
                }
                continue;
            }
            incompleteSize = splitter.partialLength;
            await this.relayEvents(head, splitter, [...held.splice(0), events]);
        }
        if (splitter.partialLength > 0 || (!call.reply.hasBegun && held.length === 0)) {
            return this.fail({
                ...unusableResponse,
                message: "the stream ended within an event",
                isClosedByUpstream: true,
            });
        }
        state.attempts.relay(this);
        if (held.length > 0) {
            await this.relayEvents(head, splitter, held);
        }
        deps.upstreamStats.recordSuccess(stats);
        this.observed.complete();
        const isWhole = state.firstEventMs === (this.firstEventAt ?? 0) - call.arrivedAt;
        if (isWhole && call.req.resumeAfter === undefined) {
            deps.models.recordGeneration(call, state.modelIndex, state.lastEventAt - (this.firstEventAt ?? 0));
        }
        call.reply.end();
        return undefined;
    }

    /** Passes events on to the caller. */
    private async relayEvents(
        head: ResponseHead,
        { lastEventId }: EventSplitter,
        events: readonly Buffer[],
    ): Promise<void> {
        const { deps, call, state } = this;
        state.lastEventId = lastEventId;
        this.recordEventTimes();
        if (!call.reply.hasBegun) {
            this.reportResponse();
            const isBuffered = deps.upstreamStats.statesSlowdown(call.service.name);
            call.reply.beginStream(head.status, head.headers, isBuffered ? deps.replyBuffers : undefined);
        }
        // While the caller takes nothing, the upstream can't make progress, and hasn't stalled.
        const { progressAt } = this;
        const writtenAt = deps.clock.monotonic();
        this.progressAt = Infinity;
        await call.reply.write(events.length === 1 && events[0] !== undefined ? events[0] : Buffer.concat(events));
        this.progressAt = progressAt + deps.clock.monotonic() - writtenAt;
    }

    private recordEventTimes(): void {
        const { state, call } = this;
        const now = this.deps.clock.boottime();
        this.load?.recordEvent();
        if (state.firstEventMs === undefined) {
            state.firstEventMs = now - call.arrivedAt;
        }
        else {
            state.longestPauseMs = Math.max(state.longestPauseMs, now - state.lastEventAt);
        }
        state.lastEventAt = now;
        this.firstEventAt ??= now;
        this.reservation.recordRead();
        this.observed.recordProgress();
        this.pace.recordEvent(now);
    }

    private reportResponse(): void {
        const { deps, call, selection } = this;
        deps.onResponse(call, selection, deps.clock.monotonic() - this.sentAt);
    }
}
