import type { ReplicaRunner } from "@waxwingspread/consensus";
import type { Logger } from "pino";
import { hostOf } from "../transport/host-of.js";
import { ClusterJoiner } from "./cluster-joiner.js";
import type { HeartbeatReplica } from "./heartbeat-routing.js";
import type { InternalCaller } from "./internal-caller.js";
import { MembershipReconciler } from "./membership-reconciler.js";
import type { MembershipRequirements } from "./membership-reconciler.js";
import type { JoinRequest, JoinResponse, VoterStatus } from "./operations.js";

const JOIN_INTERVAL_MS = 200;
const RECONCILE_INTERVAL_MS = 50;
/** Time without contact after which a follower counts as unresponsive; backend servers wait as long for an answer. */
const MAX_SILENCE_MS = 1_000;

/** Construction parameters of a {@link ClusterMembership}. */
export interface ClusterMembershipOptions {
    runner: ReplicaRunner;
    caller: Pick<InternalCaller, "call">;
    /** Host of this replica. */
    host: string;
    /** Port of the internal listeners of all replicas. */
    internalPort: number;
    /** Hosts of control replicas from the settings. */
    seedHosts: readonly string[];
    requirements: MembershipRequirements;
    /** Returns whether this replica leads and its session has started. */
    isLeading: () => boolean;
    /** Forms a cluster of this replica alone, which the others then join. */
    formAlone: () => void;
    logger: Logger;
}

/** One replica's part in the membership: joins the cluster while it has no leader, and changes the membership as one. */
export class ClusterMembership {
    readonly #options: ClusterMembershipOptions;
    readonly #joiner: ClusterJoiner;
    readonly #reconciler: MembershipReconciler;
    #seedHosts: readonly string[];
    #nextJoinMs: number;
    #nextReconciliationMs: number;

    constructor(options: ClusterMembershipOptions, nowMs: number) {
        const { runner, caller, host, internalPort, formAlone, requirements, logger } = options;
        this.#options = options;
        this.#seedHosts = options.seedHosts;
        this.#joiner = new ClusterJoiner(
            { replica: runner.replica, caller, host, internalPort, formAlone, logger },
            nowMs,
        );
        this.#reconciler = new MembershipReconciler({ runner, requirements, logger });
        this.#nextJoinMs = nowMs;
        this.#nextReconciliationMs = nowMs;
    }

    /** Host of the current leader; undefined if none is known. */
    get leaderHost(): string | undefined {
        const address = this.#options.runner.replica.leader?.address ?? "";
        return address === "" ? undefined : hostOf(address);
    }

    /** Hosts of all replicas in the membership. */
    get memberHosts(): string[] {
        return this.#options.runner.replica.membership.members.map(member => hostOf(member.identity?.address ?? ""));
    }

    /** Returns the other members that respond; none unless this replica leads. */
    responsiveFollowers(nowMs: number): HeartbeatReplica[] {
        const { replica } = this.#options.runner;
        return replica.membership.members.flatMap(({ identity }) => {
            if (identity === undefined || !replica.hasAnswered(identity.diskId)) {
                return [];
            }
            const silenceMs = replica.sinceContactMs(identity.diskId, nowMs) ?? Infinity;
            const { address, availabilityZone } = identity;
            return silenceMs <= MAX_SILENCE_MS ? [{ host: hostOf(address), availabilityZone }] : [];
        });
    }

    get seedHosts(): readonly string[] {
        return this.#seedHosts;
    }

    /** Replaces the seed hosts, for example after the settings have changed. */
    setSeedHosts(hosts: readonly string[]): void {
        this.#seedHosts = hosts;
    }

    /** Requests to join and changes the membership when due; to be called every few tens of milliseconds. */
    tick(nowMs: number): void {
        this.#joiner.tick(nowMs);
        if (nowMs >= this.#nextJoinMs) {
            this.#nextJoinMs = nowMs + JOIN_INTERVAL_MS;
            void this.#joiner.joinIfLeaderless(this.#seedHosts, nowMs);
        }
        if (nowMs >= this.#nextReconciliationMs) {
            this.#nextReconciliationMs = nowMs + RECONCILE_INTERVAL_MS;
            if (this.#options.isLeading()) {
                this.#reconciler.run(nowMs);
            }
        }
    }

    /** Adds a replica that requests to join, if this replica leads; otherwise names the leader. */
    handleJoin(request: JoinRequest, nowMs: number): JoinResponse {
        const isMember = this.#options.isLeading() && this.#reconciler.join(request, nowMs);
        return { isMember, leaderHost: this.leaderHost };
    }

    /** Returns the state of the voters; undefined unless this replica leads. */
    voterStatus(nowMs: number): VoterStatus | undefined {
        return this.#options.isLeading() ? this.#reconciler.status(nowMs) : undefined;
    }
}
