/**
 * Records of instances, as they are exchanged between them.
 */
import { z } from "zod";

export const memberSchema = z.object({
    id: z.string().max(64),
    /** Wall-clock time of the process start in ms; a restarted instance has a later one. */
    start: z.number(),
    /** Raised by the instance itself to refute a suspicion. */
    seq: z.number().int().nonnegative(),
    state: z.enum(["alive", "suspect", "dead", "left"]),
    domain: z.string(),
    region: z.string(),
    roles: z.array(z.enum(["entry", "control"])),
    /** Address of the peers door, `IP:PORT`. */
    address: z.string(),
    /** Revision of the configuration that is in force there. */
    revision: z.number().int().nonnegative(),
});

/** What is known of an instance. */
export type Member = z.infer<typeof memberSchema>;
export type MemberState = Member["state"];

const severity: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** True when `news` says something newer than `known`. */
export const supersedes = (news: Member, known: Member): boolean => {
    if (news.start !== known.start) {
        return news.start > known.start;
    }
    if (news.seq !== known.seq) {
        return news.seq > known.seq;
    }
    return severity[news.state] > severity[known.state];
};

/** Name of one start of an instance. */
export const processKeyOf = (member: { readonly id: string; readonly start: number; }): string =>
    `${member.id}#${member.start}`;
