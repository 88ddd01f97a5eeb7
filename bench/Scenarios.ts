/**
 * The list of all scenarios.
 */
import { type Scenario } from "./Scenario.ts";
import { path } from "./scenarios/Path.ts";
import { replay } from "./scenarios/Replay.ts";
import { session } from "./scenarios/Session.ts";

export const scenarios: readonly Scenario[] = [path, replay, session];
