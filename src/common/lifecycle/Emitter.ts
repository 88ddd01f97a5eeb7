/**
 * Typed events. Owners publish `onSomething` members; disposing of the `Disposable` that subscribing returns
 * removes the listener.
 */
import { type Disposable, toDisposable } from "./Disposable.ts";

/** Subscribes a listener to an event. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** The publishing side of an event. */
export class Emitter<T> implements Disposable {
    private readonly listeners = new Set<(value: T) => void>();

    /** The subscribing side, to be published as an `onSomething` member. */
    public readonly event: Event<T> = listener => {
        this.listeners.add(listener);
        return toDisposable(() => this.listeners.delete(listener));
    };

    /** Calls every listener in the order in which they subscribed. */
    public fire(value: T): void {
        for (const listener of [...this.listeners]) {
            listener(value);
        }
    }

    public dispose(): void {
        this.listeners.clear();
    }
}
