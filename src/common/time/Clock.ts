/**
 * Time as a dependency. All code reads the wall clock and sets timers through a `Clock`, so that tests and
 * benchmarks can inject their own and give the same result on every run.
 */
import { type Disposable } from "../lifecycle/Disposable.ts";

/** Clock of an operating system. */
export interface SteadyClock {
    /** Wall-clock time in ms since the Unix epoch. It may step. */
    now(): number;
    /**
     * Time in ms that runs evenly, but stands still while the machine is suspended; only differences have a meaning.
     * Limits, pauses and whatever else must not end early count by it.
     */
    monotonic(): number;
    /** Calls `run` once after `delayMs`, unless the result is disposed before. */
    schedule(delayMs: number, run: () => void): Disposable;
}

/** Source of time and timers. */
export interface Clock extends SteadyClock {
    /**
     * Time in ms that includes suspensions of the machine. It may run ahead, never behind; only differences have a meaning.
     * Leases and whatever else must not end late count by it.
     */
    boottime(): number;
}

/** Resolves after `delayMs`. */
export const sleep = (clock: Clock, delayMs: number): Promise<void> =>
    new Promise(resolve => {
        clock.schedule(delayMs, resolve);
    });

/** Calls `run` every `periodMs` until disposed. The next period starts when `run` has returned. */
export const repeat = (clock: Clock, periodMs: number, run: () => void): Disposable => {
    let isActive = true;
    let pending = clock.schedule(periodMs, tick);
    function tick(): void {
        if (!isActive) {
            return;
        }
        run();
        if (isActive) {
            pending = clock.schedule(periodMs, tick);
        }
    }
    return {
        dispose: () => {
            isActive = false;
            pending.dispose();
        },
    };
};

/** A repeated call that is made only while there is something to do, so that an idle process sleeps. */
export interface WakefulRepeat extends Disposable {
    /** To be called when there is something to do. */
    wake(): void;
}

/** Calls `run` every `periodMs` after `wake`, until it returns false: there is nothing to do any more. */
export const repeatWhileBusy = (clock: Clock, periodMs: number, run: () => boolean): WakefulRepeat => {
    let pending: Disposable | undefined;
    let isDisposed = false;
    const tick = (): void => {
        pending = undefined;
        if (run()) {
            wake();
        }
    };
    const wake = (): void => {
        if (!isDisposed) {
            pending ??= clock.schedule(periodMs, tick);
        }
    };
    return {
        wake,
        dispose: () => {
            isDisposed = true;
            pending?.dispose();
        },
    };
};

/** Resolves with the value of `work`, or with `undefined` after `limitMs`. `work` itself is not cancelled. */
export const withTimeout = <T>(clock: Clock, limitMs: number, work: Promise<T>): Promise<T | undefined> =>
    new Promise((resolve, reject) => {
        const limit = clock.schedule(limitMs, () => resolve(undefined));
        work.then(
            value => {
                limit.dispose();
                resolve(value);
            },
            err => {
                limit.dispose();
                reject(err as Error);
            },
        );
    });
