/**
 * The attempts in flight. An attempt sends the request to one upstream and passes the answer on; a watch over all of
 * them gives up those whose upstream is gone or has fallen silent.
 */
import { EventSplitter } from "../../common/gateway/EventSplitter.ts";
import { type ExchangeCodec, type ResponseHead } from "../../common/gateway/ExchangeCodec.ts";
import { type ModelEscalator } from "../../common/gateway/ModelEscalator.ts";
import { isStalled } from "../../common/gateway/StallDetection.ts";
import { type UpstreamDirectory } from "../../common/gateway/UpstreamDirectory.ts";
import { addressOf } from "../../common/gateway/UpstreamRecord.ts";
import { connectionsPerInstance, type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { type UpstreamStatistics } from "../../common/gateway/UpstreamStatistics.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Clock, repeat } from "../../common/time/Clock.ts";
import { type Call, type CallState } from "./RequestRouter.ts";
import { type Exchange, type ExchangeFailure, isFailure, type UpstreamConnections } from "./UpstreamConnections.ts";

/** How often the attempts are looked at, in ms. */
const WATCH_PERIOD_MS = 100;
/** An upstream is taken for dead when it has neither checked in nor sent a byte for these times, in ms. */
const SILENT_CHECK_IN_MS = 3500;
const SILENT_BYTES_MS = 1500;
/** An idempotent call of a plain service is repeated elsewhere after this many times its objective. */
const SLOW_FACTOR = 2;
const MIN_SLOW_MS = 300;
/** How long an upstream is left alone after it did not expect the request at its address, in ms. */
const MISPLACED_PAUSE_MS = 5000;
/** How long an upstream that is full is left alone, in ms. */
const FULL_PAUSE_MS = 60;

/** Why an attempt failed. */
export interface AttemptFailure {
    readonly message: string;
    readonly wasSent: boolean;
    /** False only with a proof that the upstream has not run the request, and will not. */
    readonly mayHaveRun: boolean;
    /** Whether the upstream itself answered that it failed. */
    readonly isErrorResponse: boolean;
    /** Index of the model that should answer instead, when the attempt's was not sure enough. */
    readonly nextModelIndex?: number;
}

/** What attempts work with. */
export interface UpstreamAttemptsDependencies {
    readonly clock: Clock;
    readonly codec: ExchangeCodec;
    readonly connections: UpstreamConnections;
    readonly upstreamStats: UpstreamStatistics;
    readonly directory: UpstreamDirectory;
    readonly entryCount: () => number;
    /** Whether news of upstreams reaches this instance. */
    readonly hasQuorumContact: () => boolean;
    readonly models: ModelEscalator;
    /** Takes one repeat from the budget of a service; false when none is left. */
    readonly spendRepeat: (service: string) => boolean;
    /** The upstream ended the connection while the request ran. */
    readonly onConnectionClosed: (call: Call, selection: Selection) => void;
    /** No connection to the upstream could be had. */
    readonly onUnreachable: (selection: Selection) => void;
    /** The first part of a good answer has come. */
    readonly onResponse: (call: Call, selection: Selection, latencyMs: number) => void;
}

/** All attempts of this instance. */
export class UpstreamAttempts extends DisposableOwner {
    public readonly deps: UpstreamAttemptsDependencies;
    private readonly active = new Set<Attempt>();

    public constructor(parts: UpstreamAttemptsDependencies) {
        super();
        this.deps = parts;
        this.register(
            repeat(parts.clock, WATCH_PERIOD_MS, () => this.active.forEach(attempt => attempt.abortIfStalled())),
        );
    }

    /** Sends a request to the selected upstream. */
    public start(call: Call, state: CallState, selection: Selection, headers: string[]): Attempt {
        const { connections, entryCount } = this.deps;
        const { record, name } = selection;
        const exchange = connections.send(
            name,
            addressOf(record),
            connectionsPerInstance(call.service, entryCount()),
            { method: call.req.method, path: call.req.path, headers, body: call.body },
        );
        const attempt = new Attempt(this.deps, call, state, selection, exchange, () => this.active.delete(attempt));
        this.active.add(attempt);
        return attempt;
    }
}

/** One attempt. */
export class Attempt {
    private readonly deps: UpstreamAttemptsDependencies;
    private readonly call: Call;
    private readonly state: CallState;
    private readonly selection: Selection;
    private readonly exchange: Exchange;
    private readonly onEnded: () => void;
    private readonly sentAt: number;
    private readonly promptTokens: number;
    private hasResponseStarted = false;

    public constructor(
        parts: UpstreamAttemptsDependencies,
        call: Call,
        state: CallState,
        selection: Selection,
        exchange: Exchange,
        onEnded: () => void,
    ) {
        this.deps = parts;
        this.call = call;
        this.state = state;
        this.selection = selection;
        this.exchange = exchange;
        this.onEnded = onEnded;
        this.sentAt = parts.clock.monotonic();
        this.promptTokens = call.req.prompt?.tokens ?? 0;
    }

    /** Resolves with undefined when the caller has the whole answer. */
    public async run(): Promise<AttemptFailure | undefined> {
        const { call, exchange, deps: parts, selection: { stats } } = this;
        stats.inFlight++;
        stats.promptTokens += this.promptTokens;
        const deadline = parts.clock.schedule(
            call.deadlineAt - this.sentAt,
            () => exchange.abort("the deadline has passed"),
        );
        call.reply.onCallerGone(() => exchange.abort("the caller has left"));
        try {
            return await this.relayResponse();
        }
        finally {
            deadline.dispose();
            exchange.abort("the attempt has ended");
            stats.inFlight--;
            this.notePromptRead();
            this.onEnded();
        }
    }

    /** Gives the attempt up when its upstream is gone or silent. */
    public abortIfStalled(): void {
        const { deps: parts, selection, call } = this;
        const { record, stats, name } = selection;
        const now = parts.clock.monotonic();
        const heard = parts.directory.get(record.id);
        const isReplaced = heard !== undefined && heard.record.start > record.start;
        if (isReplaced) {
            this.exchange.abort(`upstream ${name} has started again`);
            return;
        }
        const isRepeatable = call.route.kind === "idempotent" || call.route.isResumable;
        const silentMs = now - Math.max(this.sentAt, this.exchange.lastByteAt);
        const hasBegun = this.exchange.lastByteAt > -Infinity;
        const hasAttempts = this.state.possibleRuns + 1 < call.route.maxAttempts;
        const upstreamSilentMs = now - stats.lastByteAt;
        if (
            isStalled({
                route: call.route,
                hasBegun,
                idleMs: silentMs,
                upstreamIdleMs: upstreamSilentMs,
                hasAttemptsLeft: hasAttempts,
            })
        ) {
            this.exchange.abort(`upstream ${name} has stalled`);
            return;
        }
        // Without contact to control, missing check-ins say nothing of the upstream.
        const isLost = parts.hasQuorumContact() && (heard === undefined || now - heard.receivedAt > SILENT_CHECK_IN_MS);
        const isSilent = silentMs > SILENT_BYTES_MS && now - stats.lastByteAt > SILENT_BYTES_MS;
        if (isRepeatable && isLost && isSilent) {
            this.exchange.abort(`upstream ${name} is silent`);
            return;
        }
        const slowMs = Math.max(MIN_SLOW_MS, call.route.objectiveMs * SLOW_FACTOR);
        if (call.route.kind === "idempotent" && hasAttempts && silentMs > slowMs) {
            this.exchange.abort(`upstream ${name} is slow`);
        }
    }

    private async relayResponse(): Promise<AttemptFailure | undefined> {
        const { deps: parts, selection: { stats } } = this;
        const raw = await this.exchange.readHead();
        this.notePromptRead();
        if (isFailure(raw)) {
            return this.failed(raw);
        }
        stats.lastByteAt = parts.clock.monotonic();
        const head = parts.codec.readHead(raw.status, raw.headers);
        if (head.load !== undefined) {
            parts.upstreamStats.recordLoad(stats, head.load);
        }
        if (head.isNotRun) {
            return this.notRun(head);
        }
        if (head.requestId !== this.call.req.id || !head.isSigned || head.isEncoded) {
            return this.failed({ ...unusableResponse, message: "the answer belongs to no request of ours" });
        }
        const isStream = this.call.route.kind === "stream" && isSuccess(head.status);
        const nextModel = isStream ? this.findBetterModel(head) : undefined;
        if (nextModel !== undefined) {
            this.exchange.abort("a larger model answers");
            parts.upstreamStats.recordSuccess(stats);
            const message = `model ${this.state.modelIndex} has confidence ${head.confidence}`;
            return { message, wasSent: true, mayHaveRun: true, isErrorResponse: false, nextModelIndex: nextModel };
        }
        return isStream ? this.relayStream(head) : this.relayBuffered(head);
    }

    /** The model that should answer instead, before the caller has received anything. */
    private findBetterModel(head: ResponseHead): number | undefined {
        const { deps: parts, call, state } = this;
        const now = parts.clock.monotonic();
        const latencyMs = now - this.sentAt;
        parts.models.recordLatency(call.route, state.modelIndex, latencyMs);
        state.confidence = head.confidence;
        const hasRuns = state.possibleRuns + 1 < call.route.maxAttempts;
        if (call.reply.hasBegun || call.req.resumeAfter !== undefined || !hasRuns) {
            return undefined;
        }
        const doubt = { route: call.route, model: state.modelIndex, confidence: head.confidence, latencyMs };
        const next = parts.models.escalate({
            ...doubt,
            elapsedMs: now - call.arrivedAt,
            hasQuorumContact: parts.hasQuorumContact(),
        });
        if (next === undefined || parts.spendRepeat(call.service.name)) {
            return next;
        }
        state.keptFor = "no repeats are left";
        return undefined;
    }

    private notRun(head: ResponseHead): AttemptFailure {
        const { deps: parts, selection: { stats, record } } = this;
        const isMisplaced = head.status === 421;
        parts.upstreamStats.pause(stats, isMisplaced ? MISPLACED_PAUSE_MS : FULL_PAUSE_MS);
        const message = isMisplaced ? "has another process at its address" : `refused with ${head.status}`;
        return {
            message: `upstream ${record.id} ${message}`,
            wasSent: true,
            mayHaveRun: false,
            isErrorResponse: false,
        };
    }

    private failed({ message, wasSent, isClosedByUpstream: isBroken, isAborted }: ExchangeFailure): AttemptFailure {
        const { deps: parts, selection, call } = this;
        if (!isAborted || !call.reply.isCallerGone) {
            parts.upstreamStats.recordFailure(selection.stats);
        }
        if (isBroken && wasSent) {
            parts.onConnectionClosed(call, selection);
        }
        if (!wasSent && !isAborted) {
            parts.upstreamStats.recordUnreachable(selection.record.domain);
            parts.onUnreachable(selection);
        }
        const text = `upstream ${selection.record.id}: ${message}`;
        return { message: text, wasSent, mayHaveRun: wasSent, isErrorResponse: false };
    }

    /** Collects the body, so that a broken answer can still be replaced by another one. */
    private async relayBuffered(head: ResponseHead): Promise<AttemptFailure | undefined> {
        const { deps: parts, call, state, selection: { stats, record } } = this;
        const chunks: Buffer[] = [];
        for (;;) {
            const part = await this.exchange.readChunk();
            if (isFailure(part)) {
                return this.failed(part);
            }
            if (part === undefined) {
                break;
            }
            chunks.push(part);
        }
        const body = Buffer.concat(chunks);
        if (head.status >= 500) {
            parts.upstreamStats.recordFailure(stats);
            state.errorResponse = { head, body };
            const message = `upstream ${record.id} failed with ${head.status}`;
            return { message, wasSent: true, mayHaveRun: true, isErrorResponse: true };
        }
        parts.upstreamStats.recordSuccess(stats);
        parts.onResponse(call, this.selection, parts.clock.monotonic() - this.sentAt);
        call.reply.send(head.status, head.headers, body);
        return undefined;
    }

    /** Passes whole events on as they come. */
    private async relayStream(head: ResponseHead): Promise<AttemptFailure | undefined> {
        const { deps: parts, call, state, selection: { stats } } = this;
        const splitter = state.splitter ?? new EventSplitter();
        splitter.discardPartial();
        for (;;) {
            const part = await this.exchange.readChunk();
            if (isFailure(part)) {
                return this.failed(part);
            }
            if (part === undefined) {
                break;
            }
            stats.lastByteAt = parts.clock.monotonic();
            const events = splitter.push(part);
            if (events.length === 0) {
                continue;
            }
            this.recordEventTimes();
            if (!call.reply.hasBegun) {
                state.splitter = splitter;
                parts.onResponse(call, this.selection, parts.clock.monotonic() - this.sentAt);
                call.reply.beginStream(head.status, head.headers);
            }
            await call.reply.write(events);
        }
        if (splitter.partialLength > 0 || !call.reply.hasBegun) {
            return this.failed({
                ...unusableResponse,
                message: "the stream ended within an event",
                isClosedByUpstream: true,
            });
        }
        parts.upstreamStats.recordSuccess(stats);
        call.reply.end();
        return undefined;
    }

    private recordEventTimes(): void {
        const { state, call } = this;
        const now = this.deps.clock.monotonic();
        if (state.firstEventMs === undefined) {
            state.firstEventMs = now - call.arrivedAt;
        }
        else {
            state.longestPauseMs = Math.max(state.longestPauseMs, now - state.lastEventAt);
        }
        state.lastEventAt = now;
    }

    /** From the first byte of the answer on, the prompt has been read. */
    private notePromptRead(): void {
        if (!this.hasResponseStarted) {
            this.hasResponseStarted = true;
            this.selection.stats.promptTokens -= this.promptTokens;
        }
    }
}

/** What holds of an answer that has come, but can't be used. */
const unusableResponse = { wasSent: true, isClosedByUpstream: false, isAborted: false } as const;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;
