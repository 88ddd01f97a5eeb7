/**
 * The TLS certificate of the HTTP servers. It is reloaded when its files change, so that a renewal needs no restart.
 */
import { readFile, stat } from "node:fs/promises";
import { routerError } from "../../common/errors/RouterError.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { Emitter } from "../../common/lifecycle/Emitter.ts";
import { type Clock, repeat } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";

/** Interval at which the files are checked for changes, in ms. */
const RELOAD_CHECK_PERIOD_MS = 2000;

/** A certificate chain and its key, in PEM. */
export interface Certificate {
    readonly cert: Buffer;
    readonly key: Buffer;
}

/** Paths of the PEM files of a certificate and its key. */
export interface CertificateFiles {
    readonly cert: string;
    readonly key: string;
}

/** Loads a certificate and reloads it when its files change. */
export class Certificates extends DisposableOwner {
    private readonly files: CertificateFiles;
    private readonly log: Log;
    private readonly changed = this.register(new Emitter<Certificate>());
    private loaded: Certificate | undefined;
    private modificationTimes = "";

    /** Fires when another certificate has been loaded. */
    public readonly onChanged = this.changed.event;

    public constructor(clock: Clock, files: CertificateFiles, log: Log) {
        super();
        this.files = files;
        this.log = log;
        this.register(repeat(clock, RELOAD_CHECK_PERIOD_MS, () => void this.reloadIfChanged()));
    }

    /** The certificate in use. Throws until `load` has resolved. */
    public get current(): Certificate {
        if (this.loaded === undefined) {
            throw routerError("the certificate is not loaded", { code: "internal", step: "read certificate" });
        }
        return this.loaded;
    }

    /** Reads the files. Rejects when one of them cannot be read. */
    public async load(): Promise<void> {
        this.modificationTimes = await this.readModificationTimes();
        this.loaded = { cert: await readFile(this.files.cert), key: await readFile(this.files.key) };
    }

    /** Reloads the files if they have changed. If they are faulty, the servers keep the certificate that they use. */
    private async reloadIfChanged(): Promise<void> {
        try {
            if (await this.readModificationTimes() === this.modificationTimes) {
                return;
            }
            await this.load();
            this.changed.fire(this.current);
            this.log.info("The certificate was reloaded.");
        }
        catch (err) {
            this.log.error("The certificate could not be reloaded.", { reason: (err as Error).message });
        }
    }

    private async readModificationTimes(): Promise<string> {
        const [cert, key] = await Promise.all([stat(this.files.cert), stat(this.files.key)]);
        return `${cert.mtimeMs} ${key.mtimeMs}`;
    }
}
