/**
 * Cold upstreams, as an instance of a test knows them.
 */
import { ColdUpstreams, type ColdUpstreamsDependencies } from "../../src/common/gateway/ColdUpstreams.ts";
import { type UpstreamDirectory } from "../../src/common/gateway/UpstreamDirectory.ts";
import { type Clock } from "../../src/common/time/Clock.ts";

/** Those of an instance that has learned of no other, but for the given dependencies. */
export const coldUpstreamsOf = (
    clock: Clock,
    directory: UpstreamDirectory,
    self: string,
    change: Partial<ColdUpstreamsDependencies> = {},
): ColdUpstreams =>
    new ColdUpstreams({
        clock,
        directory,
        self,
        entries: () => [],
        tolerance: { excess: 1.5, slack: 5 },
        coldStartMs: () => 0,
        onSend: () => undefined,
        onMisjudged: () => undefined,
        ...change,
    });
