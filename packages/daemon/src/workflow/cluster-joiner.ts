import { messageOf } from "@waxwingspread/common";
import { isVoter } from "@waxwingspread/consensus";
import type { Replica } from "@waxwingspread/consensus";
import type { Logger } from "pino";
import { hostOf } from "../transport/host-of.js";
import type { InternalCaller } from "./internal-caller.js";
import { JOIN_PATH } from "./operations.js";
import type { JoinRequest, JoinResponse } from "./operations.js";

const JOIN_TIMEOUT_MS = 500;
/** Time without a known leader after which a voter requests to join, since it may have been removed meanwhile. */
const JOIN_AFTER_MS = 800;

/** The properties of a replica that decide whether and how it requests to join. */
export type JoiningReplica = Pick<Replica, "identity" | "isFormed" | "leader" | "membership">;

/** Construction parameters of a cluster joiner. */
export interface ClusterJoinerOptions {
    replica: JoiningReplica;
    caller: Pick<InternalCaller, "call">;
    /** Host of this replica. */
    host: string;
    /** Port of the internal listeners of all replicas. */
    internalPort: number;
    /** Forms a cluster of this replica alone, which the others then join. */
    formAlone: () => void;
    logger: Logger;
}

/** Requests membership from the other replicas while this replica knows no leader. */
export class ClusterJoiner {
    readonly #options: ClusterJoinerOptions;
    #leaderLastKnownMs: number;

    constructor(options: ClusterJoinerOptions, nowMs: number) {
        this.#options = options;
        this.#leaderLastKnownMs = nowMs;
    }

    /** Records the time if a leader is known. */
    tick(nowMs: number): void {
        if (this.#options.replica.leader !== undefined) {
            this.#leaderLastKnownMs = nowMs;
        }
    }

    /** Sends join requests to all known hosts if this replica may not be a member of the cluster. */
    async joinIfLeaderless(seedHosts: readonly string[], nowMs: number): Promise<void> {
        const { replica } = this.#options;
        if (replica.leader !== undefined || !this.#isJoinDue(nowMs)) {
            return;
        }
        const { name, diskId, address, availabilityZone, replacesUnreadableLog } = replica.identity;
        const isFormed = replica.isFormed || replacesUnreadableLog;
        const request: JoinRequest = { name, diskId, address, availabilityZone, isFormed };
        const memberHosts = replica.membership.members.map(member => hostOf(member.identity?.address ?? ""));
        const hosts = new Set(
            [...memberHosts, ...seedHosts].filter(host => host !== "" && host !== this.#options.host),
        );
        await Promise.all([...hosts].map(host => this.#joinAtLeaderOf(host, request, hosts)));
    }

    /**
     * Sends a join request to a host and to the leader that it names, which need not be among the seeds. Adds that
     * leader to the hosts that have been asked.
     */
    async #joinAtLeaderOf(host: string, request: JoinRequest, askedHosts: Set<string>): Promise<void> {
        const leaderHost = (await this.#requestJoin(host, request))?.leaderHost;
        if (leaderHost === undefined || leaderHost === this.#options.host || askedHosts.has(leaderHost)) {
            return;
        }
        askedHosts.add(leaderHost);
        await this.#joinAtLeaderOf(leaderHost, request, askedHosts);
    }

    /**
     * A replica without a vote joins at once: it takes no part in an election, the next leader may not know it, and the
     * cluster must not lose another disk before this one counts.
     */
    #isJoinDue(nowMs: number): boolean {
        const { membership, identity } = this.#options.replica;
        return !isVoter(membership, identity.diskId) || nowMs - this.#leaderLastKnownMs >= JOIN_AFTER_MS;
    }

    async #requestJoin(host: string, body: JoinRequest): Promise<JoinResponse | undefined> {
        const { caller, internalPort, logger } = this.#options;
        try {
            const call = { host, port: internalPort, path: JOIN_PATH, body, timeoutMs: JOIN_TIMEOUT_MS };
            const response = await caller.call<JoinResponse>(call);
            if (response.mayFound === true) {
                this.#options.formAlone();
            }
            return response;
        }
        catch (error) {
            logger.debug({ host, reason: messageOf(error) }, "request to join failed");
            return undefined;
        }
    }
}
