/**
 * The list of all scenarios.
 */
import { type Scenario } from "./Scenario.ts";
import { canary } from "./scenarios/Canary.ts";
import { cascade } from "./scenarios/Cascade.ts";
import { config } from "./scenarios/Config.ts";
import { controlCost } from "./scenarios/ControlCost.ts";
import { domain } from "./scenarios/Domain.ts";
import { fair } from "./scenarios/Fair.ts";
import { once } from "./scenarios/Once.ts";
import { overload } from "./scenarios/Overload.ts";
import { path } from "./scenarios/Path.ts";
import { poison } from "./scenarios/Poison.ts";
import { prefix } from "./scenarios/Prefix.ts";
import { ramp } from "./scenarios/Ramp.ts";
import { replay } from "./scenarios/Replay.ts";
import { session } from "./scenarios/Session.ts";

export const scenarios: readonly Scenario[] = [
    path,
    once,
    config,
    controlCost,
    cascade,
    canary,
    domain,
    ramp,
    fair,
    overload,
    poison,
    prefix,
    session,
    replay,
];
