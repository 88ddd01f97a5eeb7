import fc from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { accountRow, allowModel, domainRow, sheetText, versionRow } from "../../../addons/fakes/SheetText.ts";
import { readSheet } from "./SheetReader.ts";

const rows = [domainRow("a"), accountRow("x"), versionRow("m", "v1", 100), allowModel("x", "m")];

test("the example sheets of both users are read, with commas or semicolons", () => {
    for (const user of ["orchard", "kitahama"]) {
        const { sheet, faults } = readSheet(readFileSync(`examples/${user}/sheet.csv`, "utf8"));
        assert.deepEqual(faults, []);
        assert.equal(sheet?.number, 1);
        assert.equal(sheet?.accounts.length, 10);
        assert.equal(sheet?.domains.length, 4);
    }
});

test("decimal commas, a byte order mark and CRLF line ends are accepted", () => {
    const text = "\ufeff" + sheetText(3, rows).replaceAll(",", ";").replaceAll("0.9", "0,9").replaceAll("\n", "\r\n");
    const { sheet, faults } = readSheet(text);
    assert.deepEqual(faults, []);
    assert.equal(sheet?.versions[0]?.quality, 0.9);
});

test("all faults are reported together, with line and column, and no sheet is returned", () => {
    const text = sheetText(3, [
        ...rows,
        { record: "version", model: "m", version: "v2", share: "ten", cost: -1, quality: 0.9, state: "active" },
        { record: "domain", name: "b b", region: "demo", state: "in" },
        { record: "accuont", name: "y" },
    ]);
    const { sheet, faults } = readSheet(text);
    assert.equal(sheet, undefined);
    const places = faults.map(fault => `${fault.line} ${fault.column}`);
    assert.deepEqual(places.sort(), ["7 cost", "7 share", "8 name", "9 record"]);
});

test("rules that span rows are checked: shares, unique names, references", () => {
    const text = sheetText(3, [
        ...rows,
        versionRow("m", "v2", 5),
        domainRow("a"),
        allowModel("nobody", "m"),
        allowModel("x", "m", "v9"),
    ]);
    const messages = readSheet(text).faults.map(fault => `${fault.line} ${fault.column}: ${fault.message}`);
    assert.deepEqual(messages, [
        "5 share: shares of the active versions of \"m\" add up to 105, not 100",
        "8 name: \"a\" is already defined on line 3",
        "9 account: no row of this sheet defines \"nobody\"",
        "10 version: no row of this sheet defines version \"v9\" of \"m\"",
    ]);
});

test("reading any text returns either a sheet or faults", () => {
    const cell = fc.oneof(fc.string(), fc.constantFrom("sheet", "domain", "version", "a", "\"", ",", ";", "\n", "1"));
    fc.assert(
        fc.property(fc.array(fc.array(cell, { maxLength: 6 }), { maxLength: 8 }), lines => {
            const { sheet, faults } = readSheet(
                ["record,name,number", ...lines.map(line => line.join(","))].join("\n"),
            );
            assert.equal(sheet === undefined, faults.length > 0);
        }),
        { seed: 1, numRuns: 300 },
    );
});
