/**
 * Records of upstreams for tests.
 */
import { type UpstreamRecord } from "../../src/common/gateway/UpstreamRecord.ts";

/** A ready upstream of service `s`, but for the given fields. */
export const createUpstreamRecord = (fields: Partial<UpstreamRecord>): UpstreamRecord => ({
    id: "u1",
    start: 100,
    seq: 1,
    service: "s",
    host: "10.0.0.1",
    port: 80,
    domain: "d",
    version: "v1",
    slots: 4,
    state: "ready",
    coldMs: 0,
    ...fields,
});
