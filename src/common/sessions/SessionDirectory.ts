/**
 * Session affinity: finds the version to which a session is pinned. The first request of a session on an instance
 * exchanges the pin with the session's two home instances, so that a session that began on another instance, under
 * earlier shares, keeps its version here.
 */
import { type ActiveVersion } from "../configuration/RoutingTable.ts";
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Clock } from "../time/Clock.ts";
import { type Pin, type SessionPins } from "./SessionPins.ts";

/** Sends a pin to the session's home instances. Resolves with the pins stored by those that answered. */
export type ExchangePin = (pin: Pin) => Promise<readonly Pin[]>;

/** The version to which a session is pinned. */
export interface SessionVersion {
    readonly version: ActiveVersion;
    /** The session's previous version, if it was withdrawn or is no longer allowed and the session was moved. */
    readonly movedFrom: string | undefined;
}

/** A session's request and the versions that it may use. */
export interface SessionChoice {
    readonly account: string;
    readonly session: string;
    readonly model: string;
    /** All versions in the configuration that the request may run on. */
    readonly allowed: readonly ActiveVersion[];
    /** Chooses the version for a session that begins or moves now. */
    readonly choose: () => ActiveVersion | undefined;
    /** False when this instance is cut off from the control quorum and the version may have been withdrawn. */
    readonly isUsable: (version: ActiveVersion) => boolean;
}

/** Keeps each session on the version to which it is pinned. */
export class SessionDirectory extends DisposableOwner {
    private readonly clock: Clock;
    private readonly pins: SessionPins;
    private readonly exchangePin: ExchangePin;
    private readonly pinned = this.register(new Emitter<Pin>());

    /** Fires when a session is pinned on this instance: at its start, or when it moves to another version. */
    public readonly onPinned = this.pinned.event;

    public constructor(clock: Clock, pins: SessionPins, exchangePin: ExchangePin) {
        super();
        this.clock = clock;
        this.pins = pins;
        this.exchangePin = exchangePin;
    }

    /** Resolves with the version of the session, which is chosen now if the session has none. */
    public async resolve(choice: SessionChoice): Promise<SessionVersion> {
        const key = `${choice.account} ${choice.session} ${choice.model}`;
        const pin = this.pins.get(key) ?? await this.createPin(key, choice, 0);
        const version = choice.allowed.find(item => item.key === pin.version);
        if (version !== undefined) {
            this.pins.merge(pin);
            this.refuseUnusable(version, choice);
            return { version, movedFrom: undefined };
        }
        const movedPin = await this.createPin(key, choice, pin.generation + 1);
        const next = choice.allowed.find(item => item.key === movedPin.version);
        if (next === undefined) {
            throw routerError(`no allowed version is left for session "${choice.session}"`, {
                code: "versionNotAllowed",
                step: "resolve session",
            });
        }
        return { version: next, movedFrom: pin.version };
    }

    /** Merges a pin from another instance and returns the pin that applies. */
    public receive(pin: Pin): Pin {
        return this.pins.merge(pin);
    }

    private async createPin(key: string, choice: SessionChoice, generation: number): Promise<Pin> {
        const chosen = choice.choose();
        if (chosen === undefined) {
            throw routerError(`no version of "${choice.model}" can be used`, {
                code: "versionNotAllowed",
                step: "resolve session",
            });
        }
        let merged = this.pins.merge({ key, version: chosen.key, generation, began: this.clock.now() });
        for (const pin of await this.exchangePin(merged)) {
            merged = this.pins.merge(pin);
        }
        this.pinned.fire(merged);
        return merged;
    }

    /**
     * While this instance is cut off, a version in roll-out may have been withdrawn: the session's requests are
     * refused, and it is not moved.
     */
    private refuseUnusable(version: ActiveVersion, choice: SessionChoice): void {
        if (choice.isUsable(version)) {
            return;
        }
        const message =
            `session "${choice.session}" runs on "${version.key}", which this instance cannot confirm while cut off`;
        throw routerError(message, { code: "noMajority", step: "resolve session", retryAfterMs: CUT_OFF_RETRY_MS });
    }
}

/** Time after which a caller may retry on an instance that is cut off, in ms. */
const CUT_OFF_RETRY_MS = 2000;
