/**
 * Tracks requests that may crash the upstream that runs them. A request that was in flight when the connection to
 * its upstream broke is a suspect on every instance; it runs again only with a permit, on an upstream that runs no
 * other suspect. A second crash quarantines it on every instance, which prevents a third.
 */
import { routerError } from "../errors/RouterError.ts";
import { DisposableOwner } from "../lifecycle/Disposable.ts";
import { Emitter } from "../lifecycle/Emitter.ts";
import { type Membership } from "../membership/Membership.ts";
import { type PeerReply, type PeerRequest } from "../peers/PeerCalls.ts";
import { type PeerNetwork } from "../peers/PeerNetwork.ts";
import { rendezvous } from "../routing/Hash.ts";
import { type Clock, sleep } from "../time/Clock.ts";
import {
    MAX_HEARTBEAT_DELAY_MS,
    type Upstream,
    UPSTREAM_LEASE_MS,
    type UpstreamRegistry,
} from "../upstreams/UpstreamRegistry.ts";

/** Number of crashes after which a request is no longer run. */
const MAX_CRASHES = 2;
/** How long a suspicion lasts without a further crash, in ms. */
const SUSPICION_MS = 600_000;
/** How long a quarantine lasts unless an operator releases it, in ms. */
export const QUARANTINE_MS = 24 * 3_600_000;
/** Time in which other instances must answer a call on a suspect or a permit, in ms. */
const PEER_CALL_TIMEOUT_MS = 300;
/** Pause before a permit is requested again, in ms. */
const PERMIT_RETRY_DELAY_MS = 50;
/** Time after which a permit that is not returned expires, in ms. */
const PERMIT_VALIDITY_MS = 30_000;
/** Time after a broken connection at which the heartbeats since then show whether the upstream crashed, in ms. */
const CRASH_REVIEW_DELAY_MS = 4000;
/** Maximum number of suspects; beyond it, the oldest are dropped. */
const MAX_SUSPECTS = 10_000;

interface Suspect {
    crashes: number;
    /** Monotonic time, in ms. */
    expiresAt: number;
}

interface Permit {
    /** `FINGERPRINT REQUEST`, the latter the id of the request. */
    readonly request: string;
    /** Monotonic time, in ms. */
    readonly expiresAt: number;
}

/** Permission to run a request. */
export interface Admission {
    /** The only upstream on which a suspect may run; undefined for other requests. */
    readonly onlyUpstream: string | undefined;
    /** Must be called when the attempt has ended. An answer clears the suspicion. */
    end(isAnswered: boolean): void;
}

/** A fingerprint that was quarantined. */
export interface QuarantineNotice {
    readonly fingerprint: string;
    /** Wall-clock time at which the quarantine ends, in ms since the Unix epoch. */
    readonly until: number;
}

const unrestrictedAdmission: Admission = { onlyUpstream: undefined, end: () => undefined };

/** The suspects known to this instance, and the permits that it grants as coordinator. */
export class SuspectRequests extends DisposableOwner {
    private readonly clock: Clock;
    private readonly network: PeerNetwork;
    private readonly membership: Membership;
    private readonly registry: UpstreamRegistry;
    private readonly suspects = new Map<string, Suspect>();
    /** Permits that this instance has granted, by upstream. */
    private readonly permits = new Map<string, Permit>();
    private readonly quarantined = this.register(new Emitter<QuarantineNotice>());

    /** Fires when a request has crashed its second upstream, only on the instance that observed that crash. */
    public readonly onQuarantined = this.quarantined.event;

    public constructor(clock: Clock, network: PeerNetwork, membership: Membership, registry: UpstreamRegistry) {
        super();
        this.clock = clock;
        this.network = network;
        this.membership = membership;
        this.registry = registry;
        this.register(network.handle("tellSuspect", req => this.onSuspectReported(req)));
        this.register(network.handle("permitSuspect", req => this.onPermitRequested(req)));
        this.register(network.handle("returnPermit", req => this.onPermitReturned(req)));
    }

    public get size(): number {
        return this.suspects.size;
    }

    /**
     * Resolves when the request may run. A suspect waits for its permit until `deadline` (monotonic, in ms). Rejects
     * with a `RouterError`: `quarantined`, or `overloaded` when no permit was granted in time.
     */
    public async admit(fingerprint: string, request: string, target: string, deadline: number): Promise<Admission> {
        if (this.suspects.size === 0 || this.crashesOf(fingerprint) === 0) {
            return unrestrictedAdmission;
        }
        while (this.clock.monotonic() < deadline) {
            this.refuseQuarantined(fingerprint);
            const reply = await this.requestPermit(fingerprint, request, target);
            if (reply.state === "granted" && reply.upstream !== undefined) {
                return this.toAdmission(fingerprint, request, reply.upstream);
            }
            if (reply.state === "free") {
                return unrestrictedAdmission;
            }
            await sleep(this.clock, PERMIT_RETRY_DELAY_MS);
        }
        throw routerError(
            "the request is suspected of crashing upstreams, and no upstream free of other suspects was found in time",
            {
                code: "overloaded",
                step: "wait for permit",
                retryAfterMs: PERMIT_VALIDITY_MS / 10,
            },
        );
    }

    /** Counts a crash when the connection broke during a request. Resolves when all instances replied or timed out. */
    public async onConnectionBroken(fingerprint: string, upstream: Upstream): Promise<void> {
        const crashes = this.crashesOf(fingerprint) + 1;
        this.setCrashes(fingerprint, crashes);
        if (crashes >= MAX_CRASHES) {
            this.quarantined.fire({ fingerprint, until: this.clock.now() + QUARANTINE_MS });
        }
        // Only a heartbeat sent after the break can extend the lease beyond this time.
        const minLeaseEnd = this.clock.monotonic() + MAX_HEARTBEAT_DELAY_MS + UPSTREAM_LEASE_MS;
        this.clock.schedule(CRASH_REVIEW_DELAY_MS, () => this.reviewCrash(fingerprint, upstream, minLeaseEnd));
        await this.broadcastCrashes(fingerprint, crashes);
    }

    /** Clears the suspicion after an operator has released the request. */
    public release(fingerprint: string): void {
        this.suspects.delete(fingerprint);
    }

    private toAdmission(fingerprint: string, request: string, upstream: string): Admission {
        return {
            onlyUpstream: upstream,
            end: isAnswered => {
                void this.returnPermit(upstream, request);
                if (isAnswered) {
                    this.setCrashes(fingerprint, 0);
                    void this.broadcastCrashes(fingerprint, 0);
                }
            },
        };
    }

    /** Subtracts a crash when a heartbeat of the same start after the break shows that only the connection was lost. */
    private reviewCrash(fingerprint: string, upstream: Upstream, minLeaseEnd: number): void {
        const isSameStart = this.registry.get(upstream.announcement.id) === upstream
            && upstream.leaseUntil > minLeaseEnd;
        const suspect = this.suspects.get(fingerprint);
        if (isSameStart && suspect !== undefined && suspect.crashes > 0) {
            this.setCrashes(fingerprint, suspect.crashes - 1);
            void this.broadcastCrashes(fingerprint, suspect.crashes);
        }
    }

    private refuseQuarantined(fingerprint: string): void {
        if (this.crashesOf(fingerprint) >= MAX_CRASHES) {
            throw quarantinedError(fingerprint);
        }
    }

    private crashesOf(fingerprint: string): number {
        const suspect = this.suspects.get(fingerprint);
        return suspect !== undefined && suspect.expiresAt > this.clock.monotonic() ? suspect.crashes : 0;
    }

    private setCrashes(fingerprint: string, crashes: number): void {
        this.suspects.delete(fingerprint);
        if (crashes <= 0) {
            return;
        }
        const validityMs = crashes >= MAX_CRASHES ? QUARANTINE_MS : SUSPICION_MS;
        this.suspects.set(fingerprint, { crashes, expiresAt: this.clock.monotonic() + validityMs });
        const oldest = this.suspects.keys().next();
        if (this.suspects.size > MAX_SUSPECTS && !oldest.done) {
            this.suspects.delete(oldest.value);
        }
    }

    private async broadcastCrashes(fingerprint: string, crashes: number): Promise<void> {
        const others = this.membership.alive().filter(member => member.id !== this.network.self);
        await Promise.all(
            others.map(member =>
                this.network.call(member.id, "tellSuspect", { fingerprint, crashes }, PEER_CALL_TIMEOUT_MS).catch(() =>
                    undefined
                )
            ),
        );
    }

    private onSuspectReported({ fingerprint, crashes }: PeerRequest<"tellSuspect">): Record<string, never> {
        this.setCrashes(fingerprint, crashes === 0 ? 0 : Math.max(crashes, this.crashesOf(fingerprint)));
        return {};
    }

    /** The instance that grants all permits, so that no two suspects run on the same upstream. */
    private coordinator(): string {
        const entries = this.membership.alive().filter(member => member.roles.includes("entry"));
        return rendezvous("suspects", entries, member => member.id, 1)[0]?.id ?? this.network.self;
    }

    private async requestPermit(
        fingerprint: string,
        request: string,
        target: string,
    ): Promise<PeerReply<"permitSuspect">> {
        const req = { fingerprint, request, target };
        const coordinator = this.coordinator();
        if (coordinator === this.network.self) {
            return this.onPermitRequested(req);
        }
        try {
            return await this.network.call(coordinator, "permitSuspect", req, PEER_CALL_TIMEOUT_MS);
        }
        catch {
            return { state: "busy" };
        }
    }

    private onPermitRequested(
        { fingerprint, request, target }: PeerRequest<"permitSuspect">,
    ): PeerReply<"permitSuspect"> {
        const crashes = this.crashesOf(fingerprint);
        if (crashes !== 1) {
            return { state: crashes === 0 ? "free" : "quarantined" };
        }
        const now = this.clock.monotonic();
        const isRunning = [...this.permits.values()].some(permit =>
            permit.request.startsWith(`${fingerprint} `) && permit.expiresAt > now
        );
        const upstream = isRunning ? undefined : this.freeUpstream(target, now);
        if (upstream === undefined) {
            return { state: "busy" };
        }
        this.permits.set(upstream, { request: `${fingerprint} ${request}`, expiresAt: now + PERMIT_VALIDITY_MS });
        return { state: "granted", upstream };
    }

    /** The least loaded upstream on which no suspect runs. */
    private freeUpstream(target: string, now: number): string | undefined {
        const free = this.registry.serving(target).filter(upstream =>
            upstream.unconfirmedUntil === 0 && (this.permits.get(upstream.announcement.id)?.expiresAt ?? 0) <= now
        );
        const running = (upstream: Upstream): number => upstream.load?.running ?? 0;
        return [...free].sort((a, b) => running(a) - running(b))[0]?.announcement.id;
    }

    private async returnPermit(upstream: string, request: string): Promise<void> {
        const req = { upstream, request };
        const coordinator = this.coordinator();
        if (coordinator === this.network.self) {
            this.onPermitReturned(req);
            return;
        }
        await this.network.call(coordinator, "returnPermit", req, PEER_CALL_TIMEOUT_MS).catch(() => undefined);
    }

    private onPermitReturned({ upstream, request }: PeerRequest<"returnPermit">): Record<string, never> {
        if (this.permits.get(upstream)?.request.endsWith(` ${request}`) === true) {
            this.permits.delete(upstream);
        }
        return {};
    }
}

/** Error for a request that is refused because it is quarantined. */
export const quarantinedError = (fingerprint: string): Error =>
    routerError(`the request crashed ${MAX_CRASHES} upstreams and is quarantined as ${fingerprint}`, {
        code: "quarantined",
        step: "admit request",
    });
