/** Writes `record.txt` in the folder of a case: what was sent, answered and run, with the time since the start. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

export class RunRecord {
    constructor(folder) {
        this.file = join(folder, "record.txt");
        this.startedAt = Date.now();
        this.lines = [];
        this.note = this.note.bind(this);
    }

    note(what, details = {}) {
        const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3);
        this.lines.push(`${seconds.padStart(8)} ${what} ${JSON.stringify(details)}`);
    }

    write() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

/**
 * Plays a case and ends the process: with 1 if `play` resolves with broken rules, with 0 if with none, and with 2 if it could
 * not run.
 */
export const runCase = async (folder, play, limitMs = 110_000) => {
    const record = new RunRecord(folder);
    const hasTrouble = process.env.TROUBLE !== "0";
    record.note("the case begins", { trouble: hasTrouble });
    const cleanUps = [];
    let code = 2;
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.once(signal, () => process.exit(code));
    }
    const limit = new Promise((...[, reject]) => {
        setTimeout(() => reject(new Error("the case takes too long")), limitMs);
    });
    try {
        const broken = await Promise.race([play({ note: record.note, hasTrouble, cleanUps }), limit]);
        broken.forEach(item => record.note("BROKEN", item));
        code = broken.length > 0 ? 1 : 0;
        console.log(code === 1 ? `the rule was broken ${broken.length} times` : "the rule held");
    }
    catch (err) {
        record.note("the case could not run", { reason: err.message });
        console.log(`the case could not run: ${err.stack}`);
    }
    for (const cleanUp of cleanUps.reverse()) {
        await cleanUp();
    }
    record.note("the case ends", { code });
    record.write();
    process.exit(code);
};
