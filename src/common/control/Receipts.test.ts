import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../time/ManualClock.ts";
import { Receipts } from "./Receipts.ts";

test("a receipt tells when it was issued, and only to the process that issued it", () => {
    const clock = new ManualClock(1000);
    const receipts = new Receipts(clock);
    clock.advance(250);
    const receipt = receipts.issue();
    clock.advance(4000);
    assert.equal(receipts.issuedAt(receipt), 1250);
    assert.equal(new Receipts(clock).issuedAt(receipt), undefined);
    assert.equal(receipts.issuedAt(undefined), undefined);
});

test("a receipt that can't be read proves nothing", () => {
    const receipts = new Receipts(new ManualClock(1000));
    for (const receipt of ["", "1000", "1000 ", "1000 x", "1000 Infinity", "1000 1e999"]) {
        assert.equal(receipts.issuedAt(receipt), undefined, receipt);
    }
});
