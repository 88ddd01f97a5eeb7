import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { test } from "node:test";
import { accountRow, sheetText } from "../../../addons/fakes/SheetText.ts";
import { emptyConfiguration } from "../../common/configuration/Configuration.ts";
import { RoutingTable } from "../../common/configuration/RoutingTable.ts";
import { isRouterError } from "../../common/errors/RouterError.ts";
import { readSheet } from "../../common/sheet/SheetReader.ts";
import { ManualClock } from "../../common/time/ManualClock.ts";
import { RequestContext } from "./RequestContext.ts";

const { sheet } = readSheet(sheetText(1, [accountRow("x")]));
const table = new RoutingTable({ ...emptyConfiguration, revision: 1, sheet });

const contextOf = (clock: ManualClock, headers: Record<string, string>, requireDeadline: boolean): RequestContext => {
    const req = { headers: { authorization: "Bearer key-x", ...headers } } as unknown as IncomingMessage;
    const res = new EventEmitter() as unknown as ServerResponse;
    return new RequestContext("r", req, res, clock, table, { defaultDeadlineMs: 1000, requireDeadline });
};

test("a request without a deadline is refused when the settings require one", () => {
    assert.throws(
        () => contextOf(new ManualClock(), {}, true),
        (err: unknown) => isRouterError(err) && err.code === "missingDeadline",
    );
});

test("the deadline aborts the request and is capped at the longest allowed", () => {
    const clock = new ManualClock();
    const ctx = contextOf(clock, { "x-request-deadline-ms": "999999999" }, false);
    assert.equal(ctx.remainingMs, 120_000);
    const short = contextOf(clock, { "x-request-deadline-ms": "50" }, true);
    clock.advance(49);
    assert.equal(short.signal.aborted, false);
    clock.advance(1);
    assert.ok(short.signal.aborted && short.isDeadlinePassed);
});

test("a disposed context leaves no timer that could abort the request later", () => {
    const clock = new ManualClock();
    const ctx = contextOf(clock, {}, false);
    ctx.dispose();
    clock.advance(5000);
    assert.equal(ctx.signal.aborted, false);
});
