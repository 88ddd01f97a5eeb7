/**
 * Setup that most scenarios share: eight instances in four failure domains, and engines that serve one version.
 */
import { accountRow, allowModel, domainRow, type Row, versionRow } from "../addons/fakes/SheetText.ts";
import { eightInstances, Simulation } from "../addons/fakes/Simulation.ts";
import { type SimUpstreamOptions } from "../addons/fakes/SimUpstream.ts";

/** Failure domains of all scenarios. */
export const DOMAINS = ["a", "b", "c", "d"] as const;
/** Routing target of the only version. */
export const TARGET = "m@v1";

/** Time until ownership and announcements of upstreams are stable, in ms. */
const SETTLE_MS = 3000;

/** Starts a simulation with one version, which all accounts may use; `accounts` holds their weights by name. */
export const startSimulation = async (
    seed: number,
    accounts: Readonly<Record<string, number>> = { x: 1 },
): Promise<Simulation> => {
    const sim = new Simulation(seed, eightInstances);
    const names = Object.keys(accounts);
    const rows: Row[] = [
        ...DOMAINS.map(name => domainRow(name)),
        ...names.map(name => accountRow(name, accounts[name])),
        versionRow("m", "v1", 100),
        ...names.map(name => allowModel(name, "m")),
    ];
    await sim.start(rows);
    return sim;
};

/** Adds `count` engines with ids `e-DOMAIN` plus a number in each failure domain, and waits for `settleMs`. */
export const addEngines = async (
    sim: Simulation,
    count: number,
    options: Omit<SimUpstreamOptions, "id" | "domain" | "versions">,
    settleMs = SETTLE_MS,
): Promise<void> => {
    for (const domain of DOMAINS) {
        for (let index = 0; index < count; index++) {
            sim.addUpstream({
                id: `e-${domain}${index}`,
                domain,
                versions: [{ model: "m", version: "v1" }],
                ...options,
            });
        }
    }
    await sim.advance(settleMs);
};
