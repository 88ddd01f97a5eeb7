/**
 * Resource ownership and cleanup. Every object that holds timers, listeners or connections extends
 * `DisposableOwner` and registers what it creates, so that no resource outlives its owner.
 */

/** An object that holds a resource and can release it. */
export interface Disposable {
    /** Releases the resource. Calling it again has no effect. */
    dispose(): void;
}

/** Wraps a cleanup function as a `Disposable` that runs it once. */
export const toDisposable = (release: () => void): Disposable => {
    let isReleased = false;
    return {
        dispose: () => {
            if (isReleased) {
                return;
            }
            isReleased = true;
            release();
        },
    };
};

/** Base class of resource owners: disposes of what it registered, newest first. */
export class DisposableOwner implements Disposable {
    private readonly owned: Disposable[] = [];
    private disposed = false;

    /** True once `dispose` was called. */
    public get isDisposed(): boolean {
        return this.disposed;
    }

    public dispose(): void {
        if (this.disposed) {
            return;
        }
        this.disposed = true;
        for (const item of this.owned.splice(0).reverse()) {
            item.dispose();
        }
    }

    /** Disposes of `item` together with this owner, at once if the owner is already disposed. Returns `item`. */
    protected register<T extends Disposable>(item: T): T {
        if (this.disposed) {
            item.dispose();
            return item;
        }
        this.owned.push(item);
        return item;
    }
}
