/**
 * `skylarktide control recover`: recovery after the permanent loss of a majority of the voters. It makes the log of a
 * stopped instance the only one and that instance the only voter, and requires confirmation.
 */
import { votersCommand } from "../common/control/EntryLog.ts";
import { createLog } from "../node/log/Log.ts";
import { readSettings } from "../node/settings/SettingsReader.ts";
import { DataFolder } from "../node/storage/DataFolder.ts";
import { FileLogStore } from "../node/storage/FileLogStore.ts";
import { ExitCode, fail, print, printSettingsFaults } from "./Output.ts";

interface RecoverOptions {
    readonly config: string;
    /** Must equal the name of the deployment. */
    readonly confirm?: string;
}

/**
 * Prints index and term of the last entry of the instance's log. Makes the instance the only voter when `confirm` is
 * the name of the deployment.
 */
export const recoverControl = async (options: RecoverOptions): Promise<void> => {
    const { settings, faults } = readSettings(options.config, process.env);
    if (settings === undefined) {
        printSettingsFaults(faults);
        process.exit(ExitCode.BadInput);
    }
    const { data, deployment, id } = settings.instance;
    if (data === undefined) {
        return fail("the instance has no data folder, so it holds no control log", ExitCode.BadInput);
    }
    const folder = await DataFolder.acquire(data, deployment, id).catch((err: unknown) => fail((err as Error).message));
    const store = new FileLogStore(await folder.subfolder("control"), createLog(id, settings.log.level));
    const stored = await store.load();
    const last = stored.entries.at(-1);
    const lastIndex = last?.index ?? stored.snapshot?.lastIndex ?? 0;
    const lastTerm = last?.term ?? stored.snapshot?.lastTerm ?? 0;
    print(
        `this log ends at index ${lastIndex}, term ${lastTerm}; compare it with those of the other surviving voters`,
    );
    if (options.confirm === deployment) {
        const term = Math.max(stored.term, lastTerm) + 1;
        await store.saveVote(term, id);
        await store.saveIntegrity({});
        await store.append([{ index: lastIndex + 1, term, command: votersCommand([id]) }]);
        print(`${id} is now the only voter; start it, then add the others with "skylarktide control add"`);
    }
    else {
        print(`nothing was changed; to make ${id} the only voter, add --confirm ${deployment}`);
    }
    await store.close();
    await folder.release();
};
