/**
 * Splits an event stream (`text/event-stream`) after complete events and tracks the id of the last one. A stream that
 * breaks off may end in the middle of an event; an incomplete event is never passed on.
 */

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from("\nid:");

/** State of one stream. */
export class EventSplitter {
    private partial: Buffer = Buffer.alloc(0);
    private id: string | undefined;

    /** @param lastEventId id of the event after which the stream is resumed; undefined if it begins */
    public constructor(lastEventId?: string) {
        this.id = lastEventId;
    }

    /** Id of the last complete event that has one; undefined before the first such event. */
    public get lastEventId(): string | undefined {
        return this.id;
    }

    /** Number of bytes received after the last complete event. */
    public get partialLength(): number {
        return this.partial.length;
    }

    /** Adds a chunk of the stream. Returns the events that are now complete. */
    public push(chunk: Buffer): Buffer {
        const data = this.partial.length === 0 ? chunk : Buffer.concat([this.partial, chunk]);
        const end = endOfLastEvent(data);
        const events = data.subarray(0, end);
        this.partial = data.subarray(end);
        if (events.length > 0) {
            this.id = lastIdOf(events) ?? this.id;
        }
        return events;
    }
}

/** Whether complete blocks of a stream hold nothing but comments. */
export const isComment = (blocks: Buffer): boolean => /^(:[^\n]*\n|\r?\n)*$/.test(blocks.toString("latin1"));

/** Offset after the last empty line, which ends an event; 0 when there is none. Lines end with LF or CRLF. */
const endOfLastEvent = (data: Buffer): number => {
    for (let index = data.length - 1; index > 0; index--) {
        if (data[index] !== LINE_FEED) {
            continue;
        }
        const isEmptyLine = data[index - 1] === LINE_FEED
            || (data[index - 1] === 0x0d && index > 1 && data[index - 2] === LINE_FEED);
        if (isEmptyLine) {
            return index + 1;
        }
    }
    return 0;
};

const lastIdOf = (events: Buffer): string | undefined => {
    const at = events.lastIndexOf(ID_FIELD);
    const start = at < 0 ? (events.subarray(0, 3).equals(ID_FIELD.subarray(1)) ? 3 : -1) : at + ID_FIELD.length;
    if (start < 0) {
        return undefined;
    }
    const end = events.indexOf(LINE_FEED, start);
    return events.toString("latin1", start, end < 0 ? events.length : end).trim();
};
