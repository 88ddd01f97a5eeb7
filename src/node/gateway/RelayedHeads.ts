/**
 * Reads the heads of responses out of the bytes of a relayed connection, and finds their ends. An upstream speaks one
 * response at a time on a connection, so the first bytes that it sends after bytes of a request begin a head.
 */
import { type RawResponseHead } from "./UpstreamConnections.ts";

/** Largest head that is read, in bytes. */
const MAX_HEAD_BYTES = 16_384;
const HEAD_END = "\r\n\r\n";
/** The last chunk of a body in chunked encoding, after the end of the chunk before it. */
const LAST_CHUNK = "\n0\r\n\r\n";

/** Heads on one connection. */
export class RelayedHeads {
    private readonly onHead: (head: RawResponseHead) => void;
    /** Bytes of the head that is being read; undefined while none is. */
    private partial: string | undefined;
    /** Bytes of the body that are missing; Infinity if its length isn't known. */
    private missingBytes = 0;
    private isChunked = false;
    /** The newest bytes of a body in chunked encoding, as many as `LAST_CHUNK` has. */
    private tail = "";

    public constructor(onHead: (head: RawResponseHead) => void) {
        this.onHead = onHead;
    }

    /** Whether each request so far has its whole response. False if a response doesn't tell where it ends. */
    public get areComplete(): boolean {
        return this.partial === undefined && this.missingBytes <= 0;
    }

    /** Bytes of a request have passed. */
    public expectHead(): void {
        this.partial = "";
    }

    /** Bytes of a response have passed. */
    public push(chunk: Buffer): void {
        if (this.partial === undefined) {
            this.pushBody(chunk.length, chunk.toString("latin1", Math.max(0, chunk.length - LAST_CHUNK.length)));
            return;
        }
        this.partial += chunk.toString("latin1", 0, MAX_HEAD_BYTES);
        const end = this.partial.indexOf(HEAD_END);
        if (end >= 0) {
            const bodyStart = end + HEAD_END.length - (this.partial.length - Math.min(chunk.length, MAX_HEAD_BYTES));
            const head = parseHead(this.partial.slice(0, end));
            this.partial = undefined;
            this.beginBody(head);
            if (head !== undefined) {
                this.onHead(head);
            }
            // The line break before the first chunk is that of the head.
            const from = Math.max(bodyStart - 1, chunk.length - LAST_CHUNK.length);
            this.pushBody(chunk.length - bodyStart, chunk.toString("latin1", from));
        }
        else if (this.partial.length > MAX_HEAD_BYTES) {
            this.partial = undefined;
            this.missingBytes = Infinity;
        }
    }

    private beginBody(head: RawResponseHead | undefined): void {
        const headers = new Map<string, string>();
        head?.headers.forEach((name, index, all) => {
            if (index % 2 === 0) {
                headers.set(name.toLowerCase(), all[index + 1] ?? "");
            }
        });
        const hasNoBody = head?.status === 204 || head?.status === 304;
        this.isChunked = headers.has("transfer-encoding");
        const length = Number(headers.get("content-length") ?? (hasNoBody ? 0 : Infinity));
        this.missingBytes = this.isChunked || Number.isNaN(length) ? Infinity : length;
        this.tail = "";
    }

    private pushBody(bytes: number, newest: string): void {
        this.missingBytes -= bytes;
        if (this.isChunked) {
            this.tail = (this.tail + newest).slice(-LAST_CHUNK.length);
            this.missingBytes = this.tail === LAST_CHUNK ? 0 : Infinity;
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
