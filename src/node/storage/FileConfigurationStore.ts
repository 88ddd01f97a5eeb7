/**
 * Stores the newest configuration that was in force on this instance, for its next start.
 */
import { join } from "node:path";
import { type Configuration, configurationSchema } from "../../common/configuration/Configuration.ts";
import { type ConfigurationStore } from "../../common/instance/InstanceCore.ts";
import { type Log } from "../log/Log.ts";
import { readIfPresent, replaceFile } from "./Files.ts";

const FILE = "configuration.json";

/** Configuration file in a data folder. */
export class FileConfigurationStore implements ConfigurationStore {
    private readonly file: string;
    private readonly log: Log;
    private pending: Configuration | undefined;
    private writing: Promise<void> | undefined;

    public constructor(folder: string, log: Log) {
        this.file = join(folder, FILE);
        this.log = log;
    }

    /** Undefined when there is no file or it does not match the schema. Rejects when it is not JSON. */
    public async load(): Promise<Configuration | undefined> {
        const content = await readIfPresent(this.file);
        if (content === undefined) {
            return undefined;
        }
        const result = configurationSchema.safeParse(JSON.parse(content.toString("utf8")));
        if (!result.success) {
            this.log.warn("The stored configuration cannot be read and is fetched anew.", { file: this.file });
            return undefined;
        }
        return result.data;
    }

    public save(configuration: Configuration): void {
        this.pending = configuration;
        this.writing ??= this.writePending();
    }

    /** Resolves when every configuration saved so far is on disk or its write has failed and was logged. */
    public async flush(): Promise<void> {
        await this.writing;
    }

    private async writePending(): Promise<void> {
        while (this.pending !== undefined) {
            const configuration = this.pending;
            this.pending = undefined;
            await replaceFile(this.file, JSON.stringify(configuration)).catch((err: unknown) => {
                this.log.warn("The configuration could not be stored.", { reason: (err as Error).message });
            });
        }
        this.writing = undefined;
    }
}
