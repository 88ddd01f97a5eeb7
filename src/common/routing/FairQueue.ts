/**
 * Start-time fair queueing over client accounts. Each account has a virtual time that advances by the
 * cost of its work divided by its weight; the account with the least virtual time goes next. An account
 * that was idle resumes at the time of the others, so idle capacity is lent and never saved up.
 */

/** An entry that waits for its turn. */
export interface QueueEntry {
    readonly account: string;
    readonly weight: number;
    /** Higher goes first, inside the account only. */
    readonly priority: number;
    /** Expected cost, in tokens or another unit that is the same for all entries. */
    readonly cost: number;
}

interface AccountQueue<T> {
    readonly entries: T[];
    /** Virtual time at which the account's next entry starts. */
    virtualTime: number;
    weight: number;
}

/** A queue that is fair across accounts and ordered by priority inside each. */
export class FairQueue<T extends QueueEntry> {
    private readonly accounts = new Map<string, AccountQueue<T>>();
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
     * Takes out the entry whose turn it is, and charges its account. `isReady` is asked entry by entry and
     * the first for which it returns true is taken, so it may reserve what the entry needs.
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

    /** Removes an entry that gave up. Returns false when it is not queued any more. */
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

    /** Counts work of an account that started without waiting. */
    public onServed(account: string, weight: number, cost: number): void {
        this.serve(this.activate(account, weight), cost);
    }

    /** Charges an account for work that did not pass through this queue, such as work on other instances. */
    public charge(account: string, weight: number, cost: number): void {
        const queue = this.activate(account, weight);
        queue.virtualTime += cost / queue.weight;
    }

    /** Requests that wait, by account. */
    public waitingByAccount(): { account: string; weight: number; count: number; }[] {
        const waiting = [...this.accounts].filter(([, queue]) => queue.entries.length > 0);
        return waiting.map(([account, queue]) => ({ account, weight: queue.weight, count: queue.entries.length }));
    }

    /** Number of entries that would be served before a new entry of this account and priority. */
    public countAhead(account: string, weight: number, priority: number): number {
        const own = this.accounts.get(account);
        const start = Math.max(this.virtualTime, own?.virtualTime ?? 0);
        const before = own?.entries.filter(entry => entry.priority >= priority) ?? [];
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
