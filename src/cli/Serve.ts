/**
 * `skylarktide serve`: runs one instance until SIGTERM or SIGINT starts a planned stop.
 */
import { Instance } from "../node/Instance.ts";
import { createLog } from "../node/log/Log.ts";
import { readSettings } from "../node/settings/SettingsReader.ts";
import { ExitCode, fail, printSettingsFaults } from "./Output.ts";

/** Runs an instance with the settings in `file`. */
export const serve = async (file: string): Promise<void> => {
    const { settings, faults } = readSettings(file, process.env);
    if (settings === undefined) {
        printSettingsFaults(faults);
        process.exit(ExitCode.BadInput);
    }
    const log = createLog(settings.instance.id, settings.log.level);
    const instance = new Instance(settings, log);
    const stop = (): void => {
        instance.stop().then(() => process.exit(ExitCode.Done), (err: unknown) => {
            log.error("The instance did not stop cleanly.", { reason: (err as Error).message });
            process.exit(ExitCode.Failed);
        });
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    try {
        await instance.start();
    }
    catch (err) {
        fail((err as Error).message);
    }
};
