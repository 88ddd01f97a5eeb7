/**
 * The attempts of one request that run at the same time: mostly one, and backup attempts beside it while it makes no
 * progress. The first one that makes progress is relayed, and the others are aborted.
 */
import { type Selection } from "../../common/gateway/UpstreamSelector.ts";
import { Emitter } from "../../common/lifecycle/Emitter.ts";
import { type Attempt } from "./Attempt.ts";
import { type AttemptFailure } from "./AttemptEnd.ts";

/** An attempt that has ended. */
export interface EndedAttempt {
    readonly selection: Selection;
    /** Undefined if its response has been relayed. */
    readonly failure: AttemptFailure | undefined;
}

/** An attempt whose answer a larger model should replace. It holds the answer until it is told whether one does. */
export interface WantedReplacement {
    /** Name of the upstream that has answered. */
    readonly upstream: string;
    /** Index of the larger model. */
    readonly modelIndex: number;
    readonly settle: (isReplaced: boolean) => void;
}

/** The attempts of one request. */
export class AttemptGroup {
    private readonly running = new Set<Attempt>();
    private readonly ended: EndedAttempt[] = [];
    private readonly changed = new Emitter<void>();
    private relayed: Attempt | undefined;
    private wanted: WantedReplacement | undefined;
    private isClosed = false;

    /** Fires when an attempt has ended, and while one has stalled or when it goes on. */
    public readonly onChanged = this.changed.event;

    /** Number of attempts that run, or whose end has not been taken. */
    public get size(): number {
        return this.running.size + this.ended.length;
    }

    /** Whether attempts run and none of them makes progress. */
    public get haveStalled(): boolean {
        return this.running.size > 0 && [...this.running].every(({ hasStalled }) => hasStalled);
    }

    /**
     * Adds an attempt, and runs it.
     *
     * @param onEnded called with whether its response has been relayed
     * @param onError called with an error thrown in the attempt, which then counts as failed, or in `onEnded`
     */
    public run(
        attempt: Attempt,
        selection: Selection,
        onEnded: (isServed: boolean) => void,
        onError: (err: Error) => void,
    ): void {
        this.running.add(attempt);
        const end = (failure: AttemptFailure | undefined): void => {
            this.running.delete(attempt);
            this.ended.push({ selection, failure });
            this.notify();
            onEnded(failure === undefined);
        };
        attempt.run()
            .catch((err: Error): AttemptFailure => {
                onError(err);
                return { message: "internal fault", wasSent: true, mayHaveRun: true, isErrorResponse: false };
            })
            .then(end)
            .catch(onError);
    }

    /** Returns an attempt that has ended, each one once; undefined if there is none. */
    public takeEnded(): EndedAttempt | undefined {
        return this.ended.shift();
    }

    /** Whether the attempt is the newest one that was relayed. */
    public isRelayed(attempt: Attempt): boolean {
        return this.relayed === attempt;
    }

    /** Aborts all attempts but the one that is relayed from now on. */
    public relay(attempt: Attempt): void {
        this.relayed = attempt;
        this.abort(attempt);
    }

    /** Aborts all attempts, because the request has ended. */
    public close(): void {
        this.isClosed = true;
        this.takeWantedReplacement()?.settle(false);
        this.abort();
    }

    /** Asks for another model's answer; resolves with whether one has been sent for, so that this answer is to be dropped. */
    public requestReplacement(upstream: string, modelIndex: number): Promise<boolean> {
        if (this.isClosed) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            this.wanted = { upstream, modelIndex, settle: resolve };
            this.notify();
        });
    }

    /** Returns a replacement that is asked for, once; undefined if there is none. */
    public takeWantedReplacement(): WantedReplacement | undefined {
        const { wanted } = this;
        this.wanted = undefined;
        return wanted;
    }

    /** To be called while an attempt has stalled, and when it goes on. */
    public notify(): void {
        this.changed.fire();
    }

    /** Resolves at the next change. */
    public waitForChange(): Promise<void> {
        return new Promise(resolve => {
            const subscription = this.onChanged(() => {
                subscription.dispose();
                resolve();
            });
        });
    }

    private abort(except?: Attempt): void {
        for (const attempt of this.running) {
            if (attempt !== except) {
                attempt.supersede();
            }
        }
    }
}
