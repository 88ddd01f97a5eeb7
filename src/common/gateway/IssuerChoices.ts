/**
 * Chooses the entry instance that issues the prompt reservations for an upstream process, by rendezvous hashing, and the
 * deputy that comes next. Instances with the same roster choose the same ones.
 */
import { rendezvous } from "../routing/Hash.ts";

/** The issuer for an upstream and its deputy. */
export interface IssuerChoice {
    /** Roster from which they were chosen. */
    readonly members: readonly string[];
    readonly issuer: string | undefined;
    /** The instance that becomes the issuer if the issuer leaves the roster. */
    readonly deputy: string | undefined;
}

/** Choices by upstream process, kept until the roster changes. */
export class IssuerChoices {
    private readonly choices = new Map<string, IssuerChoice>();

    public choose(upstream: string, members: readonly string[]): IssuerChoice {
        const known = this.choices.get(upstream);
        if (known?.members === members) {
            return known;
        }
        const [issuer, deputy] = rendezvous(upstream, members, id => id, 2);
        const choice = { members, issuer, deputy };
        this.choices.set(upstream, choice);
        return choice;
    }

    public forget(upstream: string): void {
        this.choices.delete(upstream);
    }
}
