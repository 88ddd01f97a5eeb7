/**
 * Records of instances, as exchanged between them.
 */
import * as z from "zod";

export const memberSchema = z.object({
    id: z.string().max(64),
    /** Wall-clock time of the process start in ms; a restarted instance has a later one. */
    start: z.number(),
    /** Raised by the instance with each change of its record, and to refute a suspicion; SWIM's incarnation number. */
    seq: z.number().int().nonnegative(),
    state: z.enum(["alive", "suspect", "dead", "left"]),
    domain: z.string(),
    region: z.string(),
    roles: z.array(z.enum(["entry", "control"])),
    /** Address of the listener for peers, `IP:PORT`. */
    address: z.string(),
    /** Revision of the configuration in force on the instance. */
    revision: z.number().int().nonnegative(),
});

/** Record of an instance: what other instances know about it. */
export type Member = z.infer<typeof memberSchema>;
export type MemberState = Member["state"];

/** Of two records with the same start and sequence number, the one with the higher value supersedes the other. */
const severity: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** True when `update` is newer than `current`. */
export const supersedes = (update: Member, current: Member): boolean => {
    if (update.start !== current.start) {
        return update.start > current.start;
    }
    if (update.seq !== current.seq) {
        return update.seq > current.seq;
    }
    return severity[update.state] > severity[current.state];
};

/** Key of one process of an instance; a restarted instance has another one. */
export const processKeyOf = (member: { readonly id: string; readonly start: number; }): string =>
    `${member.id}#${member.start}`;
