import assert from "node:assert/strict";
import { existsSync, readFileSync } from "node:fs";
import { test } from "node:test";

const capturesIn = (file: string, pattern: RegExp): string[] =>
    [...readFileSync(file, "utf8").matchAll(pattern)].map(match => match[1] ?? "");

test("every page that the status or an alert refers to exists and has its four sections", () => {
    const pages = [
        ...capturesIn("src/node/admin/Status.ts", /page: "([^"]+)"/g),
        ...capturesIn("docs/operators/alerts.yml", /page: docs\/operators\/(\S+)/g),
    ];
    assert.ok(pages.length > 10);
    for (const page of pages) {
        const file = `docs/operators/${page}`;
        assert.ok(existsSync(file), file);
        const text = readFileSync(file, "utf8");
        for (
            const heading of [
                "## How it looks",
                "## What the system does",
                "## What to do",
                "## How to see that it is over",
            ]
        ) {
            assert.ok(text.includes(heading), `${file}: ${heading}`);
        }
    }
});

test("every metric that an alert uses exists", () => {
    const metrics = readFileSync("src/node/metrics/Metrics.ts", "utf8");
    for (const name of capturesIn("docs/operators/alerts.yml", /(skylarktide_[a-z_]+?)(?:_bucket)?[{\s[(<>=]/g)) {
        assert.ok(metrics.includes(`"${name}"`), name);
    }
});
