import assert from "node:assert/strict";
import { test } from "node:test";
import { coldUpstreamsOf } from "../../../addons/fakes/ColdUpstreamsOf.ts";
import { createUpstreamRecord } from "../../../addons/fakes/UpstreamRecords.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { type ColdUpstreams, type MisjudgedSends } from "./ColdUpstreams.ts";
import { type Service } from "./GatewayConfig.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";
import { type ReceivedRecord } from "./UpstreamRecord.ts";

const COLD_MS = 3000;

const warm = createUpstreamRecord({ id: "u", domain: "here" });

const service: Service = {
    name: "s",
    maxConnections: 100,
    coldStartMs: COLD_MS,
    coldPerSecond: 11,
    engineSlots: 8,
    models: [],
};

const createSetup = (coldStartMs = COLD_MS) => {
    const clock = new ManualClock(100_000);
    const directory = new UpstreamDirectory(clock);
    const found: MisjudgedSends[] = [];
    const cold = coldUpstreamsOf(clock, directory, "e:1", {
        entries: () => ["e:1"],
        coldStartMs: () => coldStartMs,
        onMisjudged: sends => found.push(sends),
    });
    const received = (): ReceivedRecord => directory.get("u") as ReceivedRecord;
    const send = (): void => cold.recordSend(received());
    /** Whether a second request may follow the first at once. */
    const isUnlimited = (): boolean => {
        send();
        return cold.maySend(service, received());
    };
    directory.merge(warm, 0);
    return { clock, directory, cold, found, send, isUnlimited };
};

// Without this, an instance that takes a cold upstream for warm leaves no trace.
test("ColdUpstreams: counts the requests that went to an upstream while it was cold and counted as warm", () => {
    const { clock, directory, cold, found, send } = createSetup();
    send();
    clock.advance(1000);
    // Here it turns cold.
    clock.advance(40);
    send();
    clock.advance(60);
    send();
    clock.advance(100);
    const news = { ...warm, seq: 2, coldMs: COLD_MS - 180 };
    directory.merge(news, 20);
    assert.deepEqual(found, [{ record: news, requests: 2, firstAgeMs: 160 }]);
    directory.merge({ ...news, seq: 3, coldMs: COLD_MS - 200 }, 0);
    assert.equal(found.length, 1, "each request is counted once");
    cold.dispose();
});

test("ColdUpstreams: an upstream that may have turned cold is limited until its next check-in only", () => {
    const signs: ((cold: ColdUpstreams) => void)[] = [
        cold => cold.recordUnreached("u"),
        cold => [["here"], []].forEach(domains => cold.updateDrainedDomains(domains)),
    ];
    for (const giveSign of signs) {
        const { clock, directory, cold, isUnlimited } = createSetup();
        assert.equal(isUnlimited(), true);
        clock.advance(500);
        giveSign(cold);
        assert.equal(isUnlimited(), false);
        clock.advance(500);
        // It was sent before the sign.
        directory.merge({ ...warm, seq: 2 }, 600);
        assert.equal(isUnlimited(), false);
        directory.merge({ ...warm, seq: 3 }, 100);
        assert.equal(isUnlimited(), true);
        cold.dispose();
    }
});

test("ColdUpstreams: without a check-in, an upstream that may have turned cold counts as cold for one cold start", () => {
    for (const coldStartMs of [COLD_MS, 25_000]) {
        const { clock, cold, isUnlimited } = createSetup(coldStartMs);
        clock.advance(1);
        cold.recordUnreached("u");
        clock.advance(coldStartMs - 1);
        assert.equal(isUnlimited(), false);
        clock.advance(1);
        assert.equal(isUnlimited(), true);
        cold.dispose();
    }
});
