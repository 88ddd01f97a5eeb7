/**
 * Divides an upstream's slots: first among client accounts by weight (max-min fair, so that what one does not
 * need goes to the others), then among the instances on which the account's requests run or wait.
 */
import { hash32 } from "../routing/Hash.ts";
import { type AccountNeed } from "./SlotTypes.ts";

/** What one borrower could use. */
export interface HolderNeeds {
    readonly name: string;
    readonly needs: readonly AccountNeed[];
    /** Slots it would like at hand beyond its needs. */
    readonly spare: number;
}

/** Slots for one borrower. */
export interface Allocation {
    /** For its needs. */
    readonly needed: number;
    /** At hand, when nobody needs them. */
    readonly spare: number;
}

interface Demand {
    readonly key: string;
    readonly weight: number;
    readonly amount: number;
}

/** Slots for each borrower. `turn` changes the order among equals, so that remainders go round. */
export const divideSlots = (
    total: number,
    borrowers: readonly HolderNeeds[],
    turn: number,
): Map<string, Allocation> => {
    const accounts = Map.groupBy(
        borrowers.flatMap(({ name, needs }) => needs.map(need => ({ name, need }))),
        item => item.need.account,
    );
    const claims = [...accounts].map(([key, items]) => ({
        key,
        weight: items[0]?.need.weight ?? 1,
        amount: items.reduce((sum, { need }) => sum + need.inUse + need.waiting, 0),
    }));
    const byAccount = divide(total, claims, turn);
    const needed = new Map<string, number>();
    for (const [account, items] of accounts) {
        for (const [name, part] of divideAmongHolders(byAccount.get(account) ?? 0, items, turn)) {
            needed.set(name, (needed.get(name) ?? 0) + part);
        }
    }
    const rest = total - [...needed.values()].reduce((sum, part) => sum + part, 0);
    const spares = divide(rest, borrowers.map(({ name, spare }) => ({ key: name, weight: 1, amount: spare })), turn);
    return new Map(
        borrowers.map(({ name }) => [name, { needed: needed.get(name) ?? 0, spare: spares.get(name) ?? 0 }]),
    );
};

interface HolderNeed {
    readonly name: string;
    readonly need: AccountNeed;
}

/** What runs keeps its slots first, so that an account's part does not move between instances without need. */
const divideAmongHolders = (total: number, items: readonly HolderNeed[], turn: number): Map<string, number> => {
    const running = divide(total, items.map(({ name, need }) => ({ key: name, weight: 1, amount: need.inUse })), turn);
    const rest = total - [...running.values()].reduce((sum, part) => sum + part, 0);
    const waiting = divide(rest, items.map(({ name, need }) => ({ key: name, weight: 1, amount: need.waiting })), turn);
    // A running request cannot be called back; were its part counted against what the borrower's other accounts
    // lack, they would wait for it alone instead of for whichever request ends first.
    return new Map(items.map(({ name, need }) => {
        const part = (running.get(name) ?? 0) + (waiting.get(name) ?? 0);
        return [name, Math.max(part, need.inUse)];
    }));
};

/** Weighted max-min fair parts of a whole number. */
const divide = (total: number, claims: readonly Demand[], turn: number): Map<string, number> => {
    const parts = new Map<string, number>();
    const ordered = claims
        .map(claim => ({ ...claim, rank: hash32(`${claim.key}|${turn}`) }))
        .sort((a, b) => a.amount / a.weight - b.amount / b.weight || a.rank - b.rank);
    let rest = Math.max(0, total);
    let weights = ordered.reduce((sum, claim) => sum + claim.weight, 0);
    for (const { key, weight, amount } of ordered) {
        const part = Math.min(amount, Math.ceil(rest * weight / weights), rest);
        parts.set(key, part);
        rest -= part;
        weights -= weight;
    }
    return parts;
};
