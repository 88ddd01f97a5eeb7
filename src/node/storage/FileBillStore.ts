/**
 * Bills on disk, in one record file per day. A bill that arrives again is not stored a second time, also after a
 * restart.
 */
import { readdir } from "node:fs/promises";
import { join } from "node:path";
import { type Bill, billSchema } from "../../common/billing/Bill.ts";
import { type BillStore } from "../../common/billing/BillRecorder.ts";
import { Mutex } from "../../common/control/Mutex.ts";
import { RecordFile } from "./RecordFile.ts";

const FILE_PATTERN = /^bills-(\d{4}-\d{2}-\d{2})$/;
const DATE_LENGTH = 10;

interface DayFile {
    readonly file: RecordFile;
    readonly ids: Set<string>;
}

/** Bills in the files of a folder. */
export class FileBillStore implements BillStore {
    private readonly folder: string;
    private readonly dayFiles = new Map<string, DayFile>();
    private readonly mutex = new Mutex();
    private syncTotal = 0;

    public constructor(folder: string) {
        this.folder = folder;
    }

    /** Number of forced writes since the start. */
    public get syncCount(): number {
        return this.syncTotal;
    }

    public append(bills: readonly Bill[]): Promise<void> {
        return this.mutex.run(async () => {
            for (const [date, items] of Map.groupBy(bills, dateOf)) {
                await this.appendToDay(await this.openDay(date), items);
            }
        });
    }

    /** Bills with `from <= at < to` (ms since the Unix epoch), without duplicates. */
    public select(from: number, to: number): Promise<Bill[]> {
        return this.mutex.run(async () => {
            const names = await readdir(this.folder);
            const bills: Bill[] = [];
            for (const name of names.sort()) {
                const date = FILE_PATTERN.exec(name)?.[1];
                if (date !== undefined && overlapsRange(date, from, to)) {
                    const values = await readRecords(join(this.folder, name));
                    bills.push(...values.map(value => billSchema.parse(value)));
                }
            }
            return bills.filter(bill => bill.at >= from && bill.at < to);
        });
    }

    public async close(): Promise<void> {
        await Promise.all([...this.dayFiles.values()].map(day => day.file.close()));
        this.dayFiles.clear();
    }

    private async appendToDay(day: DayFile, bills: readonly Bill[]): Promise<void> {
        const newBills = new Map(bills.filter(bill => !day.ids.has(bill.id)).map(bill => [bill.id, bill]));
        if (newBills.size === 0) {
            return;
        }
        await day.file.append([...newBills.values()]);
        this.syncTotal++;
        for (const id of newBills.keys()) {
            day.ids.add(id);
        }
    }

    private async openDay(date: string): Promise<DayFile> {
        const openFile = this.dayFiles.get(date);
        if (openFile !== undefined) {
            return openFile;
        }
        const file = new RecordFile(join(this.folder, `bills-${date}`));
        const { values } = await file.open();
        const day = { file, ids: new Set(values.map(value => billSchema.parse(value).id)) };
        this.dayFiles.set(date, day);
        return day;
    }
}

const DAY_MS = 86_400_000;

const dateOf = (bill: Bill): string => dateOfDay(Math.floor(bill.at / DAY_MS));

const lastDate = { day: -1, text: "" };

/** Caches the last date, since consecutive bills almost always fall on the same day. */
const dateOfDay = (day: number): string => {
    if (day !== lastDate.day) {
        lastDate.day = day;
        lastDate.text = new Date(day * DAY_MS).toISOString().slice(0, DATE_LENGTH);
    }
    return lastDate.text;
};

const overlapsRange = (date: string, from: number, to: number): boolean => {
    const start = Date.parse(date);
    return start < to && start + DAY_MS > from;
};

const readRecords = async (path: string): Promise<readonly unknown[]> => {
    const file = new RecordFile(path);
    const { values } = await file.open();
    await file.close();
    return values;
};
