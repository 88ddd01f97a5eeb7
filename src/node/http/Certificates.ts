/**
 * The certificate of the HTTP doors, read again when its files change, so that a renewed one needs no restart.
 */
import { readFile, stat } from "node:fs/promises";
import { routerError } from "../../common/errors/RouterError.ts";
import { DisposableOwner } from "../../common/lifecycle/Disposable.ts";
import { Emitter } from "../../common/lifecycle/Emitter.ts";
import { type Clock, repeat } from "../../common/time/Clock.ts";
import { type Log } from "../log/Log.ts";

/** How often the files are looked at, in ms. */
const RELOAD_CHECK_PERIOD_MS = 2000;

/** A certificate chain and its key, in PEM. */
export interface Certificate {
    readonly cert: Buffer;
    readonly key: Buffer;
}

/** Files of a certificate. */
export interface CertificateFiles {
    readonly cert: string;
    readonly key: string;
}

/** Watches the files of a certificate. */
export class Certificates extends DisposableOwner {
    private readonly files: CertificateFiles;
    private readonly log: Log;
    private readonly changed = this.register(new Emitter<Certificate>());
    private loaded: Certificate | undefined;
    private modificationTimes = "";

    /** The files hold another certificate. */
    public readonly onChanged = this.changed.event;

    public constructor(clock: Clock, files: CertificateFiles, log: Log) {
        super();
        this.files = files;
        this.log = log;
        this.register(repeat(clock, RELOAD_CHECK_PERIOD_MS, () => void this.reloadIfChanged()));
    }

    /** The certificate. Set once `load` has resolved. */
    public get current(): Certificate {
        if (this.loaded === undefined) {
            throw routerError("the certificate is not loaded", { code: "internal", step: "read certificate" });
        }
        return this.loaded;
    }

    public async load(): Promise<void> {
        this.modificationTimes = await this.readModificationTimes();
        this.loaded = { cert: await readFile(this.files.cert), key: await readFile(this.files.key) };
    }

    /** A faulty new file leaves the certificate in use as it is. */
    private async reloadIfChanged(): Promise<void> {
        try {
            if (await this.readModificationTimes() === this.modificationTimes) {
                return;
            }
            await this.load();
            this.changed.fire(this.current);
            this.log.info("The certificate was read again.");
        }
        catch (err) {
            this.log.error("The certificate could not be read again.", { reason: (err as Error).message });
        }
    }

    private async readModificationTimes(): Promise<string> {
        const [cert, key] = await Promise.all([stat(this.files.cert), stat(this.files.key)]);
        return `${cert.mtimeMs} ${key.mtimeMs}`;
    }
}
