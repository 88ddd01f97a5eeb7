/**
 * Reads the heads of responses out of the bytes of a relayed connection. An upstream speaks one response at a time on a
 * connection, so the first bytes that it sends after bytes of a request begin a head.
 */
import { type RawResponseHead } from "./UpstreamConnections.ts";

/** Largest head that is read, in bytes. */
const MAX_HEAD_BYTES = 16_384;
const HEAD_END = "\r\n\r\n";

/** Heads on one connection. */
export class RelayedHeads {
    private readonly onHead: (head: RawResponseHead) => void;
    /** Bytes of the head that is being read; undefined while none is. */
    private partial: string | undefined;

    public constructor(onHead: (head: RawResponseHead) => void) {
        this.onHead = onHead;
    }

    /** Bytes of a request have passed. */
    public expectHead(): void {
        this.partial = "";
    }

    /** Bytes of a response have passed. */
    public push(chunk: Buffer): void {
        if (this.partial === undefined) {
            return;
        }
        this.partial += chunk.toString("latin1", 0, MAX_HEAD_BYTES);
        const end = this.partial.indexOf(HEAD_END);
        if (end >= 0) {
            const head = parseHead(this.partial.slice(0, end));
            this.partial = undefined;
            if (head !== undefined) {
                this.onHead(head);
            }
        }
        else if (this.partial.length > MAX_HEAD_BYTES) {
            this.partial = undefined;
        }
    }
}

/** Undefined if the text is no head of a response. */
const parseHead = (text: string): RawResponseHead | undefined => {
    const [first = "", ...lines] = text.split("\r\n");
    const status = /^HTTP\/1\.[01] (\d{3})/.exec(first)?.[1];
    const headers = lines.flatMap(line => {
        const colon = line.indexOf(":");
        return colon < 0 ? [] : [line.slice(0, colon).trim(), line.slice(colon + 1).trim()];
    });
    return status === undefined ? undefined : { status: Number(status), headers };
};
