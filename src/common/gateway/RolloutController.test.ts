import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";
import { createUpstreamRecord } from "../../../addons/fakes/UpstreamRecords.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { repeat } from "../time/Clock.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { FleetState, latestRollout } from "./FleetState.ts";
import { followerReport } from "./FollowerReport.ts";
import { OutcomeCounters } from "./OutcomeCounters.ts";
import { RolloutController } from "./RolloutController.ts";
import { createRolloutSchedule } from "./RolloutPlan.ts";
import { SessionVersions } from "./SessionVersions.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";
import { versionRule } from "./VersionRule.ts";

const SERVICE = "s";
const DURATION_MS = 6000;
const REQUEST_INTERVAL_MS = 10;
const LATENCY_MS = 40;
const schedule = createRolloutSchedule(0.15);
const newSession = { lastVersion: undefined, isPinned: false };

/** A leader and an entry instance that serves requests, with upstreams of some versions, all without delays. */
class Deployment extends DisposableOwner {
    public readonly clock = new ManualClock(1_000_000);
    public readonly state = new FleetState();
    /** Versions that answer each request with a failure. */
    public readonly badVersions = new Set<string>();
    /** Requests by the version on which they ran. */
    public readonly served = new Map<string, number>();
    public confirmationAgeMs = 0;
    private readonly versions: readonly string[];
    private readonly counters = new OutcomeCounters();
    private readonly random = new SeededRandom(1);
    private index = 0;

    public constructor(...versions: readonly string[]) {
        super();
        const { clock, state, counters } = this;
        this.versions = versions;
        const directory = new UpstreamDirectory(clock);
        const sessions = new SessionVersions(clock, 0);
        versions.forEach((version, port) =>
            directory.merge(createUpstreamRecord({ id: version, service: SERVICE, port, version }), 0)
        );
        this.register(state.onChanged(({ rollouts }) => counters.startRollouts(rollouts, clock.boottime())));
        const controller = this.register(
            new RolloutController({
                clock,
                isLeader: () => true,
                fleet: () => state.fleet,
                confirmationAgeMs: () => this.confirmationAgeMs,
                directory,
                outcomes: () => [...followerReport(state.fleet, counters, sessions, schedule.canaryShare).outcomes],
                schedule,
                submit: async command => this.commit(command),
                onStep: () => undefined,
            }),
        );
        this.register(state.onChanged(() => controller.observe()));
        this.register(repeat(clock, REQUEST_INTERVAL_MS, () => this.serve()));
    }

    public get outcome(): string {
        const rollout = latestRollout(this.state.fleet, SERVICE);
        return `${rollout?.state} ${rollout?.target}`;
    }

    /** @param orderedAt time of day at the instance that received the order, in ms */
    public order(target: string, orderedAt = this.clock.now()): void {
        const newestKnownId = latestRollout(this.state.fleet, SERVICE)?.id ?? 0;
        const order = { kind: "startRollout", service: SERVICE, target, durationMs: DURATION_MS };
        this.commit({ ...order, orderedAt, newestKnownId });
    }

    public async run(ms: number): Promise<void> {
        await this.clock.advanceSettled(ms, async () => {
            await Promise.resolve();
        });
    }

    /** Orders a roll-out and returns what becomes of it. */
    public async rollOut(target: string): Promise<string> {
        this.order(target);
        await this.run(DURATION_MS);
        return this.outcome;
    }

    private commit(command: Record<string, unknown>): void {
        this.state.apply(command, ++this.index);
    }

    private serve(): void {
        const hasUpstream = (isWanted: (version: string) => boolean): boolean => this.versions.some(isWanted);
        const rule = versionRule(this.state.fleet, SERVICE, `${this.random.next()}`, newSession, hasUpstream);
        const allowed = this.versions.filter(version => rule.isAllowed(version));
        const preferred = allowed.filter(version => rule.isPreferred(version));
        const version = this.random.pick(preferred.length > 0 ? preferred : [...allowed, "none"]);
        this.served.set(version, (this.served.get(version) ?? 0) + 1);
        const isBad = this.badVersions.has(version);
        this.counters.record(SERVICE, version, "r", isBad, isBad ? undefined : LATENCY_MS);
    }
}

const withDeployment = async (
    versions: readonly string[],
    run: (deployment: Deployment) => Promise<void>,
): Promise<void> => {
    const deployment = new Deployment(...versions);
    await deployment.run(10_000);
    await run(deployment);
    deployment.dispose();
};

// EXPOSURE: what the version had answered while it was in use outweighed its failures, and it was completed.
test("a version that was good while it was in use is rolled back if it fails when it is rolled out again", () =>
    withDeployment(["v1", "v2"], async deployment => {
        assert.equal(await deployment.rollOut("v2"), "completed v2");
        await deployment.run(10_000);
        deployment.badVersions.add("v1");
        assert.equal(await deployment.rollOut("v1"), "rolledBack v1");
    }));

test("a version that was rolled back for its failures is completed once it is mended", () =>
    withDeployment(["v1", "v3"], async deployment => {
        deployment.badVersions.add("v3");
        assert.equal(await deployment.rollOut("v3"), "rolledBack v3");
        deployment.badVersions.delete("v3");
        assert.equal(await deployment.rollOut("v3"), "completed v3");
    }));

// EXPOSURE: the failures of a version that had been rolled back made those of the next bad one look usual.
test("a bad version is rolled back after another bad one", () =>
    withDeployment(["v1", "v3", "v4"], async deployment => {
        deployment.badVersions.add("v3").add("v4");
        assert.equal(await deployment.rollOut("v3"), "rolledBack v3");
        assert.equal(await deployment.rollOut("v4"), "rolledBack v4");
    }));

/** Runs for the time of a roll-out; returns the versions that served, and "none" if some requests found no upstream. */
const runAndList = async (deployment: Deployment): Promise<string[]> => {
    deployment.served.clear();
    await deployment.run(DURATION_MS);
    return [...deployment.served.keys()].sort();
};

// EXPOSURE: all requests moved to the version that was just being tried out.
test("an order back to the version in use ends the roll-out that is running", () =>
    withDeployment(["v1", "v2", "v3"], async deployment => {
        await deployment.rollOut("v2");
        deployment.order("v3");
        await deployment.run(DURATION_MS / 2);
        deployment.order("v2");
        assert.deepEqual(await runAndList(deployment), ["v2"]);
        assert.equal(deployment.outcome, "completed v2");
    }));

// LOST: no version was allowed until the canary phase, and too few requests in it.
test("an order to the version in use after a roll-out was rolled back refuses no request", () =>
    withDeployment(["v2", "v3"], async deployment => {
        await deployment.rollOut("v2");
        deployment.badVersions.add("v3");
        assert.equal(await deployment.rollOut("v3"), "rolledBack v3");
        deployment.order("v2");
        assert.deepEqual(await runAndList(deployment), ["v2"]);
        assert.equal(deployment.outcome, "completed v2");
    }));

test("an order to the first version of a service, which no roll-out has brought, refuses no request", () =>
    withDeployment(["v1", "v3"], async deployment => {
        deployment.order("v3");
        await deployment.run(DURATION_MS / 2);
        deployment.order("v1");
        assert.deepEqual(await runAndList(deployment), ["v1"]);
        assert.equal(deployment.outcome, "completed v1");
    }));

// EXPOSURE: the version of the first roll-out, which might be bad, counted among those in use.
test("a roll-out that another one replaces while it is running gets no more requests", () =>
    withDeployment(["v1", "v3", "v4"], async deployment => {
        deployment.order("v3");
        await deployment.run(DURATION_MS / 2);
        deployment.order("v4");
        assert.deepEqual(await runAndList(deployment), ["v1", "v4"]);
        assert.equal(deployment.outcome, "completed v4");
    }));

// EXPOSURE: upstreams of a version that is still to be rolled out got half of the requests.
test("after a roll-out was rolled back only the version in use serves", () =>
    withDeployment(["v1", "v2", "v3"], async deployment => {
        await deployment.rollOut("v1");
        deployment.badVersions.add("v3");
        assert.equal(await deployment.rollOut("v3"), "rolledBack v3");
        assert.deepEqual(await runAndList(deployment), ["v1"]);
    }));

// EXPOSURE: a roll-out was promoted and completed early when the clock of the instance that took the order was behind.
for (const skewMs of [-2400, 2400, -60_000]) {
    test(`a roll-out keeps its schedule if its order was taken by a clock that is ${skewMs} ms off`, () =>
        withDeployment(["v1", "v2"], async deployment => {
            deployment.order("v2", deployment.clock.now() + skewMs);
            await deployment.run(DURATION_MS * (schedule.promoteAt - 0.1));
            assert.equal(latestRollout(deployment.state.fleet, SERVICE)?.share, schedule.canaryShare);
            await deployment.run(DURATION_MS * (1.1 - schedule.promoteAt));
            assert.equal(deployment.outcome, "completed v2");
        }));
}

// The duty of a good version: half a second is left for the last check and for the commit.
test("a roll-out is completed at the first check after its time, whenever it was ordered between two checks", () =>
    withDeployment(["v1", "v2"], async deployment => {
        await deployment.run(1);
        deployment.order("v2");
        await deployment.run(DURATION_MS - 300);
        assert.equal(deployment.outcome, "completed v2");
    }));

test("an instance that was cut off when a roll-out was ordered takes it for no older than that cut", () =>
    withDeployment(["v1", "v2"], async deployment => {
        deployment.confirmationAgeMs = DURATION_MS;
        await deployment.run(DURATION_MS / 2);
        deployment.order("v2", 0);
        deployment.confirmationAgeMs = 0;
        await deployment.run(DURATION_MS * 0.3);
        assert.equal(latestRollout(deployment.state.fleet, SERVICE)?.share, schedule.canaryShare);
        await deployment.run(DURATION_MS * 0.4);
        assert.equal(deployment.outcome, "completed v2");
    }));
