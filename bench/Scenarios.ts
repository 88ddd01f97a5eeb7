/**
 * The list of all scenarios.
 */
import { type Scenario } from "./Scenario.ts";
import { path } from "./scenarios/Path.ts";
import { session } from "./scenarios/Session.ts";

export const scenarios: readonly Scenario[] = [path, session];
