/** The record of a run: what was sent, answered and run, in the order of its times. */
import { writeFileSync } from "node:fs";

export class Record {
    constructor(folder) {
        this.file = `${folder}/record.txt`;
        this.startedAt = performance.now();
        this.lines = [];
    }

    add(text) {
        const ms = (performance.now() - this.startedAt).toFixed(1).padStart(9);
        this.lines.push(`${ms} ms  ${text}`);
    }

    save() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

/**
 * Runs a case and exits: with 1 if it returns a broken rule, with 0 if it returns none, with 2 if it can't run.
 *
 * @param run gets the record and whether the disruption takes place; resolves with the broken rules, as texts
 */
export const runCase = async (folder, run) => {
    const record = new Record(folder);
    const hasTrouble = process.env.TROUBLE !== "0";
    record.add(`TROUBLE=${hasTrouble ? 1 : 0}`);
    let code = 2;
    const giveUp = reason => {
        record.add(`could not run: ${reason}`);
        record.save();
        process.exit(2);
    };
    const limit = setTimeout(() => giveUp("it took too long"), 110_000);
    process.once("SIGTERM", () => giveUp("it was told to end"));
    process.once("SIGINT", () => giveUp("it was told to end"));
    try {
        const broken = await run(record, hasTrouble);
        broken.forEach(text => record.add(`BROKEN ${text}`));
        record.add(broken.length > 0 ? `result: ${broken.length} times broken` : "result: the rule held");
        code = broken.length > 0 ? 1 : 0;
    }
    catch (err) {
        record.add(`could not run: ${err.stack}`);
    }
    clearTimeout(limit);
    record.save();
    console.log(record.lines.at(-1));
    process.exit(code);
};
