import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { request } from "undici";
import { Deployment, type HttpResponse } from "../../../addons/fakes/Deployment.ts";
import { FakeEngine } from "../../../addons/fakes/FakeEngine.ts";
import { FakeRatingService } from "../../../addons/fakes/FakeRatingService.ts";
import { FakeService } from "../../../addons/fakes/FakeService.ts";
import {
    accountRow,
    allowModel,
    allowService,
    callRow,
    domainRow,
    sheetText,
    versionRow,
} from "../../../addons/fakes/SheetText.ts";
import { type Problem } from "../../common/errors/Problem.ts";

const KEY = "key-x";
const deployment = new Deployment("callers");
const rater = new FakeRatingService({ "small@v1": 0.3, "m@v1": 0.9 });
let engine: FakeEngine;
let service: FakeService;

const chatBody = (extra: object = {}): object => ({
    model: "m",
    messages: [{ role: "user", content: "hello there" }],
    ...extra,
});

const problemOf = (answer: HttpResponse): string => {
    const { code, run } = JSON.parse(answer.body) as Problem;
    return `${answer.status} ${code} ${run}`;
};

/** Sends `body` unchanged to the chat resource. */
const sendRaw = async (body: string, headers: Record<string, string> = {}): Promise<HttpResponse> => {
    const url = `${deployment.urls("a-1").callers}/v1/chat/completions`;
    const answer = await request(url, {
        method: "POST",
        headers: { authorization: `Bearer ${KEY}`, ...headers },
        body,
    });
    return { status: answer.statusCode, headers: answer.headers, body: await answer.body.text() };
};

before(async () => {
    await rater.start();
    const settings = `[limits]\nmax_body_bytes = 20000\nmax_header_bytes = 8192\n[ratings]\naddress = ${rater.address}`;
    await deployment.start([{ id: "a-1", domain: "a", isControl: true }], settings);
    await deployment.submitSheet(
        "a-1",
        sheetText(1, [
            domainRow("a"),
            accountRow("x"),
            accountRow("y"),
            { ...accountRow("few"), max_in_flight: 2 },
            { ...accountRow("thrifty"), tokens_per_minute: 5 },
            allowModel("few", "m"),
            allowModel("thrifty", "m"),
            versionRow("m", "v1", 100, 1, 0.9),
            versionRow("small", "v1", 100, 0.1, 0.7),
            { record: "service", name: "book", cost: 0.5 },
            callRow("book", "POST", "/slots", "yes"),
            allowModel("x", "m"),
            allowModel("x", "small"),
            allowService("x", "book"),
        ]),
    );
    await deployment.waitForSheet(1);
    const announceTo = deployment.announceUrls();
    const versions = [{ model: "m", version: "v1" }, { model: "small", version: "v1" }];
    engine = new FakeEngine({
        id: "e1",
        domain: "a",
        announceTo,
        capacity: 32,
        versions,
        tokenMs: 4,
        resumesStreams: true,
    });
    service = new FakeService({ id: "s1", domain: "a", announceTo, capacity: 32, service: "book" });
    await engine.start("one");
    await service.start("one");
    await deployment.waitForUpstreams(2);
    await deployment.waitFor(
        "a first answer",
        async () => (await deployment.chat("a-1", KEY, chatBody())).status === 200,
    );
});

after(async () => {
    engine.stop();
    service.stop();
    rater.stop();
    await deployment.stop();
});

test("each invalid request is refused with its own error code and the run state \"not_run\"", async () => {
    const { chat, call } = deployment;
    const ask = chat.bind(deployment, "a-1");
    const cases: readonly [string, Promise<HttpResponse>][] = [
        ["401 unknownKey not_run", ask("no-such-key", chatBody())],
        ["404 unknownModel not_run", ask(KEY, chatBody({ model: "nothing" }))],
        ["404 unknownModel not_run", ask(KEY, chatBody({ model: "m@v9" }))],
        ["403 versionNotAllowed not_run", ask("key-y", chatBody())],
        ["400 malformedRequest not_run", ask(KEY, { model: "m" })],
        ["400 malformedJson not_run", sendRaw("{ not json")],
        ["413 bodyTooLarge not_run", sendRaw(JSON.stringify(chatBody({ pad: "x".repeat(30_000) })))],
        ["400 invalidDeadline not_run", ask(KEY, chatBody(), { "x-request-deadline-ms": "soon" })],
        ["400 malformedRequest not_run", ask(KEY, chatBody(), { "x-priority": "99" })],
        ["400 malformedRequest not_run", ask(KEY, chatBody(), { "x-session-id": "s".repeat(300) })],
        ["404 unknownService not_run", call.call(deployment, "a-1", KEY, "GET", "nothing/x")],
        ["403 notAllowed not_run", call.call(deployment, "a-1", "key-y", "GET", "book/x")],
        ["400 malformedRequest not_run", call.call(deployment, "a-1", KEY, "POST", "book/slots%2fpay")],
    ];
    for (const [expected, answer] of cases) {
        assert.equal(problemOf(await answer), expected);
    }
});

test("an account at a limit of the sheet is refused with a Retry-After header", async () => {
    const many = await Promise.all([...Array(6).keys()].map(() => deployment.chat("a-1", "key-few", chatBody())));
    const refused = many.filter(answer => answer.status === 429);
    assert.equal(many.filter(answer => answer.status === 200).length, 2);
    assert.equal(refused.length, 4);
    assert.ok(refused.every(answer => Number(answer.headers["retry-after"]) >= 1));
    assert.equal((await deployment.chat("a-1", "key-thrifty", chatBody())).status, 200);
    assert.equal(problemOf(await deployment.chat("a-1", "key-thrifty", chatBody())), "429 tooManyRequests not_run");
});

test("oversized headers are refused with status 431", async () => {
    const answer = await sendRaw("{}", { "x-flood": "y".repeat(10_000) });
    assert.equal(answer.status, 431);
});

test("concurrent callers each get their own complete answer", async () => {
    const answers = await Promise.all([...Array(40).keys()].map(async index => {
        const answer = await deployment.chat(
            "a-1",
            KEY,
            chatBody({ messages: [{ role: "user", content: `mine-${index}-end` }] }),
        );
        return answer.body.includes(`mine-${index}-end`);
    }));
    assert.ok(answers.every(isOwn => isOwn));
});

test("an answer to another request is discarded and not relayed", async () => {
    engine.returnsWrongRequestId = true;
    const answer = await deployment.chat("a-1", KEY, chatBody(), { "x-request-deadline-ms": "3000" });
    engine.returnsWrongRequestId = false;
    assert.equal(answer.status, 502);
    assert.match(problemOf(answer), /answerMismatch unknown/);
});

test("an interrupted stream is resumed after its last event, without gaps or duplicates", async () => {
    engine.breakAfterTokens = 3;
    engine.remainingBreaks = 1;
    const answer = await deployment.chat("a-1", KEY, chatBody({ stream: true }));
    const tokens = [...answer.body.matchAll(/"content":"(\d+):/g)].map(match => Number(match[1]));
    assert.deepEqual(tokens, [1, 2, 3, 4, 5, 6, 7, 8]);
    assert.ok(answer.body.endsWith("data: [DONE]\n\n"));
    assert.ok(!answer.body.includes("usage"), "the caller did not ask for usage");
});

test("a stream that cannot be resumed ends with an error, not with a [DONE] event", async () => {
    engine.breakAfterTokens = 2;
    engine.remainingBreaks = 10;
    const outcome = await deployment.chat("a-1", KEY, chatBody({ stream: true })).then(
        answer => answer.body,
        () => "connection closed",
    );
    engine.remainingBreaks = 0;
    assert.ok(!outcome.includes("[DONE]"), outcome);
});

test("a call that may not be repeated is sent once, and a lost answer is reported as \"unknown\"", async () => {
    const runsBefore = service.executedBodies.length;
    service.dropsResponses = true;
    const answer = await deployment.call("a-1", KEY, "POST", "book/pay", {}, { amount: 5 });
    service.dropsResponses = false;
    assert.equal(problemOf(answer), "502 upstreamFailed unknown");
    assert.equal(service.executedBodies.length - runsBefore, 1);
});

test("a call that the service refuses to start is reported as \"not_run\"", async () => {
    await deployment.waitFor(
        "the service",
        async () => (await deployment.call("a-1", KEY, "GET", "book/x")).status === 200,
    );
    const runsBefore = service.executedBodies.length;
    service.rejectsCalls = true;
    const answer = await deployment.call("a-1", KEY, "POST", "book/pay", {}, { amount: 6 });
    service.rejectsCalls = false;
    assert.equal(problemOf(answer), "502 upstreamFailed not_run");
    assert.equal(service.executedBodies.length, runsBefore);
});

test("a call with an idempotency key runs once: a repeat gets the recorded answer, another body a 409", async () => {
    await deployment.waitFor(
        "the service",
        async () => (await deployment.call("a-1", KEY, "GET", "book/x")).status === 200,
    );
    const runsBefore = service.executedBodies.length;
    const headers = { "idempotency-key": "k-1" };
    const first = await deployment.call("a-1", KEY, "POST", "book/pay", headers, { amount: 7 });
    const again = await deployment.call("a-1", KEY, "POST", "book/pay", headers, { amount: 7 });
    const other = await deployment.call("a-1", KEY, "POST", "book/pay", headers, { amount: 8 });
    assert.equal(first.status, 200);
    assert.equal(again.body, first.body);
    assert.equal(again.headers["x-idempotent-repeat"], "true");
    assert.equal(problemOf(other), "409 keyReused not_run");
    assert.equal(service.executedBodies.length - runsBefore, 1);
});

test("the cascade escalates after a low rating and puts both attempts on one bill", async () => {
    const ask = (): Promise<HttpResponse> => deployment.chat("a-1", KEY, chatBody({ model: "auto" }));
    const answers: HttpResponse[] = [];
    for (let index = 0; index < 12; index++) {
        answers.push(await ask());
    }
    assert.ok(rater.ratingCount > 0, "answers were rated");
    assert.ok(answers.every(answer => answer.status === 200));
    assert.equal(answers.at(-1)?.headers["x-model"], "m");
    const { bills } = JSON.parse((await deployment.admin("a-1", "GET", "/admin/v1/billing")).body) as {
        bills: { id: string; items: { target: string; }[]; }[];
    };
    const billed = answers.map(answer => bills.filter(bill => bill.id === answer.headers["x-request-id"]));
    assert.ok(billed.every(items => items.length === 1));
    assert.ok(billed.some(([bill]) => bill?.items.length === 2), "an escalated answer itemises both attempts");
});

test("a caller that disconnects cancels the request on the engine, and its bill is marked incomplete", async () => {
    const controller = new AbortController();
    const sent = request(`${deployment.urls("a-1").callers}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${KEY}` },
        body: JSON.stringify(chatBody({ stream: true, messages: [{ role: "user", content: "going away" }] })),
        signal: controller.signal,
    });
    const answer = await sent;
    answer.body.on("error", () => undefined);
    await new Promise(resolve => answer.body.once("readable", resolve));
    assert.equal(engine.running, 1);
    controller.abort();
    await deployment.waitFor("the engine to stop", async () => engine.running === 0);
    const isIncomplete = async (): Promise<boolean> => {
        const { bills } = JSON.parse((await deployment.admin("a-1", "GET", "/admin/v1/billing")).body) as {
            bills: { id: string; isComplete: boolean; }[];
        };
        return bills.some(bill => bill.id === answer.headers["x-request-id"] && !bill.isComplete);
    };
    await deployment.waitFor("the incomplete bill", isIncomplete);
});

test("a request whose attempts all fail with status 503 is refused with the run state \"unknown\"", async () => {
    engine.errorStatus = 503;
    const refused = await deployment.chat("a-1", KEY, chatBody());
    engine.errorStatus = 0;
    assert.equal(problemOf(refused), "502 upstreamFailed unknown");
});
