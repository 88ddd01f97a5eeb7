/**
 * `skylarktide demo`: runs a small deployment in one process on loopback, and prints and checks each step.
 */
import { Deployment } from "../../addons/fakes/Deployment.ts";
import { FakeEngine } from "../../addons/fakes/FakeEngine.ts";
import { FakeService } from "../../addons/fakes/FakeService.ts";
import {
    accountRow,
    allowModel,
    allowService,
    callRow,
    domainRow,
    type Row,
    sheetText,
    versionRow,
} from "../../addons/fakes/SheetText.ts";
import { type AccountTotal } from "../common/billing/BillingLedger.ts";
import { type Problem } from "../common/errors/Problem.ts";
import { ExitCode, print } from "./Output.ts";

const FARM_KEY = "key-chinsurah-farm";
const SESSIONS = 40;

const sheetRows = (v7: number, v8: number, v8State = "active"): Row[] => [
    domainRow("hooghly-a"),
    domainRow("nadia-b"),
    accountRow("chinsurah-farm", 2),
    accountRow("roster-phone", 1),
    versionRow("krishi-llm", "v7", v7, 1, 0.86),
    versionRow("krishi-llm", "v8", v8, 1.1, 0.9, v8State),
    { record: "service", name: "booking-app", cost: 0.01 },
    callRow("booking-app", "POST", "/bookings", "no"),
    allowModel("chinsurah-farm", "krishi-llm"),
    allowModel("roster-phone", "krishi-llm", "v7"),
    allowService("chinsurah-farm", "booking-app"),
];

/** Runs the demo. The exit code is 1 when a step failed. */
export const demo = async (): Promise<void> => {
    const run = new DemoRun();
    try {
        await run.runAll();
    }
    finally {
        await run.stop();
    }
    print(run.failures === 0 ? "\nAll steps succeeded." : `\n${run.failures} step(s) failed.`);
    process.exit(run.failures === 0 ? ExitCode.Done : ExitCode.Failed);
};

class DemoRun {
    public failures = 0;
    private readonly deployment = new Deployment("demo");
    private readonly engines: FakeEngine[] = [];
    private booking: FakeService | undefined;

    public async runAll(): Promise<void> {
        await this.startAll();
        await this.answerRequests();
        await this.shiftTraffic();
        await this.withdrawVersion();
        await this.failUpstreamsMidStream();
        await this.bookOnce();
        await this.rejectSheets();
        await this.drainDomain();
        await this.showBills();
    }

    public async stop(): Promise<void> {
        this.engines.forEach(engine => engine.stop());
        this.booking?.stop();
        await this.deployment.stop();
    }

    private async startAll(): Promise<void> {
        this.section("Four instances in two failure domains start, three of them as voters of the control log");
        await this.deployment.start([
            { id: "hooghly-a-1", domain: "hooghly-a", isControl: true },
            { id: "hooghly-a-2", domain: "hooghly-a", isControl: false },
            { id: "nadia-b-1", domain: "nadia-b", isControl: true },
            { id: "nadia-b-2", domain: "nadia-b", isControl: true },
        ]);
        const answer = await this.deployment.submitSheet("hooghly-a-2", sheetText(1, sheetRows(100, 0)));
        this.reportStep(`sheet 1 is submitted at hooghly-a-2: ${state(answer.body)}`, answer.status === 200);
        await this.deployment.waitForSheet(1);
        for (const [index, domain] of ["hooghly-a", "hooghly-a", "nadia-b", "nadia-b"].entries()) {
            await this.startEngine(`engine-${index + 1}`, domain);
        }
        const announceTo = this.deployment.announceUrls();
        this.booking = new FakeService({
            id: "booking-1",
            domain: "nadia-b",
            announceTo,
            capacity: 16,
            service: "booking-app",
        });
        await this.booking.start("start-1");
        await this.deployment.waitForUpstreams(5);
        this.reportStep("four engines and one booking service have announced themselves", true);
    }

    private async startEngine(id: string, domain: string): Promise<void> {
        const versions = ["v7", "v8"].map(version => ({ model: "krishi-llm", version }));
        const announceTo = this.deployment.announceUrls();
        const engine = new FakeEngine({
            id,
            domain,
            announceTo,
            capacity: 16,
            versions,
            firstTokenMs: 10,
            tokenMs: 5,
            resumesStreams: true,
        });
        await engine.start("start-1");
        this.engines.push(engine);
    }

    private async answerRequests(): Promise<void> {
        this.section("Callers send requests");
        const answer = await this.sendChat("hooghly-a-1", "s-1");
        this.reportStep(
            `an unstreamed answer from ${answer.headers["x-model"]}@${answer.headers["x-model-version"]}`,
            answer.status === 200,
        );
        const body = {
            model: "krishi-llm",
            stream: true,
            messages: [{ role: "user", content: "Which rows are ripe?" }],
        };
        const stream = await this.deployment.chat("nadia-b-1", FARM_KEY, body);
        this.reportStep(
            `a streamed answer, ended by ${stream.body.trimEnd().split("\n").at(-1)}`,
            stream.body.endsWith("data: [DONE]\n\n"),
        );
        const disallowed = { model: "krishi-llm@v8", messages: [{ role: "user", content: "Hello" }] };
        const refused = await this.deployment.chat("nadia-b-2", "key-roster-phone", disallowed);
        this.reportStep(
            `roster-phone requests v8, which it may not use: ${problem(refused.body)}`,
            refused.status === 403,
        );
    }

    private async shiftTraffic(): Promise<void> {
        this.section("Half of the traffic of krishi-llm moves to v8; sessions that began on v7 stay on v7");
        const before = await this.versionsOfSessions();
        await this.deployment.submitSheet("nadia-b-1", sheetText(2, sheetRows(50, 50)));
        await this.deployment.waitForSheet(2);
        const after = await this.versionsOfSessions();
        const isUnchanged = before.every((version, index) => version === after[index]);
        this.reportStep(
            `${SESSIONS} sessions continue on random instances, all on the same version as before`,
            isUnchanged,
        );
        const newSessionAnswers = await Promise.all(
            [...Array(SESSIONS).keys()].map(index => this.sendChat("nadia-b-2", `new-${index}`)),
        );
        const onV8 = newSessionAnswers.filter(answer => answer.headers["x-model-version"] === "v8").length;
        this.reportStep(`of ${SESSIONS} new sessions ${onV8} run on v8`, onV8 > 0 && onV8 < SESSIONS);
    }

    private async versionsOfSessions(): Promise<string[]> {
        const ids = ["hooghly-a-1", "hooghly-a-2", "nadia-b-1", "nadia-b-2"];
        const answers = await Promise.all(
            [...Array(SESSIONS).keys()].map(index =>
                this.sendChat(ids[Math.floor(Math.random() * ids.length)] ?? "", `old-${index}`)
            ),
        );
        return answers.map(answer => String(answer.headers["x-model-version"]));
    }

    private async withdrawVersion(): Promise<void> {
        this.section("v8 is withdrawn; its sessions move to v7, and the answers say so");
        const session = await this.findSession("v8");
        await this.deployment.submitSheet("hooghly-a-1", sheetText(3, sheetRows(100, 0, "withdrawn")));
        await this.deployment.waitForSheet(3);
        const moved = await this.sendChat("hooghly-a-2", session);
        const from = moved.headers["x-session-moved-from"];
        this.reportStep(
            `session ${session} now runs on ${moved.headers["x-model-version"]}, moved from ${from}`,
            from === "krishi-llm@v8",
        );
    }

    private async findSession(version: string): Promise<string> {
        for (let index = 0;; index++) {
            const session = `new-${index}`;
            const answer = await this.sendChat("nadia-b-2", session);
            if (answer.headers["x-model-version"] === version || index > SESSIONS) {
                return session;
            }
        }
    }

    private async failUpstreamsMidStream(): Promise<void> {
        this.section("Streams fail before their end");
        for (const engine of this.engines) {
            engine.breakAfterTokens = 3;
            engine.remainingBreaks = 1;
        }
        const body = {
            model: "krishi-llm",
            stream: true,
            messages: [{ role: "user", content: "Tell me about guava" }],
        };
        const resumed = await this.deployment.chat("hooghly-a-1", FARM_KEY, body);
        const tokens = resumed.body.split("\n").filter(line => line.includes("\"delta\"")).length;
        this.reportStep(
            `the connection breaks after 3 tokens and the stream is resumed: ${tokens} tokens arrive`,
            tokens === 8,
        );
        const interrupted = this.deployment.chat("hooghly-a-1", FARM_KEY, body).then(
            () => "a truncated success",
            () => "an error, not a truncated success",
        );
        await new Promise(resolve => setTimeout(resolve, 30));
        this.engines.forEach(engine => engine.crash());
        const received = await interrupted;
        this.reportStep(
            `all engines crash during a stream: the caller receives ${received}`,
            received.startsWith("an error"),
        );
        await Promise.all(this.engines.map(engine => engine.start("start-2")));
        await this.deployment.waitFor(
            "an answer",
            async () => (await this.sendChat("hooghly-a-1", "s-1")).status === 200,
        );
        this.reportStep("the engines restart, and requests are answered again", true);
    }

    private async bookOnce(): Promise<void> {
        this.section("A booking is sent, and repeated on other instances with the same idempotency key");
        const slot = { row: 12, slot: "06:30" };
        const headers = { "idempotency-key": "booking-77" };
        const path = "booking-app/bookings";
        const first = await this.deployment.call("nadia-b-1", FARM_KEY, "POST", path, headers, slot);
        const again = await this.deployment.call("hooghly-a-2", FARM_KEY, "POST", path, headers, slot);
        const other = await this.deployment.call("hooghly-a-1", FARM_KEY, "POST", path, headers, {
            row: 13,
            slot: "06:30",
        });
        const runs = this.booking?.executedBodies.length;
        this.reportStep(
            `it ran ${runs} time(s); the repetition received the recorded answer`,
            runs === 1 && first.body === again.body,
        );
        this.reportStep(`the same key with another body: ${problem(other.body)}`, other.status === 409);
    }

    private async rejectSheets(): Promise<void> {
        this.section("An invalid sheet and a conflicting one are rejected, and no part of them is applied");
        const invalid = sheetText(4, [...sheetRows(60, 60), domainRow("hooghly a")]);
        const refused = await this.deployment.submitSheet("nadia-b-1", invalid);
        this.reportStep(`sheet 4 is invalid: ${problem(refused.body).replaceAll("\n", "; ")}`, refused.status === 422);
        const conflicting = await this.deployment.submitSheet("nadia-b-2", sheetText(3, sheetRows(90, 10)));
        this.reportStep(`a second sheet 3: ${problem(conflicting.body)}`, conflicting.status === 409);
    }

    private async drainDomain(): Promise<void> {
        this.section("Failure domain hooghly-a is drained");
        const body = { target: "domain", name: "hooghly-a", reason: "demo" };
        await this.deployment.admin("nadia-b-1", "POST", "/admin/v1/drains", body);
        await new Promise(resolve => setTimeout(resolve, 1500));
        const drainedEngines = this.engines.filter(engine => engine.options.domain === "hooghly-a");
        const before = drainedEngines.reduce((sum, engine) => sum + engine.started, 0);
        const answers = await Promise.all(
            [...Array(20).keys()].map(index => this.sendChat("hooghly-a-1", `drain-${index}`)),
        );
        const after = drainedEngines.reduce((sum, engine) => sum + engine.started, 0);
        const served = answers.filter(answer => answer.status === 200).length;
        this.reportStep(
            `20 requests: ${served} answered, ${after - before} on engines in hooghly-a`,
            served === 20 && after === before,
        );
    }

    private async showBills(): Promise<void> {
        this.section("The bills");
        await new Promise(resolve => setTimeout(resolve, 300));
        const answer = await this.deployment.admin("nadia-b-1", "GET", "/admin/v1/billing");
        const { totals } = JSON.parse(answer.body) as { totals: AccountTotal[]; };
        for (const total of totals) {
            this.reportStep(
                `${total.account}: ${total.bills} bills, ${total.tokens} tokens, cost ${total.cost.toFixed(3)}`,
                total.bills > 0,
            );
        }
    }

    private sendChat(instance: string, session: string): ReturnType<Deployment["chat"]> {
        const body = { model: "krishi-llm", messages: [{ role: "user", content: "Plan my picking day" }] };
        return this.deployment.chat(instance, FARM_KEY, body, { "x-session-id": session });
    }

    private section(title: string): void {
        print(`\n${title}.`);
    }

    private reportStep(text: string, isExpected: boolean): void {
        print(`  ${isExpected ? "ok  " : "FAIL"} ${text}`);
        this.failures += isExpected ? 0 : 1;
    }
}

const state = (body: string): string => (JSON.parse(body) as { state: string; }).state;

const problem = (body: string): string => {
    const { code, run, detail } = JSON.parse(body) as Problem;
    return `${code} (${run}): ${detail}`;
};
