/**
 * Queries the rating service for the quality of an answer. When the service is slow or unreachable, the answer has no
 * rating.
 */
import { Pool } from "undici";
import * as z from "zod";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { type Address } from "../settings/SettingsSchema.ts";

const ratingSchema = z.object({ rating: z.number().min(0).max(1) });
const MAX_CONNECTIONS = 32;

/** An answer to rate, as it is sent to the service. */
export interface RatingRequest {
    /** Id of the request. */
    readonly request: string;
    /** `model@version` that answered. */
    readonly version: string;
    /** Body of the caller's request, parsed from JSON. */
    readonly prompt: unknown;
    /** Body of the answer, as text. */
    readonly answer: unknown;
}

/** Client of the rating service. */
export class RatingClient extends DisposableOwner {
    private readonly pool: Pool;

    public constructor({ host, port }: Address) {
        super();
        this.pool = new Pool(`http://${host.includes(":") ? `[${host}]` : host}:${port}`, {
            connections: MAX_CONNECTIONS,
        });
        this.register({ dispose: () => void this.pool.destroy() });
    }

    /** The rating from 0 to 1; undefined when the service gives no valid one within `timeoutMs`. Never rejects. */
    public async rate(req: RatingRequest, timeoutMs: number): Promise<number | undefined> {
        try {
            const reply = await this.pool.request({
                path: "/rate",
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(req),
                headersTimeout: timeoutMs,
                bodyTimeout: timeoutMs,
                signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
            });
            return ratingSchema.parse(await reply.body.json()).rating;
        }
        catch {
            return undefined;
        }
    }
}
