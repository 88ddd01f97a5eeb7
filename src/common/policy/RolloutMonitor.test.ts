import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryHub } from "../../../addons/fakes/MemoryNetwork.ts";
import { SeededRandom } from "../../../addons/fakes/SeededRandom.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { RolloutMonitor, type RolloutMonitorDependencies } from "./RolloutMonitor.ts";

const SETTLED = "m@v1";
const CANARY = "m@v2";
const REQUESTS_PER_SECOND = 100;
/** Time within which a version that fails half of its requests is withdrawn, in s. */
const WITHDRAWN_WITHIN_S = 20;

/** The leader and only instance of a deployment that rolls out the second version of a model. */
class Deployment extends DisposableOwner {
    /** Share of the requests on the second version that fail. */
    public failureRate = 0;
    public isWithdrawn = false;
    private readonly clock = new ManualClock(1_000_000);
    private readonly random = new SeededRandom(1);
    private readonly monitor: RolloutMonitor;

    public constructor() {
        super();
        const version = (key: string, share: number) => ({ key, model: "m", version: key.slice(2), share });
        const active = () => this.isWithdrawn ? [version(SETTLED, 95)] : [version(SETTLED, 95), version(CANARY, 5)];
        const self = { id: "c:1", start: 1, roles: ["control"] };
        // The parts that the monitor uses.
        const deps = {
            clock: this.clock,
            network: new MemoryHub(this.clock, () => 1).join("c:1", []),
            membership: { self, alive: () => [self] },
            follower: {
                table: {
                    allActiveVersions: active,
                    activeVersion: (key: string) => active().find(item => item.key === key),
                },
                configuration: { settled: { m: "v1" } },
            },
            client: {
                submit: async () => {
                    this.isWithdrawn = true;
                },
            },
            timeline: { record: () => undefined },
            isLeader: () => true,
        };
        this.monitor = this.register(new RolloutMonitor(deps as unknown as RolloutMonitorDependencies));
    }

    /** Serves requests until the second version is withdrawn; returns after how many seconds, undefined if it wasn't. */
    public async serve(seconds: number): Promise<number | undefined> {
        for (let second = 1; second <= seconds; second++) {
            for (let count = 0; count < REQUESTS_PER_SECOND; count++) {
                this.monitor.onOutcome(SETTLED, { isError: false, durationMs: 100 });
                if (!this.isWithdrawn && this.random.chance(0.2)) {
                    this.monitor.onOutcome(CANARY, { isError: this.random.chance(this.failureRate), durationMs: 100 });
                }
            }
            await this.clock.advanceSettled(1000, () => Promise.resolve());
            if (this.isWithdrawn) {
                return second;
            }
        }
        return undefined;
    }
}

const withDeployment = async (run: (deployment: Deployment) => Promise<void>): Promise<void> => {
    const deployment = new Deployment();
    await run(deployment);
    deployment.dispose();
};

// Bad answers without end: the leader took the second withdrawal of a version for one that was still under way.
test("RolloutMonitor: a version that was restored is withdrawn again if it is still bad", () =>
    withDeployment(async deployment => {
        deployment.failureRate = 0.5;
        for (let round = 0; round < 3; round++) {
            const seconds = await deployment.serve(WITHDRAWN_WITHIN_S);
            assert.notEqual(seconds, undefined, `round ${round}`);
            await deployment.serve(1);
            deployment.isWithdrawn = false;
        }
    }));

test("RolloutMonitor: a version that was mended and restored is not withdrawn for its old failures", () =>
    withDeployment(async deployment => {
        deployment.failureRate = 0.5;
        assert.notEqual(await deployment.serve(WITHDRAWN_WITHIN_S), undefined);
        await deployment.serve(1);
        deployment.failureRate = 0;
        deployment.isWithdrawn = false;
        assert.equal(await deployment.serve(60), undefined);
    }));
