/**
 * Divides an upstream's slots: first among client accounts by weight (max-min fair, so that slots one account does
 * not need go to the others), then among the instances on which the account's requests run or wait.
 */
import { hash32 } from "../routing/Hash.ts";
import { type AccountNeed } from "./SlotTypes.ts";

/** Slots that one holder could use. */
export interface HolderNeeds {
    readonly name: string;
    readonly needs: readonly AccountNeed[];
    /** Slots requested beyond its needs, as a reserve. */
    readonly spare: number;
}

/** Slots for one holder. */
export interface Allocation {
    /** Slots for its needs. */
    readonly needed: number;
    /** Reserve slots, which no holder needs at present. */
    readonly spare: number;
}

interface Demand {
    readonly key: string;
    readonly weight: number;
    readonly amount: number;
}

/** Slots for each holder. `turn` changes the order among equals, so that remainders rotate. */
export const divideSlots = (
    total: number,
    holders: readonly HolderNeeds[],
    turn: number,
): Map<string, Allocation> => {
    const accounts = Map.groupBy(
        holders.flatMap(({ name, needs }) => needs.map(need => ({ name, need }))),
        item => item.need.account,
    );
    const demands = [...accounts].map(([key, items]) => ({
        key,
        weight: items[0]?.need.weight ?? 1,
        amount: items.reduce((sum, { need }) => sum + need.inUse + need.waiting, 0),
    }));
    const byAccount = divide(total, demands, turn);
    const needed = new Map<string, number>();
    for (const [account, items] of accounts) {
        for (const [name, share] of divideAmongHolders(byAccount.get(account) ?? 0, items, turn)) {
            needed.set(name, (needed.get(name) ?? 0) + share);
        }
    }
    const unallocated = total - [...needed.values()].reduce((sum, share) => sum + share, 0);
    const spares = divide(
        unallocated,
        holders.map(({ name, spare }) => ({ key: name, weight: 1, amount: spare })),
        turn,
    );
    return new Map(
        holders.map(({ name }) => [name, { needed: needed.get(name) ?? 0, spare: spares.get(name) ?? 0 }]),
    );
};

interface HolderNeed {
    readonly name: string;
    readonly need: AccountNeed;
}

/** Serves running requests first, so that an account's share does not move between instances without need. */
const divideAmongHolders = (total: number, items: readonly HolderNeed[], turn: number): Map<string, number> => {
    const running = divide(total, items.map(({ name, need }) => ({ key: name, weight: 1, amount: need.inUse })), turn);
    const unallocated = total - [...running.values()].reduce((sum, share) => sum + share, 0);
    const waiting = divide(
        unallocated,
        items.map(({ name, need }) => ({ key: name, weight: 1, amount: need.waiting })),
        turn,
    );
    // A running request keeps its slot until it ends. If the slots that this account uses beyond its share were
    // taken from the holder's other accounts, these would wait for this very request instead of the first to end.
    return new Map(items.map(({ name, need }) => {
        const share = (running.get(name) ?? 0) + (waiting.get(name) ?? 0);
        return [name, Math.max(share, need.inUse)];
    }));
};

/** Weighted max-min fair shares of `total`, in whole slots. */
const divide = (total: number, demands: readonly Demand[], turn: number): Map<string, number> => {
    const shares = new Map<string, number>();
    const ordered = demands
        .map(demand => ({ ...demand, rank: hash32(`${demand.key}|${turn}`) }))
        .sort((a, b) => a.amount / a.weight - b.amount / b.weight || a.rank - b.rank);
    let unallocated = Math.max(0, total);
    let weights = ordered.reduce((sum, demand) => sum + demand.weight, 0);
    for (const { key, weight, amount } of ordered) {
        const share = Math.min(amount, Math.ceil(unallocated * weight / weights), unallocated);
        shares.set(key, share);
        unallocated -= share;
        weights -= weight;
    }
    return shares;
};
