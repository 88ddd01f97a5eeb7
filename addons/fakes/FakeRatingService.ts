/**
 * A fake of the service that rates answers. It returns a fixed rating for each version, after a fixed delay.
 */
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { pause, readText } from "./FakeUpstream.ts";

/** A rating service for tests. */
export class FakeRatingService {
    /** Number of ratings that were returned. */
    public ratingCount = 0;
    private readonly ratings: Readonly<Record<string, number>>;
    private readonly delayMs: number;
    private server: Server | undefined;

    /** `ratings` gives the rating by `model@version`. */
    public constructor(ratings: Readonly<Record<string, number>>, delayMs = 0) {
        this.ratings = ratings;
        this.delayMs = delayMs;
    }

    /** Address as IP:PORT. */
    public get address(): string {
        return `127.0.0.1:${(this.server?.address() as AddressInfo | undefined)?.port ?? 0}`;
    }

    public async start(): Promise<void> {
        const server = createServer((req, res) => {
            void readText(req).then(async text => {
                await pause(this.delayMs);
                this.ratingCount++;
                const { version } = JSON.parse(text) as { version: string; };
                res.end(JSON.stringify({ rating: this.ratings[version] ?? 0 }));
            });
        });
        this.server = server;
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    }

    public stop(): void {
        this.server?.close();
        this.server?.closeAllConnections();
    }
}
