/**
 * An in-memory ledger of bills, deduplicated by billing id.
 */
import { type Bill } from "./Bill.ts";

/** Totals of one client account. */
export interface AccountTotal {
    readonly account: string;
    bills: number;
    tokens: number;
    cost: number;
}

/** Bills by id, with totals by client account. */
export class BillingLedger {
    private readonly bills = new Map<string, Bill>();
    private readonly totals = new Map<string, AccountTotal>();

    public get size(): number {
        return this.bills.size;
    }

    /** Adds a bill. Returns false when its id is already recorded. */
    public add(bill: Bill): boolean {
        if (this.bills.has(bill.id)) {
            return false;
        }
        this.bills.set(bill.id, bill);
        const total = this.totals.get(bill.account) ?? { account: bill.account, bills: 0, tokens: 0, cost: 0 };
        total.bills++;
        total.tokens += bill.promptTokens + bill.completionTokens;
        total.cost += bill.cost;
        this.totals.set(bill.account, total);
        return true;
    }

    public all(): readonly Bill[] {
        return [...this.bills.values()];
    }

    /** Totals by client account, sorted by name. */
    public accountTotals(): readonly AccountTotal[] {
        return [...this.totals.values()].sort((a, b) => (a.account < b.account ? -1 : 1));
    }
}
