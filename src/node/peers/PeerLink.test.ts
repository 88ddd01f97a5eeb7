import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HoldableClock } from "../../../addons/fakes/HoldableClock.ts";
import { createLog } from "../log/Log.ts";
import { SystemClock } from "../time/SystemClock.ts";
import { PeerLink } from "./PeerLink.ts";
import { TcpNetwork } from "./TcpNetwork.ts";

const ADDRESS = { host: "127.0.0.1", port: 17_461 };
const TIMEOUT_MS = 60;
const REPLY_MS = 150;

const credentialsOf = (id: string): { deployment: string; id: string; secret: string; } => ({
    deployment: "d",
    id,
    secret: "a secret of the tests",
});

test("PeerLink: a reply that is read after its time limit is lost, also if the process was frozen meanwhile", async context => {
    const log = createLog("peer", "fatal");
    const network = new TcpNetwork(new SystemClock(), credentialsOf("b"), ADDRESS, {}, log);
    let delayMs = 0;
    network.handle("ping", async () => {
        await sleep(delayMs);
        return { members: [] };
    });
    await network.listen();
    context.after(() => network.dispose());
    const clock = new HoldableClock(new SystemClock());
    const link = new PeerLink(clock, credentialsOf("a"), "b", ADDRESS);
    context.after(() => link.dispose());
    assert.deepEqual(await link.call("ping", { members: [] }, 1000), { members: [] });
    delayMs = REPLY_MS;
    clock.hold(2 * REPLY_MS);
    await assert.rejects(link.call("ping", { members: [] }, TIMEOUT_MS), /no reply from b within 60 ms/);
});
