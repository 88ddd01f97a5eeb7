/**
 * Worker threads of `path`: a fake engine that answers without delay, and a load generator that checks the
 * responses.
 */
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { parentPort } from "node:worker_threads";
import { Agent, request } from "undici";
import { SeededRandom } from "../../addons/fakes/SeededRandom.ts";

/** Load to generate. */
export interface LoadPlan {
    readonly kind: "load";
    readonly url: string;
    readonly key: string;
    readonly requests: number;
    readonly concurrency: number;
    /** Rate of an open loop; 0 for a closed loop, in which a caller sends its next request after a response. */
    readonly ratePerS: number;
    readonly isStream: boolean;
    readonly seed: number;
}

/** Measurements of a load generator. */
export interface LoadResult {
    readonly perSecond: number;
    readonly latenciesMs: readonly number[];
    readonly firstTokenMs: readonly number[];
    /** Times between consecutive chunks of a stream, in ms. */
    readonly gapMs: readonly number[];
    readonly wrongAnswers: number;
}

/** Tokens of a streamed answer: 250,000 per second at 990 requests per second. */
const STREAM_TOKENS = 252;
/** Engines send tokens in small groups; `gapMs` is measured between groups. */
const TOKENS_PER_CHUNK = 6;
const STREAM_TOKEN_MS = 6;

const answerPlain = (id: string, content: string): string =>
    JSON.stringify({
        id,
        object: "chat.completion",
        choices: [{ index: 0, message: { role: "assistant", content: `echo ${content}` }, finish_reason: "stop" }],
        usage: { prompt_tokens: 20, completion_tokens: 20, total_tokens: 40 },
    });

const startEngine = async (): Promise<number> => {
    const server = createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            const body = JSON.parse(Buffer.concat(chunks).toString()) as {
                messages: { content: string; }[];
                stream?: boolean;
            };
            const id = String(req.headers["x-request-id"]);
            res.setHeader("x-request-id", id);
            const content = body.messages[0]?.content ?? "";
            if (body.stream !== true) {
                res.setHeader("content-type", "application/json");
                res.end(answerPlain(id, content));
                return;
            }
            res.writeHead(200, { "content-type": "text/event-stream" });
            let sent = 0;
            const timer = setInterval(() => {
                let text = "";
                for (let index = 0; index < TOKENS_PER_CHUNK && sent < STREAM_TOKENS; index++) {
                    sent++;
                    text += `data: {"choices":[{"index":0,"delta":{"content":"${content}"}}]}\n\n`;
                }
                res.write(text);
                if (sent >= STREAM_TOKENS) {
                    clearInterval(timer);
                    res.end(
                        `data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":${sent}}}\n\ndata: [DONE]\n\n`,
                    );
                }
            }, STREAM_TOKEN_MS * TOKENS_PER_CHUNK);
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
};

const runLoad = async (plan: LoadPlan): Promise<LoadResult> => {
    const agent = new Agent({ connections: plan.concurrency, pipelining: 1 });
    const random = new SeededRandom(plan.seed);
    const latenciesMs: number[] = [];
    const firstTokenMs: number[] = [];
    const gapMs: number[] = [];
    let wrongAnswers = 0;
    const headers = { authorization: `Bearer ${plan.key}`, "content-type": "application/json" };
    const sendRequest = async (): Promise<void> => {
        const marker = `mark-${random.nextInt(1e9)}`;
        const body = JSON.stringify({
            model: "m",
            stream: plan.isStream,
            messages: [{ role: "user", content: marker }],
        });
        const startedAt = performance.now();
        const answer = await request(`${plan.url}/v1/chat/completions`, {
            method: "POST",
            headers,
            body,
            dispatcher: agent,
        });
        let text = "";
        let lastChunkAt = 0;
        for await (const chunk of answer.body) {
            const now = performance.now();
            if (lastChunkAt === 0) {
                firstTokenMs.push(now - startedAt);
            }
            else if (plan.isStream) {
                gapMs.push(now - lastChunkAt);
            }
            lastChunkAt = now;
            text += String(chunk);
        }
        latenciesMs.push(performance.now() - startedAt);
        const isCorrect = plan.isStream
            ? text.endsWith("data: [DONE]\n\n") && text.split(marker).length === STREAM_TOKENS + 1
            : text.includes(marker);
        wrongAnswers += isCorrect ? 0 : 1;
    };
    const startedAt = performance.now();
    await (plan.ratePerS > 0 ? runOpenLoop(plan, sendRequest) : runClosedLoop(plan, sendRequest));
    const seconds = (performance.now() - startedAt) / 1000;
    await agent.close();
    return { perSecond: plan.requests / seconds, latenciesMs, firstTokenMs, gapMs, wrongAnswers };
};

const runClosedLoop = async (plan: LoadPlan, sendRequest: () => Promise<void>): Promise<void> => {
    let remaining = plan.requests;
    const runCaller = async (): Promise<void> => {
        while (remaining > 0) {
            remaining--;
            await sendRequest();
        }
    };
    await Promise.all([...Array(plan.concurrency).keys()].map(runCaller));
};

const runOpenLoop = async (plan: LoadPlan, sendRequest: () => Promise<void>): Promise<void> => {
    const pending: Promise<void>[] = [];
    const startedAt = performance.now();
    while (pending.length < plan.requests) {
        const due = Math.min(plan.requests, Math.floor((performance.now() - startedAt) * plan.ratePerS / 1000));
        while (pending.length < due) {
            pending.push(sendRequest());
        }
        await new Promise(resolve => setTimeout(resolve, 2));
    }
    await Promise.all(pending);
};

parentPort?.on("message", (message: { kind: "engine"; } | LoadPlan) => {
    const result = message.kind === "engine" ? startEngine() : runLoad(message);
    void result.then(value => parentPort?.postMessage(value));
});
