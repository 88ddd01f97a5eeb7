import assert from "node:assert/strict";
import { test } from "node:test";
import { coldUpstreamsOf } from "../../../addons/fakes/ColdUpstreamsOf.ts";
import { ManualClock } from "../time/ManualClock.ts";
import { AttemptLoad } from "./AttemptLoad.ts";
import { emptyFleet } from "./FleetState.ts";
import { type Service } from "./GatewayConfig.ts";
import { UpstreamDirectory } from "./UpstreamDirectory.ts";
import { subsetSize, UpstreamIndex } from "./UpstreamIndex.ts";
import { UpstreamPauses } from "./UpstreamPauses.ts";
import { processName, type UpstreamRecord } from "./UpstreamRecord.ts";
import { type SelectionRequest, UpstreamSelector } from "./UpstreamSelector.ts";
import { UpstreamStatistics } from "./UpstreamStatistics.ts";

const ENTRIES = 60;
const ENGINES = 63;
const DOMAINS = 4;
const SLOTS = 24;
const TOKENS = 830;

const service: Service = {
    name: "s",
    maxConnections: 680,
    coldStartMs: 0,
    coldPerSecond: 0,
    engineSlots: SLOTS,
    models: [],
};

const recordOf = (index: number): UpstreamRecord => ({
    id: `u${index}`,
    start: 1,
    seq: 1,
    service: "s",
    host: "h",
    port: index + 1,
    domain: `d${index % DOMAINS}`,
    version: "v1",
    slots: SLOTS,
    state: "ready",
    coldMs: 0,
});

const indexes = [...Array(ENGINES).keys()];
const nameOf = (index: number): string => processName(recordOf(index));

const createDirectory = (clock: ManualClock, lost?: number): UpstreamDirectory => {
    const directory = new UpstreamDirectory(clock);
    indexes.filter(index => index !== lost).forEach(index => directory.merge(recordOf(index), 0));
    return directory;
};

const subsetOf = (entry: number, entries: number, lost?: number): string[] =>
    new UpstreamIndex(createDirectory(new ManualClock(0), lost), `e:${entry}`, `d${entry % DOMAINS}`)
        .upstreamsOf("s").ordered.slice(0, subsetSize(ENGINES, entries)).map(({ name }) => name);

// Guards against engines that no instance uses, or many do.
test("UpstreamIndex: the subsets of few and many instances cover all engines", () => {
    for (const entries of [8, 61]) {
        const subsets = [...Array(entries).keys()].map(entry => subsetOf(entry, entries));
        const counts = indexes.map(index => subsets.filter(subset => subset.includes(nameOf(index))).length);
        const mean = counts.reduce((sum, count) => sum + count, 0) / ENGINES;
        assert.ok(
            Math.min(...counts) >= 1 && Math.max(...counts) <= 2 * mean,
            `instances by engine ${counts.join(" ")}`,
        );
    }
});

// Guards against subsets that are drawn anew, with new connections, when one engine leaves.
test("UpstreamIndex: the subsets change little when an engine leaves, and not at all when an instance does", () => {
    const added = [...Array(ENTRIES).keys()].map(entry => {
        const before = subsetOf(entry, ENTRIES);
        assert.deepEqual(subsetOf(entry, ENTRIES - 1), before);
        return subsetOf(entry, ENTRIES, 7).filter(name => !before.includes(name)).length;
    });
    const mean = added.reduce((sum, count) => sum + count, 0) / ENTRIES;
    assert.ok(mean <= 1, `${mean} engines are new in a subset on average`);
});

interface Entry {
    readonly stats: UpstreamStatistics;
    readonly selector: UpstreamSelector;
}

const createEntry = (clock: ManualClock, directory: UpstreamDirectory, index: number): Entry => {
    const stats = new UpstreamStatistics(clock);
    const self = `e:${index}`;
    const selector = new UpstreamSelector({
        clock,
        directory,
        upstreamStats: stats,
        domain: `d${index % DOMAINS}`,
        fleet: () => emptyFleet,
        self,
        entryCount: () => ENTRIES,
        hasQuorumContact: () => true,
        cold: coldUpstreamsOf(clock, directory, self),
        isLimitUsedUp: () => false,
        isLeaving: () => false,
        pauses: new UpstreamPauses(clock, self),
        hasIdleConnection: () => false,
    });
    return { stats, selector };
};

const requestOf = (key: string, tried: ReadonlySet<string> = new Set()): SelectionRequest => ({
    service,
    rule: { isAllowed: () => true, isPreferred: () => true },
    prompt: { tokens: TOKENS, maxOutput: 100, segments: [] },
    key,
    tried,
    model: "m",
});

const reportLoad = ({ stats }: Entry, runningOf: (index: number) => number): void =>
    indexes.forEach(index => {
        const load = { running: runningOf(index), waiting: 0, slots: SLOTS, slowdown: 1 };
        stats.recordLoad(nameOf(index), stats.statsOf(nameOf(index)), "s", load);
    });

// Guards against a herd: all instances read in the same outdated reports that the same engines are idle.
test("paced placement: instances with the same outdated reports spread their requests", () => {
    const clock = new ManualClock(1000);
    const directory = createDirectory(clock);
    const runningOf = (index: number): number => index % 6 === 0 ? 2 : 10;
    const entries = [...Array(ENTRIES).keys()].map(index => createEntry(clock, directory, index));
    entries.forEach(entry => reportLoad(entry, runningOf));
    clock.advance(500);
    const sent = new Map<string, number>();
    for (let round = 0; round < 5; round++) {
        entries.forEach(({ selector, stats }, index) => {
            const selection = selector.select(requestOf(`${round}-${index}`));
            assert.ok(selection !== undefined);
            sent.set(selection.name, (sent.get(selection.name) ?? 0) + 1);
            new AttemptLoad(clock, stats, selection, TOKENS).recordHead();
        });
        clock.advance(50);
    }
    const total = indexes.map(index => runningOf(index) + (sent.get(nameOf(index)) ?? 0));
    const mean = total.reduce((sum, count) => sum + count, 0) / ENGINES;
    assert.ok(Math.max(...total) < 2 * mean, `${Math.max(...total)} requests at one engine, on average ${mean}`);
});

// Guards against requests that are refused although an engine beyond the compared ones has room.
test("paced placement: every engine is found when the others have failed the request or are paused", () => {
    const clock = new ManualClock(1000);
    const entry = createEntry(clock, createDirectory(clock), 0);
    reportLoad(entry, () => 1);
    const tried = new Set<string>();
    for (let count = 0; count < ENGINES; count++) {
        const selection = entry.selector.select(requestOf("r", tried));
        assert.ok(selection !== undefined, `none is found after ${count}`);
        tried.add(selection.name);
    }
    assert.equal(entry.selector.select(requestOf("r", tried)), undefined);
});
