import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../time/Clock.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { UpstreamPaths, UpstreamUnreachableError } from "./UpstreamPaths.ts";

const LINK_MS = 1;
/** Time-outs of connection attempts, directly and by a relay, in ms. */
const DIRECT_TIMEOUT_MS = 600;
const RELAY_TIMEOUT_MS = 250;
/** Time after which all attempts are over, in ms. */
const ATTEMPTS_MS = 5000;

/** An instance and upstreams that may answer no connection attempts for a while. */
interface Network {
    /** Whether this instance's packets reach the upstreams. */
    hasPath: boolean;
    /** Time from which the upstreams answer connection attempts, in ms. */
    acceptsFrom: number;
}

/** Lets pending promises continue. */
const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const start = (
    network: Network,
): { clock: ManualClock; paths: UpstreamPaths<string>; lost: (string | undefined)[]; } => {
    const clock = new ManualClock(0);
    const lost: (string | undefined)[] = [];
    // The operating system repeats an attempt that isn't answered after its time-out only.
    const connect = async (from: string, timeoutMs: number): Promise<string> => {
        const isAnswered = clock.monotonic() >= network.acceptsFrom && (from !== "direct" || network.hasPath);
        await sleep(clock, isAnswered ? LINK_MS : timeoutMs);
        return isAnswered ? from : Promise.reject(new Error("the connection timed out"));
    };
    const paths = new UpstreamPaths<string>({
        clock,
        self: "e:1",
        entries: () => ["e:1", "e:2", "e:3"],
        dialDirect: () => connect("direct", DIRECT_TIMEOUT_MS),
        dialThrough: async relay => {
            await sleep(clock, 2 * LINK_MS);
            return connect(relay, RELAY_TIMEOUT_MS).catch(() => Promise.reject(new UpstreamUnreachableError()));
        },
        discard: () => undefined,
        onLost: address => lost.push(address),
        onRelayFailed: () => undefined,
    });
    return { clock, paths, lost };
};

/** Checks the paths as often as silence lasts, and dials now and then; resolves with the dialed connections. */
const play = async (network: Network, ms: number): Promise<{ lost: unknown[]; dialed: string[]; }> => {
    const { clock, paths, lost } = start(network);
    const dialed: Promise<string>[] = [];
    while (clock.monotonic() < ms) {
        void paths.check("u:1");
        const dial = paths.dial(`u:${dialed.length % 3}`);
        dialed.push(dial.then(({ relay }) => relay === undefined ? "direct" : "relayed", () => "failed"));
        await clock.advanceSettled(40, settle);
    }
    await clock.advanceSettled(ATTEMPTS_MS, settle);
    return { lost, dialed: await Promise.all(dialed) };
};

test("UpstreamPaths: no path is lost while all upstreams are silent, but accept connections", async () => {
    const { lost, dialed } = await play({ hasPath: true, acceptsFrom: 0 }, 1800);
    assert.deepEqual(lost, []);
    assert.ok(dialed.every(path => path === "direct"));
});

test("UpstreamPaths: all paths are lost when only other instances reach the upstreams", async () => {
    const { lost, dialed } = await play({ hasPath: false, acceptsFrom: 0 }, 1800);
    assert.equal(lost.includes(undefined), true);
    assert.ok(dialed.every(path => path === "relayed"));
});

// The repeated direct attempts, and then a first one of a relay, arrive when the upstreams accept connections again.
test("UpstreamPaths: no path is lost when upstreams accept connections again after a second", async () => {
    const mistaken: number[] = [];
    for (let acceptsFrom = 800; acceptsFrom <= 1800; acceptsFrom += 25) {
        const { lost, dialed } = await play({ hasPath: true, acceptsFrom }, 2500);
        if (lost.length > 0) {
            mistaken.push(acceptsFrom);
        }
        assert.notEqual(dialed.at(-1), "failed");
    }
    assert.deepEqual(mistaken, []);
});
