/**
 * A stand-in for the service that rates answers: the rating stands for each version, with a set delay.
 */
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { pause, readText } from "./FakeUpstream.ts";

/** A stand-in for the rating service. */
export class FakeRatingService {
    public ratingCount = 0;
    private readonly ratings: Readonly<Record<string, number>>;
    private readonly delayMs: number;
    private server: Server | undefined;

    /** `ratings` gives the rating by `model@version`. */
    public constructor(ratings: Readonly<Record<string, number>>, delayMs = 0) {
        this.ratings = ratings;
        this.delayMs = delayMs;
    }

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
