import assert from "node:assert/strict";
import { test } from "node:test";
import { Deployment } from "../../addons/fakes/Deployment.ts";
import { FakeEngine } from "../../addons/fakes/FakeEngine.ts";
import { accountRow, allowModel, domainRow, sheetText, versionRow } from "../../addons/fakes/SheetText.ts";
import { adminRoutes, describeAdminApi } from "./admin/AdminRoutes.ts";

const plans = [
    { id: "a-1", domain: "a", isControl: true },
    { id: "a-2", domain: "a", isControl: false },
    { id: "b-1", domain: "b", isControl: true },
    { id: "b-2", domain: "b", isControl: true },
];
const rows = [domainRow("a"), domainRow("b"), accountRow("x"), versionRow("m", "v1", 100), allowModel("x", "m")];

test("a planned stop answers requests in flight; a restarted instance applies the newest sheet", async context => {
    const deployment = new Deployment("stop");
    context.after(() => deployment.stop());
    await deployment.start(plans);
    await deployment.submitSheet("a-2", sheetText(1, rows));
    await deployment.waitForSheet(1);
    const versions = [{ model: "m", version: "v1" }];
    const engine = new FakeEngine({
        id: "e1",
        domain: "b",
        announceTo: deployment.announceUrls(),
        capacity: 32,
        versions,
        firstTokenMs: 400,
    });
    context.after(() => engine.stop());
    await engine.start("one");
    await deployment.waitForUpstreams(1);
    const body = { model: "m", messages: [{ role: "user", content: "hi" }] };
    await deployment.waitFor("an answer", async () => (await deployment.chat("b-1", "key-x", body)).status === 200);

    const startedBefore = engine.started;
    const inFlight = [...Array(5).keys()].map(() => deployment.chat("b-1", "key-x", body));
    await deployment.waitFor("all requests to run", async () => engine.started === startedBefore + inFlight.length);
    const stopped = deployment.stopInstance("b-1");
    assert.deepEqual((await Promise.all(inFlight)).map(answer => answer.status), [200, 200, 200, 200, 200]);
    await stopped;

    const next = await deployment.submitSheet("a-2", sheetText(2, rows));
    assert.equal(next.status, 200, "two of three voters can commit a sheet");
    await deployment.startInstance("b-1");
    await deployment.waitForSheet(2);
});

test("the admin API serves every route it documents, and only to operators with the required role", async context => {
    const deployment = new Deployment("admin");
    context.after(() => deployment.stop());
    await deployment.start([{ id: "a-1", domain: "a", isControl: true }]);
    await deployment.submitSheet(
        "a-1",
        sheetText(1, [
            ...rows,
            {
                record: "operator",
                name: "reader",
                role: "read",
                key_sha256: String(accountRow("reader")["key_sha256"]),
            },
        ]),
    );
    await deployment.waitForSheet(1);
    const { paths } = describeAdminApi("test") as { paths: Record<string, object>; };
    for (const route of Object.values(adminRoutes)) {
        assert.ok(route.method.toLowerCase() in (paths[route.path] ?? {}), route.path);
        const answer = await deployment.admin(
            "a-1",
            route.method,
            route.path,
            route.method === "POST" ? {} : undefined,
        );
        assert.ok(
            ![401, 404, 405, 500].includes(answer.status) || route.path.endsWith("/text"),
            `${route.path}: ${answer.status} ${answer.body}`,
        );
    }
    const asReader = await fetch(`${deployment.urls("a-1").admin}/admin/v1/drains`, {
        method: "POST",
        headers: { authorization: "Bearer key-reader" },
        body: JSON.stringify({ target: "domain", name: "a" }),
    });
    assert.equal(asReader.status, 403);
    const withoutKey = await fetch(`${deployment.urls("a-1").admin}/admin/v1/status`);
    assert.equal(withoutKey.status, 401);
});
