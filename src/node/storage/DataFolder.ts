/**
 * The data folder of an instance. It is locked by one process at a time and bound to one deployment, one instance and
 * one version of the file format; a mismatch is an error that names both values.
 */
import { open, readFile, rename, unlink } from "node:fs/promises";
import { join } from "node:path";
import * as z from "zod";
import { routerError } from "../../common/errors/RouterError.ts";
import { makeFolder, readIfPresent, replaceFile } from "./Files.ts";

/** Version of the file format in the folder. */
const FORMAT_VERSION = 1;
const FORMAT_FILE = "format.json";
const LOCK_FILE = "lock";
/** Index of the start time among the fields of /proc/PID/stat that follow the command name. */
const START_TIME_FIELD = 19;

const formatSchema = z.object({ version: z.number(), deployment: z.string(), instance: z.string() });
const lockSchema = z.object({ pid: z.number(), start: z.string() });

/** A data folder that is locked by this process. */
export class DataFolder {
    public readonly path: string;

    private constructor(path: string) {
        this.path = path;
    }

    /**
     * Locks the folder and creates it if needed. Rejects when it is in use, or has another deployment, instance or
     * format version.
     */
    public static async acquire(path: string, deployment: string, instance: string): Promise<DataFolder> {
        await makeFolder(path);
        await acquireLock(join(path, LOCK_FILE));
        await checkFormat(join(path, FORMAT_FILE), deployment, instance);
        return new DataFolder(path);
    }

    /** Path of the subfolder `name`, which is created if needed. */
    public async subfolder(name: string): Promise<string> {
        const path = join(this.path, name);
        await makeFolder(path);
        return path;
    }

    /** Unlocks the folder. */
    public async release(): Promise<void> {
        await unlink(join(this.path, LOCK_FILE)).catch(() => undefined);
    }
}

const acquireLock = async (file: string): Promise<void> => {
    const holder = await lockHolder(file);
    if (holder !== undefined) {
        throw routerError(`the data folder is in use by process ${holder}`, { code: "internal", step: `lock ${file}` });
    }
    // Renames a stale lock away first, so that only one of two processes that start at once gets the lock.
    await rename(file, `${file}.${process.pid}`).then(() => unlink(`${file}.${process.pid}`), () => undefined);
    const handle = await open(file, "wx").catch((err: unknown) => {
        throw routerError("another process has just locked the data folder", {
            code: "internal",
            step: `lock ${file}`,
            cause: err,
        });
    });
    await handle.writeFile(JSON.stringify({ pid: process.pid, start: await startTime(process.pid) }));
    await handle.close();
};

/** Id of the running process that holds the lock; undefined when the lock is free or stale. */
const lockHolder = async (file: string): Promise<number | undefined> => {
    const content = await readIfPresent(file);
    if (content === undefined || content.length === 0) {
        return undefined;
    }
    const { pid, start } = lockSchema.parse(JSON.parse(content.toString("utf8")));
    const isRunning = pid !== process.pid && await startTime(pid) === start;
    return isRunning ? pid : undefined;
};

/** Start time of a process in clock ticks; empty if it does not run. It distinguishes processes that reuse an id. */
const startTime = async (pid: number): Promise<string> => {
    try {
        const stat = await readFile(`/proc/${pid}/stat`, "utf8");
        return stat.slice(stat.lastIndexOf(")") + 2).split(" ")[START_TIME_FIELD] ?? "";
    }
    catch {
        return "";
    }
};

const checkFormat = async (file: string, deployment: string, instance: string): Promise<void> => {
    const expected = { version: FORMAT_VERSION, deployment, instance };
    const content = await readIfPresent(file);
    if (content === undefined) {
        await replaceFile(file, JSON.stringify(expected));
        return;
    }
    const found = formatSchema.parse(JSON.parse(content.toString("utf8")));
    for (const key of ["version", "deployment", "instance"] as const) {
        if (found[key] !== expected[key]) {
            const message = `the data folder has ${key} "${found[key]}", but this instance has "${expected[key]}"`;
            throw routerError(message, { code: "internal", step: `check ${file}` });
        }
    }
};
