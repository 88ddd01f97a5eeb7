/**
 * Relays a stream of server-sent events to the caller. Only whole events are passed on, so that a broken
 * stream can be continued after the last one, and the end is held back until the bill is recorded.
 */
import { type ServerResponse } from "node:http";
import { type Readable } from "node:stream";

/** End of an event. */
const EVENT_END = "\n\n";
const DONE_EVENT = "data: [DONE]";
const USAGE_MARKER = "\"usage\":{";
const ID_LINE = /^id: ?(.*)$/gm;
/** Largest single event, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Tokens that an engine reported. */
export interface Usage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Where a relayed stream stands. */
export class SseRelay {
    /** Set once the engine's end mark has arrived. */
    public isDone = false;
    /** Events passed on. */
    public events = 0;
    public usage: Usage | undefined;
    /** Id of the last event passed on, to continue after it. */
    public lastEventId: string | undefined;
    private readonly res: ServerResponse;
    /** Whether the caller asked for the usage event itself. */
    private readonly forwardsUsage: boolean;
    private incompleteEvent: Buffer = Buffer.alloc(0);

    public constructor(res: ServerResponse, passesUsage: boolean) {
        this.res = res;
        this.forwardsUsage = passesUsage;
    }

    /** Relays until the end mark or the end of `body`. Rejects when the stream or the caller breaks off. */
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

    /** Sends the end mark that was held back, and ends the answer. */
    public finish(): void {
        this.res.end(DONE_EVENT + EVENT_END);
    }

    /** Tells the caller that the answer is incomplete and breaks the connection off without the end mark. */
    public fail(problem: unknown): void {
        const event = `event: error\ndata: ${JSON.stringify({ error: problem })}${EVENT_END}`;
        this.res.write(event, () => this.res.destroy());
    }

    /** Passes the whole events of a chunk on. Returns false when the caller does not keep up. */
    private forwardCompleteEvents(chunk: Buffer): boolean {
        const data = this.incompleteEvent.length === 0 ? chunk : Buffer.concat([this.incompleteEvent, chunk]);
        const end = data.lastIndexOf(EVENT_END);
        if (end < 0) {
            this.keepIncompleteEvent(data);
            return true;
        }
        const whole = data.subarray(0, end + EVENT_END.length);
        this.keepIncompleteEvent(data.subarray(whole.length));
        return this.forward(whole);
    }

    private keepIncompleteEvent(tail: Buffer): void {
        if (tail.length > MAX_EVENT_BYTES) {
            throw new Error(`an event is larger than ${MAX_EVENT_BYTES} bytes`);
        }
        this.incompleteEvent = tail;
    }

    private forward(whole: Buffer): boolean {
        // Most chunks hold plain events only and are passed on as they are, without being decoded.
        if (whole.indexOf(DONE_EVENT) < 0 && whole.indexOf(USAGE_MARKER) < 0 && whole.indexOf("id:") < 0) {
            this.events++;
            return this.res.write(whole);
        }
        return this.forwardParsed(whole.toString("utf8"));
    }

    private forwardParsed(text: string): boolean {
        let passed = "";
        for (const event of text.split(EVENT_END)) {
            if (event === "") {
                continue;
            }
            if (event.includes(DONE_EVENT)) {
                this.isDone = true;
                break;
            }
            passed += this.isUsageOnly(event) && !this.forwardsUsage ? "" : event + EVENT_END;
            this.events++;
            for (const match of event.matchAll(ID_LINE)) {
                this.lastEventId = match[1];
            }
        }
        return passed === "" || this.res.write(passed);
    }

    /** Reads the usage out of an event. True when the event carries nothing else. */
    private isUsageOnly(event: string): boolean {
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

/** Token counts of an answer or event in the shape of the OpenAI API. */
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

/** Resolves when `res` accepts more data; rejects when it was closed. */
export const waitForDrain = (res: ServerResponse): Promise<void> =>
    new Promise((resolve, reject) => {
        if (res.destroyed || res.closed) {
            reject(new Error("the caller went away"));
            return;
        }
        const onDrain = (): void => {
            res.off("close", onClose);
            resolve();
        };
        const onClose = (): void => {
            res.off("drain", onDrain);
            reject(new Error("the caller went away"));
        };
        res.once("drain", onDrain);
        res.once("close", onClose);
    });
