/**
 * The set-up that most scenarios share: eight instances in four failure domains before engines of one version.
 */
import { accountRow, allowModel, domainRow, type Row, versionRow } from "../addons/fakes/SheetText.ts";
import { eightInstances, Simulation } from "../addons/fakes/Simulation.ts";
import { type SimUpstreamOptions } from "../addons/fakes/SimUpstream.ts";

/** Failure domains of all scenarios. */
export const DOMAINS = ["a", "b", "c", "d"] as const;
/** The one version, as a target. */
export const TARGET = "m@v1";

/** Time for ownership and announcements to settle, in ms. */
const SETTLE_MS = 3000;

/** A world whose sheet gives every account of `accounts` the one version. */
export const startSimulation = async (
    seed: number,
    accounts: Readonly<Record<string, number>> = { x: 1 },
): Promise<Simulation> => {
    const world = new Simulation(seed, eightInstances);
    const names = Object.keys(accounts);
    const rows: Row[] = [
        ...DOMAINS.map(name => domainRow(name)),
        ...names.map(name => accountRow(name, accounts[name])),
        versionRow("m", "v1", 100),
        ...names.map(name => allowModel(name, "m")),
    ];
    await world.start(rows);
    return world;
};

/** Adds `count` engines in each failure domain, named `e-DOMAIN` and a number, and lets them settle. */
export const addEngines = async (
    world: Simulation,
    count: number,
    options: Omit<SimUpstreamOptions, "id" | "domain" | "versions">,
    settleMs = SETTLE_MS,
): Promise<void> => {
    for (const domain of DOMAINS) {
        for (let index = 0; index < count; index++) {
            world.addUpstream({
                id: `e-${domain}${index}`,
                domain,
                versions: [{ model: "m", version: "v1" }],
                ...options,
            });
        }
    }
    await world.advance(settleMs);
};
