/**
 * Cold upstreams for tests that have none.
 */
import { ColdUpstreams } from "../../src/common/gateway/ColdUpstreams.ts";
import { type UpstreamDirectory } from "../../src/common/gateway/UpstreamDirectory.ts";
import { type Clock } from "../../src/common/time/Clock.ts";

/** Cold upstreams as an instance knows them that has learned of no other. */
export const coldUpstreamsOf = (clock: Clock, directory: UpstreamDirectory, self: string): ColdUpstreams =>
    new ColdUpstreams({
        clock,
        directory,
        self,
        entries: () => [],
        tolerance: { excess: 1.5, slack: 5 },
        coldStartMs: () => 0,
        onSend: () => undefined,
        onMisjudged: () => undefined,
    });
