/**
 * `skylarktide replay`: replays a trace and compares the outcomes with those that it expects.
 */
import { replayTrace } from "../../addons/replay/TraceRunner.ts";
import { readText } from "./Check.ts";
import { ExitCode, fail, print, printJson } from "./Output.ts";

/** Replays `file`. The exit code is 1 when an outcome is not as expected, 2 when the trace is invalid. */
export const replay = async (file: string, isJson: boolean): Promise<void> => {
    const text = readText(file);
    const result = await replayTrace(text).catch((err: unknown) => {
        const lines = (err as Error).message.split("\n").map(line => `${file}:${line}`);
        return fail(lines.join("\n"), ExitCode.BadInput);
    });
    if (isJson) {
        printJson({ file, ...result });
    }
    else {
        result.mismatches.forEach(line => print(`${file}: ${line}`));
        print(
            `${file}: ${result.about}: ${
                result.mismatches.length === 0 ? "as stated" : `${result.mismatches.length} mismatches`
            }`,
        );
    }
    process.exitCode = result.mismatches.length === 0 ? ExitCode.Done : ExitCode.Failed;
};
