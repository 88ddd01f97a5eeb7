/**
 * Durable file operations: when they resolve, their changes are on disk.
 */
import { mkdir, open, readFile, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { routerError } from "../../common/errors/RouterError.ts";

/** Syncs a folder, so that created, renamed and deleted entries are durable. */
export const syncFolder = async (folder: string): Promise<void> => {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
};

/** Creates a folder and its missing parents. */
export const makeFolder = async (folder: string): Promise<void> => {
    await mkdir(folder, { recursive: true });
    await syncFolder(dirname(folder));
};

/** Replaces a file atomically: after a crash it holds either the old or the new content. */
export const replaceFile = async (file: string, content: Uint8Array | string): Promise<void> => {
    const next = `${file}.next`;
    const handle = await open(next, "w");
    try {
        await handle.writeFile(content);
        await handle.sync();
    }
    finally {
        await handle.close();
    }
    await rename(next, file);
    await syncFolder(dirname(file));
};

/** Content of a file, or undefined when there is none. Rejects with a `RouterError` when it cannot be read. */
export const readIfPresent = async (file: string): Promise<Buffer | undefined> => {
    try {
        return await readFile(file);
    }
    catch (err) {
        if ((err as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw routerError(`cannot read ${file}: ${(err as Error).message}`, {
            code: "internal",
            step: "read file",
            cause: err,
        });
    }
};
