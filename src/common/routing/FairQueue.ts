/**
 * A weighted fair queue over client accounts (start-time fair queueing). Each account has a virtual time that advances
 * by the cost of its requests divided by its weight; the account with the least virtual time is served next. An
 * account that was idle resumes at the virtual time of the others: the capacity that it did not use went to them and
 * gives it no credit.
 */

/** An entry of the queue. */
export interface QueueEntry {
    readonly account: string;
    readonly weight: number;
    /** Entries of the same account with a higher priority are served first. */
    readonly priority: number;
    /** Expected cost, in tokens or another unit common to all entries. */
    readonly cost: number;
}

interface AccountQueue<T> {
    readonly entries: T[];
    /** Virtual time at which the account's next entry starts. */
    virtualTime: number;
    weight: number;
}

/** A queue that is fair across accounts and ordered by priority within each account. */
export class FairQueue<T extends QueueEntry> {
    private readonly accounts = new Map<string, AccountQueue<T>>();
    /** Largest virtual time at which an entry was served. */
    private virtualTime = 0;
    private count = 0;

    public get length(): number {
        return this.count;
    }

    public enqueue(entry: T): void {
        const queue = this.activate(entry.account, entry.weight);
        let index = queue.entries.length;
        while (index > 0 && priorityAt(queue.entries, index - 1) < entry.priority) {
            index--;
        }
        queue.entries.splice(index, 0, entry);
        this.count++;
    }

    /**
     * Removes the next entry and charges its account. `isReady` is called for one entry after another, and the first
     * for which it returns true is taken, so it may reserve what that entry needs.
     */
    public dequeue(isReady: (entry: T) => boolean = () => true): T | undefined {
        const active = [...this.accounts.values()].filter(queue => queue.entries.length > 0);
        active.sort((a, b) => a.virtualTime - b.virtualTime);
        for (const queue of active) {
            const index = queue.entries.findIndex(isReady);
            if (index >= 0) {
                return this.take(queue, index);
            }
        }
        return undefined;
    }

    /** Removes an entry that no longer waits. Returns false when it is not in the queue. */
    public remove(entry: T): boolean {
        const entries = this.accounts.get(entry.account)?.entries;
        const index = entries?.indexOf(entry) ?? -1;
        if (index < 0) {
            return false;
        }
        entries?.splice(index, 1);
        this.count--;
        return true;
    }

    /** Charges an account for a request that started without waiting. */
    public onServed(account: string, weight: number, cost: number): void {
        this.serve(this.activate(account, weight), cost);
    }

    /** Charges an account for cost that did not pass through this queue, such as usage on other instances. */
    public charge(account: string, weight: number, cost: number): void {
        const queue = this.activate(account, weight);
        queue.virtualTime += cost / queue.weight;
    }

    /** Number of waiting entries by account. */
    public waitingByAccount(): { account: string; weight: number; count: number; }[] {
        const waiting = [...this.accounts].filter(([, queue]) => queue.entries.length > 0);
        return waiting.map(([account, queue]) => ({ account, weight: queue.weight, count: queue.entries.length }));
    }

    /** Number of entries that would be served before a new entry of this account with this priority. */
    public countAhead(account: string, weight: number, priority: number): number {
        const accountQueue = this.accounts.get(account);
        const start = Math.max(this.virtualTime, accountQueue?.virtualTime ?? 0);
        const before = accountQueue?.entries.filter(entry => entry.priority >= priority) ?? [];
        const finish = start + sumCost(before) / weight;
        let ahead = before.length;
        for (const [name, queue] of this.accounts) {
            if (name !== account) {
                ahead += countUntil(queue, finish);
            }
        }
        return ahead;
    }

    private take(queue: AccountQueue<T>, index: number): T | undefined {
        const entry = queue.entries.splice(index, 1)[0];
        if (entry !== undefined) {
            this.count--;
            this.serve(queue, entry.cost);
        }
        return entry;
    }

    private serve(queue: AccountQueue<T>, cost: number): void {
        this.virtualTime = Math.max(this.virtualTime, queue.virtualTime);
        queue.virtualTime += cost / queue.weight;
    }

    private activate(account: string, weight: number): AccountQueue<T> {
        let queue = this.accounts.get(account);
        if (queue === undefined) {
            queue = { entries: [], virtualTime: this.virtualTime, weight };
            this.accounts.set(account, queue);
        }
        queue.weight = weight;
        if (queue.entries.length === 0) {
            queue.virtualTime = Math.max(queue.virtualTime, this.virtualTime);
        }
        return queue;
    }
}

const priorityAt = (entries: readonly QueueEntry[], index: number): number => entries[index]?.priority ?? 0;

const sumCost = (entries: readonly QueueEntry[]): number => entries.reduce((sum, entry) => sum + entry.cost, 0);

/** Number of the account's entries that start by the virtual time `finish`. */
const countUntil = <T extends QueueEntry>(queue: AccountQueue<T>, finish: number): number => {
    let time = queue.virtualTime;
    let count = 0;
    for (const entry of queue.entries) {
        if (time > finish) {
            return count;
        }
        time += entry.cost / queue.weight;
        count++;
    }
    return count;
};
