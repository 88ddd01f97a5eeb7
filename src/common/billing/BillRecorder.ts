/**
 * Makes bills durable. A bill is immutable, so copies on the disks of two control instances are enough and no
 * consensus is needed; a bill that is sent twice is recorded once. When the disks are unreachable, another
 * instance holds a copy in memory and both keep retrying.
 */
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { type Member } from "../membership/Member.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { rendezvous } from "../routing/Hash.ts";
import { type Clock, repeat, withTimeout } from "../time/Clock.ts";
import { type Bill } from "./Bill.ts";

/** Number of disks that hold each bill, if the deployment has that many. */
const DISK_COPIES = 2;
/** Time in which a disk must confirm, in ms. */
const DISK_TIMEOUT_MS = 800;
/** How often writing bills that are not yet confirmed to be on enough disks is retried, in ms. */
const RETRY_PERIOD_MS = 1000;
/** Maximum number of bills in one batch. */
const MAX_BATCH = 500;

/** Durable storage of bills on this instance. */
export interface BillStore {
    /** Resolves when the bills are durable. Skips bills that are already recorded. */
    append(bills: readonly Bill[]): Promise<void>;
}

interface QueuedBill {
    readonly bill: Bill;
    resolve(isDurable: boolean): void;
}

/** Collects bills for one disk and sends them in batches, one batch at a time. */
class Batcher {
    private readonly send: (bills: readonly Bill[]) => Promise<boolean>;
    private waiting: QueuedBill[] = [];
    private isSending = false;

    public constructor(send: (bills: readonly Bill[]) => Promise<boolean>) {
        this.send = send;
    }

    public add(bill: Bill): Promise<boolean> {
        return new Promise(resolve => {
            this.waiting.push({ bill, resolve });
            void this.flush();
        });
    }

    private async flush(): Promise<void> {
        if (this.isSending) {
            return;
        }
        this.isSending = true;
        while (this.waiting.length > 0) {
            const batch = this.waiting.splice(0, MAX_BATCH);
            const isDurable = await this.send(batch.map(item => item.bill)).catch(() => false);
            batch.forEach(item => item.resolve(isDurable));
        }
        this.isSending = false;
    }
}

/** Records the bills of one instance. */
export class BillRecorder extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly store: BillStore | undefined;
    private readonly batchers = new Map<string, Batcher>();
    /** Bills that are not yet confirmed to be on enough disks. */
    private readonly pendingBills = new Map<string, Bill>();

    public constructor(clock: Clock, network: PeerNetwork, membership: Membership, store: BillStore | undefined) {
        super();
        this.clock = clock;
        this.network = network;
        this.membership = membership;
        this.store = store;
        this.register(network.handle("recordBills", req => this.onReceived(req.bills)));
        this.register(repeat(clock, RETRY_PERIOD_MS, () => void this.retryHeld()));
    }

    /** Number of bills that are not yet confirmed to be on enough disks. */
    public get heldCount(): number {
        return this.pendingBills.size;
    }

    /**
     * Resolves when the bill survives the loss of this instance: on disk, or in the memory of a second one. Rejects
     * with a `RouterError` when neither is reached, unless no other instance is alive.
     */
    public async record(bill: Bill): Promise<void> {
        this.pendingBills.set(bill.id, bill);
        if (await this.writeToDisks(bill)) {
            return;
        }
        const isCopied = await this.copyToPeer(bill);
        if (!isCopied && this.membership.alive().length > 1) {
            const details = { code: "internal", run: "ran", step: "record bill" } as const;
            throw routerError("the bill could not be recorded", details);
        }
    }

    /** Tries once more to write every bill that is not yet confirmed to be on enough disks. */
    public async retryHeld(): Promise<void> {
        await Promise.all([...this.pendingBills.values()].map(bill => this.writeToDisks(bill)));
    }

    private async writeToDisks(bill: Bill): Promise<boolean> {
        const disks = this.disks();
        const writes = disks.map(disk => this.batcherOf(disk).add(bill));
        let written = 0;
        for (const write of writes) {
            written += await write ? 1 : 0;
        }
        const isDurable = written >= Math.min(DISK_COPIES, Math.max(1, this.countDisks()));
        if (isDurable) {
            this.pendingBills.delete(bill.id);
        }
        return isDurable;
    }

    /** Disks to write to: this instance's own first, then those of others, preferably in other failure domains. */
    private disks(): string[] {
        const { self } = this.membership;
        const controllers = this.membership.alive().filter(hasDisk);
        const others = controllers.filter(member => member.id !== self.id);
        const ordered = rendezvous(self.id, others, member => member.id, others.length);
        const otherDomains = ordered.filter(member => member.domain !== self.domain);
        const sameDomain = ordered.filter(member => member.domain === self.domain);
        const localDisk = this.store === undefined ? [] : [self.id];
        return [...localDisk, ...[...otherDomains, ...sameDomain].map(member => member.id)].slice(0, DISK_COPIES);
    }

    /** Number of instances with a disk, reachable or not, except those that have left the deployment. */
    private countDisks(): number {
        return this.membership.all().filter(member => hasDisk(member) && member.state !== "left").length;
    }

    private batcherOf(disk: string): Batcher {
        let batcher = this.batchers.get(disk);
        if (batcher === undefined) {
            batcher = new Batcher(bills => this.send(disk, bills));
            this.batchers.set(disk, batcher);
        }
        return batcher;
    }

    private async send(disk: string, bills: readonly Bill[]): Promise<boolean> {
        if (disk === this.network.self) {
            const done = this.store?.append(bills).then(() => true) ?? Promise.resolve(false);
            return await withTimeout(this.clock, DISK_TIMEOUT_MS, done) ?? false;
        }
        const reply = await this.network.call(disk, "recordBills", { bills: [...bills] }, DISK_TIMEOUT_MS);
        return reply.isDurable;
    }

    private async copyToPeer(bill: Bill): Promise<boolean> {
        const others = this.membership.alive().filter(member => member.id !== this.network.self);
        for (const member of rendezvous(bill.id, others, other => other.id, DISK_COPIES)) {
            try {
                await this.network.call(member.id, "recordBills", { bills: [bill] }, DISK_TIMEOUT_MS);
                return true;
            }
            catch {
                continue;
            }
        }
        return false;
    }

    private async onReceived(bills: readonly Bill[]): Promise<{ isDurable: boolean; }> {
        if (this.store === undefined) {
            bills.forEach(bill => this.pendingBills.set(bill.id, bill));
            return { isDurable: false };
        }
        await this.store.append(bills);
        return { isDurable: true };
    }
}

const hasDisk = (member: Member): boolean => member.roles.includes("control");
