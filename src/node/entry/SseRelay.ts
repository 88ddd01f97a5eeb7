/**
 * Relays a stream of server-sent events to the caller. Only complete events are forwarded, so that an interrupted
 * stream can be resumed after the last one. The `[DONE]` event is held back until the bill is recorded.
 */
import { type ServerResponse } from "node:http";
import { type Readable } from "node:stream";

/** Empty line that ends an event. */
const EVENT_END = "\n\n";
const DONE_EVENT = "data: [DONE]";
const USAGE_MARKER = "\"usage\":{";
const ID_LINE = /^id: ?(.*)$/gm;
/** Largest single event, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Token counts that an engine reported. */
export interface Usage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Relays one stream and tracks its position. */
export class SseRelay {
    /** Set when the engine's `[DONE]` event has arrived. */
    public isDone = false;
    /** Number of forwarded events, as an estimate of tokens. A chunk that is forwarded undecoded counts as one. */
    public events = 0;
    public usage: Usage | undefined;
    /** Id of the last forwarded event, after which the stream can be resumed. */
    public lastEventId: string | undefined;
    private readonly res: ServerResponse;
    /** Whether the caller requested the usage event. */
    private readonly forwardsUsage: boolean;
    private incompleteEvent: Buffer = Buffer.alloc(0);

    public constructor(res: ServerResponse, forwardsUsage: boolean) {
        this.res = res;
        this.forwardsUsage = forwardsUsage;
    }

    /** Relays until the `[DONE]` event or the end of `body`. Rejects if the stream or the caller's connection fails. */
    public async run(body: Readable): Promise<void> {
        this.incompleteEvent = Buffer.alloc(0);
        for await (const chunk of body) {
            const isWritable = this.forwardCompleteEvents(chunk as Buffer);
            if (this.isDone) {
                body.destroy();
                return;
            }
            if (!isWritable) {
                await waitForDrain(this.res);
            }
        }
    }

    /** Sends the `[DONE]` event that was held back, and ends the answer. */
    public finish(): void {
        this.res.end(DONE_EVENT + EVENT_END);
    }

    /** Sends an error event and closes the connection without the `[DONE]` event: the answer is incomplete. */
    public fail(problem: unknown): void {
        const event = `event: error\ndata: ${JSON.stringify({ error: problem })}${EVENT_END}`;
        this.res.write(event, () => this.res.destroy());
    }

    /** Forwards the complete events of a chunk. Returns false when the caller reads too slowly. */
    private forwardCompleteEvents(chunk: Buffer): boolean {
        const data = this.incompleteEvent.length === 0 ? chunk : Buffer.concat([this.incompleteEvent, chunk]);
        const end = data.lastIndexOf(EVENT_END);
        if (end < 0) {
            this.keepIncompleteEvent(data);
            return true;
        }
        const events = data.subarray(0, end + EVENT_END.length);
        this.keepIncompleteEvent(data.subarray(events.length));
        return this.forward(events);
    }

    private keepIncompleteEvent(data: Buffer): void {
        if (data.length > MAX_EVENT_BYTES) {
            throw new Error(`an event is larger than ${MAX_EVENT_BYTES} bytes`);
        }
        this.incompleteEvent = data;
    }

    private forward(events: Buffer): boolean {
        // Most chunks contain none of these and are forwarded without being decoded.
        if (events.indexOf(DONE_EVENT) < 0 && events.indexOf(USAGE_MARKER) < 0 && events.indexOf("id:") < 0) {
            this.events++;
            return this.res.write(events);
        }
        return this.forwardParsed(events.toString("utf8"));
    }

    private forwardParsed(text: string): boolean {
        let forwarded = "";
        for (const event of text.split(EVENT_END)) {
            if (event === "") {
                continue;
            }
            if (event.includes(DONE_EVENT)) {
                this.isDone = true;
                break;
            }
            forwarded += this.recordUsage(event) && !this.forwardsUsage ? "" : event + EVENT_END;
            this.events++;
            for (const match of event.matchAll(ID_LINE)) {
                this.lastEventId = match[1];
            }
        }
        return forwarded === "" || this.res.write(forwarded);
    }

    /** Records the usage in an event. Returns true when the event contains nothing else. */
    private recordUsage(event: string): boolean {
        if (!event.includes(USAGE_MARKER)) {
            return false;
        }
        const line = event.split("\n").find(text => text.startsWith("data:"));
        const data = parseData(line?.slice("data:".length));
        this.usage = readUsage(data) ?? this.usage;
        return Array.isArray(data?.choices) && data.choices.length === 0;
    }
}

interface AnswerData {
    readonly usage?: { readonly prompt_tokens?: unknown; readonly completion_tokens?: unknown; };
    readonly choices?: unknown;
}

const parseData = (text: string | undefined): AnswerData | undefined => {
    try {
        return JSON.parse(text ?? "") as AnswerData;
    }
    catch {
        return undefined;
    }
};

/** Reads the token counts of an answer or event in the format of the OpenAI API. */
export const readUsage = (data: unknown): Usage | undefined => {
    const usage = (data as AnswerData | undefined)?.usage;
    const prompt = usage?.prompt_tokens;
    const completion = usage?.completion_tokens;
    if (!isTokenCount(prompt) || !isTokenCount(completion)) {
        return undefined;
    }
    return { promptTokens: prompt, completionTokens: completion };
};

const isTokenCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Resolves when `res` accepts more data. Rejects when the caller has disconnected. */
export const waitForDrain = (res: ServerResponse): Promise<void> =>
    new Promise((resolve, reject) => {
        if (res.destroyed || res.closed) {
            reject(new Error("the caller disconnected"));
            return;
        }
        const onDrain = (): void => {
            res.off("close", onClose);
            resolve();
        };
        const onClose = (): void => {
            res.off("drain", onDrain);
            reject(new Error("the caller disconnected"));
        };
        res.once("drain", onDrain);
        res.once("close", onClose);
    });
