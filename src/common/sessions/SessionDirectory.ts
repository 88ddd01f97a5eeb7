/**
 * Finds the version of a session. The first request at an instance asks the session's two home instances,
 * so that a session that began elsewhere, under an earlier share table, keeps its version here.
 */
import { type ActiveVersion } from "../configuration/RoutingTable.ts";
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock } from "../time/Clock.ts";
import { type Pin, type SessionPins } from "./SessionPins.ts";

/** Sends a pin to the session's home instances; resolves with the pins that they hold, of those that answered. */
export type ExchangePin = (pin: Pin) => Promise<readonly Pin[]>;

/** The version a session runs on. */
export interface SessionVersion {
    readonly version: ActiveVersion;
    /** The version that the session had to leave because it was withdrawn or is no longer allowed. */
    readonly movedFrom: string | undefined;
}

/** What the directory needs to know about versions for one request. */
export interface SessionChoice {
    readonly account: string;
    readonly session: string;
    readonly model: string;
    /** Versions that the request may run on, of the whole configuration. */
    readonly allowed: readonly ActiveVersion[];
    /** The choice for a session that begins now. */
    readonly choose: () => ActiveVersion | undefined;
    /** False when this instance is out of touch with control and the version may have been withdrawn. */
    readonly isUsable: (version: ActiveVersion) => boolean;
}

/** Keeps each session on its version. */
export class SessionDirectory extends DisposableOwner {
    private readonly clock: Clock;
    private readonly pins: SessionPins;
    private readonly exchangePin: ExchangePin;
    private readonly pinned = this.register(new Emitter<Pin>());

    /** A session began here, or moved to another version here. */
    public readonly onPinned = this.pinned.event;

    public constructor(clock: Clock, pins: SessionPins, exchangePin: ExchangePin) {
        super();
        this.clock = clock;
        this.pins = pins;
        this.exchangePin = exchangePin;
    }

    /** The version of the session, chosen now if it has none. */
    public async resolve(choice: SessionChoice): Promise<SessionVersion> {
        const key = `${choice.account} ${choice.session} ${choice.model}`;
        const known = this.pins.get(key) ?? await this.createPin(key, choice, 0);
        const version = choice.allowed.find(item => item.key === known.version);
        if (version !== undefined) {
            this.pins.merge(known);
            this.refuseUnusable(version, choice);
            return { version, movedFrom: undefined };
        }
        const moved = await this.createPin(key, choice, known.generation + 1);
        const next = choice.allowed.find(item => item.key === moved.version);
        if (next === undefined) {
            throw routerError(`session "${choice.session}" has no version left`, {
                code: "versionNotAllowed",
                step: "keep session",
            });
        }
        return { version: next, movedFrom: known.version };
    }

    /** Takes a pin from another instance and returns the one that holds. */
    public receive(pin: Pin): Pin {
        return this.pins.merge(pin);
    }

    private async createPin(key: string, choice: SessionChoice, generation: number): Promise<Pin> {
        const chosen = choice.choose();
        if (chosen === undefined) {
            throw routerError(`no version of "${choice.model}" can be used`, {
                code: "versionNotAllowed",
                step: "keep session",
            });
        }
        let held = this.pins.merge({ key, version: chosen.key, generation, began: this.clock.now() });
        for (const pin of await this.exchangePin(held)) {
            held = this.pins.merge(pin);
        }
        this.pinned.fire(held);
        return held;
    }

    /** Cut off, a version in roll-out may have been withdrawn meanwhile: neither run nor move the session. */
    private refuseUnusable(version: ActiveVersion, choice: SessionChoice): void {
        if (choice.isUsable(version)) {
            return;
        }
        const message =
            `session "${choice.session}" runs on "${version.key}", which this instance cannot confirm while cut off`;
        throw routerError(message, { code: "noMajority", step: "keep session", retryAfterMs: CUT_OFF_RETRY_MS });
    }
}

/** When a caller may come back to an instance that is cut off, in ms. */
const CUT_OFF_RETRY_MS = 2000;
