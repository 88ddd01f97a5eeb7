/**
 * Cuts an event stream at the ends of whole events, and knows the id of the last whole one. An upstream that breaks
 * off may stop in the middle of an event; such a rest is never passed on.
 */

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from("\nid:");

/** State of one stream. */
export class EventSplitter {
    private partial: Buffer = Buffer.alloc(0);
    private id: string | undefined;

    /** Id of the last whole event; undefined before the first that has one. */
    public get lastEventId(): string | undefined {
        return this.id;
    }

    /** Bytes behind the last whole event. */
    public get partialLength(): number {
        return this.partial.length;
    }

    /** Takes the next bytes and returns those that end whole events. */
    public push(chunk: Buffer): Buffer {
        const data = this.partial.length === 0 ? chunk : Buffer.concat([this.partial, chunk]);
        const end = endOfLastEvent(data);
        const whole = data.subarray(0, end);
        this.partial = data.subarray(end);
        if (whole.length > 0) {
            this.id = lastIdOf(whole) ?? this.id;
        }
        return whole;
    }

    /** Forgets the rest of a stream that broke off. */
    public discardPartial(): void {
        this.partial = Buffer.alloc(0);
    }
}

/** Offset behind the last empty line. */
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
