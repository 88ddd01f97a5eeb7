/**
 * `replay`: replays the traces under traces/ and compares the outcomes with the expected ones.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { replayTrace } from "../../addons/replay/TraceRunner.ts";
import { type Outcome, type Scenario } from "../Scenario.ts";

const FOLDER = new URL("../../traces", import.meta.url).pathname;

/** Maximum number of mismatches that are printed for one trace. */
const SHOWN = 3;

const run = async (): Promise<Outcome> => {
    const files = readdirSync(FOLDER).filter(file => file.endsWith(".jsonl")).sort();
    let mismatches = 0;
    for (const file of files) {
        const result = await replayTrace(readFileSync(join(FOLDER, file), "utf8"));
        result.mismatches.slice(0, SHOWN).forEach(line => console.error(`${file}: ${line}`));
        mismatches += result.mismatches.length;
    }
    return { violations: { mismatches }, figures: { traces: files.length } };
};

export const replay: Scenario = {
    name: "replay",
    summary: "the recorded traces against their expected outcomes; each trace has its own seed",
    isDeterministic: true,
    run,
};
